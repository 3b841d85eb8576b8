package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/stand"
)

// newDeadlyTargets returns a store that lists six targets, each of which ends when it runs a
// request with the deadly text.
func newDeadlyTargets(t *testing.T) (*stand.Store, []*stand.Target) {
	t.Helper()
	store := stand.NewStore()
	var targets []*stand.Target
	for i := range 6 {
		x := newTarget(t, fmt.Sprint("i-", i))
		x.KillRule = &stand.KillRule{Text: "body", Step: stand.AtHead}
		targets = append(targets, x)
	}
	publish(store, 1, []string{"k"}, targets...)
	return store, targets
}

func countEndedTargets(targets []*stand.Target) int {
	n := 0
	for _, x := range targets {
		if x.IsDead() {
			n++
		}
	}
	return n
}

// repeat sends the deadly content in a new attempt and returns the status.
func (d *direct) repeat(id string) int {
	resp, err := d.post("/talk/stream/x", "k", id)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	return status(resp, err)
}

// sendNewPrompt sends a request with a unique prompt, which causes an event for the peers.
func (d *direct) sendNewPrompt(t *testing.T, n int) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallerAddr+"/look/x", strings.NewReader("harmless"))
	assert.NilError(t, err)
	r.Host = "shop.example"
	r.Header.Set("Attempt-Id", fmt.Sprint("read-", n))
	r.Header.Set("Credential", "k")
	r.Header.Set("Prefix-Hash", fmt.Sprintf("%x:10,ff:1", 1000+n))
	assert.Equal(t, status(http.DefaultClient.Do(r)), http.StatusOK)
}

// TestRepeatAtAnotherEntryIsRefused guards against a request that ends two targets at each entry
// that receives it.
func TestRepeatAtAnotherEntryIsRefused(t *testing.T) {
	store, targets := newDeadlyTargets(t)
	one := startDirect(t, store)
	two := startDirect(t, store, one.settings.PeerAddr)
	waitFor(t, func() bool {
		return strings.Contains(one.out.text(), `"peers":1`) && strings.Contains(two.out.text(), `"peers":1`)
	}, "the entries have found each other")
	got := ""
	for n := range 6 {
		got += fmt.Sprint([]*direct{one, two}[n%2].repeat(fmt.Sprint("r-", n)), " ")
		for _, d := range []*direct{one, two} {
			waitFor(t, func() bool { return strings.Count(d.out.text(), "crash_noted") >= countEndedTargets(targets) }, "the entry has recorded all crashes")
		}
	}
	assert.Equal(t, got, "502 502 503 503 503 503 ", one.out.text()+two.out.text())
	assert.Equal(t, countEndedTargets(targets), 2)
}

// TestEntryThatStartsRefusesDeadlyContent guards against a replaced entry that ends another target
// because it has no record of the crashes before its start.
func TestEntryThatStartsRefusesDeadlyContent(t *testing.T) {
	store, targets := newDeadlyTargets(t)
	one := startDirect(t, store)
	for n := range 3 {
		one.repeat(fmt.Sprint("r-", n))
	}
	assert.Equal(t, countEndedTargets(targets), 2)
	for n := range 100 {
		one.sendNewPrompt(t, n)
	}
	late := startDirect(t, store, one.settings.PeerAddr)
	waitFor(t, func() bool { return strings.Contains(late.out.text(), "crash_noted") }, "the new entry has recorded the crashes")
	assert.Equal(t, late.repeat("late"), http.StatusServiceUnavailable)
	assert.Equal(t, countEndedTargets(targets), 2)
}

// apart is a time after which targets that end don't count as ended together.
const apart = 100 * time.Millisecond

// sendDeadlyPart sends a request that has the deadly part in common with others, and nothing else.
func (d *direct) sendDeadlyPart(t *testing.T, n int) int {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallerAddr+"/talk/stream/x", strings.NewReader(fmt.Sprint("body ", n)))
	assert.NilError(t, err)
	r.Host, r.Close = "shop.example", true
	r.Header.Set("Attempt-Id", fmt.Sprint("part-", n))
	r.Header.Set("Credential", "k")
	r.Header.Set("Deadline-Ms", "3000")
	r.Header.Set("Prefix-Hash", fmt.Sprintf("c0:10,bad:20,%x:1", 1000+n))
	resp, err := http.DefaultClient.Do(r)
	if err == nil {
		_, _ = io.Copy(io.Discard, resp.Body)
	}
	return status(resp, err)
}

// TestEntryThatStartsRefusesDeadlyPart guards against a part of the prompts that ends three targets
// at each entry: one that serves beside the first, and one that starts later.
func TestEntryThatStartsRefusesDeadlyPart(t *testing.T) {
	store, targets := newDeadlyTargets(t)
	for _, x := range targets {
		x.KillRule = &stand.KillRule{Parts: []string{"bad"}, Step: stand.AtHead}
	}
	one := startDirect(t, store)
	beside := startDirect(t, store, one.settings.PeerAddr)
	waitFor(t, func() bool {
		return strings.Contains(one.out.text(), `"peers":1`) && strings.Contains(beside.out.text(), `"peers":1`)
	}, "the entries have found each other")
	for n := range 3 {
		assert.Equal(t, one.sendDeadlyPart(t, n), http.StatusBadGateway)
		time.Sleep(apart)
	}
	waitFor(t, func() bool { return strings.Contains(beside.out.text(), `"losses":3`) }, "the other entry knows of three ends")
	assert.Equal(t, one.sendDeadlyPart(t, 3), http.StatusServiceUnavailable)
	assert.Equal(t, beside.sendDeadlyPart(t, 4), http.StatusServiceUnavailable)
	late := startDirect(t, store, one.settings.PeerAddr)
	waitFor(t, func() bool { return strings.Contains(late.out.text(), `"losses":3`) }, "the new entry knows of three ends")
	assert.Equal(t, late.sendDeadlyPart(t, 5), http.StatusServiceUnavailable)
	assert.Equal(t, countEndedTargets(targets), 3)
}
