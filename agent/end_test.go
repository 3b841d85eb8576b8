package agent

import (
	"net/http"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/ending"
)

// TestCutLastEventEndsNothing guards against a stream without chunks that counts as whole because its target
// ended within the last event.
func TestCutLastEventEndsNothing(t *testing.T) {
	rs := &http.Response{ContentLength: -1}
	for text, want := range map[string]ending.Verdict{
		"data: 1\n\nevent: done\ndata: {}\n\n": ending.Whole,
		"data: 1\n\nevent: done\ndata: {":      ending.Cut,
		"data: 1\n\nevent: done\n":             ending.Cut,
		"data: 1\n\ndata: event: done\n\n":     ending.Cut,
		"data: 1\n\n":                          ending.Cut,
	} {
		x := &tail{terminator: "event: done"}
		x.add([]byte(text))
		assert.Equal(t, (&job{}).judgeEnd(rs, x, nil), want, text)
	}
}
