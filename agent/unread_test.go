package agent

import (
	"io"
	"net/http"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

// TestResetAnswerIsNotWhole guards against a part of an answer that an agent takes for a whole one because its connection
// was reset while the request was being written.
func TestResetAnswerIsNotWhole(t *testing.T) {
	pooled, unpooled := Clients()
	for _, resets := range []bool{false, true} {
		s := &stand.UnreadServer{Resets: resets}
		assert.NilError(t, s.Start())
		t.Cleanup(s.Close)
		for range 20 {
			for _, c := range []*http.Client{pooled, unpooled} {
				resp, err := c.Post("http://"+s.Address()+"/x", "text/plain", strings.NewReader(strings.Repeat("x", stand.UnreadBytes)))
				if err != nil {
					continue
				}
				raw, err := io.ReadAll(resp.Body)
				resp.Body.Close()
				assert.Assert(t, err != nil, "%q passed for a whole answer", raw)
			}
		}
	}
}
