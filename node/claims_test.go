package node_test

import (
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"chestnutstep.example/chestnutstep/stand"
)

// returningCallers keeps a target of 8 slots short of them until done is set. Each caller that is refused returns as told,
// through the other entry.
func returningCallers(entries [2]*direct, done *atomic.Bool) {
	var id atomic.Int64
	try := func(d *direct, body string, remaining time.Duration) (refused bool, wait time.Duration) {
		r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallerAddr+"/book/1", strings.NewReader(body))
		if err != nil {
			return false, 0
		}
		r.Host, r.Close = "shop.example", true
		r.Header.Set("Attempt-Id", fmt.Sprint("r-", id.Add(1)))
		r.Header.Set("Credential", "k")
		r.Header.Set("Deadline-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
		resp, err := http.DefaultClient.Do(r)
		if status(resp, err) != http.StatusServiceUnavailable {
			return false, 0
		}
		seconds, _ := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
		return true, time.Duration(seconds * float64(time.Second))
	}
	for caller := range 40 {
		go func() {
			const deadline = 3 * time.Second
			for n := 0; !done.Load(); n++ {
				body, began := fmt.Sprint(caller, " ", n), time.Now()
				refused, wait := try(entries[n%2], body, deadline)
				if !refused {
					continue
				}
				time.Sleep(min(wait, 100*time.Millisecond))
				try(entries[1-n%2], body, deadline-time.Since(began))
			}
		}()
	}
}

// TestClaimIsHonouredAtAnotherEntry guards against entries that grant claims and don't know those of each other.
func TestClaimIsHonouredAtAnotherEntry(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	x.SetBehaviour(stand.Slow)
	publish(store, 1, []string{"k"}, x)
	var entries [2]*direct
	for i := range entries {
		d := &direct{storeServer: store.NewServer(), out: &blockableLog{}, done: make(chan error, 1)}
		t.Cleanup(d.storeServer.Close)
		d.settings = directSettings(t, d.storeServer.Address())
		d.settings.KeepReturns = true
		if i > 0 {
			d.settings.Seeds = []string{entries[0].settings.PeerAddr}
		}
		d.run(t, nil)
		entries[i] = d
	}
	var done atomic.Bool
	defer done.Store(true)
	returningCallers(entries, &done)
	for _, d := range entries {
		waitFor(t, func() bool {
			text := d.metrics()
			return strings.Contains(text, `relay_claims_total{result="granted",service="s"}`) && strings.Contains(text, `relay_claims_total{result="honoured",service="s"}`)
		}, "a claim is granted, and one is honoured")
	}
}

// metrics returns the text of the entry's metrics.
func (d *direct) metrics() string {
	resp, err := http.Get("http://" + d.settings.MetricsAddr + "/metrics")
	if err != nil {
		return ""
	}
	defer resp.Body.Close()
	raw, _ := io.ReadAll(resp.Body)
	return string(raw)
}
