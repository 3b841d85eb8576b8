package agent

import (
	"context"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/wire"
)

// state of a job at this agent.
type state uint8

const (
	waiting state = iota // in the gate's queue
	placed               // counts as running, the body is still coming
	running              // handed to the target
	over                 // has an answer, or never ran
)

// job is one request at this agent, from its offer to its answer. Its fields
// are guarded by the agent's lock; log has a lock of its own.
type job struct {
	agent *Agent
	key   string
	// number counts the offers that the agent took.
	number uint64
	offer  *wire.Offer
	log    *answer.Log

	state    state
	deadline time.Time
	body     []byte
	whole    bool
	// moved is when the body last grew.
	moved time.Time
	// offered, begun and answered are when the offer came, the target was
	// called, and its answer started.
	offered  time.Time
	begun    time.Time
	answered time.Time
	cached   int64
	// links counts the entries that read the answer; lost is when the last
	// one went.
	links int
	lost  time.Time

	// placed is closed when the job leaves the queue, by start or refusal.
	placed chan struct{}
	// refusal is set before placed is closed if the job never ran.
	refusal *wire.Refuse
	// failed is how an idempotent run ended without a whole answer: a repeat
	// runs anew instead of hearing of the failure again.
	failed *wire.Broken
	// again says that the target may still have the answer of an earlier run.
	again bool
	// crashes is the target's count when the job started.
	crashes int
	// abort ends the call to the target.
	abort context.CancelFunc
}

func jobKey(workspace, id string) string { return workspace + "\x00" + id }

func number(n uint64) string { return strconv.FormatUint(n, 10) }

func newJob(a *Agent, now time.Time, o *wire.Offer, log *answer.Log) *job {
	a.taken++
	return &job{
		agent:    a,
		key:      jobKey(o.Workspace, o.Id),
		number:   a.taken,
		offer:    o,
		log:      log,
		deadline: now.Add(time.Duration(o.Remain)),
		body:     o.Small,
		whole:    carriesBody(o),
		moved:    now,
		offered:  now,
		placed:   make(chan struct{}),
		abort:    func() {},
	}
}

func (j *job) work(now time.Time, home, alone bool) chestnutstep.Work {
	return chestnutstep.Work{
		ID:              j.key,
		Workspace:       j.offer.Workspace,
		Class:           chestnutstep.Class(min(j.offer.Class, chestnutstep.ClassCount-1)),
		Cost:            j.offer.Cost,
		Deadline:        j.deadline,
		WaitUntil:       now.Add(time.Duration(j.offer.Patience)),
		HasCachedPrefix: home,
		Exclusive:       alone,
	}
}

// once says that the request must run at most once.
func (j *job) once() bool { return !j.offer.Idempotent }

// place lets the body come, and runs the job when the body is whole.
func (a *Agent) place(now time.Time, j *job) {
	if j.state != waiting {
		return
	}
	j.state = placed
	j.moved = now
	close(j.placed)
	if j.whole {
		a.start(now, j)
	}
}

// carriesBody says that the offer alone is enough to run the request.
func carriesBody(o *wire.Offer) bool {
	return !o.Confirms && int64(len(o.Small)) == o.Size
}

// grow adds a piece of the body. Each link that joined before the body was whole
// sends it, and the first whole one counts: the link that made the offer may be
// the one that is cut off.
func (l *link) grow(b *wire.Body) {
	a, j := l.agent, l.job
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.whole || j.state > placed {
		return
	}
	now := a.Clock()
	l.body = append(l.body, b.Data...)
	j.moved = now
	if int64(len(l.body)) > j.offer.Size {
		a.drop(now, j, chestnutstep.ReasonLarge)
		return
	}
	if b.Last {
		a.supply(now, j, l.body)
	}
}

// supply gives a job its body and starts it, if its turn has come.
func (a *Agent) supply(now time.Time, j *job, body []byte) {
	j.body, j.whole = body, true
	if j.state == placed {
		a.start(now, j)
	}
}

func (a *Agent) hasBody(j *job) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return j.whole
}

// start hands the job to the target, unless what was true at the offer is no
// longer: this process may have slept since, and the caller may have given up.
func (a *Agent) start(now time.Time, j *job) {
	if !now.Before(j.deadline) {
		a.drop(now, j, chestnutstep.ReasonTimeout)
		return
	}
	if j.offer.Ticket != "" && !a.Issuer.Start(now, j.offer.Ticket) {
		a.drop(now, j, chestnutstep.ReasonSpent)
		return
	}
	j.state = running
	j.begun = now
	j.again = j.again && a.ranLast(now, j)
	a.ran.put(j.offer.Id, j.key, now)
	j.crashes = a.health.crashes
	a.Detector.Start(now, j.offer.Fingerprint)
	a.Notify(j.notice(NoticeStarted, ""))
	ctx, cancel := context.WithDeadline(context.Background(), j.limit())
	j.abort = cancel
	a.runs.Add(1)
	go j.run(ctx)
}

// limit is when the call to the target is cut. A non-idempotent request gets
// longer than its caller waits: cutting it leaves an outcome that nobody knows,
// while a repeat of its ticket can still fetch the answer.
func (j *job) limit() time.Time {
	if j.once() {
		return j.deadline.Add(j.agent.Linger)
	}
	return j.deadline
}

