package retry_test

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/retry"
)

// fleetBounds are the limits of a typical installation: a fifth of the requests plus 56 in any ten
// seconds.
var fleetBounds = retry.Bounds{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// TestBudgetsOverAllEntries guards against retries that double the load when a service fails all
// requests. The limit must hold for all entries together, regardless of how the callers are
// distributed over them.
func TestBudgetsOverAllEntries(t *testing.T) {
	for _, entries := range []int{1, 5, 24} {
		t.Run(fmt.Sprint(entries), func(t *testing.T) {
			list := make([]*retry.Budgets, entries)
			for i := range list {
				list[i] = &retry.Budgets{
					Bounds:  func() retry.Bounds { return fleetBounds },
					Entries: func() int { return entries },
				}
			}
			now := time.Unix(0, 0)
			first, repeated := make([]int, 40), make([]int, 40)
			for second := range 40 {
				for n := range 100 {
					b := list[n*n%entries]
					b.Deposit(now, "s")
					first[second]++
					for b.TryWithdraw(now, "s") {
						repeated[second]++
					}
					now = now.Add(10 * time.Millisecond)
				}
			}
			sum := 0
			for second := range 30 {
				sent, repeats := 0, 0
				for k := second; k < second+10; k++ {
					sent, repeats = sent+first[k], repeats+repeated[k]
				}
				sum += repeats
				assert.Assert(t, float64(repeats) <= 0.2*float64(sent)+56, "%d repeats of %d", repeats, sent)
			}
			assert.Assert(t, sum > 0, "no request was retried")
		})
	}
}

// TestBudgetsOfManyEntriesThatJustStarted guards against a burst of retries when 350 entries start
// while a service fails. If each entry had one initial retry, the remaining targets would receive
// twice their load.
func TestBudgetsOfManyEntriesThatJustStarted(t *testing.T) {
	const entries = 350
	now, repeats := time.Unix(0, 0), 0
	for range entries {
		b := &retry.Budgets{
			Bounds:  func() retry.Bounds { return fleetBounds },
			Entries: func() int { return entries },
		}
		b.Deposit(now, "s")
		if b.TryWithdraw(now, "s") {
			repeats++
		}
	}
	assert.Assert(t, float64(repeats) <= 0.2*entries+56, "%d repeats", repeats)
}

// TestAttempts guards against three faults, for any sequence of results: a request that is not
// idempotent is sent again although it may have run, more targets run a request than the route
// allows, or "not run" is reported although an attempt may have run. A caller who receives a wrong
// "not run" books twice.
func TestAttempts(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var attempts retry.Attempts
		idempotent := rapid.Bool().Draw(t, "idempotent")
		maxAttempts := rapid.IntRange(1, 4).Draw(t, "most")
		ran := 0
		for range 20 {
			run := rapid.SampledFrom([]chestnutstep.RunStatus{chestnutstep.RunNo, chestnutstep.RunMaybe, chestnutstep.RunYes}).Draw(t, "run")
			if rapid.Bool().Draw(t, "unreached") {
				attempts.Unreached++
			} else {
				attempts.Record(run)
				if run != chestnutstep.RunNo {
					ran++
				}
			}
			if !attempts.CanRetry(idempotent, maxAttempts) {
				break
			}
		}
		if attempts.NotRun() != (ran == 0) {
			t.Fatalf("not run is %v, and %d may have run", attempts.NotRun(), ran)
		}
		if ran > maxAttempts || !idempotent && ran > 1 {
			t.Fatalf("%d may have run, %d allowed", ran, maxAttempts)
		}
		if attempts.Unreached > 6 {
			t.Fatalf("%d targets tried that can't be reached", attempts.Unreached)
		}
	})
}
