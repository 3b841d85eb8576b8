package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
)

// Offer decides on new work. Accepted work counts as running at once.
//
// Work waits only where waiting can help: at the target that has its prompt prefix cached, for
// up to its patience, or at any target if the caller accepts waiting for its whole deadline,
// which it does when all targets are full. Other work is rejected at once, as its next target
// can serve it earlier.
func (g *Gate) Offer(now time.Time, w chestnutstep.Work) chestnutstep.Decision {
	w.Class = min(w.Class, chestnutstep.ClassCount-1)
	if d, found := g.findOffered(w); found {
		return d
	}
	if reason := g.closedReason(now, w); reason != "" {
		return g.refuse(now, w, reason)
	}
	g.lastOffered[w.Class] = now
	if w.Exclusive {
		return g.offerSuspect(now, w)
	}
	if g.canStart(now, w.Class) && !g.queue.MustWait(w.Class, g.canStartFunc(now)) {
		g.queue.RecordStart(w.Class)
		g.start(now, w)
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictAccept}
	}
	return g.enqueue(now, w)
}

// findOffered returns the decision on work that was offered before; a repeated offer changes
// nothing.
func (g *Gate) findOffered(w chestnutstep.Work) (chestnutstep.Decision, bool) {
	if g.running[w.ID] != nil {
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictAccept}, true
	}
	if g.queue.Contains(w.ID) || g.suspect.isWaiting(w.ID) {
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictQueue, PredictedWait: g.predictWait(w)}, true
	}
	return chestnutstep.Decision{}, false
}

// closedReason returns the reason why the target rejects all work or this work; empty if it
// does not.
func (g *Gate) closedReason(now time.Time, w chestnutstep.Work) chestnutstep.Reason {
	switch {
	case !g.hasLimits, g.limits.Out:
		return chestnutstep.ReasonOut
	case g.leaving:
		return chestnutstep.ReasonLeaving
	case !w.Deadline.After(now):
		return chestnutstep.ReasonLate
	}
	return ""
}

// enqueue queues work, or rejects it at once if waiting cannot help. The caller then gets the
// rejection within milliseconds instead of after its deadline, and can still be served
// elsewhere.
func (g *Gate) enqueue(now time.Time, w chestnutstep.Work) chestnutstep.Decision {
	if !canWait(now, w) {
		return g.refuse(now, w, g.fullReason(now))
	}
	predicted := g.predictWait(w)
	if now.Add(predicted + g.durations.Estimate(w.Cost)).After(w.Deadline) {
		return g.refuse(now, w, chestnutstep.ReasonLate)
	}
	if now.Add(predicted).After(w.WaitUntil) {
		return g.refuse(now, w, g.fullReason(now))
	}
	evicted, rejection := g.queue.Push(now, w)
	if rejection != nil {
		return g.refuse(now, w, rejection.Reason)
	}
	if evicted != nil {
		g.drop(now, *evicted, evictionReason(*evicted, w))
	}
	return chestnutstep.Decision{Verdict: chestnutstep.VerdictQueue, PredictedWait: predicted}
}

// evictionReason returns the reason why waiting work was evicted by other work.
func evictionReason(evicted, by chestnutstep.Work) chestnutstep.Reason {
	if evicted.Class > by.Class {
		return chestnutstep.ReasonQueue
	}
	return chestnutstep.ReasonShare
}

func canWait(now time.Time, w chestnutstep.Work) bool {
	if !w.WaitUntil.After(now) {
		return false
	}
	return w.HasCachedPrefix || !w.WaitUntil.Before(w.Deadline)
}

// fullReason returns the reason for work that found no free slot.
func (g *Gate) fullReason(now time.Time) chestnutstep.Reason {
	if g.suspect.isTaken() {
		return chestnutstep.ReasonSuspect
	}
	_, reason := g.limit(now)
	return reason
}

func (g *Gate) refuse(now time.Time, w chestnutstep.Work, reason chestnutstep.Reason) chestnutstep.Decision {
	return chestnutstep.Decision{
		Verdict:    chestnutstep.VerdictRefuse,
		Reason:     reason,
		RetryAfter: admit.Jitter(w.ID, g.retryAfter(now, reason)),
	}
}

func (g *Gate) drop(now time.Time, w chestnutstep.Work, reason chestnutstep.Reason) {
	g.dropped = append(g.dropped, chestnutstep.DroppedRequest{ID: w.ID, Decision: g.refuse(now, w, reason)})
}
