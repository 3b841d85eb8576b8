package agent

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// memoryRetryAfter is the time after which other bodies have been sent to the target.
const memoryRetryAfter = time.Second

// admission is the decision on an offer: a job to follow, or a refusal.
type admission struct {
	job    *job
	joined bool
	refuse *wire.Refuse
}

// admit decides on an offer. Every check precedes the run, so that each refusal correctly reports
// "not run".
func (a *Agent) admit(o *wire.Offer) admission {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	if len(o.Crashed) > 0 {
		a.Detector.Merge(now, []chestnutstep.Suspicion{{Fingerprint: o.Fingerprint, CrashedTargets: o.Crashed, SeenAt: now}})
	}
	adm, found, mayReplay := a.join(now, o)
	if found {
		return adm
	}
	if r := a.checkOffer(now, o); r != nil {
		return a.refuseOffer(now, o, r)
	}
	if r := a.bindTicket(now, o); r != nil {
		a.Notify(Notice{Kind: NoticeRefused, Subject: o.Id, Reason: chestnutstep.Reason(r.Reason), Workspace: o.Workspace, Profile: o.Profile, HasTicket: true})
		return admission{refuse: r}
	}
	return a.offerToGate(now, o, mayReplay)
}

// join looks up the request among the jobs and moved requests. found reports whether adm is
// decided; mayReplay reports whether an earlier run of the same content failed here.
func (a *Agent) join(now time.Time, o *wire.Offer) (adm admission, found, mayReplay bool) {
	j := a.jobs[jobKey(o.Workspace, o.Id)]
	if j != nil && j.failure != nil {
		mayReplay = j.hasSameContent(o)
		a.removeJob(j)
		j = nil
	}
	if j != nil {
		if !j.hasSameContent(o) {
			return admission{refuse: a.contentMismatch(j)}, true, false
		}
		if !j.bodyComplete && j.needsBodyOf(o) {
			// The first link never sent the body, but this offer contains it.
			a.setBody(now, j, o.Small)
		}
		return a.followJob(j, true), true, false
	}
	if target := a.movedTo.get(jobKey(o.Workspace, o.Id), now); target != "" {
		r := refusal(chestnutstep.ReasonMoved, chestnutstep.RunNo)
		r.Moved = target
		return admission{refuse: r}, true, false
	}
	return admission{}, false, mayReplay
}

func (j *job) hasSameContent(o *wire.Offer) bool {
	return j.offer.Fingerprint == o.Fingerprint && j.offer.Chat == o.Chat
}

// contentMismatch refuses a request whose id belongs to a request with other content. The refused
// request has not run, but its ticket can have run for the other one.
func (a *Agent) contentMismatch(j *job) *wire.Refuse {
	if j.atMostOnce() {
		return refusal(chestnutstep.ReasonSpent, chestnutstep.RunMaybe)
	}
	return refusal(chestnutstep.ReasonSpent, chestnutstep.RunNo)
}

// needsBodyOf reports whether the job still lacks its body and the offer contains it.
func (j *job) needsBodyOf(o *wire.Offer) bool {
	return j.state <= jobAccepted && carriesBody(o)
}

func (a *Agent) followJob(j *job, joined bool) admission {
	j.linkCount++
	return admission{job: j, joined: joined}
}

// checkOffer refuses an offer that can't run here regardless of load.
func (a *Agent) checkOffer(now time.Time, o *wire.Offer) *wire.Refuse {
	v := a.View()
	if v == nil {
		return refusal(chestnutstep.ReasonVersion, chestnutstep.RunNo)
	}
	a.applyPublication(now)
	t := v.Targets[a.Name]
	switch {
	case t != nil && t.Model != o.Model:
		return refusal(chestnutstep.ReasonModel, chestnutstep.RunNo)
	case a.rejectReason() == chestnutstep.ReasonDown:
		return a.downRefusal()
	case a.rejectReason() != "":
		return refusal(a.rejectReason(), chestnutstep.RunNo)
	case o.Remain <= 0:
		return refusal(chestnutstep.ReasonTimeout, chestnutstep.RunNo)
	case a.Detector.Check(now, o.Fingerprint) == chestnutstep.ContentCondemned:
		return refusal(chestnutstep.ReasonCondemned, chestnutstep.RunNo)
	}
	return a.checkPause(now, o)
}

