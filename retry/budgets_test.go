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

// fleetBounds are those of an installation: a fifth of the requests, and 56 more, in
// any ten seconds.
var fleetBounds = retry.Bounds{Ratio: 0.2, Slack: 56, Window: 10 * time.Second}

// A service fails all that it gets. Every entry repeats every request as often as it
// may, and what is left of the service gets twice its load. The bound is over all
// entries, whatever share of the callers each has.
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
					b.Earn(now, "s")
					first[second]++
					for b.Spend(now, "s") {
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
			assert.Assert(t, sum > 0, "nothing is ever repeated")
		})
	}
}

// A fleet of the planned size starts anew while a service fails: each entry's first
// request fails, and each repeats it. What every entry may do once, 350 do at once,
// and what is left of the service gets twice its load.
func TestBudgetsOfManyEntriesThatJustStarted(t *testing.T) {
	const entries = 350
	now, repeats := time.Unix(0, 0), 0
	for range entries {
		b := &retry.Budgets{
			Bounds:  func() retry.Bounds { return fleetBounds },
			Entries: func() int { return entries },
		}
		b.Earn(now, "s")
		if b.Spend(now, "s") {
			repeats++
		}
	}
	assert.Assert(t, float64(repeats) <= 0.2*entries+56, "%d repeats", repeats)
}

// However the tries of a request end: what is not idempotent is never sent again once
// it may have run, no more targets than the route allows may run it, and "not run" is
// said only when no try may have run. A caller who is told "not run" books again.
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
