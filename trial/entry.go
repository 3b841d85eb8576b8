package trial

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/route"
)

// arrive brings a request to an entry.
func (t *trial) arrive(r *request) {
	t.tally(r).came(r)
	t.after(r.limit, func() { t.giveUp(r) })
	if r.cancel > 0 {
		t.after(r.cancel, func() { t.giveUp(r) })
	}
	t.send(r)
}

// giveUp ends a request whose caller waits no longer.
func (t *trial) giveUp(r *request) {
	if r.over {
		return
	}
	r.over = true
	if r.at != nil {
		g := r.at
		g.end(r, chestnutstep.OutcomeAbandoned)
		g.next()
	}
}

func (t *trial) send(r *request) {
	if r.over {
		return
	}
	if t.direct != nil {
		t.direct.send(r)
		return
	}
	if t.cfg.Policy.Naive {
		t.sendNaive(r)
		return
	}
	ask := chestnutstep.RankQuery{Workspace: r.work.Workspace, Chat: r.chat, Model: t.cfg.Model.Name}
	if t.cfg.Policy.Hint {
		ask.Hint = t.hints[r.chat]
	}
	r.work.Deadline = time.Unix(0, 0).Add(r.came + r.limit)
	r.ranks = t.table.Rank(r.ranks[:0], ask, t.cfg.Tries)
	r.next, r.pause = 0, time.Second
	r.home, r.source = nil, nil
	if len(r.ranks) > 0 {
		t.drift(r, ask)
		r.home = t.byName[r.ranks[0].Name]
	}
	t.try(r)
}

// drift lets some requests of a chat that was served elsewhere go home first.
func (t *trial) drift(r *request, ask chestnutstep.RankQuery) {
	hinted := r.ranks[0]
	if !t.cfg.Policy.Drift || hinted.Name != ask.Hint {
		return
	}
	ask.Hint = ""
	home := t.table.Rank(nil, ask, t.cfg.Tries)
	if route.ReturnsHome(home[0], hinted.Name, r.work.ID) {
		r.ranks, r.source = home, t.byName[hinted.Name]
	}
}

// sendNaive picks a target at random, as a plain balancer does.
func (t *trial) sendNaive(r *request) {
	g := t.targets[t.rand.IntN(len(t.targets))]
	if r.came >= t.cfg.Warm {
		t.offers++
	}
	if g.down || g.away {
		t.after(10*time.Millisecond, func() { t.send(r) })
		return
	}
	r.at = g
	g.start(r)
}

// try offers down the ranking, and at its end asks the first target to let the
// request wait for as long as its caller does.
func (t *trial) try(r *request) {
	for !r.over && r.at == nil && r.next < len(r.ranks) {
		i := r.next
		r.next++
		if t.offer(r, t.byName[r.ranks[i].Name], i == 0, false) {
			return
		}
		if i == 0 && t.cfg.Policy.Moved && t.offerMoved(r) {
			return
		}
	}
	if r.over || r.at != nil || len(r.ranks) == 0 {
		return
	}
	if t.offer(r, r.home, true, true) {
		return
	}
	t.retry(r, r.pause)
}

// offerMoved follows the note that the chat's first target left.
func (t *trial) offerMoved(r *request) bool {
	g := r.home.moved[r.chat]
	return g != nil && g != r.home && t.offer(r, g, false, false)
}

// retry sends a request once more, if its caller still wants it by then.
func (t *trial) retry(r *request, d time.Duration) {
	const most = 3
	r.tries++
	if r.tries < most {
		t.after(d, func() { t.send(r) })
	}
}

// offer puts the request to a target; true means that it need go no further.
func (t *trial) offer(r *request, g *target, first, last bool) bool {
	if r.came >= t.cfg.Warm {
		t.offers++
	}
	if g.down {
		return false
	}
	now := t.time()
	r.work.HasCachedPrefix = first
	if t.cfg.Policy.Know {
		r.work.HasCachedPrefix = g.cache.has(r.chat)
	}
	r.work.WaitUntil = now
	if r.work.HasCachedPrefix && t.cfg.Policy.Home {
		r.work.WaitUntil = now.Add(t.cfg.Streams[r.stream].Patience)
	}
	if last {
		r.work.WaitUntil = r.work.Deadline
	}
	d := g.gate.Offer(now, r.work)
	switch d.Verdict {
	case chestnutstep.VerdictAccept:
		r.at = g
		t.checkCap(g)
		g.start(r)
		return true
	case chestnutstep.VerdictQueue:
		r.at = g
		g.waiting[r.work.ID] = r
		t.after(r.work.WaitUntil.Sub(now), g.next)
		g.next()
		return true
	case chestnutstep.VerdictRefuse:
		r.pause = d.RetryAfter
	}
	return false
}

// dropped goes on with a request that waited in vain.
func (t *trial) dropped(r *request, d chestnutstep.Decision) {
	if r.over {
		return
	}
	if r.next < len(r.ranks) {
		t.after(0, func() { t.try(r) })
		return
	}
	t.retry(r, d.RetryAfter)
}

// broken sends a request again whose target crashed.
func (t *trial) broken(r *request) {
	if !r.over {
		t.retry(r, 0)
	}
}

// checkCap counts starts beyond the cap in force, beyond the rule, and beyond
// the multiple of the true mean. No agent knows that one; the difference is the
// price of knowing the mean late and from samples.
func (t *trial) checkCap(g *target) {
	if t.cfg.Policy.Naive || t.cfg.Model.Multiple == 0 || t.now < t.cfg.Warm {
		return
	}
	t.starts++
	n := g.gate.Load(t.time())
	if n.Running > n.Cap && !n.Leaving {
		t.overCap++
	}
	if t.beyond(n.Running, t.trueMean()) {
		t.over++
	}
	if t.beyond(n.Running, (1+Margin)*t.highest()) {
		t.rule++
	}
}

func (t *trial) beyond(running int, mean float64) bool {
	return float64(running) > max(float64(t.cfg.Model.Floor), t.cfg.Model.Multiple*mean)
}

// started notes a start.
func (t *trial) started(g *target, r *request) {
	if g.domain == 0 && t.cfg.Leave > 0 && t.now > t.cfg.Leave+t.cfg.Lag && t.now < t.cfg.Return {
		t.late++
	}
	wait, returned, found, imported := t.now-r.came, !r.first && !r.began, g.cache.has(r.chat), t.imports(g, r)
	t.tally(r).started(wait, returned, found, imported)
	t.period().started(wait, returned, found, imported)
	r.began = true
	if r.home != nil {
		r.home.moved[r.chat] = g
	}
}

// tally is where a request counts; what came in the warm-up counts nowhere.
func (t *trial) tally(r *request) *tally {
	if r.came < t.cfg.Warm {
		return &tally{}
	}
	return &t.tallies[r.stream]
}

// answered notes a whole answer, which also gives the caller its hint.
func (t *trial) answered(g *target, r *request) {
	if r.over {
		return
	}
	r.over = true
	t.hints[r.chat] = g.self.Name
	t.tally(r).answered(r)
}
