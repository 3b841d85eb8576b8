package link

import (
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

// CheckHealth returns the result of a health check that is answered with the given text.
func CheckHealth(t *testing.T, text string) error {
	t.Helper()
	s := &stand.CutServer{Part: text}
	assert.NilError(t, s.Start())
	defer s.Close()
	c, err := (&Pool{}).open(t.Context(), s.Address(), dialTimeout)
	assert.NilError(t, err)
	defer c.Close()
	return c.checkHealth("/healthz", 0)
}
