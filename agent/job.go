package agent

import (
	"context"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/ending"
	"chestnutstep.example/chestnutstep/memory"
	"chestnutstep.example/chestnutstep/wire"
)

// jobState is the state of a job at this agent.
type jobState uint8

const (
	jobQueued   jobState = iota // in the gate's queue
	jobAccepted                 // counts as running; the body is not complete yet
	jobRunning                  // sent to the target
	jobFinished                 // has an answer, or never ran
)

// job is one request at this agent, from its offer to its answer. Its fields are guarded by the
// agent's lock; log has its own lock.
type job struct {
	agent *Agent
	key   string
	// seq is the number of the offer among those that this agent passed to its gate.
	seq   uint64
	offer *wire.Offer
	log   *answer.Log

	state        jobState
	deadline     time.Time
	body         []byte
	bodyComplete bool
	// reserved is the memory that is accounted for the body.
	reserved int64
	// bodyUpdatedAt is when the body last grew.
	bodyUpdatedAt time.Time
	// offeredAt is when the offer arrived, startedAt when the target was called, and answeredAt
	// when the head of its answer arrived.
	offeredAt    time.Time
	startedAt    time.Time
	answeredAt   time.Time
	cachedTokens int64
	// linkCount is the number of entries that follow the job; detachedAt is when the last of them
	// disconnected.
	linkCount  int
	detachedAt time.Time

	// dequeued is closed when the job leaves the queue, whether it is accepted or refused.
	dequeued chan struct{}
	// refusal is set before dequeued is closed if the job never ran.
	refusal *wire.Refuse
	// failure is the result of an idempotent run that produced no complete answer. A retry runs
	// again instead of receiving the failure.
	failure *wire.Broken
	// mayReplay is set if the target can still have the answer of an earlier run.
	mayReplay bool
	// crashesAtStart is the value of health.crashCount when the job started.
	crashesAtStart int
	// witness shows whether the target's process lives at the end of the answer; nil if that has a length,
	// chunks or a last event. Only the goroutine of the call uses it.
	witness ending.Witness
	// cancelCall cancels the call to the target.
	cancelCall context.CancelFunc
}

func jobKey(workspace, id string) string { return workspace + "\x00" + id }

func formatUint(n uint64) string { return strconv.FormatUint(n, 10) }

func newJob(a *Agent, now time.Time, o *wire.Offer, log *answer.Log) *job {
	a.jobCount++
	return &job{
		agent:         a,
		key:           jobKey(o.Workspace, o.Id),
		seq:           a.jobCount,
		offer:         o,
		log:           log,
		deadline:      now.Add(time.Duration(o.Remain)),
		body:          o.Small,
		bodyComplete:  carriesBody(o),
		bodyUpdatedAt: now,
		offeredAt:     now,
		dequeued:      make(chan struct{}),
		cancelCall:    func() {},
	}
}

func (j *job) gateWork(now time.Time, hasCachedPrefix, exclusive bool) chestnutstep.Work {
	return chestnutstep.Work{
		ID:              j.key,
		Workspace:       j.offer.Workspace,
		Class:           chestnutstep.Class(min(j.offer.Class, chestnutstep.ClassCount-1)),
		Cost:            j.offer.Cost,
		Deadline:        j.deadline,
		WaitUntil:       now.Add(time.Duration(j.offer.Patience)),
		HasCachedPrefix: hasCachedPrefix,
		Exclusive:       exclusive,
	}
}

// atMostOnce reports whether the request must run at most once.
func (j *job) atMostOnce() bool { return !j.offer.Idempotent }

// acceptJob moves a job out of the queue and starts it if its body is complete.
func (a *Agent) acceptJob(now time.Time, j *job) {
	if j.state != jobQueued {
		return
	}
	j.state = jobAccepted
	j.bodyUpdatedAt = now
	close(j.dequeued)
	if j.bodyComplete {
		a.startJob(now, j)
	}
}

// carriesBody reports whether the offer contains the whole body, so that the request can run
// without further messages.
func carriesBody(o *wire.Offer) bool {
	return !o.Confirms && int64(len(o.Small)) == o.Size
}

