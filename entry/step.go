package entry

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/wire"
)

// outcome is what one try led to.
type outcome struct {
	// done says that the walk is over; otherwise it goes on down the ranking.
	done bool
	// err is the final word; nil with done means a whole answer.
	err *ErrRefused
}

// finalError turns a nil *ErrRefused into a nil error, which it is not by itself.
func (s outcome) finalError() error {
	if s.err == nil {
		return nil
	}
	return s.err
}

// handleRefusal acts on a refusal: the request has not run at this target.
func (k *dispatcher) handleRefusal(ctx context.Context, l *link, r *wire.Refuse) outcome {
	k.keepRefusedLink(l)
	if r.Moved != "" {
		return k.joinMoved(ctx, l.target, r.Moved)
	}
	k.exclude(l.target.Name)
	if r.Home {
		k.cacheSource = l.target.Agent
	}
	if r.Reason == string(chestnutstep.ReasonLeaving) {
		k.entry.Hosts.RecordRefusal(k.entry.Clock(), l.target.Host)
	}
	ref := &ErrRefused{
		Reason:     chestnutstep.Reason(r.Reason),
		Run:        chestnutstep.RunStatus(r.Run),
		RetryAfter: time.Duration(r.Retry),
		Ticket:     r.Ticket,
	}
	if k.request.ticket == "" && ref.Run == chestnutstep.RunNo && mayQueue(ref.Reason) && k.queueTarget == nil {
		k.queueTarget = l.target
	}
	return k.decide(ref)
}

// mayQueue says that a refusal for this reason may turn by waiting in a queue.
func mayQueue(r chestnutstep.Reason) bool {
	return r == chestnutstep.ReasonFull || r == chestnutstep.ReasonCold
}

// handleBroken acts on an answer that did not become whole.
func (k *dispatcher) handleBroken(ctx context.Context, b *wire.Broken) outcome {
	if ctx.Err() != nil {
		return k.contextOutcome(ctx)
	}
	k.exclude(k.servedBy)
	ref := &ErrRefused{
		Reason:     chestnutstep.Reason(b.Reason),
		Run:        chestnutstep.RunStatus(b.Run),
		RetryAfter: time.Duration(b.Retry),
	}
	if ref.Run != chestnutstep.RunNo {
		k.recordCrash(ref.Reason)
	}
	if len(k.crashedTargets) >= maxCrashes {
		ref.Reason = chestnutstep.ReasonCondemned
	}
	return k.decide(ref)
}

// recordCrash takes note of a target that died while it ran the request. One whose
// agent condemned the content has crashed on it before, unseen by this entry.
func (k *dispatcher) recordCrash(reason chestnutstep.Reason) {
	switch reason {
	case chestnutstep.ReasonCondemned:
		k.crashedTargets = append(k.crashedTargets, k.servedBy, k.servedBy)
	case chestnutstep.ReasonCrashed:
		k.crashedTargets = append(k.crashedTargets, k.servedBy)
	default:
		return
	}
	k.entry.recordCrash(k.request.fingerprint, k.crashedTargets)
}

// decide says how the walk goes on after a refusal or a break.
func (k *dispatcher) decide(ref *ErrRefused) outcome {
	k.lastRefusal = ref
	if ref.RetryAfter > 0 && (k.retryAfter == 0 || ref.RetryAfter < k.retryAfter) {
		k.retryAfter = ref.RetryAfter
	}
	if ref.Run != chestnutstep.RunNo {
		k.mayHaveRun = true
	}
	if k.output.started {
		// The caller has bytes of this answer; another run would give others.
		return outcome{done: true, err: ref}
	}
	v := retry.Decide(ref.Reason, ref.Run, !k.request.profile.RequiresTicket)
	if v == retry.NextTarget || v == retry.Repeat && k.withdrawRetry() {
		return outcome{}
	}
	return outcome{done: true, err: k.finalRefusal().(*ErrRefused)}
}

// finalRefusal is the final word after all tries.
func (k *dispatcher) finalRefusal() error {
	err := k.lastRefusal
	if err == nil {
		err = &ErrRefused{Reason: chestnutstep.ReasonTarget, Run: k.request.runIfUnsent()}
	}
	// A ticketed request's "no" comes from the agent that holds its tombstone,
	// and is final whatever was unclear before.
	if k.mayHaveRun && err.Run == chestnutstep.RunNo && k.request.ticket == "" {
		err.Run = chestnutstep.RunMaybe
	}
	if err.RetryAfter == 0 {
		err.RetryAfter = k.retryAfter
	}
	if ans := retry.ReplyFor(err.Reason); err.RetryAfter == 0 && ans.Retryable {
		err.RetryAfter = ans.RetryAfter
	}
	return err
}

// contextOutcome is the final word when the time limit passed or the caller left.
func (k *dispatcher) contextOutcome(ctx context.Context) outcome {
	reason := chestnutstep.ReasonTimeout
	if ctx.Err() == context.Canceled {
		reason = chestnutstep.ReasonCanceled
	}
	run := chestnutstep.RunMaybe
	if k.servedBy == "" && !k.mayHaveRun {
		run = k.request.runIfUnsent()
	}
	return outcome{done: true, err: &ErrRefused{Reason: reason, Run: run, RetryAfter: time.Second}}
}
