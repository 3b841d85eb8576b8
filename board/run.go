package board

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

// Run is a request in progress at a target. End it once.
type Run struct {
	board *Board
	// key of the target, and cache that of its instance.
	key     uint32
	cache   uint32
	parts   []chestnutstep.PromptPart
	reading int
	ready   bool
	domain  string
	usage   *usage
	who     Who
	began   clock.Stamp
	// before is what the target had when the request came to it.
	before float64
	slots  int
	engine bool
}

// Who asks, and how soon an answer is wanted.
type Who struct {
	Workspace string
	// Urgency is the request's rank: 0 is the most urgent.
	Urgency   int
	Objective time.Duration
}

// Start counts a request at a target.
func (b *Board) Start(now clock.Stamp, t *roster.Target, service *chestnutstep.Service, parts []chestnutstep.PromptPart, held int, who Who) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	key, s := b.instance(&t.Instance)
	s.addRunning(1)
	b.addSent(now, s)
	if service.ColdRate > 0 && now < t.ColdUntil {
		s.cold.take()
	}
	r := &Run{board: b, key: key, cache: Key(&t.Instance), parts: parts, domain: t.Domain, usage: b.usage(service.Name), who: who, began: now}
	r.before = float64(s.running + int(b.sums[key].Running))
	r.slots, r.engine = t.Slots, service.IsEngine
	b.domains[t.Domain].start(now)
	r.usage.fair.Start(who.Urgency, who.Workspace)
	for _, p := range parts {
		r.reading += p.Tokens
	}
	r.reading = max(r.reading-held, 0)
	s.reading += r.reading
	b.hold(now, r.cache, parts, false)
	return r
}

// First says that the target has read the prompt.
func (r *Run) First(now clock.Stamp) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.board.answeredAt = now
	r.board.domainOf(r.domain).recordAnswer(now)
	r.board.state(r.key).suspicion.answered(now)
	if r.ready {
		return
	}
	r.ready = true
	r.read()
	r.observe(now)
	r.board.hold(now, r.cache, r.parts, true)
}

func (r *Run) read() {
	r.board.state(r.key).reading -= r.reading
	r.reading = 0
}

// End says how the request ended.
func (r *Run) End(now clock.Stamp, o Outcome) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.read()
	s := r.board.state(r.key)
	s.addRunning(-1)
	s.health.take(now, o)
	if s.health.down(now) {
		r.board.setApart(s)
	}
	if o == Unreached && !r.board.isOverloaded() {
		r.board.raiseSuspicion(now, s, r.key)
	}
	r.leave(now, o)
	r.board.reach(now, r.domain, r.key, o)
	if o == Replaced {
		r.board.gone = append(r.board.gone, r.key)
	}
	if !r.ready {
		r.board.drop(r.cache, r.parts)
	}
}
