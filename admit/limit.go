package admit

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// cutRatio is the factor by which a late first byte reduces a limit.
	cutRatio = 0.9
	// minCutInterval is the minimum time between two cuts: requests sent before the first cut are
	// late for the same reason.
	minCutInterval = 250 * time.Millisecond
	// nearLimitRatio is the part of a limit from which an answer in time is evidence that the limit
	// can grow.
	nearLimitRatio = 0.8
	// growthDelay is how long a limit stays unchanged after a cut. doublingTime is the time in
	// which it doubles after that, so that a cut has no effect after a few seconds.
	growthDelay  = time.Second
	doublingTime = 2 * time.Second
)

// AdaptiveLimit limits the requests in progress at one target, those of all entries together, based
// on observed latencies.
//
// It protects goodput when the demand exceeds the capacity of the targets. Otherwise a target
// queues everything that it receives, each request waits for others that are late as well, and late
// requests take the places of those that could be in time. The symptom is first bytes after their
// objective at targets whose places are all used. The number of slots is published, but memory, a
// slow host or unusually heavy requests can reduce what a target can run: the limit falls while
// first bytes are late and rises while they are in time. The zero value has no limit.
type AdaptiveLimit struct {
	limit float64
	cutAt clock.Stamp
}

// At returns the current limit. It is at most the number of requests that a target with these slots
// can start within patience, if each request occupies a slot for hold.
func (l *AdaptiveLimit) At(now clock.Stamp, slots int, hold, patience time.Duration) float64 {
	capacity := Capacity(slots, hold, patience)
	if l.limit <= 0 {
		return capacity
	}
	return min(capacity, l.grownLimit(now))
}

// cutTTL is the age at which a cut has no effect any more: the limit has doubled twelve times.
const cutTTL = growthDelay + 12*doublingTime

// IsBinding reports whether a cut can still reduce the limit below Capacity.
func (l *AdaptiveLimit) IsBinding(now clock.Stamp) bool {
	return l.limit > 0 && now.Sub(l.cutAt) < cutTTL
}

// grownLimit returns the limit after its growth since the last cut. Without growth, one period of
// heavy load would limit the next one, whose requests may be of another kind.
func (l *AdaptiveLimit) grownLimit(now clock.Stamp) float64 {
	age := now.Sub(l.cutAt) - growthDelay
	return l.limit * math.Exp2(max(age, 0).Seconds()/doublingTime.Seconds())
}

// Capacity returns the number of requests a target may have so that the last one starts within
// patience. A request beyond the slots waits until enough earlier ones have ended. If hold is 0
// because nothing has been measured, it is assumed to equal patience; otherwise a surge at an entry
// that has just started would not be limited at all. Without published slots or without an
// objective, the target's own queue decides.
func Capacity(slots int, hold, patience time.Duration) float64 {
	if slots <= 0 || patience <= 0 {
		return unbounded
	}
	if hold <= 0 {
		hold = patience
	}
	return float64(slots) * (1 + patience.Seconds()/hold.Seconds())
}

// unbounded is more than any target can have.
const unbounded = 1 << 20

// RecordLate records a first byte after its objective. running is the number of requests at the
// target when this one was sent. If it is at least slots, the request had to wait for a slot, which
// Capacity already accounts for, and the limit stays. The limit never falls below minLimit.
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

// RecordRejected records that a target asked for a pause that ends at until, with running requests, the
// rejected one included. Unlike a late first byte that is evidence also above the slots: the target says
// that it takes no more. The limit grows again some time after the pause.
func (l *AdaptiveLimit) RecordRejected(now, until clock.Stamp, running, minLimit float64) {
	if now < l.cutAt {
		return // rejected in a pause that has already reduced the limit
	}
	if l.limit > 0 {
		running = min(running, l.grownLimit(now))
	}
	l.limit = max(cutRatio*(running-1), minLimit)
	l.cutAt = max(until, now)
}

// RecordInTime records a first byte in time. Each one that was sent near the limit raises the limit
// by 1/limit.
func (l *AdaptiveLimit) RecordInTime(running float64) {
	if l.limit > 0 && running >= nearLimitRatio*l.limit {
		l.limit += 1 / l.limit
	}
}
