package board

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

// group is the index of a service's targets. It is kept up to date by what changes them, so
// that a choice looks at a few of them instead of all.
type group struct {
	view *roster.View
	// members are by their slot on the ring; nil for a slot that is free.
	members []*member
	ring    place.Ring
	// caches finds members by the key of their cache.
	caches map[uint32]*member
	areas  map[string]*area
	// apart are the members that the areas don't sum up.
	apart []*member
	// recent are those that got requests of this entry that peers may not know of.
	recent []*member
	// turn numbers the choices, and change the changes of the view.
	turn, change uint64
}

// member is a target of a group.
type member struct {
	*roster.Target
	slot       int
	key, cache uint32
	state      *state
	area       *area
	usable     bool
	apart      bool
	recent     bool
	// turn is the last choice that has looked at it, and change the last view that has it.
	turn, change uint64
}

// area sums up the usual members of a failure domain: usable, warm, reachable, and without a
// limit of their own.
type area struct {
	domain string
	// open reports whether the request of the present choice may go there.
	open    bool
	targets int
	running int
	slots   int
	// unlimited are those that publish no slots.
	unlimited int
}

func (a *area) add(m *member, running, sign int) {
	a.targets += sign
	a.running += sign * running
	a.slots += sign * m.Slots
	if m.Slots <= 0 {
		a.unlimited += sign
	}
}

// group returns the index of a service for a view.
func (b *Board) group(now clock.Stamp, v *roster.View, service *chestnutstep.Service) *group {
	g := b.groups[service.Name]
	if g == nil {
		g = &group{caches: make(map[uint32]*member), areas: make(map[string]*area)}
		b.groups[service.Name] = g
	}
	if g.view != v {
		g.view = v
		b.follow(now, g, v.Services[service.Name])
	}
	return g
}

// follow brings the index up to a list of targets. What is known of those that are as they were
// is not worked out anew.
func (b *Board) follow(now clock.Stamp, g *group, list []*roster.Target) {
	g.change++
	var join, left []string
	for _, t := range list {
		slot, known := g.ring.Slot(t.ID)
		if !known {
			join = append(join, t.ID)
			continue
		}
		m := g.members[slot]
		if m.Target == t && m.usable == g.view.Usable(t) {
			m.change = g.change
			continue
		}
		g.remove(m, b.runningAt(m))
		b.insert(now, g, t, slot)
	}
	for _, m := range g.members {
		if m != nil && m.change != g.change {
			left = append(left, m.ID)
			g.remove(m, b.runningAt(m))
		}
	}
	g.ring.Change(join, left)
	g.members = append(g.members, make([]*member, g.ring.Slots()-len(g.members))...)
	for _, t := range list {
		if slot, _ := g.ring.Slot(t.ID); g.members[slot] == nil {
			b.insert(now, g, t, slot)
		}
	}
}

// insert puts a target into the index.
func (b *Board) insert(now clock.Stamp, g *group, t *roster.Target, slot int) {
	key, s := b.instance(&t.Instance)
	m := &member{Target: t, slot: slot, key: key, cache: Key(&t.Instance), state: s, usable: g.view.Usable(t), change: g.change}
	s.member = m
	m.area = g.areas[t.Domain]
	if m.area == nil {
		m.area = &area{domain: t.Domain}
		g.areas[t.Domain] = m.area
	}
	g.members[slot] = m
	g.caches[m.cache] = m
	if m.isUsual(now) {
		m.area.add(m, b.runningAt(m), 1)
	} else {
		m.apart = true
		g.apart = append(g.apart, m)
	}
	if s.sent.at(now) > 0 {
		m.recent = true
		g.recent = append(g.recent, m)
	}
}

// remove takes a target out of the index, but for the lists that settle looks through.
func (g *group) remove(m *member, running int) {
	if !m.apart {
		m.area.add(m, running, -1)
	}
	m.apart, m.recent = false, false
	if m.state.member == m {
		m.state.member = nil
	}
	if g.caches[m.cache] == m {
		delete(g.caches, m.cache)
	}
	g.members[m.slot] = nil
}

// isUsual reports whether the sums of the failure domain say all of the target.
func (m *member) isUsual(now clock.Stamp) bool {
	return m.usable && now >= m.ColdUntil && !m.state.health.down(now) && !m.state.limit.IsBinding(now)
}

// runningAt is the number of requests in progress at a target, of all entries.
func (b *Board) runningAt(m *member) int { return m.state.running + int(b.sums[m.key].Running) }

// setApart takes a target out of the sums: more has to be known of it than they say.
func (b *Board) setApart(s *state) {
	m := s.member
	if m == nil || m.apart {
		return
	}
	m.area.add(m, b.runningAt(m), -1)
	m.apart = true
	g := b.groups[m.Service]
	g.apart = append(g.apart, m)
}

// addSent counts a request that peers may not know of.
func (b *Board) addSent(now clock.Stamp, s *state) {
	s.sent.add(now)
	m := s.member
	if m == nil || m.recent {
		return
	}
	m.recent = true
	g := b.groups[m.Service]
	g.recent = append(g.recent, m)
}

// addRunning counts requests that began at a target, or ended.
func (s *state) addRunning(n int) {
	s.running += n
	s.addToArea(n)
}

// addToArea keeps the sums of the failure domain.
func (s *state) addToArea(n int) {
	if m := s.member; m != nil && !m.apart {
		m.area.running += n
	}
}

// settle puts targets that have become usual back into the sums.
func (b *Board) settle(now clock.Stamp, g *group) {
	kept := g.apart[:0]
	for _, m := range g.apart {
		switch {
		case g.members[m.slot] != m:
		case m.isUsual(now):
			m.apart = false
			m.area.add(m, b.runningAt(m), 1)
		default:
			kept = append(kept, m)
		}
	}
	clear(g.apart[len(kept):])
	g.apart = kept
	g.forgetSent(now)
}

// forgetSent drops the targets whose last requests peers know of by now.
func (g *group) forgetSent(now clock.Stamp) {
	kept := g.recent[:0]
	for _, m := range g.recent {
		m.recent = g.members[m.slot] == m && m.state.sent.at(now) > 0
		if m.recent {
			kept = append(kept, m)
		}
	}
	clear(g.recent[len(kept):])
	g.recent = kept
}