// appendBody adds a piece to this link's copy of the body. Each link that joined before the body
// was complete sends it, and the first complete copy is used: the link that made the offer can be
// the one that breaks.
func (l *link) appendBody(b *wire.Body) {
	a, j := l.agent, l.job
	a.mu.Lock()
	defer a.mu.Unlock()
	if j.bodyComplete || j.state > jobAccepted {
		return
	}
	now := a.Clock()
	l.body = append(l.body, b.Data...)
	j.bodyUpdatedAt = now
	if int64(len(l.body)) > j.offer.Size {
		a.refuseWithReason(now, j, chestnutstep.ReasonLarge)
		return
	}
	if b.Last {
		a.setBody(now, j, l.body)
	}
}

// reserveBody accounts for the memory of a job's body, and reports whether there is room for it.
func (a *Agent) reserveBody(j *job) bool {
	n := max(j.offer.Size, int64(len(j.offer.Small)))
	if !a.Bodies.Take(n, n > memory.SmallBytes) {
		return false
	}
	j.reserved = n
	return true
}

// releaseBody drops the body of a job that has ended.
func (a *Agent) releaseBody(j *job) {
	a.Bodies.Return(j.reserved, j.reserved > memory.SmallBytes)
	j.body, j.reserved = nil, 0
}

// setBody sets a job's body and starts the job if it is already accepted.
func (a *Agent) setBody(now time.Time, j *job, body []byte) {
	j.body, j.bodyComplete = body, true
	if j.state == jobAccepted {
		a.startJob(now, j)
	}
}

func (a *Agent) hasBody(j *job) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return j.bodyComplete
}

// startJob starts the call to the target. It checks the deadline and the ticket again because the
// process can have been suspended since the offer, and the caller can have given up.
func (a *Agent) startJob(now time.Time, j *job) {
	if !now.Before(j.deadline) {
		a.refuseWithReason(now, j, chestnutstep.ReasonTimeout)
		return
	}
	if j.offer.Ticket != "" && !a.Issuer.Start(now, j.offer.Ticket) {
		a.refuseWithReason(now, j, chestnutstep.ReasonSpent)
		return
	}
	j.state = jobRunning
	j.startedAt = now
	j.mayReplay = j.mayReplay && a.isLastRun(now, j)
	a.lastRuns.put(j.offer.Id, j.key, now)
	j.crashesAtStart = a.health.crashCount
	a.Detector.Start(now, j.offer.Fingerprint)
	a.Notify(j.newNotice(NoticeStarted, ""))
	ctx, cancel := context.WithDeadline(context.Background(), j.callDeadline())
	j.cancelCall = cancel
	a.runs.Add(1)
	go j.run(ctx)
}

// callDeadline returns the deadline of the call to the target. A non-idempotent request gets Linger
// more than its caller waits: canceling it leaves its outcome unknown, while a retry with its
// ticket can still fetch the answer.
func (j *job) callDeadline() time.Time {
	if j.atMostOnce() {
		return j.deadline.Add(j.agent.Linger)
	}
	return j.deadline
}

// expireJob ends a job whose body stalled, whose deadline passed before it ran, or whose answer no
// link has read for Linger.
func (a *Agent) expireJob(now time.Time, j *job) {
	switch {
	case j.state == jobAccepted && now.Sub(j.bodyUpdatedAt) > bodyIdleTimeout:
		a.refuseWithReason(now, j, chestnutstep.ReasonLink)
	case j.state < jobRunning && !now.Before(j.deadline):
		a.refuseWithReason(now, j, chestnutstep.ReasonTimeout)
	case j.state == jobRunning && j.linkCount == 0 && now.Sub(j.detachedAt) > a.Linger && !j.atMostOnce():
		j.cancelCall()
	}
}

// refuseWithReason refuses a job that has not run, without a time after which to retry.
func (a *Agent) refuseWithReason(now time.Time, j *job, reason chestnutstep.Reason) {
	a.refuseJob(now, j, chestnutstep.Decision{Reason: reason})
}

// refuseJob refuses a job that has not run. A ticket gets a tombstone first: only then does "not
// run" stay true for retries that are still in transit.
func (a *Agent) refuseJob(now time.Time, j *job, d chestnutstep.Decision) {
	if j.state >= jobRunning {
		return
	}
	j.refusal = refusal(d.Reason, chestnutstep.RunNo)
	j.refusal.Retry = int64(d.RetryAfter)
	if j.offer.Ticket != "" {
		a.dropTicket(now, j.offer, j.refusal)
	}
	a.withdrawJob(now, j, d)
	a.Notify(j.newNotice(NoticeWithdrawn, d.Reason))
}

