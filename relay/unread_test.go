package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

// TestResetAnswerIsNotWhole guards against a part of an answer that looks whole because its connection was reset while
// the request was being written: the writer gets the error of the reset, and the reader the end of the bytes.
func TestResetAnswerIsNotWhole(t *testing.T) {
	for _, resets := range []bool{false, true} {
		for _, headers := range []string{"", "Connection: close\r\n"} {
			for kind, want := range map[string]string{"single": "502", "unsafe": "502", "stream": "200 signed cut", "resume": "200 signed cut"} {
				t.Run(fmt.Sprintf("%s/%t/%t", kind, resets, headers != ""), func(t *testing.T) {
					target := &stand.UnreadServer{Headers: "Attempt-Id: %s\r\nServer-Signature: sig-i-0\r\n" + headers, Resets: resets}
					assert.NilError(t, target.Start())
					t.Cleanup(target.Close)
					g := newTestRelayOf(t, stallTimeout)
					g.healthPath = "/healthz"
					g.publish(2, key)
					g.applyTarget("i-0", target.Address())
					for n := range 10 {
						got := send(t, g.server, kind, fmt.Sprintf("req-%d", n), strings.Repeat("x", stand.UnreadBytes))
						assert.Assert(t, got == want || got == "502", "%q", got)
					}
				})
			}
		}
	}
}
