package node

import (
	"context"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// learnTick is how often an entry that just started looks whether a peer knows
	// what targets hold, or a target has joined.
	learnTick = 10 * time.Millisecond
	// learnWait is how long it waits for such a peer before it asks the targets:
	// peers report to it within a few milliseconds, in another failure domain too.
	learnWait = 40 * time.Millisecond
	// seedWait is how long an entry that is no seed waits for one that knows: the seeds ask
	// the targets for all, and hosts don't all start at the same moment. Requests wait no
	// longer than settleMost.
	seedWait = 500 * time.Millisecond
	// busyRest is the pause after a peer that could not give a copy now.
	busyRest = 50 * time.Millisecond
	// askers is how many entries ask one target, and report to the others: two, as the
	// datagrams of one may be lost. Each listing costs its target some work.
	askers = 2
	// learnFor is how long after the first view targets are asked that join: twice
	// what it takes them to come back to the list after the source was away.
	learnFor = 4 * time.Second
	// settleMost is how long after the first view requests may still wait for what
	// targets hold: a target that does not answer must not hold up all callers.
	settleMost = 250 * time.Millisecond
	// othersWait is how long an entry that has asked its part of the targets waits for what the
	// others report of theirs.
	othersWait = 100 * time.Millisecond
	// lookRest is the pause after a look at all targets, in times of what the look took: an entry
	// that has just started needs its processor for callers.
	lookRest = 20
	// learners is how many targets are asked at a time.
	learners = 4
)

// learn finds out what targets hold, once after a start: from a peer that knows, or
// else from the targets. An entry that knows nothing sends each prefix to a target
// that has to read it again, which delays everybody's tokens there.
func (n *Direct) learn(ctx context.Context) {
	began := time.Now()
	settle := sync.OnceFunc(func() { close(n.settled) })
	defer settle()
	if n.Caches == nil || n.Settings.First {
		n.known(began)
		return
	}
	for n.roster.View() == nil {
		if !sleep(ctx, learnTick) {
			return
		}
	}
	late := time.AfterFunc(settleMost, settle)
	defer late.Stop()
	if n.learnFromPeer(ctx, began) {
		n.known(began)
		settle()
		n.learnLater(ctx)
		return
	}
	n.learnFromTargets(ctx, began, settle)
}

// known notes that this entry knows what targets hold.
func (n *Direct) known(began time.Time) {
	if !n.knows.Swap(true) {
		n.peers.Announce()
		n.log.Emit(event.CachesKnown, event.Dur("took", time.Since(began)))
	}
}

// learnFromPeer asks a peer that knows, if there is one.
func (n *Direct) learnFromPeer(ctx context.Context, began time.Time) bool {
	for {
		pause := learnTick
		if peer, ok := n.peers.PeerWithCacheIndex(); ok {
			lists, size, err := share.FetchCaches(ctx, peer.String(), link.Dial)
			n.log.Emit(event.CachesTaken, event.Str("peer", peer.String()), event.Int("lists", int64(len(lists))),
				event.Int("bytes", int64(size)), event.Err(err))
			if err == nil {
				n.board.MergeLists(clock.Now(), lists)
				return true
			}
			pause = busyRest
		}
		if time.Since(began) >= n.peerWait() || !sleep(ctx, pause) {
			return false
		}
	}
}

// relearnAfter are the pauses after which a peer is asked again while targets are listed that it
// did not list: after a loss of the source they come back within about two seconds.
var relearnAfter = [...]time.Duration{400 * time.Millisecond, 600 * time.Millisecond, 1200 * time.Millisecond}

// relearnPart is the part of the targets that has to be unknown for that: a copy is of all.
const relearnPart = 0.1

// learnLater asks peers once more for what targets hold that have come back since.
func (n *Direct) learnLater(ctx context.Context) {
	for _, pause := range relearnAfter {
		if !sleep(ctx, pause) {
			return
		}
		if v := n.roster.View(); len(n.unlisted()) > int(relearnPart*float64(len(v.ByID))) {
			n.learnFromPeer(ctx, time.Now())
		}
	}
}

