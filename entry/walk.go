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
	// maxTries is the maximum number of targets tried for one request, regardless of the profile.
	maxTries = 8
	// maxCrashes is the number of targets that one request can crash before it is condemned. One
	// crash can be a coincidence; a second one right after it is caused by the request, and a third
	// target would follow.
	maxCrashes = 2
)

// dispatcher offers one request to the ranked targets until it is served or given up.
type dispatcher struct {
	entry   *Entry
	request *clientRequest
	output  *output

	targets    []*chestnutstep.Target
	offerCount int
	// retries is the number of retries taken from the budget, retryDenied is set if the budget was
	// exhausted, and reattached is the number of links that were reconnected.
	retries     int
	retryDenied bool
	reattached  int
	// reofferCount is the number of repeated offers of a request with a ticket.
	reofferCount int
	// refusedLink is the open link to the first target that refused. It is used to send the Moved
	// message.
	refusedLink *link
	// retryAfter is the shortest time after which an agent allows a retry.
	retryAfter  time.Duration
	lastRefusal *ErrRefused
	// mayHaveRun is set once a target may have run the request without an answer.
	mayHaveRun bool
	servedBy   string
	// queueTarget is the first target whose refusal can be resolved by waiting in its queue.
	queueTarget *chestnutstep.Target
	// crashedTargets lists the targets that crashed while they ran the request.
	crashedTargets []string
	// cacheSource is the agent that holds the chat's KV cache and refused the request.
	cacheSource string
	// excluded lists the targets that are not asked again for a run of the request: they don't have
	// it, or their agents were unresponsive until the timeout.
	excluded []string
}

// run serves the request. A non-nil error is its final result.
func (k *dispatcher) run(ctx context.Context) error {
	defer k.closeRefusedLink()
	err := k.serve(ctx)
	if err != nil && len(k.crashedTargets) > 0 {
		k.warnAgents()
	}
	return err
}

// serve offers the request to the targets in the order of their ranking.
func (k *dispatcher) serve(ctx context.Context) error {
	if k.entry.isCondemned(k.request.fingerprint) {
		return &ErrRefused{Reason: chestnutstep.ReasonCondemned, Run: k.request.runIfUnsent()}
	}
	if k.request.ticket != "" {
		return k.runTicket(ctx)
	}
	k.rank()
	if len(k.targets) == 0 {
		return &ErrRefused{Reason: chestnutstep.ReasonTarget, Run: chestnutstep.RunNo, RetryAfter: time.Second}
	}
	k.depositBudgets()
	tries := min(len(k.targets), max(k.request.profile.MaxAttempts, 1))
	for i := range tries {
		if i > 0 && !k.withdrawFailover() {
			break
		}
		if s := k.try(ctx, attempt{target: k.targets[i], patience: k.patience(i)}); s.done {
			return s.finalError()
		}
	}
	return k.queueAtTarget(ctx)
}

// rank orders the targets for the chat. The hinted target comes first, except for the share of a
// displaced chat's requests that return to its home target.
func (k *dispatcher) rank() {
	ranker := k.entry.Ranker(k.request.view)
	n := min(max(k.request.profile.MaxAttempts, 1), maxTries)
	query := k.request.rankQuery(k.entry.Region)
	k.targets = ranker.Rank(make([]*chestnutstep.Target, 0, n), query, n)
	if query.Hint == "" || len(k.targets) == 0 {
		return
	}
	hinted := k.targets[0]
	query.Hint = ""
	home := ranker.Rank(make([]*chestnutstep.Target, 0, n), query, n)
	if hinted.Name == k.request.hint && route.ReturnsHome(home[0], k.request.hint, k.request.id) {
		// The home target imports the chat's KV cache from the hinted target.
		k.targets = home
		k.cacheSource = hinted.Agent
	}
}

// patience returns the time for which the request can wait in a target's queue. Only the first
// target has the prompt prefix in its cache, so waiting at the others has no benefit.
func (k *dispatcher) patience(i int) time.Duration {
	if i > 0 {
		return 0
	}
	return k.request.profile.Patience.Std()
}

// queueAtTarget is the last resort if all targets that were asked are full: the request waits in
// the queue of the first of them until its deadline. The queue orders requests by class and
// workspace, which is required under saturation.
func (k *dispatcher) queueAtTarget(ctx context.Context) error {
	if k.queueTarget == nil || k.mayHaveRun {
		return k.finalRefusal()
	}
	s := k.try(ctx, attempt{target: k.queueTarget, patience: k.remaining()})
	if s.done {
		return s.finalError()
	}
	return k.finalRefusal()
}