// refuseOffer refuses an offer. Its ticket gets a tombstone, so that "not run" stays true if a
// delayed retry with the same ticket arrives later.
func (a *Agent) refuseOffer(now time.Time, o *wire.Offer, r *wire.Refuse) admission {
	if o.Ticket != "" {
		a.dropTicket(now, o, r)
	}
	a.Notify(Notice{Kind: NoticeRefused, Subject: o.Id, Reason: chestnutstep.Reason(r.Reason), Workspace: o.Workspace, Profile: o.Profile, HasTicket: o.Ticket != ""})
	return admission{refuse: r}
}

// dropTicket writes the tombstone of a refused ticket. If tickets can be minted, it adds a new one
// to the refusal, which the caller needs for its next attempt.
func (a *Agent) dropTicket(now time.Time, o *wire.Offer, r *wire.Refuse) {
	ticketStatus := a.Issuer.Drop(now, o.Ticket, o.Workspace)
	r.Run = string(ticketStatus.Run)
	if ticketStatus.Run == chestnutstep.RunNo && a.mintRefusal() == "" {
		r.Ticket = a.mintOne(now, o.Workspace)
	}
}

// mintOne mints one ticket, or returns "" if the workspace's name is too long for a ticket.
func (a *Agent) mintOne(now time.Time, workspace string) string {
	tickets := a.Issuer.Mint(now, workspace, 1)
	if len(tickets) == 0 {
		return ""
	}
	return tickets[0]
}

// bindTicket binds the ticket of a request to its id. It returns a refusal if the ticket can't be
// used, and one with a new ticket if a non-idempotent request has none.
func (a *Agent) bindTicket(now time.Time, o *wire.Offer) *wire.Refuse {
	if o.Idempotent && o.Ticket == "" {
		return nil
	}
	if o.Ticket == "" {
		r := refusal(chestnutstep.ReasonTicket, chestnutstep.RunNo)
		r.Ticket = a.mintOne(now, o.Workspace)
		return r
	}
	ticketStatus := a.Issuer.Hold(now, o.Ticket, o.Workspace, o.Id)
	if ticketStatus.State == chestnutstep.TicketHeld && ticketStatus.Reason == "" {
		return nil
	}
	reason := ticketStatus.Reason
	if reason == "" {
		// The request ran, and this agent no longer keeps its answer.
		reason = chestnutstep.ReasonGone
	}
	return refusal(reason, ticketStatus.Run)
}

// offerToGate submits the offer to the gate and carries out its decision.
func (a *Agent) offerToGate(now time.Time, o *wire.Offer, mayReplay bool) admission {
	log, _ := a.Answers.GetOrCreate(now, o.Workspace, o.Id)
	j := newJob(a, now, o, log)
	if !a.reserveBody(j) {
		a.Answers.Remove(o.Workspace, o.Id)
		r := refusal(chestnutstep.ReasonFull, chestnutstep.RunNo)
		r.Retry = int64(memoryRetryAfter)
		return a.refuseOffer(now, o, r)
	}
	j.mayReplay = mayReplay
	if o.Ticket != "" {
		log.SetPreferred()
	}
	hasCachedPrefix := o.Chat != "" && a.chats.has(chatKey{o.Workspace, o.Chat})
	exclusive := a.Detector.Check(now, o.Fingerprint) == chestnutstep.ContentSuspect
	d := a.Gate.Offer(now, j.gateWork(now, hasCachedPrefix, exclusive))
	switch d.Verdict {
	case chestnutstep.VerdictAccept:
		a.jobs[j.key] = j
		a.acceptJob(now, j)
		a.Notify(j.newNotice(NoticeAccepted, ""))
		return a.followJob(j, false)
	case chestnutstep.VerdictQueue:
		a.jobs[j.key] = j
		a.Notify(j.newNotice(NoticeQueued, ""))
		return a.followJob(j, false)
	}
	a.releaseBody(j)
	a.Answers.Remove(o.Workspace, o.Id)
	r := refusal(d.Reason, chestnutstep.RunNo)
	r.Retry = int64(d.RetryAfter)
	r.Home = hasCachedPrefix
	return a.refuseOffer(now, o, r)
}

func refusal(reason chestnutstep.Reason, run chestnutstep.RunStatus) *wire.Refuse {
	return &wire.Refuse{Reason: string(reason), Run: string(run)}
}

func (a *Agent) downRefusal() *wire.Refuse {
	r := refusal(chestnutstep.ReasonDown, chestnutstep.RunNo)
	r.Retry = int64(probeInterval)
	return r
}
