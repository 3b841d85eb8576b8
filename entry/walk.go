package entry

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/route"
	"chestnutstep.example/chestnutstep/ticket"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// triesMost bounds the targets of one request whatever the profile says.
	triesMost = 8
	// attachMost bounds the attempts to join a run whose link broke. The
	// agent keeps the run for its linger time; the pauses add up to less.
	attachMost  = 4
	attachPause = 100 * time.Millisecond
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
	// repeats counts the offers of a ticketed request that got no answer.
	repeats int
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
}

// step is what one try led to.
type step struct {
	done bool
	// err is the final word; nil with done means a whole answer.
	err *ErrRefused
	// verdict and reason when the walk may go on.
	verdict retry.Verdict
	// moved names the target where the request runs already.
	moved string
}

// run serves the request, or returns the final word on it.
func (k *walk) run(ctx context.Context) error {
	defer k.closeRefused()
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
	tries := min(len(k.targets), max(k.ask.profile.Tries, 1))
	for i := range tries {
		if i > 0 && !k.spend() {
			break
		}
		if s := k.try(ctx, k.targets[i], k.patience(i)); s.done {
			return s.final()
		}
	}
	return k.wait(ctx)
}

func (s step) final() error {
	if s.err == nil {
		return nil
	}
	return s.err
}

// rank orders the targets for the chat: the hinted one first, but for the part
// of a displaced chat's requests that take it home.
func (k *walk) rank() {
	ranker := k.entry.Ranker(k.ask.view)
	n := min(max(k.ask.profile.Tries, 1), triesMost)
	place := k.ask.place(k.entry.Region)
	k.targets = ranker.Rank(make([]*chestnutstep.Target, 0, n), place, n)
	if place.Hint == "" || len(k.targets) == 0 {
		return
	}
	hinted := k.targets[0]
	place.Hint = ""
	home := ranker.Rank(make([]*chestnutstep.Target, 0, n), place, n)
	if hinted.Name == k.ask.hint && route.Drift(home[0], k.ask.hint, k.ask.id) {
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
	s := k.try(ctx, k.full, k.ask.deadline.Sub(k.entry.Clock()))
	if s.done {
		return s.final()
	}
	return k.giveUp()
}

// giveUp is the final word after all tries.
func (k *walk) giveUp() error {
	err := k.last
	if err == nil {
		err = &ErrRefused{Reason: chestnutstep.ReasonTarget, Run: k.ask.unrun()}
	}
	if k.maybe {
		err.Run = chestnutstep.RunMaybe
	}
	if err.Retry == 0 {
		err.Retry = k.retry
	}
	if ans := retry.Answer(err.Reason); err.Retry == 0 && ans.Back {
		err.Retry = ans.Retry
	}
	return err
}

// try offers the request to one target and follows it to the end.
func (k *walk) try(ctx context.Context, t *chestnutstep.Target, patience time.Duration) step {
	if ctx.Err() != nil {
		return k.outOfTime(ctx)
	}
	k.offers++
	l, err := k.entry.openLink(t)
	if err != nil {
		k.entry.Hosts.Fail(k.entry.Clock(), t.Host)
		return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: k.ask.unrun()})
	}
	o := k.ask.offer(k.entry.Clock(), patience)
	o.Source = k.source
	o.Crashed = k.crashed
	down, err := k.offer(l, o)
	if err != nil {
		defer l.cancel()
		k.entry.Hosts.Fail(k.entry.Clock(), t.Host)
		return k.lost(ctx, l, o)
	}
	k.entry.Hosts.Answer(k.entry.Clock(), t.Host)
	return k.follow(ctx, l, down)
}

// offer sends the offer and waits for its answer.
func (k *walk) offer(l *link, o *wire.Offer) (*wire.Down, error) {
	if err := l.send(&wire.Up{Kind: &wire.Up_Offer{Offer: o}}); err != nil {
		return nil, err
	}
	return l.first()
}

// lost decides after an offer without an answer. If the body went along, the
// agent may have run it; if not, nothing can have run.
func (k *walk) lost(ctx context.Context, l *link, o *wire.Offer) step {
	if int64(len(o.Small)) < o.Size {
		return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: k.ask.unrun()})
	}
	k.maybe = true
	if !o.Idempotent {
		return k.again(ctx, l.target)
	}
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: chestnutstep.RunMaybe})
}