// follow reads the link until the request is served, refused or broken.
func (k *dispatcher) follow(ctx context.Context, l *link, down *wire.Down) outcome {
	for {
		switch d := down.Kind.(type) {
		case *wire.Down_Refuse:
			k.reportOffer(l.target, OfferRefused, chestnutstep.Reason(d.Refuse.Reason), k.entry.Clock().Sub(l.openedAt))
			return k.handleRefusal(ctx, l, d.Refuse)
		case *wire.Down_Accept:
			k.reportOffer(l.target, OfferAccepted, "", k.entry.Clock().Sub(l.openedAt))
			if s := k.handleAccept(l, d.Accept); s.done {
				l.cancel()
				return s
			}
		case *wire.Down_Broken:
			l.cancel()
			return k.handleBroken(ctx, d.Broken)
		case *wire.Down_Last:
			l.cancel()
			return k.finish(d.Last)
		default:
			if s := k.forward(l, down); s.done {
				return s
			}
		}
		var err error
		if down, err = l.receive(ctx); err != nil {
			l.cancel()
			return k.attach(ctx, l.target)
		}
	}
}

// handleAccept sends the body, which lets the agent start, and first records at another target
// where the request runs.
func (k *dispatcher) handleAccept(l *link, acc *wire.Accept) outcome {
	k.servedBy = l.target.Name
	notified := k.notifyRefused(l.target)
	if acc.Joined {
		return outcome{}
	}
	k.notifyNext(l.target, notified)
	// A failed send shows up in the next receive, together with its cause.
	_ = l.sendBody(k.request.body)
	return outcome{}
}

// forward passes a piece of the answer to the caller.
func (k *dispatcher) forward(l *link, down *wire.Down) outcome {
	switch d := down.Kind.(type) {
	case *wire.Down_Head:
		if !k.output.writeHead(d.Head, l.target.Name) {
			return k.abort(l, chestnutstep.ReasonCrossed)
		}
	case *wire.Down_Frame:
		ok, err := k.output.writeFrame(d.Frame)
		if err != nil {
			return k.abort(l, chestnutstep.ReasonCanceled)
		}
		if !ok {
			return k.abort(l, chestnutstep.ReasonShort)
		}
	}
	return outcome{}
}

// abort ends the request within its answer.
func (k *dispatcher) abort(l *link, reason chestnutstep.Reason) outcome {
	l.sendCancel()
	return outcome{done: true, err: &ErrRefused{Reason: reason, Run: chestnutstep.RunYes}}
}

// finish ends the request; it is served only if the caller received the whole answer.
func (k *dispatcher) finish(last *wire.Last) outcome {
	if !k.output.isComplete(last) {
		return outcome{done: true, err: &ErrRefused{Reason: chestnutstep.ReasonShort, Run: chestnutstep.RunYes}}
	}
	return outcome{done: true}
}

// runTicket offers a request with a ticket to the only agent that can run it.
func (k *dispatcher) runTicket(ctx context.Context) error {
	name, ok := ticket.Target(k.request.ticket)
	t := k.request.view.Targets[name]
	if !ok || t == nil {
		return &ErrRefused{Reason: chestnutstep.ReasonForged, Run: chestnutstep.RunMaybe}
	}
	k.depositBudgets()
	s := k.try(ctx, attempt{target: t, patience: k.remaining(), isOwner: true})
	if s.done {
		return s.finalError()
	}
	return k.finalRefusal()
}

func (k *dispatcher) keepRefusedLink(l *link) {
	if k.refusedLink == nil {
		k.refusedLink = l
		return
	}
	l.cancel()
}

func (k *dispatcher) closeRefusedLink() {
	if k.refusedLink != nil {
		k.refusedLink.cancel()
	}
}

func (k *dispatcher) newNotice(start time.Time, err error) Notice {
	n := Notice{
		Request:      k.request.id,
		Workspace:    k.request.workspace.Name,
		Profile:      k.request.profile.Name,
		Chat:         k.request.chat,
		Target:       k.servedBy,
		Status:       k.output.status,
		Offers:       k.offerCount,
		Hint:         k.request.hint,
		Retries:      k.retries,
		RetryDenied:  k.retryDenied,
		Reattached:   k.reattached,
		Total:        k.entry.Clock().Sub(start),
		CachedTokens: k.output.cachedTokens,
	}
	if k.output.started {
		n.FirstByte = k.output.firstByteAt.Sub(start)
	}
	if err != nil {
		ref := asRefused(err)
		n.Reason, n.Run = ref.Reason, ref.Run
	}
	return n
}
