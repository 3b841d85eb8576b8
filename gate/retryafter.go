package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// predictWait estimates how long new work waits: for the next free slot, and for the queued
// work that is served before it.
func (g *Gate) predictWait(w chestnutstep.Work) time.Duration {
	n := max(1, len(g.running))
	slotWait := g.durations.Mean() / time.Duration(n)
	return slotWait + g.durations.Estimate(g.queue.CostAhead(w))/time.Duration(n)
}

const (
	// minRetryAfter is the shortest retry delay of rejected work: with a shorter one, the
	// retries would cost more than the work.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is the longest retry delay; most surges are over by then.
	maxRetryAfter = 30 * time.Second
	// leavingRetryAfter is the retry delay at a target that is out or leaving. Another target
	// will serve the caller; by then entries have a newer list of targets.
	leavingRetryAfter = time.Second
)

// retryAfter estimates when a rejected request can be accepted: when all waiting work has
// started, according to the recent durations at this target.
func (g *Gate) retryAfter(now time.Time, reason chestnutstep.Reason) time.Duration {
	switch reason {
	case chestnutstep.ReasonOut, chestnutstep.ReasonLeaving:
		return leavingRetryAfter
	case chestnutstep.ReasonSuspect:
		return min(maxRetryAfter, max(minRetryAfter, g.suspect.availableIn(now)))
	}
	n := max(1, len(g.running))
	drain := g.durations.Mean() * time.Duration(g.queue.Len()+1) / time.Duration(n)
	return min(maxRetryAfter, max(minRetryAfter, drain))
}
