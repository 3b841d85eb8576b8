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
	// notifyTimeout is how long a note may take to reach an agent that is slow or busy.
	notifyTimeout = 2 * time.Second
	// notifyWait is how long the body waits until the note is taken, so that nothing
	// runs that is not noted. The callers of an agent that is down pay it until
	// its host is left out of the ranking.
	notifyWait = 50 * time.Millisecond
)

// movedMessage is the note that a target runs the request.
func (a *clientRequest) movedMessage(target string) *wire.Up {
	m := &wire.Moved{Id: a.id, Workspace: a.workspace.Name, Target: target}
	return &wire.Up{Kind: &wire.Up_Moved{Moved: m}}
}

// notifyRefused sends the note to the first agent that refused the request, and
// returns its target, if there is one.
func (k *dispatcher) notifyRefused(t *chestnutstep.Target) *chestnutstep.Target {
	if k.refusedLink == nil || k.refusedLink.target == t {
		return nil
	}
	l := k.refusedLink
	k.refusedLink = nil
	l.closeWith(k.request.movedMessage(t.Name))
	return l.target
}

// notifyNext sends the note to the agent that is asked before or after this
// target. The caller's retry comes through another entry when this one
// dies, and where the target's agent is late to answer then, the next one would
// run the request again.
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

// movedNotice is on its way to one agent.
type movedNotice struct {
	entry   *Entry
	target  *chestnutstep.Target
	message *wire.Up
	// done is closed when the agent has taken the note, or can't be reached.
	done chan struct{}
}

// run sends the note and waits until it is taken. One that does not arrive costs
// a second run at worst.
func (n *movedNotice) run() {
	defer close(n.done)
	if err := n.send(); err != nil {
		n.entry.Hosts.RecordFailure(n.entry.Clock(), n.target.Host)
	}
}

// send returns nil once the agent has taken the note, which ends the stream.
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

// joinMoved goes where an earlier try of this request went. It offers instead
// of attaching: a run that goes on there is joined, but one that failed is run
// anew. Attached, a caller would get the recorded failure again and again for
// as long as the note is kept.
//
// Where that target is gone, has answered that it does not have the request, or
// stays silent, the one that gave the note takes the request over.
func (k *dispatcher) joinMoved(ctx context.Context, from *chestnutstep.Target, name string) outcome {
	t := k.request.view.Targets[name]
	canAsk := t != nil && !slices.Contains(k.excluded, name)
	k.exclude(from.Name)
	if canAsk && k.offerCount < maxTries {
		s := k.try(ctx, attempt{target: t, isOwner: true})
		if !s.done && !slices.Contains(k.excluded, name) {
			k.exclude(name)
			s = k.mayRunElsewhere()
		}
		if s.done {
			return s
		}
	}
	if k.offerCount >= maxTries {
		return k.mayRunElsewhere()
	}
	return k.try(ctx, attempt{target: from, clearMoved: true})
}

// exclude adds a target to those that are not asked again who runs the request.
func (k *dispatcher) exclude(target string) { k.excluded = append(k.excluded, target) }

// mayRunElsewhere decides on a request whose target is noted and can't be asked.
func (k *dispatcher) mayRunElsewhere() outcome {
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonMoved, Run: chestnutstep.RunMaybe})
}