// follow reads the link until the request is served, refused or broken.
func (k *walk) follow(ctx context.Context, l *link, down *wire.Down) step {
	for {
		switch d := down.Kind.(type) {
		case *wire.Down_Refuse:
			return k.refuse(ctx, l, d.Refuse)
		case *wire.Down_Accept:
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

// accepted sends the body if the offer did not carry it, and tells the first
// target that refused where the request is.
func (k *walk) accepted(l *link, acc *wire.Accept) step {
	k.served = l.target.Name
	if k.refused != nil && k.refused.target != l.target {
		k.refused.noteMoved(k.ask, l.target.Name)
		k.refused = nil
	}
	if acc.Joined || k.ask.along() {
		return step{}
	}
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

// refuse acts on a refusal: the request has not run at this target.
func (k *walk) refuse(ctx context.Context, l *link, r *wire.Refuse) step {
	k.keepRefused(l)
	if r.Moved != "" {
		return k.joinMoved(ctx, r.Moved)
	}
	if r.Home {
		k.source = l.target.Agent
	}
	if r.Reason == string(chestnutstep.ReasonLeaving) {
		k.entry.Hosts.Refuse(k.entry.Clock(), l.target.Host)
	}
	ref := &ErrRefused{
		Reason: chestnutstep.Reason(r.Reason),
		Run:    chestnutstep.Run(r.Run),
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

// joinMoved goes where an earlier try of this request went. It offers instead
// of attaching: a run that goes on there is joined, but one that failed is run
// anew. Attached, a caller would hear the recorded failure again and again for
// as long as the note of the move lives.
func (k *walk) joinMoved(ctx context.Context, name string) step {
	t := k.ask.view.Targets[name]
	// Notes of two agents may point at each other.
	if t == nil || k.offers >= triesMost {
		return k.decide(&ErrRefused{Reason: chestnutstep.ReasonMoved, Run: chestnutstep.RunMaybe})
	}
	return k.try(ctx, t, 0)
}

// broken acts on an answer that did not become whole.
func (k *walk) broken(ctx context.Context, b *wire.Broken) step {
	if ctx.Err() != nil {
		return k.outOfTime(ctx)
	}
	ref := &ErrRefused{
		Reason: chestnutstep.Reason(b.Reason),
		Run:    chestnutstep.Run(b.Run),
		Retry:  time.Duration(b.Retry),
	}
	if ref.Reason == chestnutstep.ReasonCrashed && ref.Run != chestnutstep.RunNo {
		k.crashed = append(k.crashed, k.served)
		k.entry.accuse(k.ask.fingerprint, k.crashed)
	}
	if len(k.crashed) >= crashesMost {
		ref.Reason = chestnutstep.ReasonCondemned
	}
	return k.decide(ref)
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
	v := retry.May(ref.Reason, ref.Run, !k.ask.profile.Once)
	if v == retry.Move {
		return step{verdict: v}
	}
	if v == retry.Repeat && k.repeat() {
		return step{verdict: v}
	}
	return step{done: true, err: k.giveUp().(*ErrRefused)}
}

// again offers a ticketed request once more to the one agent that may run it.
// Whether the first offer arrived is not known here and need not be: the ticket
// makes the second one join it.
func (k *walk) again(ctx context.Context, t *chestnutstep.Target) step {
	k.repeats++
	if k.repeats > attachMost {
		return k.decide(&ErrRefused{Reason: chestnutstep.ReasonDown, Run: chestnutstep.RunMaybe})
	}
	select {
	case <-ctx.Done():
		return k.outOfTime(ctx)
	case <-time.After(attachPause << k.repeats):
	}
	return k.try(ctx, t, k.ask.deadline.Sub(k.entry.Clock()))
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
	l, err := k.entry.openLink(t)
	if err != nil {
		return step{}, false
	}
	at := &wire.Attach{Id: k.ask.id, Workspace: k.ask.workspace.Name, Offset: k.out.offset}
	if err := l.send(&wire.Up{Kind: &wire.Up_Attach{Attach: at}}); err != nil {
		l.cancel()
		return step{}, false
	}
	down, err := l.first()
	if err != nil {
		l.cancel()
		return step{}, false
	}
	k.served = t.Name
	return k.follow(ctx, l, down), true
}

// runTicket takes a ticketed request to the one agent that may run it.
func (k *walk) runTicket(ctx context.Context) error {
	name, ok := ticket.Target(k.ask.ticket)
	t := k.ask.view.Targets[name]
	if !ok || t == nil {
		return &ErrRefused{Reason: chestnutstep.ReasonForged, Run: chestnutstep.RunMaybe}
	}
	k.earn()
	s := k.try(ctx, t, k.ask.deadline.Sub(k.entry.Clock()))
	if s.done {
		return s.final()
	}
	return k.giveUp()
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

func (k *walk) earn() {
	k.entry.budget.Lock()
	defer k.entry.budget.Unlock()
	k.entry.Steps.Earn(k.entry.Clock())
	k.entry.Repeats.Earn(k.entry.Clock())
}

// spend takes one step down the ranking from the budget.
func (k *walk) spend() bool {
	k.entry.budget.Lock()
	defer k.entry.budget.Unlock()
	return k.entry.Steps.Spend(k.entry.Clock())
}

// repeat takes one repeat of what may have run from the budget.
func (k *walk) repeat() bool {
	k.entry.budget.Lock()
	defer k.entry.budget.Unlock()
	return k.entry.Repeats.Spend(k.entry.Clock())
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
