package ticket

import (
	"fmt"
	"hash/fnv"
	"math/rand"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
)

const (
	targets   = 3
	entries   = 2
	actions   = 4
	steps     = 80
	schedules = 3000
	// horizon is how long the time-stamped scheme accepts a key.
	horizon = DefaultSlot * DefaultSlots
)

// step is one event of a schedule. What its numbers mean depends on the kind.
type step struct {
	kind    int
	action  int
	entry   int
	target  int
	message int
	lost    bool
	passed  time.Duration
}

// The kinds of step. Offers stay in flight after they were delivered, so that
// they may be delivered late, twice and in any order.
const (
	sendOffer = iota
	deliver
	start
	end
	giveUp
	refuse
	crash
	freeze
	flip
	kinds
)

// schedule draws steps; crashes, freezes and host lists that change are rarer
// than offers. No step depends on what a scheme did, so that all schemes play
// the same one.
func schedule(seed int64) []step {
	r := rand.New(rand.NewSource(seed))
	common := []int{sendOffer, sendOffer, deliver, deliver, deliver, start, start, end}
	out := make([]step, steps)
	for i := range out {
		out[i] = step{
			kind: r.Intn(kinds), action: r.Intn(actions), entry: r.Intn(entries), target: r.Intn(targets),
			message: r.Intn(steps), lost: r.Intn(3) == 0, passed: time.Duration(r.Int63n(int64(horizon))),
		}
		if r.Intn(2) == 0 {
			out[i].kind = common[r.Intn(len(common))]
		}
	}
	return out
}

// scheme is a way of running actions at most once. It reports each execution.
type scheme interface {
	play(s step, ran func(action int))
}

// doubled counts the actions that ran, and those that ran more than once.
func doubled(s scheme, schedule []step) (ran, more int) {
	runs := map[int]int{}
	for _, one := range schedule {
		s.play(one, func(action int) { runs[action]++ })
	}
	for _, times := range runs {
		if times > 1 {
			more++
		}
	}
	return len(runs), more
}

// ticketed is the real booth behind callers that take a fresh ticket only after
// a "not run".
type ticketed struct {
	booths [targets]*Booth
	lives  int
	now    time.Time
	tokens [actions]string
	flight []offer
	queue  []offer
	// hasty says "not run" after a release: what the booth warns of.
	hasty bool
}

type offer struct {
	action int
	token  string
}

func newTicketed(hasty bool) *ticketed {
	s := &ticketed{now: epoch, hasty: hasty}
	for i := range s.booths {
		s.restart(i)
	}
	return s
}

func (s *ticketed) restart(target int) {
	s.lives++
	s.booths[target] = &Booth{
		Target: fmt.Sprint(target), Incarnation: fmt.Sprint(s.lives),
		Rand: rand.New(rand.NewSource(int64(s.lives))),
	}
}

func (s *ticketed) booth(token string) *Booth {
	target, _ := Target(token)
	return s.booths[int(target[0]-'0')]
}

func (s *ticketed) play(e step, ran func(int)) {
	switch e.kind {
	case sendOffer:
		if s.tokens[e.action] == "" {
			s.tokens[e.action] = s.booths[e.target].Mint(s.now, "brand", 1)[0]
		}
		s.flight = append(s.flight, offer{e.action, s.tokens[e.action]})
	case deliver:
		s.deliver(e)
	case start:
		if o, ok := pick(s.queue, e.message); ok && s.booth(o.token).Run(s.now, o.token) {
			ran(o.action)
		}
	case end:
		if o, ok := pick(s.queue, e.message); ok {
			s.booth(o.token).Done(s.now, o.token, e.lost)
		}
	case giveUp:
		if token := s.tokens[e.action]; token != "" {
			s.hear(e, offer{e.action, token}, s.booth(token).Drop(s.now, token, "brand").Run)
		}
	case refuse:
		s.refuse(e)
	case crash:
		s.restart(e.target)
	case freeze:
		s.now = s.now.Add(e.passed)
	}
}

func (s *ticketed) deliver(e step) {
	o, ok := pick(s.flight, e.message)
	if !ok {
		return
	}
	stub := s.booth(o.token).Hold(s.now, o.token, "brand", fmt.Sprint("request-", o.action))
	if stub.State == chestnutstep.TicketHeld {
		s.queue = append(s.queue, o)
		return
	}
	s.hear(e, o, stub.Run)
}

