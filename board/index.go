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
	members []*member
	ring    *place.Ring
	// caches finds members by the key of their cache.
	caches map[uint32]*member
	areas  map[string]*area
	// apart are the members that the areas don't sum up.
	apart []*member
	// recent are those that got requests of this entry that peers may not know of.
	recent []*member
	// turn numbers the choices.
	turn uint64
}

// member is a target of a group.
type member struct {
	*roster.Target
	key, cache uint32
	state      *state
	area       *area
	usable     bool
	apart      bool
	recent     bool
	// turn is the last choice that has looked at it.
	turn uint64
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
	if b.view != v {
		b.view = v
		b.former, b.groups = b.groups, make(map[string]*group, len(v.Services))
	}
	g := b.groups[service.Name]
	if g == nil {
		g = b.newGroup(now, v, service)
		b.groups[service.Name] = g
	}
	return g
}

func (b *Board) newGroup(now clock.Stamp, v *roster.View, service *chestnutstep.Service) *group {
	list := v.Services[service.Name]
	g := &group{
		members: make([]*member, 0, len(list)),
		caches:  make(map[uint32]*member, len(list)),
		areas:   make(map[string]*area),
	}
	for _, t := range list {
		key, s := b.instance(&t.Instance)
		m := &member{Target: t, key: key, cache: Key(&t.Instance), state: s, usable: v.Usable(t)}
		s.member = m
		m.area = g.areas[t.Domain]
		if m.area == nil {
			m.area = &area{domain: t.Domain}
			g.areas[t.Domain] = m.area
		}
		g.members = append(g.members, m)
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
	g.ring = b.formerRing(service.Name, g)
	return g
}

// formerRing returns the ring of the last view, if the targets are still the same.
func (b *Board) formerRing(service string, g *group) *place.Ring {
	f := b.former[service]
	delete(b.former, service)
	same := f != nil && len(f.members) == len(g.members)
	ids := make([]string, len(g.members))
	for i, m := range g.members {
		ids[i] = m.ID
		same = same && f.members[i].ID == m.ID
	}
	if same {
		return f.ring
	}
	return place.NewRing(ids)
}

// isUsual reports whether the sums of the failure domain say all of the target.
func (m *member) isUsual(now clock.Stamp) bool {
	return m.usable && now >= m.ColdUntil && !m.state.health.down(now) && !m.state.limit.Binds(now)
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
	if g := b.groupOf(m); g != nil {
		g.apart = append(g.apart, m)
	}
}

// groupOf returns the index that has the target; nil where a newer view has replaced it.
func (b *Board) groupOf(m *member) *group {
	g := b.groups[m.Service]
	if g == nil || g.caches[m.cache] != m {
		return nil
	}
	return g
}

// addSent counts a request that peers may not know of.
func (b *Board) addSent(now clock.Stamp, s *state) {
	s.sent.add(now)
	m := s.member
	if m == nil || m.recent {
		return
	}
	m.recent = true
	if g := b.groupOf(m); g != nil {
		g.recent = append(g.recent, m)
	}
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
		if m.isUsual(now) {
			m.apart = false
			m.area.add(m, b.runningAt(m), 1)
			continue
		}
		kept = append(kept, m)
	}
	clear(g.apart[len(kept):])
	g.apart = kept
	g.forgetSent(now)
}

// forgetSent drops the targets whose last requests peers know of by now.
func (g *group) forgetSent(now clock.Stamp) {
	kept := g.recent[:0]
	for _, m := range g.recent {
		if m.recent = m.state.sent.at(now) > 0; m.recent {
			kept = append(kept, m)
		}
	}
	clear(g.recent[len(kept):])
	g.recent = kept
}
