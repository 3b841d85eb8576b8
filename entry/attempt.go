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
	// owner says that only this target may run the request, or that it runs it
	// already: its agent gets more time to answer.
	owner bool
	// over ends the agent's note that another target runs the request.
	over bool
}

// try offers the request to one target and follows it to the end.
func (k *walk) try(ctx context.Context, a attempt) step {
	if ctx.Err() != nil {
		return k.outOfTime(ctx)
	}
	k.offers++
	t := a.target
	began := k.entry.Clock()
	l, err := k.entry.openLink(t, k.silence(a.owner))
	if err != nil {
		k.fail(t, began, err)
		return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: k.ask.unrun()})
	}
	if a.over {
		// A send that fails shows in the next receive, with the reason.
		_ = l.send(k.ask.moved(t.Name))
	}
	o := k.ask.offer(k.entry.Clock(), a.patience)
	o.Source = k.source
	o.Crashed = k.crashed
	down, err := k.offer(l, o, k.silence(a.owner))
	if err != nil {
		defer l.cancel()
		k.fail(t, began, err)
		return k.lost(ctx, t, err)
	}
	k.entry.Hosts.RecordSuccess(k.entry.Clock(), t.Host)
	return k.follow(ctx, l, down)
}

// silence is how long an agent may take to answer. The only one that may have
// the request gets half of the time that is left, up to ownerLimit: after a
// shorter wait the caller could only retry at the same agent, or run it again.
func (k *walk) silence(owner bool) time.Duration {
	if !owner {
		return answerLimit
	}
	return max(answerLimit, min(k.left()/2, ownerLimit))
}

// left is the time until the request's deadline.
func (k *walk) left() time.Duration { return k.ask.deadline.Sub(k.entry.Clock()) }

// fail notes that a target's agent did not answer.
func (k *walk) fail(t *chestnutstep.Target, began time.Time, err error) {
	now := k.entry.Clock()
	k.entry.Hosts.RecordFailure(now, t.Host)
	answer := OfferBroken
	if IsErrSilent(err) {
		answer = OfferSilent
	}
	k.report(t, answer, "", now.Sub(began))
}

// report passes on what became of an offer.
func (k *walk) report(t *chestnutstep.Target, answer OfferAnswer, reason chestnutstep.Reason, after time.Duration) {
	k.entry.OnOffer(Offer{
		Request: k.ask.id, Profile: k.ask.profile.Name, Target: t.Name, Number: k.offers,
		Answer: answer, Reason: reason, After: after,
	})
}

// offer sends the offer and waits for its answer.
func (k *walk) offer(l *link, o *wire.Offer, limit time.Duration) (*wire.Down, error) {
	if err := l.send(&wire.Up{Kind: &wire.Up_Offer{Offer: o}}); err != nil {
		return nil, err
	}
	return l.first(limit)
}

// lost decides after an offer without an answer: the body was not sent, so that
// nothing ran. A ticket has only the one agent to go to, and a link that broke
// is opened again; one that is silent has had its time.
func (k *walk) lost(ctx context.Context, t *chestnutstep.Target, err error) step {
	if k.ask.ticket != "" && !IsErrSilent(err) {
		return k.again(ctx, t)
	}
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: k.ask.unrun()})
}
