package chestnutstep

import (
	"crypto/sha256"
	"encoding/hex"
	"testing"

	"gotest.tools/v3/assert"
)

func TestViewIsOut(t *testing.T) {
	sum := sha256.Sum256([]byte("secret"))
	v := NewView(&Publication{
		Domains: []Domain{{Name: "a", Region: "r"}, {Name: "b", Region: "r", Out: true}},
		Hosts: []Host{
			{Name: "a1", Domain: "a"},
			{Name: "a2", Domain: "a", Out: true},
			{Name: "b1", Domain: "b"},
		},
		Workspaces: []Workspace{{Name: "desk", Keys: []string{hex.EncodeToString(sum[:])}}},
	})
	for _, c := range []struct {
		target Target
		out    bool
	}{
		{Target{Host: "a1"}, false},
		{Target{Host: "a1", Out: true}, true},
		{Target{Host: "a2"}, true},
		{Target{Host: "b1"}, true},
		{Target{Host: "nowhere"}, true},
	} {
		assert.Equal(t, v.IsOut(&c.target), c.out, "%+v", c.target)
	}
	assert.Equal(t, v.Authenticate("secret").Name, "desk")
	assert.Assert(t, v.Authenticate("other") == nil)
	assert.Equal(t, v.Region("a1"), "r")
}
