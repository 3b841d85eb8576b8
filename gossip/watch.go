package gossip

import (
	"context"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/config"
)

const (
	// peersFirst is how long a starting process waits for its peers before it
	// reads the service: the service may be stale, and a process that put an old
	// publication in force would serve by it until it heard better.
	peersFirst = 2 * time.Second
	// startSpread spreads the first reads of processes that start together.
	startSpread = time.Second
)

// readLoop watches the root, or reads it now and then.
func (n *Node) readLoop(ctx context.Context) {
	if n.Platform == "" || !n.start(ctx) {
		return
	}
	var revision uint64
	failures := 0
	for ctx.Err() == nil {
		p, watcher, allowed := n.turn(time.Now())
		if !allowed {
			n.hold(ctx, watcher, n.jitter(max(every(p.Rate)/2, pullPause)))
			continue
		}
		v, err := n.readRoot(ctx, revision, watcher)
		if err != nil {
			failures++
			clock.Sleep(ctx, n.pauseAfter(failures))
			continue
		}
		failures = 0
		revision = n.took(v, revision)
		if !watcher {
			n.await(ctx, n.jitter(p.Spot))
		}
	}
}

// turn says whether this process may read now, and whether it watches.
func (n *Node) turn(now time.Time) (p plan, watcher, allowed bool) {
	p = n.planNow(now, 0)
	n.mu.Lock()
	defer n.mu.Unlock()
	return p, n.watcher, n.bucket.take(now, p)
}

// readRoot reads the root beyond a revision, and notes whether the service
// answers.
func (n *Node) readRoot(ctx context.Context, revision uint64, watcher bool) (value, error) {
	var wait time.Duration
	if watcher {
		wait = watchWait
	}
	v, err := n.get(ctx, config.RootName, revision, wait)
	if ctx.Err() == nil {
		n.served(err)
	}
	return v, err
}

// hold waits until this process's share allows a read again.
func (n *Node) hold(ctx context.Context, watcher bool, d time.Duration) {
	if watcher {
		clock.Sleep(ctx, d)
		return
	}
	n.await(ctx, d)
}

// start gives the peers a while to answer first.
func (n *Node) start(ctx context.Context) bool {
	n.mu.Lock()
	spread := time.Duration(n.rand.Int64N(int64(startSpread)))
	n.mu.Unlock()
	if len(n.Peers) == 0 {
		return clock.Sleep(ctx, spread/4)
	}
	changed := n.Store.Changed()
	if n.Store.View() != nil {
		return true
	}
	select {
	case <-changed:
	case <-time.After(peersFirst + spread):
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

// await sleeps between direct reads, but not longer than until a publication
// makes this process a watcher. It looks before it waits: a publication that
// came into force right before would otherwise go unseen, and the process would
// not watch for as long as it was meant to sleep.
func (n *Node) await(ctx context.Context, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	for {
		changed := n.Store.Changed()
		if view := n.Store.View(); view != nil && n.watching(time.Now(), view) {
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

func (n *Node) pauseAfter(failures int) time.Duration {
	n.mu.Lock()
	defer n.mu.Unlock()
	return backoff(failures, n.rand)
}

// served notes whether the service answers, and tells when that changes.
func (n *Node) served(err error) {
	n.mu.Lock()
	was := n.down
	n.down = err != nil
	n.mu.Unlock()
	switch {
	case err != nil && !was:
		n.notify(NoticeDown, n.Platform, err)
	case err == nil && was:
		n.notify(NoticeUp, n.Platform, nil)
	}
}

// took hands a root on to be fetched and returns the revision to wait beyond.
// A service that was restored from a copy counts on from an older revision: a
// watch for the newer one would wait for ever, and changes would go unseen.
func (n *Node) took(v value, revision uint64) uint64 {
	if v.same {
		if v.revision < revision {
			n.notify(NoticeStale, strconv.FormatUint(v.revision, 10), nil)
		}
		return min(v.revision, revision)
	}
	if _, err := n.Store.Missing(time.Now(), v.content); err == nil {
		r, _ := config.ParseRoot(v.content)
		n.puller.want(want{stamp: config.Stamp{Version: r.Version, Digest: config.Hash(v.content)}, root: v.content})
	} else if config.IsErrStale(err) && n.Store.Stamp().Digest != config.Hash(v.content) {
		n.notify(NoticeStale, strconv.FormatUint(v.revision, 10), err)
	}
	return v.revision
}
