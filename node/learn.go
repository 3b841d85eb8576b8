package node

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// learnWait is how long an entry that just started waits for its peers to
	// tell what targets hold, before it asks the targets.
	learnWait = 250 * time.Millisecond
	// longUp is how long a peer must have run to know what targets hold.
	longUp = 5 * time.Second
	// learnCalls bounds the calls of all entries together after a start: each
	// costs its target some work, and 350 entries before 2,700 targets would make
	// a million. Where it binds, each entry asks some targets only.
	learnCalls = 400
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
	for _, t := range n.learnFrom() {
		parts, err := n.Caches.Held(ctx, t.Address)
		n.log.Emit(event.CacheListed, event.Str("target", t.ID), event.Int("parts", int64(len(parts))), event.Err(err))
		if err == nil {
			n.board.Hold(clock.Now(), &t.Instance, parts)
		}
	}
}

// learnFrom lists the engines to ask, in random order.
func (n *Direct) learnFrom() []*roster.Target {
	v := n.roster.View()
	var list []*roster.Target
	for _, t := range v.ByID {
		if s := v.Routing.Services[t.Service]; s != nil && s.Engine && v.Usable(t) {
			list = append(list, t)
		}
	}
	most := max(learnCalls/max(n.board.Entries(), 1), 1)
	return list[:min(len(list), most)]
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
