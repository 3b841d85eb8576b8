package admit

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// cutBy is what a late first byte takes from a limit.
	cutBy = 0.9
	// cutPause is the least time between two cuts: requests that were sent before
	// the first one are late for the same reason.
	cutPause = 250 * time.Millisecond
	// near is the part of a limit from which on an answer in time proves something
	// about it.
	near = 0.8
	// steady is how long a limit stands after a cut, and doubles the time in which it
	// doubles after that: a few seconds later nothing is left of it.
	steady  = time.Second
	doubles = 2 * time.Second
)

// Limit bounds how many requests one target has in progress, those of all senders
// together, by what its callers observe.
//
// The load it answers: callers ask for more than the targets carry. A target takes
// what it is given into its queue, where each request waits behind others that will be
// late too, and late work takes the places of work that could be in time: goodput
// falls as the load rises. One notices first bytes that come after their objective at
// targets whose places are all taken. What a target runs at once is published, but
// memory, a slow host or work that is heavier than usual may let it run less: the
// limit falls while first bytes are late, and rises while they are not. The zero value
// has no limit.
type Limit struct {
	most float64
	cut  clock.Stamp
}

// At is the limit in force: at most what a target with these slots begins within the
// patience of the request, where a request holds its slot for a time.
func (l *Limit) At(now clock.Stamp, slots int, hold, patience time.Duration) float64 {
	most := Reach(slots, hold, patience)
	if l.most <= 0 {
		return most
	}
	return min(most, l.grown(now))
}

// forgotten is the age of the last cut from which on its limit says nothing: it has doubled
// a dozen times.
const forgotten = steady + 12*doubles

// Binds reports whether a cut may still bound the target below its reach.
func (l *Limit) Binds(now clock.Stamp) bool { return l.most > 0 && now.Sub(l.cut) < forgotten }

// grown is the limit some time after the last cut. Without growth a load that was heavy
// once would bound the next one, which may be of another kind.
func (l *Limit) grown(now clock.Stamp) float64 {
	age := now.Sub(l.cut) - steady
	return l.most * math.Exp2(max(age, 0).Seconds()/doubles.Seconds())
}

// Reach is how many requests a target may have so that the last of them begins within
// its patience: one behind the slots waits for as many to end as stand before it. With
// nothing measured they are taken to hold their slots as long as one may wait: a surge that
// meets an entry which has just started would else meet no bound at all. Where no slots are
// published, or no objective says how long one may wait, the target's own queue decides.
func Reach(slots int, hold, patience time.Duration) float64 {
	if slots <= 0 || patience <= 0 {
		return unbounded
	}
	if hold <= 0 {
		hold = patience
	}
	return float64(slots) * (1 + patience.Seconds()/hold.Seconds())
}

// unbounded is more than any target holds.
const unbounded = 1 << 20

// Late takes a first byte that came after its objective, at a target that had so many
// requests when it was asked. Behind as many as there are slots it had to wait for one:
// Reach knows of that, and it says nothing more. The limit never falls below least.
func (l *Limit) Late(now clock.Stamp, running float64, slots int, least float64) {
	if running < least || running >= float64(slots) || now.Sub(l.cut) < cutPause && l.cut != 0 {
		return
	}
	if l.most > 0 {
		running = min(running, l.grown(now))
	}
	l.most = max(cutBy*running, least)
	l.cut = now
}

// InTime takes a first byte that came in time: as many as the limit raise it by one.
func (l *Limit) InTime(running float64) {
	if l.most > 0 && running >= near*l.most {
		l.most += 1 / l.most
	}
}
