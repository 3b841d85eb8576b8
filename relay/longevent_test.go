package relay_test

import (
	"fmt"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

// TestLongEvents guards against streams that are cut at an event with a long line.
func TestLongEvents(t *testing.T) {
	for _, size := range []int{1000, 1024, 1100, 5000, 100_000, 900_000} {
		for _, kind := range []string{"stream", "resume"} {
			t.Run(fmt.Sprintf("%s/%d", kind, size), func(t *testing.T) {
				g := newTestRelayWithTimeout(t, stallTimeout)
				for _, x := range g.targets {
					x.EventBytes = size
				}
				assert.Equal(t, g.doRequest(t, kind), "200 signed ids 1 2 3 4")
			})
		}
	}
}

// TestLongEventIsForwardedUnchanged guards against bytes of a long event that are lost, doubled or taken
// for a field of its own.
func TestLongEventIsForwardedUnchanged(t *testing.T) {
	g := newTestRelayWithTimeout(t, stallTimeout)
	x := g.targets[0]
	x.EventBytes = 3000
	for _, other := range g.targets[1:] {
		other.EventBytes = x.EventBytes
	}
	got := g.body(t, "stream")
	want := ""
	for id := range x.EventCount {
		want += ": " + strings.Repeat("x", x.EventBytes-len(stand.Event(id+1, ""))) + "\n" + stand.Event(id+1, "")
	}
	assert.Equal(t, len(got), len(want))
	assert.Assert(t, got == want)
}
