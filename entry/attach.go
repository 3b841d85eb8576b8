package entry

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// attachMost bounds the attempts that find nobody at the agent's address, and
	// offers of a ticketed request after a broken link. The agent keeps a run for
	// its linger time; the pauses add up to less.
	attachMost = 4
	// attachPause is the first pause between attempts; each is twice the one
	// before, up to attachPauseMost.
	attachPause     = 100 * time.Millisecond
	attachPauseMost = 800 * time.Millisecond
)

// again offers a ticketed request once more to the one agent that may run it.
// Whether the first offer arrived is not known here and need not be: the ticket
// makes the second one join it.
func (k *walk) again(ctx context.Context, t *chestnutstep.Target) step {
	k.reoffers++
	if k.reoffers > attachMost {
		return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: chestnutstep.RunMaybe})
	}
	select {
	case <-ctx.Done():
		return k.outOfTime(ctx)
	case <-time.After(attachPause << k.reoffers):
	}
	return k.try(ctx, attempt{target: t, patience: k.left(), owner: true})
}

// attach joins the request again at its agent after the link broke: the run
// goes on there, and the answer continues at the byte where it stopped.
func (k *walk) attach(ctx context.Context, t *chestnutstep.Target) step {
	until := k.entry.Clock().Add(k.attachTime())
	pause := attachPause
	for broken := 0; broken < attachMost && k.entry.Clock().Before(until); {
		if ctx.Err() != nil {
			return k.outOfTime(ctx)
		}
		s, err := k.attachOnce(ctx, t)
		if err == nil {
			return s
		}
		if !IsErrSilent(err) {
			broken++
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause = min(2*pause, attachPauseMost)
	}
	if ctx.Err() != nil {
		return k.outOfTime(ctx)
	}
	k.maybe = true
	k.ruleOut(t.Name)
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonUnknown, Run: chestnutstep.RunMaybe})
}

// attachTime is how long a silent agent is asked for a run: to the deadline
// where nobody else can go on with it, as for an action, or an answer that its
// caller has in part.
func (k *walk) attachTime() time.Duration {
	if k.ask.profile.RequiresTicket || k.out.started {
		return k.left()
	}
	return k.silence(true)
}

// attachOnce returns an error when the agent could not be reached.
func (k *walk) attachOnce(ctx context.Context, t *chestnutstep.Target) (step, error) {
	l, err := k.entry.openLink(t, k.silence(true))
	if err != nil {
		return step{}, err
	}
	at := &wire.Attach{Id: k.ask.id, Workspace: k.ask.workspace.Name, Offset: k.out.offset}
	if err := l.send(&wire.Up{Kind: &wire.Up_Attach{Attach: at}}); err != nil {
		l.cancel()
		return step{}, err
	}
	down, err := l.first(k.silence(true))
	if err != nil {
		l.cancel()
		return step{}, err
	}
	k.served = t.Name
	k.attached++
	return k.follow(ctx, l, down), nil
}