// abandonJob ends a job that has not run and that no entry follows. No caller receives "not run"
// for it, so its ticket stays valid for a retry.
func (a *Agent) abandonJob(now time.Time, j *job) {
	if j.state >= jobRunning {
		return
	}
	j.refusal = refusal(chestnutstep.ReasonLink, chestnutstep.RunNo)
	if j.offer.Ticket != "" {
		a.Issuer.Release(now, j.offer.Ticket)
		j.refusal.Run = string(chestnutstep.RunMaybe)
	}
	a.withdrawJob(now, j, chestnutstep.Decision{Reason: chestnutstep.ReasonLink})
	a.Notify(j.newNotice(NoticeAbandoned, chestnutstep.ReasonLink))
}

// withdrawJob removes a job that has not run from the gate. The job's refusal must be set.
func (a *Agent) withdrawJob(now time.Time, j *job, d chestnutstep.Decision) {
	if j.state == jobQueued {
		close(j.dequeued)
	}
	j.state = jobFinished
	a.releaseBody(j)
	j.log.Break(d.Reason, chestnutstep.RunStatus(j.refusal.Run), d.RetryAfter)
	a.Gate.End(now, j.key, chestnutstep.OutcomeAbandoned)
	a.removeJob(j)
	a.dispatchQueue(now)
}

// removeJob removes a job and its answer, so that a retry is handled as a new request.
func (a *Agent) removeJob(j *job) {
	delete(a.jobs, j.key)
	a.Answers.Remove(j.offer.Workspace, j.offer.Id)
}

// finishJob records the result of a job that ran.
func (a *Agent) finishJob(j *job, res callResult) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	j.state = jobFinished
	a.releaseBody(j)
	if res.outcome != chestnutstep.OutcomeServed && !j.atMostOnce() {
		j.failure = &wire.Broken{Reason: string(res.reason), Run: string(res.run)}
	}
	j.cancelCall()
	if !res.unsent {
		a.Detector.End(now, j.offer.Fingerprint, res.outcome == chestnutstep.OutcomeServed)
	}
	if j.offer.Ticket != "" {
		a.Issuer.Finish(now, j.offer.Ticket, res.outcome == chestnutstep.OutcomeServed)
	}
	if res.outcome == chestnutstep.OutcomeServed && j.offer.Chat != "" {
		a.chats.recordServed(chatKey{j.offer.Workspace, j.offer.Chat}, now)
	}
	a.Gate.End(now, j.key, res.outcome)
	if res.outcome == chestnutstep.OutcomeServed {
		a.recordAnswer(a.Gate.Load(now).Cold)
	}
	a.dispatchQueue(now)
	a.Notify(j.endedNotice(res))
}

// endedNotice returns the notice about the end of a run.
func (j *job) endedNotice(res callResult) Notice {
	n := j.newNotice(NoticeEnded, res.reason)
	n.Wait = j.startedAt.Sub(j.offeredAt)
	n.CachedTokens = j.cachedTokens
	if !j.answeredAt.IsZero() {
		n.FirstByte = j.answeredAt.Sub(j.startedAt)
	}
	return n
}

// recordHead records when the answer started and how many prompt tokens were cached.
func (j *job) recordHead(h *wire.Head) {
	j.agent.mu.Lock()
	defer j.agent.mu.Unlock()
	j.answeredAt = j.agent.Clock()
	j.cachedTokens = h.Cached
}

func (j *job) newNotice(kind NoticeKind, reason chestnutstep.Reason) Notice {
	return Notice{
		Kind: kind, Subject: j.offer.Id, Reason: reason,
		Workspace: j.offer.Workspace, Profile: j.offer.Profile, Cost: j.offer.Cost, HasTicket: j.offer.Ticket != "",
		OfferNumber: j.seq, Age: j.agent.Clock().Sub(j.offeredAt),
	}
}

// removeExpired removes finished jobs whose answers the store has evicted.
func (a *Agent) removeExpired() {
	for key, j := range a.jobs {
		if j.state == jobFinished && j.linkCount == 0 && a.Answers.Get(j.offer.Workspace, j.offer.Id) == nil {
			delete(a.jobs, key)
		}
	}
}
