package entry

import (
	"context"
	"io"
	"slices"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// notifyTimeout is the timeout for sending a Moved message to an agent that is slow or busy.
	notifyTimeout = 2 * time.Second
	// notifyWait is how long the body is held back until the Moved message is received, so that
	// normally no request runs unrecorded. Requests wait this long for an agent that is down until
	// its host is excluded from the ranking.
	notifyWait = 50 * time.Millisecond
)

// movedMessage returns the Moved message, which names the target that runs the request.
func (a *clientRequest) movedMessage(target string) *wire.Up {
	m := &wire.Moved{Id: a.id, Workspace: a.workspace.Name, Target: target}
	return &wire.Up{Kind: &wire.Up_Moved{Moved: m}}
}

// notifyRefused sends the Moved message to the first agent that refused the request and returns
// that agent's target, or nil if there is none.
func (k *dispatcher) notifyRefused(t *chestnutstep.Target) *chestnutstep.Target {
	if k.refusedLink == nil || k.refusedLink.target == t {
		return nil
	}
	l := k.refusedLink
	k.refusedLink = nil
	l.closeWith(k.request.movedMessage(t.Name))
	return l.target
}

// notifyNext sends the Moved message to the agent that a retry would reach before or after this
// target. If this entry fails, the caller retries through another one; if the target's agent is
// then late to answer, the next agent would otherwise run the request again.
func (k *dispatcher) notifyNext(t, notified *chestnutstep.Target) {
	if !k.request.idFromCaller || k.request.ticket != "" {
		return
	}
	i := slices.IndexFunc(k.targets, func(o *chestnutstep.Target) bool { return o.Name != t.Name })
	if i < 0 || k.targets[i] == notified {
		return
	}
	n := &movedNotice{entry: k.entry, target: k.targets[i], message: k.request.movedMessage(t.Name), done: make(chan struct{})}
	go n.run()
	limit := time.NewTimer(notifyWait)
	defer limit.Stop()
	select {
	case <-n.done:
	case <-limit.C:
	}
}

// movedNotice is a Moved message being sent to one agent.
type movedNotice struct {
	entry   *Entry
	target  *chestnutstep.Target
	message *wire.Up
	// done is closed when the agent has received the message or can't be reached.
	done chan struct{}
}

// run sends the message and waits until it is received. A lost message causes a second run at
// worst.
func (n *movedNotice) run() {
	defer close(n.done)
	if err := n.send(); err != nil {
		n.entry.Hosts.RecordFailure(n.entry.Clock(), n.target.Host)
	}
}

// send returns nil once the agent has received the message, which ends the stream.
func (n *movedNotice) send() error {
	l, err := n.entry.openLink(n.target, notifyTimeout)
	if err != nil {
		return err
	}
	defer l.cancel()
	if err := l.send(n.message); err != nil {
		return err
	}
	if err := l.stream.CloseSend(); err != nil {
		return err
	}
	if _, err := l.receiveFirst(notifyTimeout); !errors.Is(err, io.EOF) {
		return err
	}
	return nil
}

// joinMoved offers the request to the target that runs it according to the Moved record of another
// target. It offers instead of attaching because an offer joins a run in progress but replaces a
// failed one; with an attach, a caller would receive the recorded failure for as long as the record
// is kept.
//
// If that target is gone, reports that it doesn't have the request, or is unresponsive, the target
// that returned the Moved record takes over the request.
func (k *dispatcher) joinMoved(ctx context.Context, from *chestnutstep.Target, name string) outcome {
	t := k.request.view.Targets[name]
	canAsk := t != nil && !slices.Contains(k.excluded, name)
	k.exclude(from.Name)
	if canAsk && k.offerCount < maxTries {
		s := k.try(ctx, attempt{target: t, isOwner: true})
		if !s.done && !slices.Contains(k.excluded, name) {
			k.exclude(name)
			s = k.movedOutcome()
		}
		if s.done {
			return s
		}
	}
	if k.offerCount >= maxTries {
		return k.movedOutcome()
	}
	return k.try(ctx, attempt{target: from, clearMoved: true})
}

// exclude adds a target to those that are not asked again for a run of the request.
func (k *dispatcher) exclude(target string) { k.excluded = append(k.excluded, target) }

// movedOutcome returns the outcome for a request that is recorded at a target that can't be asked.
func (k *dispatcher) movedOutcome() outcome {
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonMoved, Run: chestnutstep.RunMaybe})
}
