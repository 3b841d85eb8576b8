package trial

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/route"
)

// arrive handles the arrival of a request at an entry.
func (t *trial) arrive(r *request) {
	t.tally(r).recordArrival(r)
	t.after(r.timeout, func() { t.giveUp(r) })
	if r.cancelAfter > 0 {
		t.after(r.cancelAfter, func() { t.giveUp(r) })
	}
	t.send(r)
}

// giveUp ends a request that its caller has canceled or whose timeout has expired.
func (t *trial) giveUp(r *request) {
	if r.finished {
		return
	}
	r.finished = true
	if r.assignedTo != nil {
		g := r.assignedTo
		g.end(r, chestnutstep.OutcomeAbandoned)
		g.next()
	}
}

func (t *trial) send(r *request) {
	if r.finished {
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
	query := chestnutstep.RankQuery{Workspace: r.work.Workspace, Chat: r.chat, Model: t.cfg.Model.Name}
	if t.cfg.Policy.Hint {
		query.Hint = t.hints[r.chat]
	}
	r.work.Deadline = time.Unix(0, 0).Add(r.arrivedAt + r.timeout)
	r.ranks = t.table.Rank(r.ranks[:0], query, t.cfg.MaxTargets)
	r.next, r.retryDelay = 0, time.Second
	r.home, r.source = nil, nil
	if len(r.ranks) > 0 {
		t.applyDrift(r, query)
		r.home = t.byName[r.ranks[0].Name]
	}
	t.try(r)
}

// applyDrift ranks the home target first for some requests of a chat whose hint names another target.
func (t *trial) applyDrift(r *request, query chestnutstep.RankQuery) {
	hinted := r.ranks[0]
	if !t.cfg.Policy.Drift || hinted.Name != query.Hint {
		return
	}
	query.Hint = ""
	home := t.table.Rank(nil, query, t.cfg.MaxTargets)
	if route.ReturnsHome(home[0], hinted.Name, r.work.ID) {
		r.ranks, r.source = home, t.byName[hinted.Name]
	}
}

// sendNaive sends a request to a random target, as a random load balancer does.
func (t *trial) sendNaive(r *request) {
	g := t.targets[t.rand.IntN(len(t.targets))]
	if r.arrivedAt >= t.cfg.Warmup {
		t.offers++
	}
	if g.down || g.isOut {
		t.after(10*time.Millisecond, func() { t.send(r) })
		return
	}
	r.assignedTo = g
	g.start(r)
}

// try offers a request to the ranked targets in order. If none accepts it, it offers the request
// to the home target with permission to wait until the deadline.
func (t *trial) try(r *request) {
	for !r.finished && r.assignedTo == nil && r.next < len(r.ranks) {
		i := r.next
		r.next++
		if t.offer(r, t.byName[r.ranks[i].Name], i == 0, false) {
			return
		}
		if i == 0 && t.cfg.Policy.FollowMoved && t.offerMoved(r) {
			return
		}
	}
	if r.finished || r.assignedTo != nil || len(r.ranks) == 0 {
		return
	}
	if t.offer(r, r.home, true, true) {
		return
	}
	t.retry(r, r.retryDelay)
}

// offerMoved offers a request to the target that last served the chat, as recorded by its home target.
func (t *trial) offerMoved(r *request) bool {
	g := r.home.movedTo[r.chat]
	return g != nil && g != r.home && t.offer(r, g, false, false)
}

// retry sends a request again after d, unless it is finished by then or has used up its attempts.
func (t *trial) retry(r *request, d time.Duration) {
	const maxTries = 3
	r.tries++
	if r.tries < maxTries {
		t.after(d, func() { t.send(r) })
	}
}

// offer offers a request to a target and reports whether the target accepted or queued it. first
// means that the target is assumed to have the prefix cached; last allows a wait until the deadline.
func (t *trial) offer(r *request, g *target, first, last bool) bool {
	if r.arrivedAt >= t.cfg.Warmup {
		t.offers++
	}
	if g.down {
		return false
	}
	now := t.time()
	r.work.HasCachedPrefix = first
	if t.cfg.Policy.ExactCache {
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
		r.assignedTo = g
		t.checkCap(g)
		g.start(r)
		return true
	case chestnutstep.VerdictQueue:
		r.assignedTo = g
		g.waiting[r.work.ID] = r
		t.after(r.work.WaitUntil.Sub(now), g.next)
		g.next()
		return true
	case chestnutstep.VerdictRefuse:
		r.retryDelay = d.RetryAfter
	}
	return false
}

// onDropped continues with the next ranked target after a queue dropped a request. If there is
// none, it schedules a retry.
func (t *trial) onDropped(r *request, d chestnutstep.Decision) {
	if r.finished {
		return
	}
	if r.next < len(r.ranks) {
		t.after(0, func() { t.try(r) })
		return
	}
	t.retry(r, d.RetryAfter)
}

// onTargetLost retries a request whose target restarted or crashed.
func (t *trial) onTargetLost(r *request) {
	if !r.finished {
		t.retry(r, 0)
	}
}

// checkCap updates the counters of OverCap, OverRule and OverTrueMean, see Result. Agents estimate
// the mean from delayed samples, so starts above the multiple of the true mean are expected.
func (t *trial) checkCap(g *target) {
	if t.cfg.Policy.Naive || t.cfg.Model.Multiple == 0 || t.now < t.cfg.Warmup {
		return
	}
	t.starts++
	n := g.gate.Load(t.time())
	if n.Running > n.Cap && !n.Leaving {
		t.overCap++
	}
	if t.exceedsCap(n.Running, t.trueMean()) {
		t.overTrueMean++
	}
	if t.exceedsCap(n.Running, (1+Margin)*t.highestMean()) {
		t.overRule++
	}
}

func (t *trial) exceedsCap(running int, mean float64) bool {
	return float64(running) > max(float64(t.cfg.Model.Floor), t.cfg.Model.Multiple*mean)
}

// recordStart records the start of a request at a target.
func (t *trial) recordStart(g *target, r *request) {
	if g.domain == 0 && t.cfg.LeaveAt > 0 && t.now > t.cfg.LeaveAt+t.cfg.NoticeDelay && t.now < t.cfg.ReturnAt {
		t.startsAfterLeave++
	}
	wait, returned, found, imported := t.now-r.arrivedAt, !r.first && !r.hasStarted, g.cache.has(r.chat), t.imports(g, r)
	t.tally(r).recordStart(wait, returned, found, imported)
	t.period().recordStart(wait, returned, found, imported)
	r.hasStarted = true
	if r.home != nil {
		r.home.movedTo[r.chat] = g
	}
}

// tally returns the counters for a request. Requests that arrived in the warm-up get counters
// that are discarded.
func (t *trial) tally(r *request) *tally {
	if r.arrivedAt < t.cfg.Warmup {
		return &tally{}
	}
	return &t.tallies[r.stream]
}

// recordAnswer records a complete answer and the hint that its caller uses from then on.
func (t *trial) recordAnswer(g *target, r *request) {
	if r.finished {
		return
	}
	r.finished = true
	t.hints[r.chat] = g.self.Name
	t.tally(r).recordAnswer(r)
}