// peerWait is how long to wait for a peer that knows. After a loss of all entries none knows who
// the others are: did each ask, every target would be asked by all.
func (n *Direct) peerWait() time.Duration {
	if len(n.settings.Load().Seeds) == 0 || n.isSeed() {
		return learnWait
	}
	return seedWait
}

// isSeed reports whether this entry is one of the seeds.
func (n *Direct) isSeed() bool { return slices.Contains(n.settings.Load().Seeds, n.Settings.Peer) }

// asks reports whether this entry asks a target: a seed shares them with the other seeds.
func (n *Direct) asks(t *roster.Target) bool {
	if !n.isSeed() {
		return n.board.IsAssigned(&t.Instance, askers)
	}
	return n.board.IsFirstOf(&t.Instance, n.peers.LiveSeeds(clock.Now()))
}

// learnFromTargets asks the targets, together with the other entries. Where the
// source was away as well, targets come back to its list one by one.
func (n *Direct) learnFromTargets(ctx context.Context, began time.Time, settle func()) {
	c := &canvass{node: n, queue: make(chan *roster.Target), asked: make(map[string]bool)}
	defer close(c.queue)
	for range learners {
		go (&learner{canvass: c}).run(ctx)
	}
	for end := time.Now().Add(learnFor); time.Now().Before(end); {
		looked := time.Now()
		list := n.unlisted()
		pause := max(learnTick, lookRest*time.Since(looked))
		if c.ask(list) {
			n.known(began)
			settle()
		}
		if !sleep(ctx, pause) {
			return
		}
	}
	n.known(began)
}

// canvass asks targets what they hold.
type canvass struct {
	node  *Direct
	queue chan *roster.Target
	asked map[string]bool
	// open counts the targets that were asked and have not answered.
	open atomic.Int64
	// idle is when the last of them did.
	idle time.Time
}

// ask asks those of the targets that are this entry's to ask, and reports whether no more is to
// be expected: one that is gone, or whose entry is, must not hold up what is known of the others.
func (c *canvass) ask(list []*roster.Target) bool {
	others := false
	for _, t := range list {
		if c.asked[t.ID] {
			continue
		}
		if !c.node.asks(t) {
			others = true
			continue
		}
		c.asked[t.ID] = true
		c.open.Add(1)
		c.queue <- t
	}
	if c.open.Load() > 0 {
		c.idle = time.Time{}
		return false
	}
	if c.idle.IsZero() {
		c.idle = time.Now()
	}
	return !others || time.Since(c.idle) >= othersWait
}

// unlisted are the engines whose caches neither they nor a peer have listed.
func (n *Direct) unlisted() []*roster.Target {
	v := n.roster.View()
	var list []*roster.Target
	for _, t := range v.ByID {
		if s := v.Routing.Services[t.Service]; s != nil && s.Engine && v.Usable(t) && !n.board.Listed(&t.Instance) {
			list = append(list, t)
		}
	}
	return list
}

// learner asks targets, one after the other.
type learner struct {
	*canvass
}

func (l *learner) run(ctx context.Context) {
	for t := range l.queue {
		l.list(ctx, t)
		l.open.Add(-1)
	}
}

// list asks one target, and reports to the peers.
func (l *learner) list(ctx context.Context, t *roster.Target) {
	n := l.node
	parts, err := n.Caches.Held(ctx, t.Address)
	n.log.Emit(event.CacheListed, event.Str("target", t.ID), event.Int("parts", int64(len(parts))), event.Err(err))
	if err != nil {
		return
	}
	n.board.Hold(clock.Now(), &t.Instance, parts)
	n.peers.Spread(share.NewList(board.Key(&t.Instance), partIDs(parts)))
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
