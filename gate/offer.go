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
	if d, known := g.known(w); known {
		return d
	}
	if reason := g.closed(now, w); reason != "" {
		return g.refuse(now, w, reason)
	}
	g.seen[w.Class] = now
	if w.Exclusive {
		return g.offerAlone(now, w)
	}
	if g.room(now, w.Class) && !g.queue.Behind(w.Class, g.may(now)) {
		g.queue.Pass(w.Class)
		g.start(now, w)
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictAccept}
	}
	return g.wait(now, w)
}

// known finds work that was offered before: a repeat changes nothing.
func (g *Gate) known(w chestnutstep.Work) (chestnutstep.Decision, bool) {
	if g.running[w.ID] != nil {
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictAccept}, true
	}
	if g.queue.Has(w.ID) || g.turn.has(w.ID) {
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictQueue, PredictedWait: g.predict(w)}, true
	}
	return chestnutstep.Decision{}, false
}

// closed is why the target takes no work at all, or none of this work.
func (g *Gate) closed(now time.Time, w chestnutstep.Work) chestnutstep.Reason {
	switch {
	case !g.limited, g.limits.Out:
		return chestnutstep.ReasonOut
	case g.leaving:
		return chestnutstep.ReasonLeaving
	case !w.Deadline.After(now):
		return chestnutstep.ReasonLate
	}
	return ""
}

// wait lets work wait, or refuses it at once when waiting can't help: the
// caller learns in milliseconds what it would otherwise learn after its time
// limit, and can still be served elsewhere.
func (g *Gate) wait(now time.Time, w chestnutstep.Work) chestnutstep.Decision {
	if !mayWait(now, w) {
		return g.refuse(now, w, g.full(now))
	}
	predicted := g.predict(w)
	if now.Add(predicted + g.pace.Estimate(w.Cost)).After(w.Deadline) {
		return g.refuse(now, w, chestnutstep.ReasonLate)
	}
	if now.Add(predicted).After(w.WaitUntil) {
		return g.refuse(now, w, g.full(now))
	}
	out, full := g.queue.Push(now, w)
	if full != nil {
		return g.refuse(now, w, full.Reason)
	}
	if out != nil {
		g.drop(now, *out, pushedOut(*out, w))
	}
	return chestnutstep.Decision{Verdict: chestnutstep.VerdictQueue, PredictedWait: predicted}
}

// pushedOut is why waiting work lost its place to other work.
func pushedOut(out, by chestnutstep.Work) chestnutstep.Reason {
	if out.Class > by.Class {
		return chestnutstep.ReasonQueue
	}
	return chestnutstep.ReasonShare
}

func mayWait(now time.Time, w chestnutstep.Work) bool {
	if !w.WaitUntil.After(now) {
		return false
	}
	return w.HasCachedPrefix || !w.WaitUntil.Before(w.Deadline)
}

// full is the reason of work that found no room.
func (g *Gate) full(now time.Time) chestnutstep.Reason {
	if g.turn.blocks() {
		return chestnutstep.ReasonSuspect
	}
	_, reason := g.limit(now)
	return reason
}

func (g *Gate) refuse(now time.Time, w chestnutstep.Work, reason chestnutstep.Reason) chestnutstep.Decision {
	return chestnutstep.Decision{
		Verdict:    chestnutstep.VerdictRefuse,
		Reason:     reason,
		RetryAfter: admit.Jitter(w.ID, g.comeBack(now, reason)),
	}
}

func (g *Gate) drop(now time.Time, w chestnutstep.Work, reason chestnutstep.Reason) {
	g.dropped = append(g.dropped, chestnutstep.DroppedRequest{ID: w.ID, Decision: g.refuse(now, w, reason)})
}
