package entry

import (
	"context"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// noteLimit is how long a note may take to reach an agent that is slow or busy.
	noteLimit = 2 * time.Second
	// noteWait is how long the body waits for the note to leave: over an open
	// connection that is at once, and nothing runs that is not noted.
	noteWait = 5 * time.Millisecond
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
	n := &note{entry: k.entry, target: k.targets[i], message: k.ask.moved(t.Name), sent: make(chan struct{})}
	go n.run()
	select {
	case <-n.sent:
	case <-time.After(noteWait):
	}
}

// note is on its way to one agent.
type note struct {
	entry   *Entry
	target  *chestnutstep.Target
	message *wire.Up
	// sent is closed when there is nothing left to do.
	sent chan struct{}
}

// run sends the note. One that does not arrive costs a second run at worst.
func (n *note) run() {
	defer close(n.sent)
	l, err := n.entry.openLink(n.target, noteLimit)
	if err == nil {
		l.finish(n.message)
	}
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
	k.ruleOut(from)
	if ask && k.offers < triesMost {
		s := k.try(ctx, attempt{target: t, owner: true})
		if !s.done && !slices.Contains(k.ruledOut, name) {
			k.ruleOut(t)
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

func (k *walk) ruleOut(t *chestnutstep.Target) { k.ruledOut = append(k.ruledOut, t.Name) }

// mayRunElsewhere decides on a request whose target is noted and can't be asked.
func (k *walk) mayRunElsewhere() step {
	return k.decide(&ErrRefused{Reason: chestnutstep.ReasonMoved, Run: chestnutstep.RunMaybe})
}
