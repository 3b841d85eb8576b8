package entry

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/wire"
)

// step is what one try led to.
type step struct {
	// done says that the walk is over; otherwise it goes on down the ranking.
	done bool
	// err is the final word; nil with done means a whole answer.
	err *ErrRefused
}

// final turns a nil *ErrRefused into a nil error, which it is not by itself.
func (s step) final() error {
	if s.err == nil {
		return nil
	}
	return s.err
}

// refuse acts on a refusal: the request has not run at this target.
func (k *walk) refuse(ctx context.Context, l *link, r *wire.Refuse) step {
	k.keepRefused(l)
	if r.Moved != "" {
		return k.joinMoved(ctx, l.target, r.Moved)
	}
	k.ruleOut(l.target.Name)
	if r.Home {
		k.source = l.target.Agent
	}
	if r.Reason == string(chestnutstep.ReasonLeaving) {
		k.entry.Hosts.RecordRefusal(k.entry.Clock(), l.target.Host)
	}
	ref := &ErrRefused{
		Reason: chestnutstep.Reason(r.Reason),
		Run:    chestnutstep.RunStatus(r.Run),
		Retry:  time.Duration(r.Retry),
		Ticket: r.Ticket,
	}
	if k.ask.ticket == "" && ref.Run == chestnutstep.RunNo && waits(ref.Reason) && k.full == nil {
		k.full = l.target
	}
	return k.decide(ref)
}

// waits says that a refusal for this reason may turn by waiting in a queue.
func waits(r chestnutstep.Reason) bool {
	return r == chestnutstep.ReasonFull || r == chestnutstep.ReasonCold
}

// broken acts on an answer that did not become whole.
func (k *walk) broken(ctx context.Context, b *wire.Broken) step {
	if ctx.Err() != nil {
		return k.outOfTime(ctx)
	}
	k.ruleOut(k.served)
	ref := &ErrRefused{
		Reason: chestnutstep.Reason(b.Reason),
		Run:    chestnutstep.RunStatus(b.Run),
		Retry:  time.Duration(b.Retry),
	}
	if ref.Run != chestnutstep.RunNo {
		k.noteCrash(ref.Reason)
	}
	if len(k.crashed) >= crashesMost {
		ref.Reason = chestnutstep.ReasonCondemned
	}
	return k.decide(ref)
}

// noteCrash takes note of a target that died while it ran the request. One whose
// agent condemned the content has crashed on it before, unseen by this entry.
func (k *walk) noteCrash(reason chestnutstep.Reason) {
	switch reason {
	case chestnutstep.ReasonCondemned:
		k.crashed = append(k.crashed, k.served, k.served)
	case chestnutstep.ReasonCrashed:
		k.crashed = append(k.crashed, k.served)
	default:
		return
	}
	k.entry.accuse(k.ask.fingerprint, k.crashed)
}

// decide says how the walk goes on after a refusal or a break.
func (k *walk) decide(ref *ErrRefused) step {
	k.last = ref
	if ref.Retry > 0 && (k.retry == 0 || ref.Retry < k.retry) {
		k.retry = ref.Retry
	}
	if ref.Run != chestnutstep.RunNo {
		k.maybe = true
	}
	if k.out.started {
		// The caller has bytes of this answer; another run would give others.
		return step{done: true, err: ref}
	}
	v := retry.Decide(ref.Reason, ref.Run, !k.ask.profile.RequiresTicket)
	if v == retry.NextTarget || v == retry.Repeat && k.repeat() {
		return step{}
	}
	return step{done: true, err: k.giveUp().(*ErrRefused)}
}

// giveUp is the final word after all tries.
func (k *walk) giveUp() error {
	err := k.last
	if err == nil {
		err = &ErrRefused{Reason: chestnutstep.ReasonTarget, Run: k.ask.unrun()}
	}
	// A ticketed request's "no" comes from the agent that holds its tombstone,
	// and is final whatever was unclear before.
	if k.maybe && err.Run == chestnutstep.RunNo && k.ask.ticket == "" {
		err.Run = chestnutstep.RunMaybe
	}
	if err.Retry == 0 {
		err.Retry = k.retry
	}
	if ans := retry.ReplyFor(err.Reason); err.Retry == 0 && ans.Retryable {
		err.Retry = ans.RetryAfter
	}
	return err
}

// outOfTime is the final word when the time limit passed or the caller left.
func (k *walk) outOfTime(ctx context.Context) step {
	reason := chestnutstep.ReasonTimeout
	if ctx.Err() == context.Canceled {
		reason = chestnutstep.ReasonCanceled
	}
	run := chestnutstep.RunMaybe
	if k.served == "" && !k.maybe {
		run = k.ask.unrun()
	}
	return step{done: true, err: &ErrRefused{Reason: reason, Run: run, Retry: time.Second}}
}
