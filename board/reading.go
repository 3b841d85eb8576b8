package board

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/gauge"
)

const (
	// unusualSlowdown is the difference from the usual speed from which a target is evaluated
	// individually. A smaller one is left out of the totals, which changes the places of a target by up to
	// 5%: less than one at up to 20 places, several at an engine. Deployments report 1 or 2.5; the weight
	// brings the latter below it in the last 20 ms.
	unusualSlowdown = 0.05
	// unusualLoadRatio is the part of a target's slots by which the reported load can differ from
	// the counted one without an individual evaluation.
	unusualLoadRatio = 0.125
	// historyStep is the time within which changes of the number of requests at a target are merged. It
	// bounds the history to 31 entries over gauge.Lifetime; a limit on the number of changes would not
	// cover that time at a target with many requests.
	historyStep = 20 * time.Millisecond
)

// reading is what is known about the load of a target now.
type reading struct {
	// running is the estimated number of requests in progress at the target, those that wait for
	// a slot included, and waiting that of the latter.
	running, waiting float64
	// slowdown is the expected slowdown; 1 if unknown.
	slowdown float64
	// weight is the weight of the target's own report; 0 if there is none.
	weight float64
	// recentSent is the number of this entry's own requests that neither the reports of peers nor that
	// of the target might count.
	recentSent float64
}

// reading returns what is known about the load of a target. During a choice it is determined once.
func (b *Board) reading(now clock.Stamp, m *indexMember) reading {
	if b.currentChoice == 0 || !b.Readings.IsActive(now) {
		return b.readingOf(now, m.state, m.key, m.cacheKey, m.Slots)
	}
	if m.readingChoice != b.currentChoice {
		m.reading, m.readingChoice = b.readingOf(now, m.state, m.key, m.cacheKey, m.Slots), b.currentChoice
	}
	return m.reading
}

// startChoice begins a choice, during which the readings of targets stay the same.
func (b *Board) startChoice() {
	b.choices++
	b.currentChoice = b.choices
}

// endChoice ends the choice.
func (b *Board) endChoice() { b.currentChoice = 0 }

// readingOf estimates the load of a target from what it reported about itself, and from what this
// entry and its peers count. A report is exact but ages within a second; it is carried on by the
// change of this entry's own requests. Reports of peers can be older than that. A report that a target
// with these slots can't make is ignored: a peer passes on no slots.
func (b *Board) readingOf(now clock.Stamp, s *targetState, key, cacheKey uint32, slots int) reading {
	counted := float64(s.running + int(b.peerLoads[key].Running))
	if !b.Readings.IsActive(now) {
		return reading{running: counted, slowdown: 1, recentSent: s.recentSent.at(now)}
	}
	r := b.Readings.Get(cacheKey)
	w := r.Weight(now)
	if w <= 0 || !r.IsPlausible(slots) {
		return reading{running: counted, slowdown: 1, recentSent: s.recentSent.at(now)}
	}
	then := s.history.at(r.At, runningChange{before: s.running, sent: s.recentSent})
	others := max(r.Running+r.Waiting-then.before, 0)
	reported := float64(others + s.running)
	return reading{
		running:  max(w*reported+(1-w)*counted, float64(s.running)),
		waiting:  w * float64(r.Waiting),
		slowdown: r.ExpectedSlowdown(w),
		weight:   w,
		// The target counted what was sent before its report; the rest of the weight is for reports of
		// peers, which might not count it.
		recentSent: max(s.recentSent.at(now)-w*then.sent.at(now), 0),
	}
}

// hasUnusualReading reports whether a target reported a load that the totals of its failure domain do
// not describe.
func (b *Board) hasUnusualReading(now clock.Stamp, m *indexMember) bool {
	r := b.reading(now, m)
	counted := float64(b.runningAt(m))
	slots := float64(m.Slots)
	if m.Slots <= 0 { // it has no limit: the count matters only for the mean
		slots = max(counted, 1/unusualLoadRatio)
	}
	return math.Abs(r.slowdown-1) > unusualSlowdown || r.waiting > 0 || math.Abs(r.running-counted) > unusualLoadRatio*slots
}

// applyReadings counts the targets individually that reported an unusual load since the last call.
func (b *Board) applyReadings(now clock.Stamp) {
	for _, key := range b.Readings.TakeChanged() {
		for _, ix := range b.indexes {
			m := ix.caches[key]
			if m == nil {
				continue
			}
			m.readingUntil = now.Add(gauge.Lifetime)
			if !m.individual && b.hasUnusualReading(now, m) {
				b.countIndividually(m.state)
			}
		}
	}
}

// holdTime returns how long a request is expected to take at a target. Without a measured time it is the
// patience, as in admit.Capacity. A target that reports to be faster than usual gets no higher limit: if
// the report is wrong, its requests are late.
func (l *lookup) holdTime(slowdown float64) time.Duration {
	hold := l.serviceTime
	if hold <= 0 {
		hold = l.patience
	}
	return time.Duration(float64(hold) * max(slowdown, 1))
}

// runningHistory holds the changes of the number of this entry's own requests at a target since its
// newest reading, oldest first. Changes within a historyStep are merged.
type runningHistory []runningChange

// runningChange states the number of requests before the changes of a step, and those sent recently.
type runningChange struct {
	at     clock.Stamp
	before int
	sent   decayingCounter
}

// add records that the number changes now. Earlier changes than the newest reading are not needed: each
// reading that replaces it is newer.
func (h *runningHistory) add(now, readingAt clock.Stamp, c runningChange) {
	list, old := *h, 0
	for old < len(list) && (list[old].at <= readingAt || now.Sub(list[old].at) > gauge.Lifetime) {
		old++
	}
	list = append(list[:0], list[old:]...)
	if n := len(list); n == 0 || now.Sub(list[n-1].at) >= historyStep {
		c.at = now
		list = append(list, c)
	}
	*h = list
}

// at returns the state at a time within the history; c is the state now.
func (h runningHistory) at(t clock.Stamp, c runningChange) runningChange {
	for _, x := range h {
		if x.at > t {
			return x
		}
	}
	return c
}
