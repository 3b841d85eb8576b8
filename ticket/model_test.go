package ticket

import (
	"fmt"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
)

const (
	targets = 3
	entries = 2
	actions = 4
)

// modelTicket is the reference model of one ticket. It is never evicted.
type modelTicket struct {
	token          string
	action         int
	target         int
	incarnation    int
	slot           int
	state          chestnutstep.TicketState
	request        string
	runs           int
	reportedNotRun bool
}

// agent is one issuer with the model's view of its incarnation and slot.
type agent struct {
	issuer      *Issuer
	incarnation int
	slot        int
}

// offer is an action in transit, in each scheme. It stays in flight after delivery, so that it can
// be delivered late, repeatedly and in any order.
type offer struct {
	*modelTicket
	homes [2]int
}

// simulation simulates callers, entries and agents, and runs the naive schemes on the same
// schedule.
type simulation struct {
	now         time.Time
	agents      [targets]*agent
	tickets     []*modelTicket
	heldTickets [actions]*modelTicket // the ticket held by each action's caller
	inFlight    []offer
	runs        [actions]int
	naive       [2]naiveScheme
}

func (w *simulation) restart(target int) {
	incarnation := 1
	if a := w.agents[target]; a != nil {
		incarnation = a.incarnation + 1
	}
	b := &Issuer{
		Target: fmt.Sprint(target), Incarnation: fmt.Sprint(incarnation), OpenSlots: 2,
		Rand: rand.New(rand.NewSource(int64(incarnation*targets + target))),
	}
	b.prepare(w.now)
	w.agents[target] = &agent{issuer: b, incarnation: incarnation}
	for i := range w.naive {
		w.naive[i].restart(target)
	}
}

func (w *simulation) mint(t *rapid.T, action int) {
	target := rapid.IntRange(0, targets-1).Draw(t, "target")
	a := w.agents[target]
	w.heldTickets[action] = &modelTicket{
		token: a.issuer.Mint(w.now, "brand", 1)[0], action: action, target: target,
		incarnation: a.incarnation, slot: a.slot, state: chestnutstep.TicketFresh,
	}
	w.tickets = append(w.tickets, w.heldTickets[action])
}

// drawTicket draws any ticket that was ever minted.
func (w *simulation) drawTicket(t *rapid.T) (*modelTicket, *Issuer) {
	if len(w.tickets) == 0 {
		w.mint(t, 0)
	}
	a := rapid.SampledFrom(w.tickets).Draw(t, "ticket")
	return a, w.agents[a.target].issuer
}

// isKnown reports whether the issuer must still have the ticket's state.
func (w *simulation) isKnown(a *modelTicket) bool {
	at := w.agents[a.target]
	live := a.state == chestnutstep.TicketHeld || a.state == chestnutstep.TicketRunning
	return a.incarnation == at.incarnation && (live || at.slot-a.slot < at.issuer.OpenSlots)
}

// checkStatus compares a status with the model. If the status reaches the caller, a "not run" lets
// it request a new ticket.
func (w *simulation) checkStatus(t *rapid.T, a *modelTicket, known bool, s chestnutstep.TicketStatus) {
	want := chestnutstep.TicketInvalid
	if known {
		want = a.state
	}
	assert.Equal(t, s.State, want)
	assert.Assert(t, s.Run != chestnutstep.RunYes || a.runs == 1, "reported run for a ticket that did not run")
	if s.Run != chestnutstep.RunNo {
		return
	}
	assert.Equal(t, a.runs, 0, "reported not run for a ticket that ran")
	a.reportedNotRun = true
	if a == w.heldTickets[a.action] && rapid.Bool().Draw(t, "heard") {
		w.mint(t, a.action)
	}
}

func (w *simulation) send(t *rapid.T) {
	action := rapid.IntRange(0, actions-1).Draw(t, "action")
	entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
	if w.heldTickets[action] == nil {
		w.mint(t, action)
	}
	homes := [2]int{w.naive[0].send(action, entry), w.naive[1].send(action, entry)}
	w.inFlight = append(w.inFlight, offer{w.heldTickets[action], homes})
}

func (w *simulation) deliver(t *rapid.T) {
	if len(w.inFlight) == 0 {
		return
	}
	o := rapid.SampledFrom(w.inFlight).Draw(t, "offer")
	for i := range w.naive {
		w.naive[i].deliver(o.action, o.homes[i])
	}
	request := rapid.SampledFrom([]string{"r1", "r1", "r2"}).Draw(t, "request")
	a := o.modelTicket
	if w.isKnown(a) && a.state == chestnutstep.TicketFresh {
		a.state, a.request = chestnutstep.TicketHeld, request
	}
	s := w.agents[a.target].issuer.Hold(w.now, a.token, "brand", request)
	spent := w.isKnown(a) && a.state != chestnutstep.TicketDropped && a.request != request
	assert.Equal(t, s.Reason == chestnutstep.ReasonSpent, spent)
	w.checkStatus(t, a, w.isKnown(a), s)
	if rapid.Bool().Draw(t, "run at once") {
		w.start(t, a)
	}
}

