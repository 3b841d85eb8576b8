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
	// patience is how long the request may wait in the target's queue.
	patience time.Duration
	// isOwner says that only this target may run the request, or that it runs it
	// already: its agent gets more time to answer.
	isOwner bool
	// clearMoved ends the agent's note that another target runs the request.
	clearMoved bool
}

// try offers the request to one target and follows it to the end.
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
		// A send that fails shows in the next receive, with the reason.
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

// answerTimeout is how long an agent may take to answer. The only one that may have
// the request gets half of the time that is left, up to ownerLimit: after a
// shorter wait the caller could only retry at the same agent, or run it again.
func (k *dispatcher) answerTimeout(isOwner bool) time.Duration {
	if !isOwner {
		return offerTimeout
	}
	return max(offerTimeout, min(k.remaining()/2, ownerTimeout))
}

// remaining is the time until the request's deadline.
func (k *dispatcher) remaining() time.Duration { return k.request.deadline.Sub(k.entry.Clock()) }

// recordFailure notes that a target's agent did not answer.
func (k *dispatcher) recordFailure(t *chestnutstep.Target, startedAt time.Time, err error) {
	now := k.entry.Clock()
	k.entry.Hosts.RecordFailure(now, t.Host)
	answer := OfferBroken
	if IsErrUnresponsive(err) {
		answer = OfferUnresponsive
	}
	k.reportOffer(t, answer, "", now.Sub(startedAt))
}

// reportOffer passes on what became of an offer.
func (k *dispatcher) reportOffer(t *chestnutstep.Target, answer OfferAnswer, reason chestnutstep.Reason, after time.Duration) {
	k.entry.OnOffer(Offer{
		Request: k.request.id, Profile: k.request.profile.Name, Target: t.Name, Number: k.offerCount,
		Answer: answer, Reason: reason, After: after,
	})
}

// sendOffer sends the offer and waits for its answer.
func (k *dispatcher) sendOffer(l *link, o *wire.Offer, limit time.Duration) (*wire.Down, error) {
	if err := l.send(&wire.Up{Kind: &wire.Up_Offer{Offer: o}}); err != nil {
		return nil, err
	}
	return l.receiveFirst(limit)
}

// handleNoAnswer decides after an offer without an answer: the body was not sent, so that
// nothing ran. A ticket has only the one agent to go to, and a link that broke
// is opened again; one that is silent has had its time.
func (k *dispatcher) handleNoAnswer(ctx context.Context, t *chestnutstep.Target, err error) outcome {
	if k.request.ticket != "" && !IsErrUnresponsive(err) {
		return k.reoffer(ctx, t)
	}
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: k.request.runIfUnsent()})
}
