package gate

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
)

// pace is how long work holds a slot of this target, as measured.
type pace struct {
	seconds float64
	cost    float64
	known   bool
}

// smooth is the weight of one more measurement in the moving averages: the
// last ten or so count. Fewer would follow every long plan, more would keep
// refusing for a slow target long after it has recovered.
const smooth = 0.1

// measure takes what one request took, however it ended: one that was cancelled
// freed its slot as much as one that was answered, and most are cancelled.
func (p *pace) measure(took time.Duration, cost float64) {
	s := max(0, took.Seconds())
	if !p.known {
		p.seconds, p.cost, p.known = s, max(cost, 1), true
		return
	}
	p.seconds += smooth * (s - p.seconds)
	p.cost += smooth * (max(cost, 1) - p.cost)
}

// run is how long work of a cost holds a slot; 0 while nothing is measured.
func (p *pace) run(cost float64) time.Duration {
	if !p.known {
		return 0
	}
	return seconds(p.seconds / p.cost * cost)
}

// mean is how long the average request holds a slot.
func (p *pace) mean() time.Duration { return seconds(p.seconds) }

// longest bounds every estimate: past an hour there is no difference to a
// caller, and sums of such durations must not overflow.
const longest = time.Hour

func seconds(s float64) time.Duration {
	if s >= longest.Seconds() {
		return longest
	}
	return time.Duration(s * float64(time.Second))
}

// predict estimates the wait of new work: for the next slot to fall free, and
// for what the queue serves before it.
func (g *Gate) predict(w chestnutstep.Work) time.Duration {
	n := max(1, len(g.running))
	slot := g.pace.mean() / time.Duration(n)
	return slot + g.pace.run(g.queue.Ahead(w))/time.Duration(n)
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
	drain := g.pace.mean() * time.Duration(g.queue.Len()+1) / time.Duration(n)
	return min(latest, max(soonest, drain))
}

// spread stretches a pause by up to its own length, by the hash of the id.
// Callers that were refused in one second would otherwise return in one second,
// be refused together again, and so on. A hash spreads as well as a random
// number and gives the same answer each time.
func spread(id string, d time.Duration) time.Duration {
	const steps = 1024
	return d + d/steps*time.Duration(xxhash.Sum64String(id)%steps)
}