// refuse turns a held offer away, as a full target does.
func (s *ticketed) refuse(e step) {
	o, ok := pick(s.queue, e.message)
	if !ok {
		return
	}
	b := s.booth(o.token)
	if s.hasty {
		r := b.Hold(s.now, o.token, "brand", fmt.Sprint("request-", o.action))
		b.Release(s.now, o.token)
		if r.State == chestnutstep.TicketHeld {
			s.hear(e, o, chestnutstep.RunNo)
		}
		return
	}
	s.hear(e, o, b.Drop(s.now, o.token, "brand").Run)
}

// hear lets the caller act on a "not run" by taking a fresh ticket.
func (s *ticketed) hear(e step, o offer, run chestnutstep.Run) {
	if !e.lost && run == chestnutstep.RunNo && s.tokens[o.action] == o.token {
		s.tokens[o.action] = s.booths[e.target].Mint(s.now, "brand", 1)[0]
	}
}

func pick(from []offer, n int) (offer, bool) {
	if len(from) == 0 {
		return offer{}, false
	}
	return from[n%len(from)], true
}

// hashed is the naive home by key hash: each entry sends an action to the
// target that its own host list gives, which remembers what it ran.
type hashed struct {
	gone   [entries][targets]bool
	memory [targets]map[int]bool
	flight [][2]int
}

func (s *hashed) play(e step, ran func(int)) {
	switch e.kind {
	case sendOffer:
		s.flight = append(s.flight, [2]int{e.action, s.home(e)})
	case deliver:
		if len(s.flight) == 0 {
			return
		}
		o := s.flight[e.message%len(s.flight)]
		if s.memory[o[1]] == nil {
			s.memory[o[1]] = map[int]bool{}
		}
		if !s.memory[o[1]][o[0]] {
			s.memory[o[1]][o[0]] = true
			ran(o[0])
		}
	case crash:
		s.memory[e.target] = nil
	case flip:
		s.gone[e.entry][e.target] = !s.gone[e.entry][e.target]
	}
}

func (s *hashed) home(e step) int {
	best, most := 0, uint32(0)
	for target := range targets {
		h := fnv.New32a()
		fmt.Fprint(h, e.action, "/", target)
		if !s.gone[e.entry][target] && h.Sum32() > most {
			best, most = target, h.Sum32()
		}
	}
	return best
}

// stamped is the naive time-stamped key: its fixed home refuses keys older than
// the horizon or than its own start, by a clock that differs from the stamper's.
type stamped struct {
	now    time.Duration
	skew   [targets]time.Duration
	booted [targets]time.Duration
	memory [targets]map[int]bool
	stamps [actions]time.Duration
	sent   []int
}

func (s *stamped) play(e step, ran func(int)) {
	switch e.kind {
	case sendOffer:
		if s.stamps[e.action] == 0 {
			s.stamps[e.action] = s.now
		}
		s.sent = append(s.sent, e.action)
	case deliver:
		if len(s.sent) > 0 {
			s.deliver(s.sent[e.message%len(s.sent)], ran)
		}
	case crash:
		s.memory[e.target] = nil
		s.booted[e.target] = s.clock(e.target)
	case freeze:
		s.now += e.passed
	case flip: // a clock is set wrong, by up to ten seconds either way
		s.skew[e.target] = e.passed/60 - 5*time.Second
	}
}

func (s *stamped) clock(target int) time.Duration { return s.now + s.skew[target] }

func (s *stamped) deliver(action int, ran func(int)) {
	target := action % targets
	stamp := s.stamps[action]
	if stamp < s.booted[target] || s.clock(target)-stamp > horizon || s.memory[target][action] {
		return
	}
	if s.memory[target] == nil {
		s.memory[target] = map[int]bool{}
	}
	s.memory[target][action] = true
	ran(action)
}

// Agents crash and freeze, host lists differ, clocks are wrong, offers come late
// and twice through both entries, and callers act on every "not run". With each
// naive scheme some member's slot is booked twice; with tickets none is.
func TestAtMostOnceOverSchedules(t *testing.T) {
	var ran, more [4]int
	for seed := range int64(schedules) {
		for i, one := range []scheme{newTicketed(false), newTicketed(true), &hashed{}, &stamped{}} {
			r, m := doubled(one, schedule(seed))
			ran[i] += r
			more[i] += m
		}
	}
	t.Logf("%d schedules of %d actions; ran and doubled: ticket %d, %d; release and not run %d, %d; key hash %d, %d; time stamp %d, %d",
		schedules, actions, ran[0], more[0], ran[1], more[1], ran[2], more[2], ran[3], more[3])
	assert.Equal(t, more[0], 0)
	assert.Assert(t, ran[0] > schedules, "the schedules hardly ran anything")
	assert.Assert(t, more[1] > 0 && more[2] > 0 && more[3] > 0, "the naive schemes were not put to the test")
}
