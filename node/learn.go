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
	// cachePollInterval is how often an entry that just started looks whether a peer knows
	// what targets hold, or a target has joined.
	cachePollInterval = 10 * time.Millisecond
	// peerCacheTimeout is how long it waits for such a peer before it asks the targets:
	// peers report to it within a few milliseconds, in another failure domain too.
	peerCacheTimeout = 40 * time.Millisecond
	// seedCacheTimeout is how long an entry that is no seed waits for one that knows: the seeds ask
	// the targets for all, and hosts don't all start at the same moment. Requests wait no
	// longer than settleMost.
	seedCacheTimeout = 500 * time.Millisecond
	// busyPeerDelay is the pause after a peer that could not give a copy now.
	busyPeerDelay = 50 * time.Millisecond
	// listersPerTarget is how many entries ask one target, and report to the others: two, as the
	// datagrams of one may be lost. Each listing costs its target some work.
	listersPerTarget = 2
	// cacheLoadWindow is how long after the first view targets are asked that join: twice
	// what it takes them to come back to the list after the source was away.
	cacheLoadWindow = 4 * time.Second
	// maxSettleTime is how long after the first view requests may still wait for what
	// targets hold: a target that does not answer must not hold up all callers.
	maxSettleTime = 250 * time.Millisecond
	// otherListersTimeout is how long an entry that has asked its part of the targets waits for what the
	// others report of theirs.
	otherListersTimeout = 100 * time.Millisecond
	// copyInterval is how often a peer is asked for a copy while more than copyPart of the targets
	// are unknown: a copy is of all.
	copyInterval  = 700 * time.Millisecond
	copyThreshold = 0.1
	// scanPauseFactor is the pause after a look at all targets, in times of what the look took: an entry
	// that has just started needs its processor for callers.
	scanPauseFactor = 20
	// listWorkers is how many targets are asked at a time.
	listWorkers = 4
)

// loadCacheIndex finds out what targets hold, once after a start: from a peer that knows, or
// else from the targets. An entry that knows nothing sends each prefix to a target
// that has to read it again, which delays everybody's tokens there.
func (n *Direct) loadCacheIndex(ctx context.Context) {
	start := time.Now()
	settle := sync.OnceFunc(func() { close(n.cacheIndexSettled) })
	defer settle()
	if n.Caches == nil || n.Settings.Bootstrap {
		n.markCacheIndexLoaded(start)
		return
	}
	for v := n.roster.View(); v == nil || !v.Listed; v = n.roster.View() {
		if !clock.Sleep(ctx, cachePollInterval) {
			return
		}
	}
	settleTimer := time.AfterFunc(maxSettleTime, settle)
	defer settleTimer.Stop()
	loader := &cacheLoader{node: n, startedAt: start, settle: settle, requested: make(map[string]bool)}
	if n.loadFromPeer(ctx, start) {
		loader.markLoaded()
	} else {
		loader.startWorkers(ctx)
		defer close(loader.queue)
	}
	loader.run(ctx)
	n.markCacheIndexLoaded(start)
}

// markCacheIndexLoaded notes that this entry knows what targets hold.
func (n *Direct) markCacheIndexLoaded(start time.Time) {
	if !n.hasCacheIndex.Swap(true) {
		n.peers.ReportNow()
		n.log.Emit(event.CachesKnown, event.Dur("took", time.Since(start)))
	}
}

// loadFromPeer asks a peer that knows, if there is one.
func (n *Direct) loadFromPeer(ctx context.Context, start time.Time) bool {
	for {
		pause := cachePollInterval
		if peer, ok := n.peers.PeerWithCacheIndex(); ok {
			lists, size, err := share.FetchCacheLists(ctx, peer.String(), link.Dial)
			n.log.Emit(event.CachesTaken, event.Str("peer", peer.String()), event.Int("lists", int64(len(lists))),
				event.Int("bytes", int64(size)), event.Err(err))
			if err == nil {
				n.board.MergeCacheLists(clock.Now(), lists)
				return true
			}
			pause = busyPeerDelay
		}
		if time.Since(start) >= n.peerTimeout() || !clock.Sleep(ctx, pause) {
			return false
		}
	}
}

// peerTimeout is how long to wait for a peer that knows. After a loss of all entries none knows who
// the others are: did each ask, every target would be asked by all.
func (n *Direct) peerTimeout() time.Duration {
	if len(n.settings.Load().Seeds) == 0 || n.isSeed() {
		return peerCacheTimeout
	}
	return seedCacheTimeout
}

// isSeed reports whether this entry is one of the seeds.
func (n *Direct) isSeed() bool { return slices.Contains(n.settings.Load().Seeds, n.Settings.PeerAddr) }