func (w *simulation) run(t *rapid.T) {
	a, _ := w.drawTicket(t)
	w.start(t, a)
}

func (w *simulation) start(t *rapid.T, a *modelTicket) {
	want := a.incarnation == w.agents[a.target].incarnation && a.state == chestnutstep.TicketHeld
	assert.Equal(t, w.agents[a.target].issuer.Start(w.now, a.token), want)
	if !want {
		return
	}
	a.runs++
	w.runs[a.action]++
	a.state = chestnutstep.TicketRunning
	assert.Assert(t, w.runs[a.action] == 1 && !a.reportedNotRun, "ran twice, or after it was reported as not run")
}

// finish ends a run or a hold: with a known or lost outcome, with a refused connection, or by
// releasing it.
func (w *simulation) finish(t *rapid.T) {
	a, b := w.drawTicket(t)
	known, from := w.isKnown(a), a.state
	switch how := rapid.SampledFrom([]string{"known", "lost", "unsent", "release"}).Draw(t, "how"); how {
	case "release":
		b.Release(w.now, a.token)
		if known && from == chestnutstep.TicketHeld {
			a.state = chestnutstep.TicketFresh
		}
	case "unsent":
		if known && from == chestnutstep.TicketRunning {
			a.state = chestnutstep.TicketDropped
			a.runs-- // nothing was sent to the target
			w.runs[a.action]--
		}
		if s := b.MarkUnsent(w.now, a.token); known && from != chestnutstep.TicketFresh {
			w.checkStatus(t, a, known, s)
		}
	default:
		b.Finish(w.now, a.token, how == "known")
		if known && from == chestnutstep.TicketRunning {
			a.state = map[string]chestnutstep.TicketState{
				"known": chestnutstep.TicketDone, "lost": chestnutstep.TicketUnknown,
			}[how]
		}
	}
}

func (w *simulation) drop(t *rapid.T) {
	a, b := w.drawTicket(t)
	known := w.isKnown(a)
	if known && (a.state == chestnutstep.TicketFresh || a.state == chestnutstep.TicketHeld) {
		a.state = chestnutstep.TicketDropped
	}
	w.checkStatus(t, a, known, b.Drop(w.now, a.token, "brand"))
}

// advanceClock changes the clock, as passing time or a suspended process does. It can go back, as
// when the time is taken from a wall clock by mistake.
func (w *simulation) advanceClock(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{0, time.Second, time.Second, DefaultSlotLength / 2, time.Hour, -DefaultSlotLength}).Draw(t, "pass")
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		a.issuer.prepare(w.now)
		a.slot = max(a.slot, int(w.now.Sub(a.issuer.startedAt)/DefaultSlotLength))
	}
	for i := range w.naive {
		w.naive[i].now += max(0, d)
	}
}

// injectFault restarts an agent, or changes a host list and sets a clock wrong.
func (w *simulation) injectFault(t *rapid.T) {
	target := rapid.IntRange(0, targets-1).Draw(t, "target")
	entry := rapid.IntRange(0, 2*entries-1).Draw(t, "entry")
	if entry >= entries {
		w.restart(target)
		return
	}
	w.naive[0].unreachable[entry][target] = !w.naive[0].unreachable[entry][target]
	w.naive[1].skew[target] = time.Duration(rapid.IntRange(-5, 5).Draw(t, "skew")) * time.Second
}

// TestAtMostOnce guards against actions that run twice. Agents restart and are suspended, host
// lists differ, clocks are wrong, offers are delivered late and repeatedly through both entries,
// and callers change request ids, give up and act on each "not run". On the same schedules each
// naive scheme runs some action twice. With tickets no action runs twice, each state equals that of
// a model that evicts nothing, and no ticket runs after it was reported as "not run".
func TestAtMostOnce(t *testing.T) {
	var schedules, ran, hash, stamp int
	rapid.Check(t, func(t *rapid.T) {
		w := &simulation{now: script.Epoch}
		w.naive[1].stamped = true
		for i := range w.agents {
			w.restart(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": w.send, "deliver": w.deliver, "deliver again": w.deliver, "run": w.run, "run again": w.run,
			"quit": w.finish, "drop": w.drop, "pass": w.advanceClock, "upset": w.injectFault,
		})
		schedules++
		for _, n := range w.runs {
			ran += n
		}
		hash += countRepeated(w.naive[0].runs)
		stamp += countRepeated(w.naive[1].runs)
	})
	t.Logf("%d schedules of %d actions: %d ran by ticket, none twice; by key hash %d ran twice, by time stamp %d",
		schedules, actions, ran, hash, stamp)
	assert.Assert(t, ran > schedules/2, "the schedules ran too few actions")
	assert.Assert(t, hash > 0 && stamp > 0, "the schedules did not make the naive schemes fail")
}
