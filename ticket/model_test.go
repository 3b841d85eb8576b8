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

// truth is the naive model of one ticket: it remembers everything for ever.
type truth struct {
	token   string
	action  int
	target  int
	life    int
	slot    int
	state   chestnutstep.TicketState
	request string
	runs    int
	saidNo  bool
}

// agent is one issuer with what the model knows of it.
type agent struct {
	issuer *Issuer
	life   int
	slot   int
}

// offer is an action on its way, in each scheme. It stays in flight when it is
// delivered, so that it may come late, twice and in any order.
type offer struct {
	*truth
	homes [2]int
}

// world plays callers, entries and agents, and the naive schemes beside them.
type world struct {
	now    time.Time
	agents [targets]*agent
	all    []*truth
	holds  [actions]*truth // what each action's caller holds
	flight []offer
	runs   [actions]int
	naive  [2]keyed
}

func (w *world) restart(target int) {
	life := 1
	if a := w.agents[target]; a != nil {
		life = a.life + 1
	}
	b := &Issuer{
		Target: fmt.Sprint(target), Incarnation: fmt.Sprint(life), Slots: 2,
		Rand: rand.New(rand.NewSource(int64(life*targets + target))),
	}
	b.start(w.now)
	w.agents[target] = &agent{issuer: b, life: life}
	for i := range w.naive {
		w.naive[i].restart(target)
	}
}

func (w *world) mint(t *rapid.T, action int) {
	target := rapid.IntRange(0, targets-1).Draw(t, "target")
	a := w.agents[target]
	w.holds[action] = &truth{
		token: a.issuer.Mint(w.now, "brand", 1)[0], action: action, target: target,
		life: a.life, slot: a.slot, state: chestnutstep.TicketFresh,
	}
	w.all = append(w.all, w.holds[action])
}

// pick draws any ticket that was ever minted.
func (w *world) pick(t *rapid.T) (*truth, *Issuer) {
	if len(w.all) == 0 {
		w.mint(t, 0)
	}
	a := rapid.SampledFrom(w.all).Draw(t, "ticket")
	return a, w.agents[a.target].issuer
}

// known says whether the issuer must still know the ticket's state.
func (w *world) known(a *truth) bool {
	at := w.agents[a.target]
	live := a.state == chestnutstep.TicketHeld || a.state == chestnutstep.TicketRunning
	return a.life == at.life && (live || at.slot-a.slot < at.issuer.Slots)
}

// hear checks an answer against the truth. Its caller, if the answer reaches it,
// takes a "not run" for leave to ask for a fresh ticket.
func (w *world) hear(t *rapid.T, a *truth, known bool, s chestnutstep.TicketStatus) {
	want := chestnutstep.TicketInvalid
	if known {
		want = a.state
	}
	assert.Equal(t, s.State, want)
	assert.Assert(t, s.Run != chestnutstep.RunYes || a.runs == 1, "said run of what did not")
	if s.Run != chestnutstep.RunNo {
		return
	}
	assert.Equal(t, a.runs, 0, "said not run of what ran")
	a.saidNo = true
	if a == w.holds[a.action] && rapid.Bool().Draw(t, "heard") {
		w.mint(t, a.action)
	}
}

func (w *world) send(t *rapid.T) {
	action := rapid.IntRange(0, actions-1).Draw(t, "action")
	entry := rapid.IntRange(0, entries-1).Draw(t, "entry")
	if w.holds[action] == nil {
		w.mint(t, action)
	}
	homes := [2]int{w.naive[0].send(action, entry), w.naive[1].send(action, entry)}
	w.flight = append(w.flight, offer{w.holds[action], homes})
}

func (w *world) deliver(t *rapid.T) {
	if len(w.flight) == 0 {
		return
	}
	o := rapid.SampledFrom(w.flight).Draw(t, "offer")
	for i := range w.naive {
		w.naive[i].deliver(o.action, o.homes[i])
	}
	request := rapid.SampledFrom([]string{"r1", "r1", "r2"}).Draw(t, "request")
	a := o.truth
	if w.known(a) && a.state == chestnutstep.TicketFresh {
		a.state, a.request = chestnutstep.TicketHeld, request
	}
	s := w.agents[a.target].issuer.Hold(w.now, a.token, "brand", request)
	spent := w.known(a) && a.state != chestnutstep.TicketDropped && a.request != request
	assert.Equal(t, s.Reason == chestnutstep.ReasonSpent, spent)
	w.hear(t, a, w.known(a), s)
	if rapid.Bool().Draw(t, "run at once") {
		w.start(t, a)
	}
}

