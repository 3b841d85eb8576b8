package board

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/gauge"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

// serviceIndex is the index of a service's targets. It is updated incrementally, so that a
// choice evaluates a few targets instead of all.
type serviceIndex struct {
	view *roster.View
	// members is indexed by slot on the ring; nil for a free slot.
	members []*indexMember
	ring    place.Ring
	// caches holds the members by cache key.
	caches map[uint32]*indexMember
	totals map[totalsKey]*domainTotals
	// individual lists the members that are not in domainTotals.
	individual []*indexMember
	// recentlySent lists the members with requests of this entry that peers might not have a
	// report of yet.
	recentlySent []*indexMember
	// choiceSeq is the number of the current choice, and viewSeq that of the current view.
	choiceSeq, viewSeq uint64
}

// indexMember is a target in the index of a service.
type indexMember struct {
	*roster.Target
	slot          int
	key, cacheKey uint32
	state         *targetState
	totals        *domainTotals
	usable        bool
	individual    bool
	recentlySent  bool
	// choiceSeq is the last choice that evaluated the member, and viewSeq the last view that
	// contains it.
	choiceSeq, viewSeq uint64
	// reading is what the choice with the number readingChoice knows of the target's load.
	reading       reading
	readingChoice uint64
	// readingUntil is the time from which the target has no fresh reading, unless a new one arrives.
	readingUntil clock.Stamp
}

// totalsKey identifies the members that are summed up together.
type totalsKey struct{ domain, build string }

// domainTotals sums up the members of one build in a failure domain that need no individual
// evaluation: usable, warm, reachable, without a binding limit of their own, and without a fresh
// report of unusual load.
type domainTotals struct {
	totalsKey
	// allowed reports whether the request of the current choice can go to the domain and build.
	allowed bool
	// members is the number of targets of the build in the domain, individual ones included.
	members int
	targets int
	running int
	slots   int
	// unlimited is the number of targets that publish no slots.
	unlimited int
}

func (d *domainTotals) add(m *indexMember, running, sign int) {
	d.targets += sign
	d.running += sign * running
	d.slots += sign * m.Slots
	if m.Slots <= 0 {
		d.unlimited += sign
	}
}

// serviceIndex returns the index of a service, updated to the view.
func (b *Board) serviceIndex(now clock.Stamp, v *roster.View, service *chestnutstep.Service) *serviceIndex {
	ix := b.indexes[service.Name]
	if ix == nil {
		ix = &serviceIndex{caches: make(map[uint32]*indexMember), totals: make(map[totalsKey]*domainTotals)}
		b.indexes[service.Name] = ix
	}
	if ix.view != v {
		ix.view = v
		b.updateIndex(now, ix, v.Services[service.Name])
	}
	return ix
}

// updateIndex updates the index to a list of targets. Members whose target is unchanged are
// kept.
func (b *Board) updateIndex(now clock.Stamp, ix *serviceIndex, list []*roster.Target) {
	ix.viewSeq++
	var joined, removed []string
	for _, t := range list {
		slot, known := ix.ring.Slot(t.ID)
		if !known {
			joined = append(joined, t.ID)
			continue
		}
		m := ix.members[slot]
		if m.Target == t && m.usable == ix.view.Usable(t) {
			m.viewSeq = ix.viewSeq
			continue
		}
		ix.remove(m, b.runningAt(m))
		b.insert(now, ix, t, slot)
	}
	for _, m := range ix.members {
		if m != nil && m.viewSeq != ix.viewSeq {
			removed = append(removed, m.ID)
			ix.remove(m, b.runningAt(m))
		}
	}
	ix.ring.Update(joined, removed)
	ix.members = append(ix.members, make([]*indexMember, ix.ring.SlotCount()-len(ix.members))...)
	for _, t := range list {
		if slot, _ := ix.ring.Slot(t.ID); ix.members[slot] == nil {
			b.insert(now, ix, t, slot)
		}
	}
}

