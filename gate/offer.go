package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
)

// Offer decides on new work. Accepted work counts as running at once.
//
// Work waits only where waiting may pay: at the target that holds its prompt
// prefix, for as long as its patience, or anywhere once its caller is willing
// to wait for its whole time limit, as it is when all targets are full. Other
// work is better off at its next target at once.
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

// findOffered finds work that was offered before: a repeat changes nothing.
func (g *Gate) findOffered(w chestnutstep.Work) (chestnutstep.Decision, bool) {
	if g.running[w.ID] != nil {
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictAccept}, true
	}
	if g.queue.Contains(w.ID) || g.suspect.isWaiting(w.ID) {
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictQueue, PredictedWait: g.predictWait(w)}, true
	}
	return chestnutstep.Decision{}, false
}

// closedReason is why the target takes no work at all, or none of this work.
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

// enqueue lets work wait, or refuses it at once when waiting can't help: the
// caller learns in milliseconds what it would otherwise learn after its time
// limit, and can still be served elsewhere.
func (g *Gate) enqueue(now time.Time, w chestnutstep.Work) chestnutstep.Decision {
	if !canWait(now, w) {
		return g.refuse(now, w, g.fullReason(now))
	}
	predicted := g.predictWait(w)
	if now.Add(predicted + g.pace.Estimate(w.Cost)).After(w.Deadline) {
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

// evictionReason is why waiting work lost its place to other work.
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

// fullReason is the reason of work that found no room.
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
