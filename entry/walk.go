package entry

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/route"
	"chestnutstep.example/chestnutstep/ticket"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// triesMost bounds the targets of one request whatever the profile says.
	triesMost = 8
	// crashesMost is how many targets one request may take down. One crash may
	// be chance; a second one right after is the request's doing, and a third
	// target would follow.
	crashesMost = 2
)

// walk takes one request down the ranking until it is served or given up.
type walk struct {
	entry *Entry
	ask   *ask
	out   *output

	targets []*chestnutstep.Target
	offers  int
	// repeated counts repeats out of the budget, denied says that it was spent;
	// attached counts links taken up again.
	repeated int
	denied   bool
	attached int
	// reoffers counts the offers of a ticketed request that got no answer.
	reoffers int
	// refused is the open link of the first target that refused, to be told
	// where the request went.
	refused *link
	// retry is the earliest that any agent said to come back.
	retry time.Duration
	last  *ErrRefused
	// maybe is set once a target may have run the request without an answer.
	maybe  bool
	served string
	// full is the first target whose refusal waiting may mend.
	full *chestnutstep.Target
	// crashed lists the targets that died while they ran the request.
	crashed []string
	// source is the agent that holds the chat's KV cache and refused.
	source string
	// ruledOut lists the targets that are not asked again who runs the request:
	// they don't have it, or their agent was silent for as long as it may be.
	ruledOut []string
}

// run serves the request, or returns the final word on it.
func (k *walk) run(ctx context.Context) error {
	defer k.closeRefused()
	err := k.serve(ctx)
	if err != nil && len(k.crashed) > 0 {
		k.warn()
	}
	return err
}

// serve takes the request down the ranking.
func (k *walk) serve(ctx context.Context) error {
	if k.entry.condemned(k.ask.fingerprint) {
		return &ErrRefused{Reason: chestnutstep.ReasonCondemned, Run: k.ask.unrun()}
	}
	if k.ask.ticket != "" {
		return k.runTicket(ctx)
	}
	k.rank()
	if len(k.targets) == 0 {
		return &ErrRefused{Reason: chestnutstep.ReasonTarget, Run: chestnutstep.RunNo, Retry: time.Second}
	}
	k.earn()
	tries := min(len(k.targets), max(k.ask.profile.MaxAttempts, 1))
	for i := range tries {
		if i > 0 && !k.spend() {
			break
		}
		if s := k.try(ctx, attempt{target: k.targets[i], patience: k.patience(i)}); s.done {
			return s.final()
		}
	}
	return k.wait(ctx)
}

// rank orders the targets for the chat: the hinted one first, but for the part
// of a displaced chat's requests that take it home.
func (k *walk) rank() {
	ranker := k.entry.Ranker(k.ask.view)
	n := min(max(k.ask.profile.MaxAttempts, 1), triesMost)
	place := k.ask.place(k.entry.Region)
	k.targets = ranker.Rank(make([]*chestnutstep.Target, 0, n), place, n)
	if place.Hint == "" || len(k.targets) == 0 {
		return
	}
	hinted := k.targets[0]
	place.Hint = ""
	home := ranker.Rank(make([]*chestnutstep.Target, 0, n), place, n)
	if hinted.Name == k.ask.hint && route.ReturnsHome(home[0], k.ask.hint, k.ask.id) {
		// The home imports the chat's KV cache from where it was.
		k.targets = home
		k.source = hinted.Agent
	}
}

// patience lets a request wait at its first target, where its prompt prefix
// is; down the ranking there is nothing to wait for.
func (k *walk) patience(i int) time.Duration {
	if i > 0 {
		return 0
	}
	return k.ask.profile.Patience.Std()
}

// wait is the last resort when all targets that were asked are full: the
// request queues at the first of them for as long as it has. Its queue decides
// by class and workspace who goes first, which is the point of saturation.
func (k *walk) wait(ctx context.Context) error {
	if k.full == nil || k.maybe {
		return k.giveUp()
	}
	s := k.try(ctx, attempt{target: k.full, patience: k.left()})
	if s.done {
		return s.final()
	}
	return k.giveUp()
}