// isAssigned reports whether this entry asks a target: a seed shares them with the other seeds.
func (n *Direct) isAssigned(t *roster.Target) bool {
	if !n.isSeed() {
		return n.board.IsAssigned(&t.Instance, listersPerTarget)
	}
	return n.board.IsFirstOf(&t.Instance, n.peers.LiveSeeds(clock.Now()))
}

// cacheLoader is what an entry does in its first seconds to learn what targets hold. Where the
// source was away as well, targets come back to its list one by one.
type cacheLoader struct {
	node      *Direct
	startedAt time.Time
	settle    func()
	// loadedAt is when enough was known, and copied when a peer was last asked for a copy.
	loadedAt, copiedAt time.Time

	// queue is of the targets to ask; nil where a peer's copy made that needless.
	queue     chan *roster.Target
	requested map[string]bool
	// pending counts the targets that were asked and have not answered.
	pending atomic.Int64
	// idleSince is when the last of them did.
	idleSince time.Time
}

func (l *cacheLoader) startWorkers(ctx context.Context) {
	l.queue = make(chan *roster.Target)
	for range listWorkers {
		go (&listWorker{cacheLoader: l}).run(ctx)
	}
}

// markLoaded notes that enough is known to serve by.
func (l *cacheLoader) markLoaded() {
	if l.loadedAt.IsZero() {
		l.loadedAt, l.copiedAt = time.Now(), time.Now()
	}
	l.node.markCacheIndexLoaded(l.startedAt)
	l.settle()
}

// run asks the targets that are this entry's to ask, and peers for a copy of what is still
// unknown once they had the time to learn it.
func (l *cacheLoader) run(ctx context.Context) {
	for end := time.Now().Add(cacheLoadWindow); time.Now().Before(end); {
		scanStart := time.Now()
		list := l.node.unlistedTargets()
		pause := max(cachePollInterval, scanPauseFactor*time.Since(scanStart))
		if l.queue != nil && l.enqueue(list) {
			l.markLoaded()
		}
		l.copyMissing(ctx, len(list))
		if !clock.Sleep(ctx, pause) {
			return
		}
	}
}

// copyMissing asks a peer for a copy where many targets are unknown still.
func (l *cacheLoader) copyMissing(ctx context.Context, unknown int) {
	if l.loadedAt.IsZero() || time.Since(l.copiedAt) < copyInterval {
		return
	}
	l.copiedAt = time.Now()
	if v := l.node.roster.View(); float64(unknown) > copyThreshold*float64(len(v.ByID)) {
		l.node.loadFromPeer(ctx, time.Now())
	}
}

// enqueue asks those of the targets that are this entry's to ask, and reports whether no more is to
// be expected: one that is gone, or whose entry is, must not hold up what is known of the others.
func (l *cacheLoader) enqueue(list []*roster.Target) bool {
	unassigned := false
	for _, t := range list {
		if l.requested[t.ID] {
			continue
		}
		if !l.node.isAssigned(t) {
			unassigned = true
			continue
		}
		l.requested[t.ID] = true
		l.pending.Add(1)
		l.queue <- t
	}
	if l.pending.Load() > 0 {
		l.idleSince = time.Time{}
		return false
	}
	if l.idleSince.IsZero() {
		l.idleSince = time.Now()
	}
	return !unassigned || time.Since(l.idleSince) >= otherListersTimeout
}

// unlistedTargets are the engines whose caches neither they nor a peer have listed.
func (n *Direct) unlistedTargets() []*roster.Target {
	v := n.roster.View()
	var list []*roster.Target
	for _, t := range v.ByID {
		if s := v.Routing.Services[t.Service]; s != nil && s.IsEngine && v.Usable(t) && !n.board.CacheListed(&t.Instance) {
			list = append(list, t)
		}
	}
	return list
}

// listWorker asks targets, one after the other.
type listWorker struct {
	*cacheLoader
}

func (l *listWorker) run(ctx context.Context) {
	for t := range l.queue {
		l.listTarget(ctx, t)
		l.pending.Add(-1)
	}
}

// listTarget asks one target, and reports to the peers.
func (l *listWorker) listTarget(ctx context.Context, t *roster.Target) {
	n := l.node
	parts, err := n.Caches.ListParts(ctx, t.Address)
	n.log.Emit(event.CacheListed, event.Str("target", t.ID), event.Int("parts", int64(len(parts))), event.Err(err))
	if err != nil {
		return
	}
	n.board.RecordCache(clock.Now(), &t.Instance, parts)
	n.peers.SendLists(share.NewCacheList(board.CacheKey(&t.Instance), partIDs(parts)))
}

func partIDs(parts []chestnutstep.PromptPart) []uint64 {
	list := make([]uint64, 0, len(parts))
	for _, p := range parts {
		list = append(list, p.ID)
	}
	return list
}
