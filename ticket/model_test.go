package ticket

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
)

// truth is the naive model of one ticket: it remembers everything for ever.
type truth struct {
	token   string
	life    int
	slot    int
	state   chestnutstep.TicketState
	request string
	runs    int
	saidNo  bool
}

// model plays a booth against the truth.
type model struct {
	booth *Booth
	life  int
	now   time.Time
	high  int
	all   []*truth
}

func (m *model) restart(*rapid.T) {
	m.life++
	m.booth = &Booth{
		Target: "bay-1", Incarnation: fmt.Sprint(m.life), Slots: 2,
		Rand: rand.New(rand.NewSource(int64(m.life))),
	}
	m.booth.start(m.now)
	m.high = 0
}

// slot is the newest one that the booth has seen.
func (m *model) slot() int {
	m.high = max(m.high, int(m.now.Sub(m.booth.started)/DefaultSlot))
	return m.high
}

func (m *model) mint(*rapid.T) {
	m.all = append(m.all, &truth{
		token: m.booth.Mint(m.now, "brand", 1)[0], life: m.life, slot: m.slot(),
		state: chestnutstep.TicketFresh,
	})
}

func (m *model) pick(t *rapid.T) *truth {
	if len(m.all) == 0 {
		m.mint(t)
	}
	return rapid.SampledFrom(m.all).Draw(t, "ticket")
}

// known says whether the booth must still know the ticket's state.
func (m *model) known(a *truth) bool {
	live := a.state == chestnutstep.TicketHeld || a.state == chestnutstep.TicketRunning
	return a.life == m.life && (live || m.slot()-a.slot < m.booth.Slots)
}

// hear checks an answer against the truth and notes what it promised.
func (m *model) hear(t *rapid.T, a *truth, known bool, s chestnutstep.Stub) {
	if known {
		assert.Equal(t, s.State, a.state)
	} else {
		assert.Equal(t, s.State, chestnutstep.TicketInvalid)
	}
	switch s.Run {
	case chestnutstep.RunNo:
		assert.Equal(t, a.runs, 0, "said not run of what ran")
		a.saidNo = true
	case chestnutstep.RunYes:
		assert.Equal(t, a.runs, 1, "said run of what did not")
	}
}

func (m *model) hold(t *rapid.T) {
	a := m.pick(t)
	request := rapid.SampledFrom([]string{"r1", "r2"}).Draw(t, "request")
	if m.known(a) && a.state == chestnutstep.TicketFresh {
		a.state, a.request = chestnutstep.TicketHeld, request
	}
	s := m.booth.Hold(m.now, a.token, "brand", request)
	m.hear(t, a, m.known(a), s)
	spent := m.known(a) && a.state != chestnutstep.TicketDropped && a.request != request
	assert.Equal(t, s.Reason == chestnutstep.ReasonSpent, spent)
}

func (m *model) run(t *rapid.T) {
	a := m.pick(t)
	want := a.life == m.life && a.state == chestnutstep.TicketHeld
	got := m.booth.Run(m.now, a.token)
	assert.Equal(t, got, want)
	if got {
		a.runs++
		a.state = chestnutstep.TicketRunning
		assert.Equal(t, a.runs, 1, "ran twice")
		assert.Assert(t, !a.saidNo, "ran after a not run")
	}
}

func (m *model) end(t *rapid.T) {
	a := m.pick(t)
	known := rapid.Bool().Draw(t, "known")
	m.booth.Done(m.now, a.token, known)
	if a.life != m.life || a.state != chestnutstep.TicketRunning {
		return
	}
	a.state = chestnutstep.TicketUnknown
	if known {
		a.state = chestnutstep.TicketDone
	}
}

// unsent ends a run whose connection was refused: it did not run after all.
func (m *model) unsent(t *rapid.T) {
	a := m.pick(t)
	known := m.known(a)
	if known && a.state == chestnutstep.TicketRunning {
		a.state = chestnutstep.TicketDropped
		a.runs = 0
	}
	stub := m.booth.Unsent(m.now, a.token)
	if known && a.state != chestnutstep.TicketFresh {
		m.hear(t, a, known, stub)
	}
}

func (m *model) release(t *rapid.T) {
	a := m.pick(t)
	m.booth.Release(m.now, a.token)
	if a.life == m.life && a.state == chestnutstep.TicketHeld {
		a.state = chestnutstep.TicketFresh
	}
}

func (m *model) drop(t *rapid.T) {
	a := m.pick(t)
	known := m.known(a)
	waits := a.state == chestnutstep.TicketFresh || a.state == chestnutstep.TicketHeld
	if waits && known {
		a.state = chestnutstep.TicketDropped
	}
	m.hear(t, a, known, m.booth.Drop(m.now, a.token, "brand"))
}

// pass moves the clock, as time or a freeze of the process does. It may go back,
// as it would where the time is taken from a wall clock by mistake.
func (m *model) pass(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{time.Second, DefaultSlot / 2, DefaultSlot, time.Hour, -DefaultSlot, -time.Hour}).Draw(t, "pass")
	m.now = m.now.Add(d)
	m.booth.start(m.now)
	m.slot()
}

// Agents restart, freeze and forget while callers repeat, change their request
// ids and give up, in any order. No ticket runs twice, and what was said not to
// have run never runs. The user would notice a slot that is booked twice.
func TestBoothAgainstModel(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{now: epoch}
		m.restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"mint": m.mint, "hold": m.hold, "run": m.run, "end": m.end,
			"release": m.release, "unsent": m.unsent, "drop": m.drop, "pass": m.pass,
			"hold again": m.hold, "run again": m.run,
			"restart": func(t *rapid.T) {
				if rapid.IntRange(0, 9).Draw(t, "rare") == 0 {
					m.restart(t)
				}
			},
		})
	})
}
