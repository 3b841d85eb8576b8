package node_test

import (
	"fmt"
	"io"
	"strings"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

// newDeadlyTargets is a store that lists six targets, which end when they run a request.
func newDeadlyTargets(t *testing.T) (*stand.Store, []*stand.Target) {
	t.Helper()
	store := stand.NewStore()
	var targets []*stand.Target
	for i := range 6 {
		x := newTarget(t, fmt.Sprint("i-", i))
		x.Deadly = &stand.Deadly{Text: "body", Step: stand.AtHead}
		targets = append(targets, x)
	}
	publish(store, 1, []string{"k"}, targets...)
	return store, targets
}

func countDead(targets []*stand.Target) int {
	n := 0
	for _, x := range targets {
		if x.Dead() {
			n++
		}
	}
	return n
}

// repeat sends the same content again, and returns the status.
func (d *direct) repeat(id string) int {
	resp, err := d.ask("/talk/stream/x", "k", id)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	return status(resp, err)
}

// TestRepeatAtAnotherEntryIsRefused guards against a caller who sends a request that ends targets again at once, to the next entry.
func TestRepeatAtAnotherEntryIsRefused(t *testing.T) {
	store, targets := newDeadlyTargets(t)
	one := startDirect(t, store)
	two := startDirect(t, store, one.settings.Peer)
	waitFor(t, func() bool {
		return strings.Contains(one.out.text(), `"peers":1`) && strings.Contains(two.out.text(), `"peers":1`)
	}, "the entries know each other")
	got := ""
	for n := range 6 {
		got += fmt.Sprint([]*direct{one, two}[n%2].repeat(fmt.Sprint("r-", n)), " ")
	}
	assert.Equal(t, got, "502 502 503 503 503 503 ", one.out.text()+two.out.text())
	assert.Equal(t, countDead(targets), 2)
}