func (w *world) run(t *rapid.T) {
	a, _ := w.pick(t)
	w.start(t, a)
}

func (w *world) start(t *rapid.T, a *truth) {
	want := a.life == w.agents[a.target].life && a.state == chestnutstep.TicketHeld
	assert.Equal(t, w.agents[a.target].issuer.Start(w.now, a.token), want)
	if !want {
		return
	}
	a.runs++
	w.runs[a.action]++
	a.state = chestnutstep.TicketRunning
	assert.Assert(t, w.runs[a.action] == 1 && !a.saidNo, "ran twice, or after a not run")
}

// quit ends a run or a hold: with an outcome or without, as its connection was
// refused, or by giving it back.
func (w *world) quit(t *rapid.T) {
	a, b := w.pick(t)
	known, from := w.known(a), a.state
	switch how := rapid.SampledFrom([]string{"known", "lost", "unsent", "release"}).Draw(t, "how"); how {
	case "release":
		b.Release(w.now, a.token)
		if known && from == chestnutstep.TicketHeld {
			a.state = chestnutstep.TicketFresh
		}
	case "unsent":
		if known && from == chestnutstep.TicketRunning {
			a.state = chestnutstep.TicketDropped
			a.runs-- // nothing had left the agent
			w.runs[a.action]--
		}
		if s := b.MarkUnsent(w.now, a.token); known && from != chestnutstep.TicketFresh {
			w.hear(t, a, known, s)
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

func (w *world) drop(t *rapid.T) {
	a, b := w.pick(t)
	known := w.known(a)
	if known && (a.state == chestnutstep.TicketFresh || a.state == chestnutstep.TicketHeld) {
		a.state = chestnutstep.TicketDropped
	}
	w.hear(t, a, known, b.Drop(w.now, a.token, "brand"))
}

// pass moves the clock, as time or a freeze does. It may go back, as it would
// where the time is taken from a wall clock by mistake.
func (w *world) pass(t *rapid.T) {
	d := rapid.SampledFrom([]time.Duration{0, time.Second, time.Second, DefaultSlot / 2, time.Hour, -DefaultSlot}).Draw(t, "pass")
	w.now = w.now.Add(d)
	for _, a := range w.agents {
		a.issuer.start(w.now)
		a.slot = max(a.slot, int(w.now.Sub(a.issuer.started)/DefaultSlot))
	}
	for i := range w.naive {
		w.naive[i].now += max(0, d)
	}
}

// upset restarts an agent, or changes a host list and sets a clock wrong.
func (w *world) upset(t *rapid.T) {
	target := rapid.IntRange(0, targets-1).Draw(t, "target")
	entry := rapid.IntRange(0, 2*entries-1).Draw(t, "entry")
	if entry >= entries {
		w.restart(target)
		return
	}
	w.naive[0].gone[entry][target] = !w.naive[0].gone[entry][target]
	w.naive[1].skew[target] = time.Duration(rapid.IntRange(-5, 5).Draw(t, "skew")) * time.Second
}

// Agents restart and freeze, host lists differ, clocks are wrong, offers come
// late and twice through both entries, and callers change request ids, give up
// and act on each "not run". With each naive scheme some member's slot is booked
// twice on the same schedules. With tickets none is, each state is as a model
// that forgets nothing has it, and what was said not to have run never runs.
func TestAtMostOnce(t *testing.T) {
	var schedules, ran, hash, stamp int
	rapid.Check(t, func(t *rapid.T) {
		w := &world{now: script.Epoch}
		w.naive[1].stamped = true
		for i := range w.agents {
			w.restart(i)
		}
		t.Repeat(map[string]func(*rapid.T){
			"send": w.send, "deliver": w.deliver, "deliver again": w.deliver, "run": w.run, "run again": w.run,
			"quit": w.quit, "drop": w.drop, "pass": w.pass, "upset": w.upset,
		})
		schedules++
		for _, n := range w.runs {
			ran += n
		}
		hash += doubled(w.naive[0].runs)
		stamp += doubled(w.naive[1].runs)
	})
	t.Logf("%d schedules of %d actions: %d ran by ticket, none twice; by key hash %d ran twice, by time stamp %d",
		schedules, actions, ran, hash, stamp)
	assert.Assert(t, ran > schedules/2, "the schedules hardly ran anything")
	assert.Assert(t, hash > 0 && stamp > 0, "the naive schemes were not put to the test")
}