// insert adds a target to the index.
func (b *Board) insert(now clock.Stamp, ix *serviceIndex, t *roster.Target, slot int) {
	key, s := b.instanceState(&t.Instance)
	m := &indexMember{Target: t, slot: slot, key: key, cacheKey: CacheKey(&t.Instance), state: s, usable: ix.view.Usable(t), viewSeq: ix.viewSeq}
	s.member = m
	totals := totalsKey{domain: t.Domain, build: t.Build}
	m.totals = ix.totals[totals]
	if m.totals == nil {
		m.totals = &domainTotals{totalsKey: totals}
		ix.totals[totals] = m.totals
	}
	m.totals.members++
	if b.Readings.IsActive(now) {
		m.readingUntil = now.Add(gauge.Lifetime)
	}
	ix.members[slot] = m
	ix.caches[m.cacheKey] = m
	if b.canAggregate(now, m) {
		m.totals.add(m, b.runningAt(m), 1)
	} else {
		m.individual = true
		ix.individual = append(ix.individual, m)
	}
	if s.recentSent.at(now) > 0 {
		m.recentlySent = true
		ix.recentlySent = append(ix.recentlySent, m)
	}
}

// remove removes a target from the index, except from the lists that refreshTotals prunes.
func (ix *serviceIndex) remove(m *indexMember, running int) {
	if !m.individual {
		m.totals.add(m, running, -1)
	}
	if m.totals.members--; m.totals.members == 0 {
		delete(ix.totals, m.totals.totalsKey)
	}
	m.individual, m.recentlySent = false, false
	if m.state.member == m {
		m.state.member = nil
	}
	if ix.caches[m.cacheKey] == m {
		delete(ix.caches, m.cacheKey)
	}
	ix.members[m.slot] = nil
}

// canAggregate reports whether the totals of the failure domain describe the target completely.
func (b *Board) canAggregate(now clock.Stamp, m *indexMember) bool {
	return m.usable && !b.Pauses.Tracks(pause.InstanceOf(&m.Instance)) && now >= m.ColdUntil && !m.state.health.isDown(now) && !m.state.limit.IsBinding(now) && !b.hasUnusualReading(now, m)
}

// runningAt returns the number of requests in progress at a target, from all entries.
func (b *Board) runningAt(m *indexMember) int {
	return m.state.running + int(b.peerLoads[m.key].Running)
}

// countIndividually removes a target from the totals, because it now needs individual
// evaluation.
func (b *Board) countIndividually(s *targetState) {
	m := s.member
	if m == nil || m.individual {
		return
	}
	m.totals.add(m, b.runningAt(m), -1)
	m.individual = true
	ix := b.indexes[m.Service]
	ix.individual = append(ix.individual, m)
}

// recordSent counts a request that peers might not have a report of yet.
func (b *Board) recordSent(now clock.Stamp, s *targetState) {
	s.recentSent.add(now)
	m := s.member
	if m == nil || m.recentlySent {
		return
	}
	m.recentlySent = true
	ix := b.indexes[m.Service]
	ix.recentlySent = append(ix.recentlySent, m)
}

// addRunning adds n to the number of requests in progress at the target. The course of the number is kept
// only while readings are in use.
func (b *Board) addRunning(now clock.Stamp, s *targetState, cacheKey uint32, n int) {
	if b.Readings.IsActive(now) {
		s.history.add(now, b.Readings.Get(cacheKey).At, runningChange{before: s.running, sent: s.recentSent})
	} else {
		s.history = nil
	}
	s.running += n
	s.addToTotals(n)
}

// addToTotals adds n to the running requests of the failure domain's totals.
func (s *targetState) addToTotals(n int) {
	if m := s.member; m != nil && !m.individual {
		m.totals.running += n
	}
}

// refreshTotals adds targets that no longer need individual evaluation to the totals again.
func (b *Board) refreshTotals(now clock.Stamp, ix *serviceIndex) {
	b.applyReadings(now)
	kept := ix.individual[:0]
	for _, m := range ix.individual {
		switch {
		case ix.members[m.slot] != m:
		case b.canAggregate(now, m):
			m.individual = false
			m.totals.add(m, b.runningAt(m), 1)
		default:
			kept = append(kept, m)
		}
	}
	clear(ix.individual[len(kept):])
	ix.individual = kept
	ix.pruneRecentlySent(now)
}

// pruneRecentlySent drops the targets whose recent requests peers have reports of by now.
func (ix *serviceIndex) pruneRecentlySent(now clock.Stamp) {
	kept := ix.recentlySent[:0]
	for _, m := range ix.recentlySent {
		m.recentlySent = ix.members[m.slot] == m && m.state.recentSent.at(now) > 0
		if m.recentlySent {
			kept = append(kept, m)
		}
	}
	clear(ix.recentlySent[len(kept):])
	ix.recentlySent = kept
}
