package entry

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// attachMost bounds the attempts to join a run whose link broke. The
	// agent keeps the run for its linger time; the pauses add up to less.
	attachMost  = 4
	attachPause = 100 * time.Millisecond
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
	pause := attachPause
	for range attachMost {
		if ctx.Err() != nil {
			return k.outOfTime(ctx)
		}
		if s, ok := k.attachOnce(ctx, t); ok {
			return s
		}
		select {
		case <-ctx.Done():
		case <-time.After(pause):
		}
		pause *= 2
	}
	k.maybe = true
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonUnknown, Run: chestnutstep.RunMaybe})
}

// attachOnce returns false when the agent could not be reached.
func (k *walk) attachOnce(ctx context.Context, t *chestnutstep.Target) (step, bool) {
	l, err := k.entry.openLink(t, answerLimit)
	if err != nil {
		return step{}, false
	}
	at := &wire.Attach{Id: k.ask.id, Workspace: k.ask.workspace.Name, Offset: k.out.offset}
	if err := l.send(&wire.Up{Kind: &wire.Up_Attach{Attach: at}}); err != nil {
		l.cancel()
		return step{}, false
	}
	down, err := l.first(answerLimit)
	if err != nil {
		l.cancel()
		return step{}, false
	}
	k.served = t.Name
	k.attached++
	return k.follow(ctx, l, down), true
}
