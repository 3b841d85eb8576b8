package agent

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// admission is what became of an offer: a job to follow, or a refusal.
type admission struct {
	job    *job
	joined bool
	refuse *wire.Refuse
}

// admit decides on an offer. Each check that refuses does so before anything
// ran, so that every refusal here truly means "not run".
func (a *Agent) admit(o *wire.Offer) admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	if len(o.Crashed) > 0 {
		a.Detector.Merge(now, []chestnutstep.Suspicion{{Fingerprint: o.Fingerprint, CrashedTargets: o.Crashed, SeenAt: now}})
	}
	adm, known, again := a.join(now, o)
	if known {
		return adm
	}
	if r := a.check(now, o); r != nil {
		return a.deny(now, o, r)
	}
	if r := a.hold(now, o); r != nil {
		a.Notify(Notice{Kind: NoticeRefused, Subject: o.Id, Reason: chestnutstep.Reason(r.Reason), Workspace: o.Workspace, Profile: o.Profile, Ticket: true})
		return admission{refuse: r}
	}
	return a.decide(now, o, again)
}

// join finds the request if it is known here already; again says that a run of
// it has failed here.
func (a *Agent) join(now time.Time, o *wire.Offer) (adm admission, known, again bool) {
	j := a.jobs[jobKey(o.Workspace, o.Id)]
	if j != nil && j.failed != nil {
		again = j.sameContent(o)
		a.remove(j)
		j = nil
	}
	if j != nil {
		if !j.sameContent(o) {
			return admission{refuse: a.otherContent(j)}, true, false
		}
		if !j.whole && j.isWaitingFor(o) {
			// The first link never sent the body; this one brought it along.
			a.supply(now, j, o.Small)
		}
		return a.follow(j, true), true, false
	}
	if target := a.moved.get(jobKey(o.Workspace, o.Id), now); target != "" {
		r := refusal(chestnutstep.ReasonMoved, chestnutstep.RunNo)
		r.Moved = target
		return admission{refuse: r}, true, false
	}
	return admission{}, false, again
}

func (j *job) sameContent(o *wire.Offer) bool {
	return j.offer.Fingerprint == o.Fingerprint && j.offer.Chat == o.Chat
}

// otherContent refuses a request under a name that belongs to another one. It
// has not run; but its ticket may have, for the other.
func (a *Agent) otherContent(j *job) *wire.Refuse {
	if j.once() {
		return refusal(chestnutstep.ReasonSpent, chestnutstep.RunMaybe)
	}
	return refusal(chestnutstep.ReasonSpent, chestnutstep.RunNo)
}

// isWaitingFor says that the offer brings the body that the job lacks.
func (j *job) isWaitingFor(o *wire.Offer) bool {
	return j.state <= placed && carriesBody(o)
}

func (a *Agent) follow(j *job, joined bool) admission {
	j.links++
	return admission{job: j, joined: joined}
}

// check refuses what can't run here whatever the load is.
func (a *Agent) check(now time.Time, o *wire.Offer) *wire.Refuse {
	v := a.View()
	if v == nil {
		return refusal(chestnutstep.ReasonVersion, chestnutstep.RunNo)
	}
	a.refresh(now)
	t := v.Targets[a.Name]
	switch {
	case t != nil && t.Model != o.Model:
		return refusal(chestnutstep.ReasonModel, chestnutstep.RunNo)
	case a.closed() == chestnutstep.ReasonDown:
		return a.downRefusal()
	case a.closed() != "":
		return refusal(a.closed(), chestnutstep.RunNo)
	case o.Remain <= 0:
		return refusal(chestnutstep.ReasonTimeout, chestnutstep.RunNo)
	case a.Detector.Check(now, o.Fingerprint) == chestnutstep.ContentCondemned:
		return refusal(chestnutstep.ReasonCondemned, chestnutstep.RunNo)
	}
	return nil
}

// deny refuses an offer; a ticket gets its tombstone, so that "not run" stays
// true when a delayed repeat of the same ticket arrives later.
func (a *Agent) deny(now time.Time, o *wire.Offer, r *wire.Refuse) admission {
	if o.Ticket != "" {
		a.dropTicket(now, o, r)
	}
	a.Notify(Notice{Kind: NoticeRefused, Subject: o.Id, Reason: chestnutstep.Reason(r.Reason), Workspace: o.Workspace, Profile: o.Profile, Ticket: o.Ticket != ""})
	return admission{refuse: r}
}

// dropTicket writes the tombstone of a refused ticket and gives a fresh one, where
// that can be used here: the caller's next try needs it.
func (a *Agent) dropTicket(now time.Time, o *wire.Offer, r *wire.Refuse) {
	stub := a.Issuer.Drop(now, o.Ticket, o.Workspace)
	r.Run = string(stub.Run)
	if stub.Run == chestnutstep.RunNo && a.mintRefusal() == "" {
		r.Ticket = a.fresh(now, o.Workspace)
	}
}

// fresh mints one ticket, or returns "" where the workspace's name fits none.
func (a *Agent) fresh(now time.Time, workspace string) string {
	tickets := a.Issuer.Mint(now, workspace, 1)
	if len(tickets) == 0 {
		return ""
	}
	return tickets[0]
}

// hold binds the ticket of a non-idempotent request, or refuses with a fresh
// one where it has none.
func (a *Agent) hold(now time.Time, o *wire.Offer) *wire.Refuse {
	if o.Idempotent && o.Ticket == "" {
		return nil
	}
	if o.Ticket == "" {
		r := refusal(chestnutstep.ReasonTicket, chestnutstep.RunNo)
		r.Ticket = a.fresh(now, o.Workspace)
		return r
	}
	stub := a.Issuer.Hold(now, o.Ticket, o.Workspace, o.Id)
	if stub.State == chestnutstep.TicketHeld && stub.Reason == "" {
		return nil
	}
	reason := stub.Reason
	if reason == "" {
		// It ran and this agent no longer keeps the answer.
		reason = chestnutstep.ReasonGone
	}
	return refusal(reason, stub.Run)
}

// decide asks the gate.
func (a *Agent) decide(now time.Time, o *wire.Offer, again bool) admission {
	log, _ := a.Answers.Put(now, o.Workspace, o.Id)
	j := newJob(a, now, o, log)
	j.again = again
	if o.Ticket != "" {
		log.Prefer()
	}
	home := o.Chat != "" && a.chats.has(chat{o.Workspace, o.Chat})
	alone := a.Detector.Check(now, o.Fingerprint) == chestnutstep.ContentSuspect
	d := a.Gate.Offer(now, j.work(now, home, alone))
	switch d.Verdict {
	case chestnutstep.VerdictAccept:
		a.jobs[j.key] = j
		a.place(now, j)
		a.Notify(j.notice(NoticeAccepted, ""))
		return a.follow(j, false)
	case chestnutstep.VerdictQueue:
		a.jobs[j.key] = j
		a.Notify(j.notice(NoticeQueued, ""))
		return a.follow(j, false)
	}
	a.Answers.Remove(o.Workspace, o.Id)
	r := refusal(d.Reason, chestnutstep.RunNo)
	r.Retry = int64(d.RetryAfter)
	r.Home = home
	return a.deny(now, o, r)
}

func refusal(reason chestnutstep.Reason, run chestnutstep.RunStatus) *wire.Refuse {
	return &wire.Refuse{Reason: string(reason), Run: string(run)}
}

func (a *Agent) downRefusal() *wire.Refuse {
	r := refusal(chestnutstep.ReasonDown, chestnutstep.RunNo)
	r.Retry = int64(probeEvery)
	return r
}
