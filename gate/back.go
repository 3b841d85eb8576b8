package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// predict estimates the wait of new work: for the next slot to fall free, and
// for what the queue serves before it.
func (g *Gate) predict(w chestnutstep.Work) time.Duration {
	n := max(1, len(g.running))
	slot := g.pace.Mean() / time.Duration(n)
	return slot + g.pace.Estimate(g.queue.Ahead(w))/time.Duration(n)
}

const (
	// soonest is the least time after which a refused caller comes back: below
	// it, repeats of refused work would cost more than the work.
	soonest = 250 * time.Millisecond
	// latest is the most: a longer pause than this outlasts most surges.
	latest = 30 * time.Second
	// settle is when to come back to a target that is out or leaving. It isn't
	// the target that will serve the caller; by then entries know better ones.
	settle = time.Second
)

// comeBack is when a refused caller may find room: when all that waits now has
// started, judged by what work has taken here.
func (g *Gate) comeBack(now time.Time, reason chestnutstep.Reason) time.Duration {
	switch reason {
	case chestnutstep.ReasonOut, chestnutstep.ReasonLeaving:
		return settle
	case chestnutstep.ReasonSuspect:
		return min(latest, max(soonest, g.turn.opens(now)))
	}
	n := max(1, len(g.running))
	drain := g.pace.Mean() * time.Duration(g.queue.Len()+1) / time.Duration(n)
	return min(latest, max(soonest, drain))
}
