package entry

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/wire"
)

// outcome is the result of one attempt.
type outcome struct {
	// done is set if no further target is tried.
	done bool
	// err is the final result; nil with done set means a complete answer.
	err *ErrRefused
}

// finalError converts a nil *ErrRefused to a nil error; without it, the error interface would be
// non-nil.
func (s outcome) finalError() error {
	if s.err == nil {
		return nil
	}
	return s.err
}

// handleRefusal handles a refusal: the request has not run at this target.
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

// mayQueue reports whether a request refused for this reason can succeed by waiting in a queue.
func mayQueue(r chestnutstep.Reason) bool {
	return r == chestnutstep.ReasonFull || r == chestnutstep.ReasonCold
}

// handleBroken handles an answer that ended incomplete.
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

// recordCrash records a target that crashed while it ran the request. If the target's agent
// condemned the content, it has crashed on the content before, which this entry did not see, and
// counts twice.
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

// decide returns whether the request continues with another target after a refusal or a broken
// answer.
func (k *dispatcher) decide(ref *ErrRefused) outcome {
	k.lastRefusal = ref
	if ref.RetryAfter > 0 && (k.retryAfter == 0 || ref.RetryAfter < k.retryAfter) {
		k.retryAfter = ref.RetryAfter
	}
	if ref.Run != chestnutstep.RunNo {
		k.mayHaveRun = true
	}
	if k.output.started {
		// The caller has part of this answer, and another run would produce a different one.
		return outcome{done: true, err: ref}
	}
	v := retry.Decide(ref.Reason, ref.Run, !k.request.profile.RequiresTicket)
	if v == retry.NextTarget || v == retry.Repeat && k.withdrawRetry() {
		return outcome{}
	}
	return outcome{done: true, err: k.finalRefusal().(*ErrRefused)}
}

// finalRefusal returns the final result after all attempts.
func (k *dispatcher) finalRefusal() error {
	err := k.lastRefusal
	if err == nil {
		err = &ErrRefused{Reason: chestnutstep.ReasonTarget, Run: k.request.runIfUnsent()}
	}
	// For a request with a ticket, "not run" comes from the agent that holds its tombstone, and is
	// final even if an earlier attempt had an unknown outcome.
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

// contextOutcome returns the final result after the time limit passed or the caller disconnected.
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
