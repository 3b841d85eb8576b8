package entry

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// maxAttachAttempts bounds the attempts that find nobody at the agent's address, and
	// offers of a ticketed request after a broken link. The agent keeps a run for
	// its linger time; the pauses add up to less.
	maxAttachAttempts = 4
	// attachBackoff is the first pause between attempts; each is twice the one
	// before, up to attachPauseMost.
	attachBackoff    = 100 * time.Millisecond
	maxAttachBackoff = 800 * time.Millisecond
)

// reoffer offers a ticketed request once more to the one agent that may run it.
// Whether the first offer arrived is not known here and need not be: the ticket
// makes the second one join it.
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

// attach joins the request again at its agent after the link broke: the run
// goes on there, and the answer continues at the byte where it stopped.
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

// attachWindow is how long a silent agent is asked for a run: to the deadline
// where nobody else can go on with it, as for an action, or an answer that its
// caller has in part.
func (k *dispatcher) attachWindow() time.Duration {
	if k.request.profile.RequiresTicket || k.output.started {
		return k.remaining()
	}
	return k.answerTimeout(true)
}

// attachOnce returns an error when the agent could not be reached.
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
