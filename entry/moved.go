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
	// noteLimit is how long a note may take to reach an agent that is slow or busy.
	noteLimit = 2 * time.Second
	// noteWait is how long the body waits until the note is taken, so that nothing
	// runs that is not noted. The callers of an agent that is down pay it until
	// its host is left out of the ranking.
	noteWait = 50 * time.Millisecond
)

// moved is the note that a target runs the request.
func (a *ask) moved(target string) *wire.Up {
	m := &wire.Moved{Id: a.id, Workspace: a.workspace.Name, Target: target}
	return &wire.Up{Kind: &wire.Up_Moved{Moved: m}}
}

// noteRefused sends the note to the first agent that refused the request, and
// returns its target, if there is one.
func (k *walk) noteRefused(t *chestnutstep.Target) *chestnutstep.Target {
	if k.refused == nil || k.refused.target == t {
		return nil
	}
	l := k.refused
	k.refused = nil
	l.finish(k.ask.moved(t.Name))
	return l.target
}

// noteNext sends the note to the agent that is asked before or after this
// target. The caller's retry comes through another entry when this one
// dies, and where the target's agent is late to answer then, the next one would
// run the request again.
func (k *walk) noteNext(t, noted *chestnutstep.Target) {
	if !k.ask.named || k.ask.ticket != "" {
		return
	}
	i := slices.IndexFunc(k.targets, func(o *chestnutstep.Target) bool { return o.Name != t.Name })
	if i < 0 || k.targets[i] == noted {
		return
	}
	n := &note{entry: k.entry, target: k.targets[i], message: k.ask.moved(t.Name), done: make(chan struct{})}
	go n.run()
	limit := time.NewTimer(noteWait)
	defer limit.Stop()
	select {
	case <-n.done:
	case <-limit.C:
	}
}

// note is on its way to one agent.
type note struct {
	entry   *Entry
	target  *chestnutstep.Target
	message *wire.Up
	// done is closed when the agent has taken the note, or can't be reached.
	done chan struct{}
}

// run sends the note and waits until it is taken. One that does not arrive costs
// a second run at worst.
func (n *note) run() {
	defer close(n.done)
	if err := n.send(); err != nil {
		n.entry.Hosts.RecordFailure(n.entry.Clock(), n.target.Host)
	}
}

// send returns nil once the agent has taken the note, which ends the stream.
func (n *note) send() error {
	l, err := n.entry.openLink(n.target, noteLimit)
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
	if _, err := l.first(noteLimit); !errors.Is(err, io.EOF) {
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
func (k *walk) joinMoved(ctx context.Context, from *chestnutstep.Target, name string) step {
	t := k.ask.view.Targets[name]
	ask := t != nil && !slices.Contains(k.ruledOut, name)
	k.ruleOut(from.Name)
	if ask && k.offers < triesMost {
		s := k.try(ctx, attempt{target: t, owner: true})
		if !s.done && !slices.Contains(k.ruledOut, name) {
			k.ruleOut(name)
			s = k.mayRunElsewhere()
		}
		if s.done {
			return s
		}
	}
	if k.offers >= triesMost {
		return k.mayRunElsewhere()
	}
	return k.try(ctx, attempt{target: from, over: true})
}

// ruleOut adds a target to those that are not asked again who runs the request.
func (k *walk) ruleOut(target string) { k.ruledOut = append(k.ruledOut, target) }

// mayRunElsewhere decides on a request whose target is noted and can't be asked.
func (k *walk) mayRunElsewhere() step {
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonMoved, Run: chestnutstep.RunMaybe})
}
