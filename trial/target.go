package trial

import (
	"container/list"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/mean"
)

// target simulates an engine and its agent. Up to Model.Slots requests run at full speed; more
// requests share that speed.
type target struct {
	trial  *trial
	self   *chestnutstep.Target
	domain int
	gate   chestnutstep.Gate
	mean   *mean.Sampler
	cache  cache
	// movedTo holds, by chat, the target that last served it.
	movedTo map[string]*target

	running     []*request
	waiting     map[string]*request
	slowFactor  float64
	down        bool
	isOut       bool
	startedAt   time.Duration
	advancedAt  time.Duration
	planVersion int
}

// cache is an LRU cache of chat prefixes.
type cache struct {
	capacity int
	order    list.List
	items    map[string]*list.Element
}

func (c *cache) has(chat string) bool { return c.items[chat] != nil }

func (c *cache) clear() {
	c.order.Init()
	c.items = make(map[string]*list.Element)
}

func (c *cache) use(chat string) {
	if e := c.items[chat]; e != nil {
		c.order.MoveToFront(e)
		return
	}
	c.items[chat] = c.order.PushFront(chat)
	if c.order.Len() > c.capacity {
		delete(c.items, c.order.Remove(c.order.Back()).(string))
	}
}

// start runs a request that the gate has accepted, or any request under the naive policy.
func (g *target) start(r *request) {
	g.advance()
	g.trial.recordStart(g, r)
	prefill := g.prefill(r)
	r.remaining = r.answer + prefill
	if g.trial.direct != nil {
		g.trial.direct.onStart(r, prefill)
	}
	g.cache.use(r.chat)
	g.running = append(g.running, r)
	if g.isFragile() && len(g.running) > 2*g.trial.cfg.Model.ColdCap {
		g.trial.crashes++
		g.restart()
		return
	}
	g.replan()
}

// prefill returns the time until the prefix of the chat is available at the target.
func (g *target) prefill(r *request) time.Duration {
	s := g.trial.cfg.Streams[r.stream]
	if g.cache.has(r.chat) {
		return 0
	}
	if g.trial.imports(g, r) {
		return min(s.Prefill, g.trial.cfg.ImportTime)
	}
	return s.Prefill
}

// imports reports whether the prefix of a request is imported from another target.
func (t *trial) imports(g *target, r *request) bool {
	from := r.home
	if r.source != nil {
		from = r.source
	}
	return t.cfg.Policy.Import && !g.cache.has(r.chat) && from != nil && from != g && from.cache.has(r.chat)
}

func (g *target) isFragile() bool {
	return g.startedAt > 0 && g.trial.now-g.startedAt < g.trial.cfg.FragileTime
}

// speed returns the speed of each running request, as a fraction of full speed.
func (g *target) speed() float64 {
	n, slots := len(g.running), max(1, g.trial.cfg.Model.Slots)
	return min(1, float64(slots)/float64(max(1, n))) / g.slowFactor
}

// advance updates the remaining work of all running requests to the current time.
func (g *target) advance() {
	done := time.Duration(float64(g.trial.now-g.advancedAt) * g.speed())
	g.advancedAt = g.trial.now
	for _, r := range g.running {
		r.remaining -= done
	}
}

// replan schedules the end of the next answer and invalidates the one scheduled before.
func (g *target) replan() {
	g.planVersion++
	if len(g.running) == 0 {
		return
	}
	shortest := g.running[0].remaining
	for _, r := range g.running {
		shortest = min(shortest, r.remaining)
	}
	plan := g.planVersion
	g.trial.after(time.Duration(float64(shortest)/g.speed())+time.Microsecond, func() {
		if plan == g.planVersion {
			g.finish()
		}
	})
}

// finish ends the requests whose answers are complete.
func (g *target) finish() {
	g.advance()
	var finished []*request
	for _, r := range g.running {
		if r.remaining <= 0 {
			finished = append(finished, r)
		}
	}
	for _, r := range finished {
		g.end(r, chestnutstep.OutcomeServed)
		g.trial.recordAnswer(g, r)
	}
	g.next()
}

// end removes a running or waiting request.
func (g *target) end(r *request, o chestnutstep.Outcome) {
	g.advance()
	for i, x := range g.running {
		if x == r {
			g.running = append(g.running[:i], g.running[i+1:]...)
			break
		}
	}
	delete(g.waiting, r.work.ID)
	g.gate.End(g.trial.time(), r.work.ID, o)
	if g.trial.direct != nil {
		g.trial.direct.onEnd(r, o)
	}
	r.assignedTo = nil
	g.replan()
}

// next starts and drops waiting requests as decided by the gate.
func (g *target) next() {
	n := g.gate.AdvanceQueue(g.trial.time())
	for _, id := range n.Started {
		r := g.waiting[id]
		delete(g.waiting, id)
		g.trial.checkCap(g)
		g.start(r)
	}
	for _, x := range n.Dropped {
		r := g.waiting[x.ID]
		delete(g.waiting, x.ID)
		r.assignedTo = nil
		g.trial.onDropped(r, x.Decision)
	}
}

// restart stops the target for DownTime. Its running requests fail and its cache is cleared.
func (g *target) restart() {
	g.down = true
	g.cache.clear()
	g.gate.MarkCold(g.trial.time())
	interrupted := append([]*request(nil), g.running...)
	for _, r := range interrupted {
		g.end(r, chestnutstep.OutcomeFailed)
	}
	for _, r := range interrupted {
		g.trial.onTargetLost(r)
	}
	g.trial.after(g.trial.cfg.DownTime, func() {
		g.down = false
		g.startedAt = g.trial.now
		if g.trial.direct != nil {
			g.trial.direct.onRestart(g)
		}
		g.next()
	})
}
