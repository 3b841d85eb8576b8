package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// predictWait estimates the wait of new work: for the next slot to fall free, and
// for what the queue serves before it.
func (g *Gate) predictWait(w chestnutstep.Work) time.Duration {
	n := max(1, len(g.running))
	slotWait := g.pace.Mean() / time.Duration(n)
	return slotWait + g.pace.Estimate(g.queue.CostAhead(w))/time.Duration(n)
}

const (
	// minRetryAfter is the least time after which a refused caller comes back: below
	// it, repeats of refused work would cost more than the work.
	minRetryAfter = 250 * time.Millisecond
	// maxRetryAfter is the most: a longer pause than this outlasts most surges.
	maxRetryAfter = 30 * time.Second
	// leavingRetryAfter is when to come back to a target that is out or leaving. It isn't
	// the target that will serve the caller; by then entries know better ones.
	leavingRetryAfter = time.Second
)

// retryAfter is when a refused caller may find room: when all that waits now has
// started, judged by what work has taken here.
func (g *Gate) retryAfter(now time.Time, reason chestnutstep.Reason) time.Duration {
	switch reason {
	case chestnutstep.ReasonOut, chestnutstep.ReasonLeaving:
		return leavingRetryAfter
	case chestnutstep.ReasonSuspect:
		return min(maxRetryAfter, max(minRetryAfter, g.suspect.availableIn(now)))
	}
	n := max(1, len(g.running))
	drain := g.pace.Mean() * time.Duration(g.queue.Len()+1) / time.Duration(n)
	return min(maxRetryAfter, max(minRetryAfter, drain))
}