// expire ends a job that nobody feeds or reads any more.
func (a *Agent) expire(now time.Time, j *job) {
	switch {
	case j.state == placed && now.Sub(j.moved) > bodyStall:
		a.drop(now, j, chestnutstep.ReasonLink)
	case j.state < running && !now.Before(j.deadline):
		a.drop(now, j, chestnutstep.ReasonTimeout)
	case j.state == running && j.links == 0 && now.Sub(j.lost) > a.Linger && !j.once():
		j.abort()
	}
}

// drop ends a job that has not run, with a true "not run".
func (a *Agent) drop(now time.Time, j *job, reason chestnutstep.Reason) {
	a.refuse(now, j, chestnutstep.Decision{Reason: reason})
}

// refuse ends a job that has not run. A ticket gets a tombstone first: only
// then is "not run" true for ever, also for repeats that are still on the way.
func (a *Agent) refuse(now time.Time, j *job, d chestnutstep.Decision) {
	if j.state >= running {
		return
	}
	j.refusal = refusal(d.Reason, chestnutstep.RunNo)
	j.refusal.Retry = int64(d.RetryAfter)
	if j.offer.Ticket != "" {
		a.dropTicket(now, j.offer, j.refusal)
	}
	a.withdraw(now, j, d)
	a.Notify(j.notice(NoticeWithdrawn, d.Reason))
}

// abandon ends a job that has not run and that no entry follows. No caller gets
// a "not run" for it, so its ticket stays valid for a retry.
func (a *Agent) abandon(now time.Time, j *job) {
	if j.state >= running {
		return
	}
	j.refusal = refusal(chestnutstep.ReasonLink, chestnutstep.RunNo)
	if j.offer.Ticket != "" {
		a.Issuer.Release(now, j.offer.Ticket)
		j.refusal.Run = string(chestnutstep.RunMaybe)
	}
	a.withdraw(now, j, chestnutstep.Decision{Reason: chestnutstep.ReasonLink})
	a.Notify(j.notice(NoticeAbandoned, chestnutstep.ReasonLink))
}

// withdraw takes a job that has not run out of the gate; its refusal is set.
func (a *Agent) withdraw(now time.Time, j *job, d chestnutstep.Decision) {
	if j.state == waiting {
		close(j.placed)
	}
	j.state = over
	j.log.Break(d.Reason, chestnutstep.RunStatus(j.refusal.Run), d.RetryAfter)
	a.Gate.End(now, j.key, chestnutstep.OutcomeAbandoned)
	a.remove(j)
	a.advance(now)
}

// remove forgets a job that never ran, so that a repeat is decided afresh.
func (a *Agent) remove(j *job) {
	delete(a.jobs, j.key)
	a.Answers.Remove(j.offer.Workspace, j.offer.Id)
}

// finish ends a job that ran.
func (a *Agent) finish(j *job, res result) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	j.state = over
	if res.outcome != chestnutstep.OutcomeServed && !j.once() {
		j.failed = &wire.Broken{Reason: string(res.reason), Run: string(res.run)}
	}
	j.abort()
	if !res.unsent {
		a.Detector.End(now, j.offer.Fingerprint, res.outcome == chestnutstep.OutcomeServed)
	}
	if j.offer.Ticket != "" {
		a.Issuer.Finish(now, j.offer.Ticket, res.outcome == chestnutstep.OutcomeServed)
	}
	if res.outcome == chestnutstep.OutcomeServed && j.offer.Chat != "" {
		a.chats.put(chat{j.offer.Workspace, j.offer.Chat}, now)
	}
	a.Gate.End(now, j.key, res.outcome)
	if res.outcome == chestnutstep.OutcomeServed {
		a.earned(a.Gate.Load(now).Cold)
	}
	a.advance(now)
	a.Notify(j.ended(res))
}

// ended is what is told of a run.
func (j *job) ended(res result) Notice {
	n := j.notice(NoticeEnded, res.reason)
	n.Wait = j.begun.Sub(j.offered)
	n.Cached = j.cached
	if !j.answered.IsZero() {
		n.First = j.answered.Sub(j.begun)
	}
	return n
}

// seeHead notes when the answer started and what was found in the target's cache.
func (j *job) seeHead(h *wire.Head) {
	j.agent.mu.Lock()
	defer j.agent.mu.Unlock()
	j.answered = j.agent.Clock()
	j.cached = h.Cached
}

func (j *job) notice(kind NoticeKind, reason chestnutstep.Reason) Notice {
	return Notice{
		Kind: kind, Subject: j.offer.Id, Reason: reason,
		Workspace: j.offer.Workspace, Profile: j.offer.Profile, Cost: j.offer.Cost, Ticket: j.offer.Ticket != "",
		Offer: j.number, Age: j.agent.Clock().Sub(j.offered),
	}
}

// forget drops jobs whose answer the store no longer keeps.
func (a *Agent) forget() {
	for key, j := range a.jobs {
		if j.state == over && j.links == 0 && a.Answers.Get(j.offer.Workspace, j.offer.Id) == nil {
			delete(a.jobs, key)
		}
	}
}
