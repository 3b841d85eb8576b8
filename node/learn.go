package node

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// learnWait is how long an entry that just started waits for its peers to
	// tell what targets hold, before it asks the targets.
	learnWait = 120 * time.Millisecond
	// longUp is how long a peer must have run to know what targets hold.
	longUp = 5 * time.Second
	// askers is how many entries ask one target, and tell the others: two, as the
	// datagrams of one may be lost. Each listing costs its target some work.
	askers = 2
	// learnFor is how long after the first view targets are asked that join: twice
	// what it takes them to come back to the list after the source was away.
	learnFor = 4 * time.Second
	// learners is how many targets are asked at a time.
	learners = 4
)

// learn asks targets what they hold, once after a start, if no peer has run long
// enough to tell. After a loss of all entries the targets' caches are full and
// nobody knows of what: each prefix would be read again, which delays everybody's
// tokens. In a play with such a loss a third of all tokens read again were due to
// it.
func (n *Direct) learn(ctx context.Context) {
	if n.Caches == nil || n.Settings.First {
		return
	}
	for n.roster.View() == nil {
		if !sleep(ctx, learnWait/5) {
			return
		}
	}
	if !sleep(ctx, learnWait) || n.experienced.Load() {
		return
	}
	queue := make(chan *roster.Target)
	defer close(queue)
	for range learners {
		go (&learner{node: n, queue: queue}).run(ctx)
	}
	asked := make(map[string]bool)
	for end := time.Now().Add(learnFor); time.Now().Before(end); {
		for _, t := range n.learnFrom(asked) {
			asked[t.ID] = true
			queue <- t
		}
		if !sleep(ctx, learnWait) {
			return
		}
	}
}

// learner asks targets, one after the other.
type learner struct {
	node  *Direct
	queue <-chan *roster.Target
}

func (l *learner) run(ctx context.Context) {
	n := l.node
	for t := range l.queue {
		parts, err := n.Caches.Held(ctx, t.Address)
		n.log.Emit(event.CacheListed, event.Str("target", t.ID), event.Int("parts", int64(len(parts))), event.Err(err))
		if err != nil {
			continue
		}
		n.board.Hold(clock.Now(), &t.Instance, parts)
		n.peers.Spread(share.NewList(board.Key(&t.Instance), partIDs(parts)))
	}
}

// learnFrom lists the engines that are still to be asked by this entry. Where
// the source was away as well, they come back to the list one by one.
func (n *Direct) learnFrom(asked map[string]bool) []*roster.Target {
	v := n.roster.View()
	var list []*roster.Target
	for _, t := range v.ByID {
		if s := v.Routing.Services[t.Service]; s != nil && s.Engine && v.Usable(t) && !asked[t.ID] && n.board.Sponsors(&t.Instance, askers) {
			list = append(list, t)
		}
	}
	return list
}

func partIDs(parts []chestnutstep.Part) []uint64 {
	list := make([]uint64, 0, len(parts))
	for _, p := range parts {
		list = append(list, p.ID)
	}
	return list
}

// sleep waits; false says that ctx ended.
func sleep(ctx context.Context, d time.Duration) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-ctx.Done():
		return false
	case <-t.C:
		return true
	}
}
