package board

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/roster"
)

// Attempt is a request in progress at a target. Call End exactly once.
type Attempt struct {
	board *Board
	// key is the load key of the target, and cacheKey the cache key of its instance.
	key           uint32
	instance      pause.Instance
	cacheKey      uint32
	parts         []chestnutstep.PromptPart
	pendingTokens int
	promptRead    bool
	domain        string
	service       *serviceState
	caller        Caller
	startedAt     clock.Stamp
	// runningAtStart is the number of requests at the target, this one included, when it
	// started.
	runningAtStart float64
	slots          int
	isEngine       bool
}

// Caller identifies the workspace of a request, its urgency and its latency objective.
type Caller struct {
	Workspace string
	// Urgency is the rank of the request's urgency: 0 is the most urgent.
	Urgency   int
	Objective time.Duration
}

// Start records the start of a request at a target.
func (b *Board) Start(now clock.Stamp, t *roster.Target, service *chestnutstep.Service, parts []chestnutstep.PromptPart, cachedTokens int, caller Caller) *Attempt {
	b.mu.Lock()
	defer b.mu.Unlock()
	key, s := b.instanceState(&t.Instance)
	cacheKey := CacheKey(&t.Instance)
	b.addRunning(now, s, cacheKey, 1)
	b.recordSent(now, s)
	if service.ColdRate > 0 && now < t.ColdUntil {
		s.cold.take()
	}
	r := &Attempt{board: b, key: key, instance: pause.InstanceOf(&t.Instance), cacheKey: cacheKey, parts: parts, domain: t.Domain, service: b.serviceState(service.Name), caller: caller, startedAt: now}
	r.runningAtStart = b.readingOf(now, s, key, r.cacheKey, t.Slots).running
	r.slots, r.isEngine = t.Slots, service.IsEngine
	b.domains[t.Domain].recordStart(now)
	r.service.fair.Start(caller.Urgency, caller.Workspace)
	for _, p := range parts {
		r.pendingTokens += p.Tokens
	}
	r.pendingTokens = max(r.pendingTokens-cachedTokens, 0)
	s.pendingTokens += r.pendingTokens
	b.recordParts(now, r.cacheKey, parts, false)
	return r
}

// FirstByte records the first byte of the answer: the target has read the prompt.
func (r *Attempt) FirstByte(now clock.Stamp) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.board.answeredAt = now
	r.board.domainOf(r.domain).recordAnswer(now)
	r.board.state(r.key).suspicion.recordAnswer(now)
	if r.promptRead {
		return
	}
	r.promptRead = true
	r.finishReading()
	r.recordFirstByte(now)
	r.board.recordParts(now, r.cacheKey, r.parts, true)
}

func (r *Attempt) finishReading() {
	r.board.state(r.key).pendingTokens -= r.pendingTokens
	r.pendingTokens = 0
}

// End records the outcome of the request.
func (r *Attempt) End(now clock.Stamp, o Outcome) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.finishReading()
	s := r.board.state(r.key)
	r.board.addRunning(now, s, r.cacheKey, -1)
	s.health.record(now, o)
	if s.health.isDown(now) {
		r.board.countIndividually(s)
	}
	if o == Unreachable && !r.board.isOverloaded() {
		r.board.raiseSuspicion(now, s, r.key)
	}
	r.release(now, o)
	r.board.recordDomainOutcome(now, r.domain, r.key, o)
	if o == Replaced {
		r.board.replaced = append(r.board.replaced, r.key)
	}
	if !r.promptRead {
		r.board.dropUnready(r.cacheKey, r.parts)
	}
}