// follow reads the link until the request is served, refused or broken.
func (k *walk) follow(ctx context.Context, l *link, down *wire.Down) step {
	for {
		switch d := down.Kind.(type) {
		case *wire.Down_Refuse:
			k.report(l.target, OfferRefused, chestnutstep.Reason(d.Refuse.Reason), k.entry.Clock().Sub(l.opened))
			return k.refuse(ctx, l, d.Refuse)
		case *wire.Down_Accept:
			k.report(l.target, OfferAccepted, "", k.entry.Clock().Sub(l.opened))
			if s := k.accepted(l, d.Accept); s.done {
				l.cancel()
				return s
			}
		case *wire.Down_Broken:
			l.cancel()
			return k.broken(ctx, d.Broken)
		case *wire.Down_Last:
			l.cancel()
			return k.complete(d.Last)
		default:
			if s := k.pass(l, down); s.done {
				return s
			}
		}
		var err error
		if down, err = l.next(ctx); err != nil {
			l.cancel()
			return k.attach(ctx, l.target)
		}
	}
}

// accepted sends the body, which lets the agent start, and notes at another
// target where the request is.
func (k *walk) accepted(l *link, acc *wire.Accept) step {
	k.served = l.target.Name
	noted := k.noteRefused(l.target)
	if acc.Joined {
		return step{}
	}
	k.noteNext(l.target, noted)
	// A send that fails shows in the next receive, with the reason.
	_ = l.sendBody(k.ask.body)
	return step{}
}

// pass hands a piece of the answer to the caller.
func (k *walk) pass(l *link, down *wire.Down) step {
	switch d := down.Kind.(type) {
	case *wire.Down_Head:
		if !k.out.head(d.Head, l.target.Name) {
			return k.stop(l, chestnutstep.ReasonCrossed)
		}
	case *wire.Down_Frame:
		ok, err := k.out.frame(d.Frame)
		if err != nil {
			return k.stop(l, chestnutstep.ReasonCanceled)
		}
		if !ok {
			return k.stop(l, chestnutstep.ReasonShort)
		}
	}
	return step{}
}

// stop ends the request in mid-answer.
func (k *walk) stop(l *link, reason chestnutstep.Reason) step {
	l.giveUp()
	return step{done: true, err: &ErrRefused{Reason: reason, Run: chestnutstep.RunYes}}
}

// complete ends the walk, if what the caller got is the whole answer.
func (k *walk) complete(last *wire.Last) step {
	if !k.out.whole(last) {
		return step{done: true, err: &ErrRefused{Reason: chestnutstep.ReasonShort, Run: chestnutstep.RunYes}}
	}
	return step{done: true}
}

// runTicket takes a ticketed request to the one agent that may run it.
func (k *walk) runTicket(ctx context.Context) error {
	name, ok := ticket.Target(k.ask.ticket)
	t := k.ask.view.Targets[name]
	if !ok || t == nil {
		return &ErrRefused{Reason: chestnutstep.ReasonForged, Run: chestnutstep.RunMaybe}
	}
	k.earn()
	s := k.try(ctx, attempt{target: t, patience: k.left(), owner: true})
	if s.done {
		return s.final()
	}
	return k.giveUp()
}

func (k *walk) keepRefused(l *link) {
	if k.refused == nil {
		k.refused = l
		return
	}
	l.cancel()
}

func (k *walk) closeRefused() {
	if k.refused != nil {
		k.refused.cancel()
	}
}

func (k *walk) notice(start time.Time, err error) Notice {
	n := Notice{
		Request:   k.ask.id,
		Workspace: k.ask.workspace.Name,
		Profile:   k.ask.profile.Name,
		Chat:      k.ask.chat,
		Target:    k.served,
		Status:    k.out.status,
		Offers:    k.offers,
		Hint:      k.ask.hint,
		Repeated:  k.repeated,
		Denied:    k.denied,
		Attached:  k.attached,
		Total:     k.entry.Clock().Sub(start),
		Cached:    k.out.cached,
	}
	if k.out.started {
		n.First = k.out.first.Sub(start)
	}
	if err != nil {
		ref := refused(err)
		n.Reason, n.Run = ref.Reason, ref.Run
	}
	return n
}
