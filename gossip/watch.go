package gossip

import (
	"context"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/config"
)

const (
	// peerHeadStart is how long a starting process waits for its peers before
	// it reads the service. The service can be stale, and a process that puts
	// an old publication in force serves by it until it receives a newer one.
	peerHeadStart = 2 * time.Second
	// maxStartDelay spreads the first reads of processes that start together.
	maxStartDelay = time.Second
)

// readLoop watches the root if this process is a watcher, and otherwise reads
// it periodically.
func (n *Node) readLoop(ctx context.Context) {
	if n.Platform == "" || !n.awaitStart(ctx) {
		return
	}
	var revision uint64
	failures := 0
	for ctx.Err() == nil {
		p, watcher, allowed := n.nextRead(time.Now())
		if !allowed {
			n.awaitReadBudget(ctx, watcher, n.jitter(max(rateInterval(p.Rate)/2, minPullPause)))
			continue
		}
		v, err := n.readRoot(ctx, revision, watcher)
		if err != nil {
			failures++
			clock.Sleep(ctx, n.nextBackoff(failures))
			continue
		}
		failures = 0
		revision = n.applyRoot(v, revision)
		if !watcher {
			n.awaitWatcher(ctx, n.jitter(p.ReadInterval))
		}
	}
}

// nextRead takes a read from the budget. It returns the current plan and
// reports whether this process is a watcher and whether the read is allowed.
func (n *Node) nextRead(now time.Time) (p plan, watcher, allowed bool) {
	p = n.currentPlan(now, 0)
	n.mu.Lock()
	defer n.mu.Unlock()
	return p, n.isWatcher, n.bucket.take(now, p)
}

// readRoot reads the root if it is newer than a revision, and records whether
// the service answers. A watcher waits for a newer root.
func (n *Node) readRoot(ctx context.Context, revision uint64, watcher bool) (value, error) {
	var wait time.Duration
	if watcher {
		wait = watchTimeout
	}
	v, err := n.readValue(ctx, config.RootName, revision, wait)
	if ctx.Err() == nil {
		n.recordPlatformRead(err)
	}
	return v, err
}

// awaitReadBudget waits for d before the next attempt to read. A process that
// isn't a watcher stops waiting when it becomes one.
func (n *Node) awaitReadBudget(ctx context.Context, watcher bool, d time.Duration) {
	if watcher {
		clock.Sleep(ctx, d)
		return
	}
	n.awaitWatcher(ctx, d)
}

// awaitStart delays the first read, so that peers can answer first. It reports
// whether ctx is not done.
func (n *Node) awaitStart(ctx context.Context) bool {
	n.mu.Lock()
	delay := time.Duration(n.rand.Int64N(int64(maxStartDelay)))
	n.mu.Unlock()
	if len(n.Peers) == 0 {
		return clock.Sleep(ctx, delay/4)
	}
	changed := n.Store.Changed()
	if n.Store.View() != nil {
		return true
	}
	select {
	case <-changed:
	case <-time.After(peerHeadStart + delay):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// awaitWatcher sleeps for d between direct reads, or until a publication makes
// this process a watcher. It checks the view before it waits: otherwise a
// publication that came into force just before would be missed, and the process
// would not watch until d has passed.
func (n *Node) awaitWatcher(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		changed := n.Store.Changed()
		if view := n.Store.View(); view != nil && n.updateWatcher(time.Now(), view) {
			return
		}
		select {
		case <-t.C:
			return
		case <-ctx.Done():
			return
		case <-changed:
		}
	}
}

func (n *Node) nextBackoff(failures int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return backoff(failures, n.rand)
}

// recordPlatformRead records whether the service answers and reports changes.
func (n *Node) recordPlatformRead(err error) {
	n.mu.Lock()
	wasDown := n.platformDown
	n.platformDown = err != nil
	n.mu.Unlock()
	switch {
	case err != nil && !wasDown:
		n.notify(NoticePlatformDown, n.Platform, err)
	case err == nil && wasDown:
		n.notify(NoticePlatformUp, n.Platform, nil)
	}
}

// applyRoot requests the publication of a root and returns the revision for the
// next read. A service that was restored from a backup continues from an older
// revision: a watch for the newer revision would wait forever and miss changes.
func (n *Node) applyRoot(v value, revision uint64) uint64 {
	if v.notModified {
		if v.revision < revision {
			n.notify(NoticePlatformStale, strconv.FormatUint(v.revision, 10), nil)
		}
		return min(v.revision, revision)
	}
	if _, err := n.Store.Missing(time.Now(), v.content); err == nil {
		r, _ := config.ParseRoot(v.content)
		n.puller.request(pullRequest{stamp: config.Stamp{Version: r.Version, Digest: config.Hash(v.content)}, root: v.content})
	} else if config.IsErrStale(err) && n.Store.Stamp().Digest != config.Hash(v.content) {
		n.notify(NoticePlatformStale, strconv.FormatUint(v.revision, 10), err)
	}
	return v.revision
}
