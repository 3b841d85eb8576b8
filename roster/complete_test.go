package roster_test

import (
	"fmt"
	"testing"
	"time"

	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
	seeds "chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { seeds.Main(m, 4000) }

// States of a target in the model's store, in their usual order.
const (
	absent = iota
	ready
	draining
)

// modelStore is the source of targets. Each change is an event, and old events can be compacted
// away.
type modelStore struct {
	revision, compactedAt uint64
	states                map[string]int
	events                []chestnutstep.Fact
	// history holds the states of each target with the revisions at which they begin.
	history map[string][]change
}

type change struct {
	revision uint64
	state    int
}

func (s *modelStore) set(id string, state int) {
	s.revision++
	s.states[id] = state
	s.history[id] = append(s.history[id], change{s.revision, state})
	s.events = append(s.events, s.fact(id))
}

// fact returns the newest fact about a target.
func (s *modelStore) fact(id string) chestnutstep.Fact {
	list := s.history[id]
	last := list[len(list)-1]
	f := chestnutstep.Fact{Kind: chestnutstep.FactInstance, Name: id, Revision: last.revision, Deleted: last.state == absent}
	if last.state != absent {
		f.Instance = &chestnutstep.Instance{ID: id, Service: "s", Address: id + ":1", Leaving: last.state == draining}
	}
	return f
}

// hasHadState reports whether a target had a state at a revision or later.
func (s *modelStore) hasHadState(id string, state int, revision uint64) bool {
	current := absent
	for _, c := range s.history[id] {
		if c.revision <= revision {
			current = c.state
		} else if c.state == state {
			return true
		}
	}
	return current == state
}

// modelEntry is an entry that reads from the store or from another entry.
type modelEntry struct {
	roster   *roster.Roster
	revision uint64
}

func (e *modelEntry) apply(now clock.Stamp, b chestnutstep.Batch) {
	full := e.revision == 0
	e.revision = max(b.Revision, e.revision)
	e.roster.Apply(now, chestnutstep.TopicTargets, b, full)
}

// fleetModel is a fleet in which facts spread over all possible paths.
type fleetModel struct {
	store   *modelStore
	entries []*modelEntry
	now     clock.Stamp
}

func newEntry() *modelEntry {
	e := &modelEntry{roster: &roster.Roster{}}
	routing := chestnutstep.Fact{Kind: chestnutstep.FactRouting, Revision: 1, Routing: &chestnutstep.Routing{Version: 1}}
	e.roster.Apply(0, chestnutstep.TopicRouting, chestnutstep.Batch{Revision: 1, Facts: []chestnutstep.Fact{routing}}, true)
	return e
}

func (m *fleetModel) draw(t *rapid.T, label string) *modelEntry {
	return m.entries[rapid.IntRange(0, len(m.entries)-1).Draw(t, label)]
}

// change sets a random target to a random state.
func (m *fleetModel) change(t *rapid.T) {
	id := fmt.Sprint("t", rapid.IntRange(0, 5).Draw(t, "target"))
	m.store.set(id, rapid.SampledFrom([]int{absent, ready, draining}).Draw(t, "state"))
}

// list reads everything from the store, with changes between its pages.
func (m *fleetModel) list(t *rapid.T) {
	e := m.draw(t, "entry")
	e.revision = 0
	b := chestnutstep.Batch{Revision: m.store.revision}
	for i := range 6 {
		id := fmt.Sprint("t", i)
		if rapid.IntRange(0, 4).Draw(t, "meanwhile") == 0 {
			m.change(t)
		}
		if m.store.states[id] != absent {
			b.Facts = append(b.Facts, m.store.fact(id))
		}
	}
	e.apply(m.now, b)
}

// watch reads changes from the store; if they were compacted away, the next read is a full one.
func (m *fleetModel) watch(t *rapid.T) {
	e := m.draw(t, "entry")
	if e.revision == 0 || e.revision < m.store.compactedAt {
		e.revision = 0
		return
	}
	b := chestnutstep.Batch{Revision: m.store.revision}
	for _, f := range m.store.events {
		if f.Revision > e.revision {
			b.Facts = append(b.Facts, f)
		}
	}
	e.apply(m.now, b)
}

// follow reads from another entry, independent of what that entry has read last.
func (m *fleetModel) follow(t *rapid.T) {
	e, source := m.draw(t, "entry"), m.draw(t, "giver")
	if e == source || !source.roster.Listed(chestnutstep.TopicTargets) {
		return
	}
	b, ok := source.roster.Since(m.now, chestnutstep.TopicTargets, e.revision)
	if !ok {
		return
	}
	b.Age = time.Millisecond
	for i, f := range b.Facts {
		if !f.Deleted {
			b.Facts[i] = m.decode(f)
		}
	}
	e.apply(m.now, b)
}

// decode restores the instance that a published fact encodes.
func (m *fleetModel) decode(f chestnutstep.Fact) chestnutstep.Fact {
	for _, c := range m.store.history[f.Name] {
		if c.revision == f.Revision {
			f.Instance = &chestnutstep.Instance{ID: f.Name, Service: "s", Address: f.Name + ":1", Leaving: c.state == draining}
		}
	}
	return f
}

// check verifies that each target's state at each entry is one that the store had at the
// entry's revision or later.
func (m *fleetModel) check(t *rapid.T) {
	for i, e := range m.entries {
		if !e.roster.Listed(chestnutstep.TopicTargets) || e.revision == 0 {
			continue
		}
		for j := range 6 {
			id, state := fmt.Sprint("t", j), absent
			if x := e.roster.View().ByID[id]; x != nil && x.Leaving {
				state = draining
			} else if x != nil {
				state = ready
			}
			if !m.store.hasHadState(id, state, e.revision) {
				t.Fatalf("entry %d has %s in state %d at revision %d: %v", i, id, state, e.revision, m.store.history[id])
			}
		}
	}
}

// TestStateIsComplete guards against a state that counts as complete but lacks a change, for
// every sequence of sources from which an entry reads.
func TestStateIsComplete(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &fleetModel{store: &modelStore{states: map[string]int{}, history: map[string][]change{}}, now: clock.Stamp(time.Hour)}
		for range 4 {
			m.entries = append(m.entries, newEntry())
		}
		m.change(t)
		t.Repeat(map[string]func(*rapid.T){
			"":       m.check,
			"change": m.change,
			"list":   m.list,
			"watch":  m.watch,
			"follow": m.follow,
			"forget": func(*rapid.T) { m.store.compactedAt, m.store.events = m.store.revision, nil },
			"tick": func(t *rapid.T) {
				m.now = m.now.Add(rapid.SampledFrom([]time.Duration{time.Millisecond, 3 * time.Second}).Draw(t, "time"))
			},
			"restart": func(t *rapid.T) { m.entries[rapid.IntRange(0, 3).Draw(t, "entry")] = newEntry() },
		})
	})
}
