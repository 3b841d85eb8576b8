package relay_test

import (
	"maps"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

// TestInvalidAnswerReachesNobody guards against a caller that gets bytes as an answer that are none.
func TestInvalidAnswerReachesNobody(t *testing.T) {
	const headers = "Attempt-Id: req-1\r\nServer-Signature: sig\r\n"
	for _, kind := range []string{"unsafe", "stream"} {
		list := stand.InvalidHeads(headers, "id: 1\ndata: 1\n\n")
		if kind == "unsafe" { // events of a stream have been sent before its trailer
			maps.Copy(list, stand.InvalidParts(headers, "body"))
		}
		for name, text := range list {
			t.Run(kind+"/"+name, func(t *testing.T) {
				target := &stand.CutServer{Part: text}
				assert.NilError(t, target.Start())
				defer target.Close()
				g := newTestRelayOf(t, stallTimeout)
				g.applyTarget("i-0", target.Address())
				assert.Equal(t, g.doRequest(t, kind), "502")
			})
		}
	}
}
