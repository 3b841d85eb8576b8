package admit

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// cutRatio is what a late first byte takes from a limit.
	cutRatio = 0.9
	// minCutInterval is the least time between two cuts: requests that were sent before
	// the first one are late for the same reason.
	minCutInterval = 250 * time.Millisecond
	// nearLimitRatio is the part of a limit from which on an answer in time proves something
	// about it.
	nearLimitRatio = 0.8
	// growthDelay is how long a limit stands after a cut, and doubles the time in which it
	// doubles after that: a few seconds later nothing is left of it.
	growthDelay  = time.Second
	doublingTime = 2 * time.Second
)

// AdaptiveLimit bounds how many requests one target has in progress, those of all senders
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
type AdaptiveLimit struct {
	limit float64
	cutAt clock.Stamp
}

// At is the limit in force: at most what a target with these slots begins within the
// patience of the request, where a request holds its slot for a time.
func (l *AdaptiveLimit) At(now clock.Stamp, slots int, hold, patience time.Duration) float64 {
	capacity := Capacity(slots, hold, patience)
	if l.limit <= 0 {
		return capacity
	}
	return min(capacity, l.grownLimit(now))
}

// cutTTL is the age of the last cut from which on its limit says nothing: it has doubled
// a dozen times.
const cutTTL = growthDelay + 12*doublingTime

// IsBinding reports whether a cut may still bound the target below its reach.
func (l *AdaptiveLimit) IsBinding(now clock.Stamp) bool {
	return l.limit > 0 && now.Sub(l.cutAt) < cutTTL
}

// grownLimit is the limit some time after the last cut. Without growth a load that was heavy
// once would bound the next one, which may be of another kind.
func (l *AdaptiveLimit) grownLimit(now clock.Stamp) float64 {
	age := now.Sub(l.cutAt) - growthDelay
	return l.limit * math.Exp2(max(age, 0).Seconds()/doublingTime.Seconds())
}

// Capacity is how many requests a target may have so that the last of them begins within
// its patience: one behind the slots waits for as many to end as stand before it. With
// nothing measured they are taken to hold their slots as long as one may wait: a surge that
// meets an entry which has just started would else meet no bound at all. Where no slots are
// published, or no objective says how long one may wait, the target's own queue decides.
func Capacity(slots int, hold, patience time.Duration) float64 {
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

// RecordLate takes a first byte that came after its objective, at a target that had so many
// requests when it was asked. Behind as many as there are slots it had to wait for one:
// Reach knows of that, and it says nothing more. The limit never falls below least.
func (l *AdaptiveLimit) RecordLate(now clock.Stamp, running float64, slots int, minLimit float64) {
	if running < minLimit || running >= float64(slots) || now.Sub(l.cutAt) < minCutInterval && l.cutAt != 0 {
		return
	}
	if l.limit > 0 {
		running = min(running, l.grownLimit(now))
	}
	l.limit = max(cutRatio*running, minLimit)
	l.cutAt = now
}

// RecordInTime takes a first byte that came in time: as many as the limit raise it by one.
func (l *AdaptiveLimit) RecordInTime(running float64) {
	if l.limit > 0 && running >= nearLimitRatio*l.limit {
		l.limit += 1 / l.limit
	}
}
