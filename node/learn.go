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
	// copyEvery is how often a peer is asked for a copy while more than copyPart of the targets
	// are unknown: a copy is of all.
	copyEvery = 700 * time.Millisecond
	copyPart  = 0.1
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
	if n.Caches == nil || n.Settings.Bootstrap {
		n.known(began)
		return
	}
	for v := n.roster.View(); v == nil || !v.Listed; v = n.roster.View() {
		if !clock.Sleep(ctx, learnTick) {
			return
		}
	}
	late := time.AfterFunc(settleMost, settle)
	defer late.Stop()
	l := &learning{node: n, began: began, settle: settle, asked: make(map[string]bool)}
	if n.learnFromPeer(ctx, began) {
		l.know()
	} else {
		l.startAsking(ctx)
		defer close(l.queue)
	}
	l.run(ctx)
	n.known(began)
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
		if time.Since(began) >= n.peerWait() || !clock.Sleep(ctx, pause) {
			return false
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
func (n *Direct) isSeed() bool { return slices.Contains(n.settings.Load().Seeds, n.Settings.PeerAddr) }

// asks reports whether this entry asks a target: a seed shares them with the other seeds.
func (n *Direct) asks(t *roster.Target) bool {
	if !n.isSeed() {
		return n.board.IsAssigned(&t.Instance, askers)
	}
	return n.board.IsFirstOf(&t.Instance, n.peers.LiveSeeds(clock.Now()))
}

// learning is what an entry does in its first seconds to learn what targets hold. Where the
// source was away as well, targets come back to its list one by one.
type learning struct {
	node   *Direct
	began  time.Time
	settle func()
	// knownAt is when enough was known, and copied when a peer was last asked for a copy.
	knownAt, copied time.Time

	// queue is of the targets to ask; nil where a peer's copy made that needless.
	queue chan *roster.Target
	asked map[string]bool
	// open counts the targets that were asked and have not answered.
	open atomic.Int64
	// idle is when the last of them did.
	idle time.Time
}

func (l *learning) startAsking(ctx context.Context) {
	l.queue = make(chan *roster.Target)
	for range learners {
		go (&learner{learning: l}).run(ctx)
	}
}

// know notes that enough is known to serve by.
func (l *learning) know() {
	if l.knownAt.IsZero() {
		l.knownAt, l.copied = time.Now(), time.Now()
	}
	l.node.known(l.began)
	l.settle()
}

// run asks the targets that are this entry's to ask, and peers for a copy of what is still
// unknown once they had the time to learn it.
func (l *learning) run(ctx context.Context) {
	for end := time.Now().Add(learnFor); time.Now().Before(end); {
		looked := time.Now()
		list := l.node.unlisted()
		pause := max(learnTick, lookRest*time.Since(looked))
		if l.queue != nil && l.ask(list) {
			l.know()
		}
		l.copyRest(ctx, len(list))
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// copyRest asks a peer for a copy where many targets are unknown still.
func (l *learning) copyRest(ctx context.Context, unknown int) {
	if l.knownAt.IsZero() || time.Since(l.copied) < copyEvery {
		return
	}
	l.copied = time.Now()
	if v := l.node.roster.View(); float64(unknown) > copyPart*float64(len(v.ByID)) {
		l.node.learnFromPeer(ctx, time.Now())
	}
}

// ask asks those of the targets that are this entry's to ask, and reports whether no more is to
// be expected: one that is gone, or whose entry is, must not hold up what is known of the others.
func (l *learning) ask(list []*roster.Target) bool {
	others := false
	for _, t := range list {
		if l.asked[t.ID] {
			continue
		}
		if !l.node.asks(t) {
			others = true
			continue
		}
		l.asked[t.ID] = true
		l.open.Add(1)
		l.queue <- t
	}
	if l.open.Load() > 0 {
		l.idle = time.Time{}
		return false
	}
	if l.idle.IsZero() {
		l.idle = time.Now()
	}
	return !others || time.Since(l.idle) >= othersWait
}

// unlisted are the engines whose caches neither they nor a peer have listed.
func (n *Direct) unlisted() []*roster.Target {
	v := n.roster.View()
	var list []*roster.Target
	for _, t := range v.ByID {
		if s := v.Routing.Services[t.Service]; s != nil && s.IsEngine && v.Usable(t) && !n.board.Listed(&t.Instance) {
			list = append(list, t)
		}
	}
	return list
}

// learner asks targets, one after the other.
type learner struct {
	*learning
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
	parts, err := n.Caches.ListParts(ctx, t.Address)
	n.log.Emit(event.CacheListed, event.Str("target", t.ID), event.Int("parts", int64(len(parts))), event.Err(err))
	if err != nil {
		return
	}
	n.board.Hold(clock.Now(), &t.Instance, parts)
	n.peers.Spread(share.NewList(board.Key(&t.Instance), partIDs(parts)))
}

func partIDs(parts []chestnutstep.PromptPart) []uint64 {
	list := make([]uint64, 0, len(parts))
	for _, p := range parts {
		list = append(list, p.ID)
	}
	return list
}
