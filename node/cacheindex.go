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
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// cachePollInterval is how often an entry that has just started checks for a peer with a cache
	// index, and for new targets.
	cachePollInterval = 10 * time.Millisecond
	// peerCacheTimeout is how long it waits for such a peer before it lists the caches of targets
	// itself. Peers report within a few milliseconds, even from another failure domain.
	peerCacheTimeout = 40 * time.Millisecond
	// seedCacheTimeout is how long an entry that is not a seed waits for a peer with a cache index.
	// The seeds list the caches for all entries, and hosts do not start at exactly the same time.
	// Requests wait no longer than maxSettleTime.
	seedCacheTimeout = 500 * time.Millisecond
	// busyPeerDelay is the pause after a peer failed to provide a copy.
	busyPeerDelay = 50 * time.Millisecond
	// listersPerTarget is the number of entries that list the cache of one target and report it to
	// the others. It is two because datagrams can be lost, and not more because each listing costs
	// the target some work.
	listersPerTarget = 2
	// cacheLoadWindow is the time after the first view during which the caches of new targets are
	// listed. It is twice the time that targets take to return to the list after an outage of the
	// source.
	cacheLoadWindow = 4 * time.Second
	// maxSettleTime is how long after the first view requests can wait for the cache index. A
	// target that does not respond must not delay all callers.
	maxSettleTime = 250 * time.Millisecond
	// otherListersTimeout is how long an entry that has listed its share of the targets waits for
	// the reports of the other entries.
	otherListersTimeout = 100 * time.Millisecond
	// copyInterval is how often a copy is requested from a peer while the caches of more than
	// copyThreshold of the targets are missing. Copies are infrequent because each one contains all
	// lists.
	copyInterval  = 700 * time.Millisecond
	copyThreshold = 0.1
	// scanPauseFactor is the ratio of the pause after a scan of all targets to the duration of the
	// scan. An entry that has just started needs its CPU time for callers.
	scanPauseFactor = 20
	// listWorkers is the number of targets whose caches are listed concurrently.
	listWorkers = 4
)

// loadCacheIndex loads the index of the prefixes cached by targets once after a start, from a peer
// if possible and otherwise from the targets. Without the index, an entry sends prefixes to targets
// that must prefill them again, which delays the tokens of all requests there.
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

// markCacheIndexLoaded marks the index as loaded and reports that to the peers and in the log.
func (n *Direct) markCacheIndexLoaded(start time.Time) {
	if !n.hasCacheIndex.Swap(true) {
		n.peers.ReportNow()
		n.log.Emit(event.CachesKnown, event.Dur("took", time.Since(start)))
	}
}

// loadFromPeer copies the index from a peer. It returns false if no peer provides one within the
// timeout.
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

// peerTimeout returns how long to wait for a peer with a cache index. After a restart of all
// entries none has an index or a list of peers; if each entry listed the caches itself, every
// target would be called by all entries.
func (n *Direct) peerTimeout() time.Duration {
	if len(n.settings.Load().Seeds) == 0 || n.isSeed() {
		return peerCacheTimeout
	}
	return seedCacheTimeout
}

// isSeed reports whether this entry is one of the seeds.
func (n *Direct) isSeed() bool { return slices.Contains(n.settings.Load().Seeds, n.Settings.PeerAddr) }

// isAssigned reports whether this entry lists the cache of a target. Seeds divide the targets among
// the live seeds.
func (n *Direct) isAssigned(t *roster.Target) bool {
	if !n.isSeed() {
		return n.board.IsAssigned(&t.Instance, listersPerTarget)
	}
	return n.board.IsFirstOf(&t.Instance, n.peers.LiveSeeds(clock.Now()))
}

// cacheLoader builds the cache index in the first seconds after a start. If the source was
// unavailable as well, targets return to its list one by one.
type cacheLoader struct {
	node      *Direct
	startedAt time.Time
	settle    func()
	// loadedAt is the time at which the index was complete enough to serve, and copiedAt the time
	// of the last copy from a peer.
	loadedAt, copiedAt time.Time

	// queue passes targets to the workers; nil if a peer's copy made listing unnecessary.
	queue     chan *roster.Target
	requested map[string]bool
	// pending counts the targets queued or being listed.
	pending atomic.Int64
	// idleSince is the time since which no listing is pending.
	idleSince time.Time
}

func (l *cacheLoader) startWorkers(ctx context.Context) {
	l.queue = make(chan *roster.Target)
	for range listWorkers {
		go (&listWorker{cacheLoader: l}).run(ctx)
	}
}

// markLoaded marks the index as complete enough to serve.
func (l *cacheLoader) markLoaded() {
	if l.loadedAt.IsZero() {
		l.loadedAt, l.copiedAt = time.Now(), time.Now()
	}
	l.node.markCacheIndexLoaded(l.startedAt)
	l.settle()
}

// run lists the caches of the targets assigned to this entry, and copies the missing ones from
// peers once those had time to list theirs.
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

// copyMissing requests a copy from a peer if the caches of many targets are still missing.
func (l *cacheLoader) copyMissing(ctx context.Context, unknown int) {
	if l.loadedAt.IsZero() || time.Since(l.copiedAt) < copyInterval {
		return
	}
	l.copiedAt = time.Now()
	if v := l.node.roster.View(); float64(unknown) > copyThreshold*float64(len(v.ByID)) {
		l.node.loadFromPeer(ctx, time.Now())
	}
}

// enqueue queues the targets assigned to this entry. It reports whether no further lists are
// expected; a target or an entry that is gone must not delay the use of the other lists.
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

// unlistedTargets returns the usable engines whose caches have not been listed by themselves or by
// a peer.
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

// listWorker lists the caches of targets one at a time.
type listWorker struct {
	*cacheLoader
}

func (l *listWorker) run(ctx context.Context) {
	for t := range l.queue {
		l.listTarget(ctx, t)
		l.pending.Add(-1)
	}
}

// listTarget lists the cache of one target and reports it to the peers.
func (l *listWorker) listTarget(ctx context.Context, t *roster.Target) {
	n := l.node
	if n.pauses.State(clock.Now(), pause.InstanceOf(&t.Instance)).Blocked() {
		return
	}
	list, err := n.Caches.ListParts(ctx, t.Address)
	n.log.Emit(event.CacheListed, event.Str("target", t.ID), event.Int("parts", int64(len(list.Parts))), event.Err(err))
	n.relay.RecordAnswer(t, "", list.Headers)
	if err != nil {
		return
	}
	n.board.RecordCache(clock.Now(), &t.Instance, list.Parts)
	n.peers.SendLists(share.NewCacheList(board.CacheKey(&t.Instance), partIDs(list.Parts)))
}

func partIDs(parts []chestnutstep.PromptPart) []uint64 {
	list := make([]uint64, 0, len(parts))
	for _, p := range parts {
		list = append(list, p.ID)
	}
	return list
}
