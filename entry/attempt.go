package entry

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

// attempt is one offer of the request to a target.
type attempt struct {
	target *chestnutstep.Target
	// patience is the maximum time in the target's queue.
	patience time.Duration
	// isOwner is set if only this target can run the request or it already runs it. Its agent then
	// gets more time to answer.
	isOwner bool
	// clearMoved removes the agent's record that another target runs the request.
	clearMoved bool
}

// try offers the request to one target and follows it to its end.
func (k *dispatcher) try(ctx context.Context, a attempt) outcome {
	if ctx.Err() != nil {
		return k.contextOutcome(ctx)
	}
	k.offerCount++
	t := a.target
	startedAt := k.entry.Clock()
	l, err := k.entry.openLink(t, k.answerTimeout(a.isOwner))
	if err != nil {
		k.recordFailure(t, startedAt, err)
		return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: k.request.runIfUnsent()})
	}
	if a.clearMoved {
		// A failed send shows up in the next receive, together with its cause.
		_ = l.send(k.request.movedMessage(t.Name))
	}
	o := k.request.newOffer(k.entry.Clock(), a.patience)
	o.Source = k.cacheSource
	o.Crashed = k.crashedTargets
	down, err := k.sendOffer(l, o, k.answerTimeout(a.isOwner))
	if err != nil {
		defer l.cancel()
		k.recordFailure(t, startedAt, err)
		return k.handleNoAnswer(ctx, t, err)
	}
	k.entry.Hosts.RecordSuccess(k.entry.Clock(), t.Host)
	return k.follow(ctx, l, down)
}

// answerTimeout returns the timeout for an agent's answer to an offer. The only agent that can have
// the request gets half of the remaining time, up to ownerTimeout: after a shorter wait the caller
// could only retry at the same agent or have the request run again.
func (k *dispatcher) answerTimeout(isOwner bool) time.Duration {
	if !isOwner {
		return offerTimeout
	}
	return max(offerTimeout, min(k.remaining()/2, ownerTimeout))
}

// remaining returns the time until the request's deadline.
func (k *dispatcher) remaining() time.Duration { return k.request.deadline.Sub(k.entry.Clock()) }

// recordFailure records that a target's agent did not answer an offer.
func (k *dispatcher) recordFailure(t *chestnutstep.Target, startedAt time.Time, err error) {
	now := k.entry.Clock()
	k.entry.Hosts.RecordFailure(now, t.Host)
	answer := OfferBroken
	if IsErrUnresponsive(err) {
		answer = OfferUnresponsive
	}
	k.reportOffer(t, answer, "", now.Sub(startedAt))
}

// reportOffer reports the result of an offer to OnOffer.
func (k *dispatcher) reportOffer(t *chestnutstep.Target, answer OfferAnswer, reason chestnutstep.Reason, after time.Duration) {
	k.entry.OnOffer(Offer{
		Request: k.request.id, Profile: k.request.profile.Name, Target: t.Name, Number: k.offerCount,
		Answer: answer, Reason: reason, After: after,
	})
}

// sendOffer sends the offer and waits for its answer. It returns ErrUnresponsive if the limit
// passes.
func (k *dispatcher) sendOffer(l *link, o *wire.Offer, limit time.Duration) (*wire.Down, error) {
	if err := l.send(&wire.Up{Kind: &wire.Up_Offer{Offer: o}}); err != nil {
		return nil, err
	}
	return l.receiveFirst(limit)
}

// handleNoAnswer decides what follows an offer without an answer. The body was not sent, so nothing
// ran. A request with a ticket can go to one agent only, and a broken link to it is opened again;
// an agent that did not answer in time is not asked again.
func (k *dispatcher) handleNoAnswer(ctx context.Context, t *chestnutstep.Target, err error) outcome {
	if k.request.ticket != "" && !IsErrUnresponsive(err) {
		return k.reoffer(ctx, t)
	}
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: k.request.runIfUnsent()})
}
