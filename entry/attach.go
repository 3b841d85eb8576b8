package entry

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// maxAttachAttempts is the maximum number of attempts to reattach that fail because the agent
	// can't be reached, and of new offers of a ticketed request after a broken link. The sum of the
	// pauses is less than the agent's linger time, for which it keeps a run.
	maxAttachAttempts = 4
	// attachBackoff is the first pause between attempts. Each pause is twice the previous one, up
	// to maxAttachBackoff.
	attachBackoff    = 100 * time.Millisecond
	maxAttachBackoff = 800 * time.Millisecond
)

// reoffer offers a ticketed request again to the only agent that can run it. It is irrelevant
// whether the first offer arrived: the ticket makes the second one join the first.
func (k *dispatcher) reoffer(ctx context.Context, t *chestnutstep.Target) outcome {
	k.reofferCount++
	if k.reofferCount > maxAttachAttempts {
		return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: chestnutstep.RunMaybe})
	}
	select {
	case <-ctx.Done():
		return k.contextOutcome(ctx)
	case <-time.After(attachBackoff << k.reofferCount):
	}
	return k.try(ctx, attempt{target: t, patience: k.remaining(), isOwner: true})
}

// attach reconnects to the request at its agent after the link broke: the run continues there, and
// the answer resumes at the byte where it stopped.
func (k *dispatcher) attach(ctx context.Context, t *chestnutstep.Target) outcome {
	giveUpAt := k.entry.Clock().Add(k.attachWindow())
	pause := attachBackoff
	for failures := 0; failures < maxAttachAttempts && k.entry.Clock().Before(giveUpAt); {
		if ctx.Err() != nil {
			return k.contextOutcome(ctx)
		}
		s, err := k.attachOnce(ctx, t)
		if err == nil {
			return s
		}
		if !IsErrUnresponsive(err) {
			failures++
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, maxAttachBackoff)
	}
	if ctx.Err() != nil {
		return k.contextOutcome(ctx)
	}
	k.mayHaveRun = true
	k.exclude(t.Name)
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonUnknown, Run: chestnutstep.RunMaybe})
}

// attachWindow returns how long to keep trying to reattach at an unresponsive agent. It ends at the
// request's deadline if no other target can continue the request: for an action, or if the caller
// already has part of the answer.
func (k *dispatcher) attachWindow() time.Duration {
	if k.request.profile.RequiresTicket || k.output.started {
		return k.remaining()
	}
	return k.answerTimeout(true)
}

// attachOnce makes one attempt to reattach. It returns an error if the agent can't be reached.
func (k *dispatcher) attachOnce(ctx context.Context, t *chestnutstep.Target) (outcome, error) {
	l, err := k.entry.openLink(t, k.answerTimeout(true))
	if err != nil {
		return outcome{}, err
	}
	at := &wire.Attach{Id: k.request.id, Workspace: k.request.workspace.Name, Offset: k.output.offset}
	if err := l.send(&wire.Up{Kind: &wire.Up_Attach{Attach: at}}); err != nil {
		l.cancel()
		return outcome{}, err
	}
	down, err := l.receiveFirst(k.answerTimeout(true))
	if err != nil {
		l.cancel()
		return outcome{}, err
	}
	k.servedBy = t.Name
	k.reattached++
	return k.follow(ctx, l, down), nil
}
