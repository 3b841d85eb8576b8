package node

import (
	"context"
	"net"
	"net/http"
	"net/netip"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/feed"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/share"
	"chestnutstep.example/chestnutstep/watch"
)

// watcher returns a watcher of a topic, which reads through peers if they are enabled.
func (n *Direct) watcher(t chestnutstep.Topic) *watch.Watcher {
	w := &watch.Watcher{
		Topic:      t,
		Source:     n.source(t),
		Roster:     n.roster,
		Observer:   n,
		Wait:       func() time.Duration { return n.timing().SourceWait },
		BatchDelay: func() time.Duration { return n.timing().BatchDelay },
		Backoff:    &n.backoff,
	}
	if t == chestnutstep.TopicRouting {
		w.Wake = n.wake
	}
	return w
}

func (n *Direct) source(t chestnutstep.Topic) chestnutstep.Source {
	if n.Decoder == nil {
		return n.Source(t)
	}
	return &feed.Source{
		Topic:         t,
		Source:        n.Source(t),
		Decoder:       n.Decoder,
		Dial:          link.Dial,
		Self:          feed.Member{ID: n.peers.Self, Link: n.Settings.LinkMbps},
		Members:       n.members,
		Timing:        n.timing,
		Empty:         func() bool { return !n.roster.Listed(t) },
		PeerWithFacts: n.peerWithFacts,
		CopyTimeout:   n.copyTimeout,
		OnParent:      func(parent netip.AddrPort, err error) { n.logParent(t, parent, err) },
		OnRead:        func(r feed.Read) { n.logRead(t, r) },
		Breaker:       &n.breaker,
	}
}

// peerWithFacts returns a peer that has facts, or false if there is none.
func (n *Direct) peerWithFacts() (feed.Member, bool) {
	m, ok := n.peers.PeerWithFacts()
	return feedMember(m), ok
}

const (
	// minCopyTimeout is how long an entry that has just started waits for a peer with facts. Hosts
	// that are powered on together start within a tenth of a second.
	minCopyTimeout = 150 * time.Millisecond
	// maxCopyTimeout is the time allowed for a seed to list thousands of targets.
	maxCopyTimeout = 1500 * time.Millisecond
)

// copyTimeout returns how long an entry that has just started waits for a peer with facts. Seeds
// list the source immediately; the other entries wait for them while one is live.
func (n *Direct) copyTimeout() time.Duration {
	switch {
	case n.isSeed() || len(n.settings.Load().Seeds) == 0:
		return 0
	case len(n.peers.LiveSeeds(clock.Now())) > 0:
		return maxCopyTimeout
	}
	return minCopyTimeout
}

// timing returns the intervals of reading, derived from the bounds on applying changes and on
// revoking keys.
func (n *Direct) timing() feed.Timing {
	b := n.bounds()
	bound := b.MaxApplyTime
	if bound <= 0 || b.MaxRevokeTime > 0 && b.MaxRevokeTime < bound {
		bound = b.MaxRevokeTime
	}
	return feed.NewTiming(bound)
}

func feedMember(m share.Member) feed.Member {
	return feed.Member{ID: m.Addr, FeedAddr: m.ControlAddr, Link: m.Link}
}

// members returns the other entries that serve their facts.
func (n *Direct) members() []feed.Member {
	var list []feed.Member
	for _, m := range n.peers.Members(clock.Now()) {
		list = append(list, feedMember(m))
	}
	return list
}

func (n *Direct) logParent(t chestnutstep.Topic, parent netip.AddrPort, err error) {
	name := ""
	if parent.IsValid() {
		name = parent.String()
	}
	n.log.Emit(event.FeedParent, event.Str("topic", t.String()), event.Str("peer", name), event.Err(err),
		event.Dur("proof", n.factsAge(t)))
}

// logRead logs a call that returned changes or failed. The field "gap" is the age of the last
// proof, which is an upper bound for the age of the changes.
func (n *Direct) logRead(t chestnutstep.Topic, r feed.Read) {
	peer := ""
	if r.Peer.IsValid() {
		peer = r.Peer.String()
	}
	n.log.Emit(event.FactsRead,
		event.Str("topic", t.String()), event.Str("peer", peer), event.Uint("after", r.After), event.Uint("revision", r.Batch.Revision),
		event.Int("facts", int64(len(r.Batch.Facts))), event.Int("bytes", int64(r.Batch.Bytes)),
		event.Dur("first", r.Batch.TimeToFirstByte), event.Dur("took", r.Duration), event.Dur("age", r.Batch.Age),
		event.Dur("settle", r.Batch.SettleTime), event.Dur("gap", n.factsAge(t)), event.Err(r.Err))
	n.countRead(t, r)
}

// countRead adds a call to the metrics.
func (n *Direct) countRead(t chestnutstep.Topic, r feed.Read) {
	m, from := &n.meters.Relay, "source"
	switch {
	case r.Err != nil:
		from = "failed"
	case r.Peer.IsValid():
		from = "peer"
	}
	m.Reads.Add(1, t.String(), from)
	m.ReadBytes.Add(int64(r.Batch.Bytes), t.String(), from)
	if r.Err == nil {
		m.ReadGap.Observe(n.factsAge(t), t.String(), from)
	}
}

// proofAge returns the age of the proof that the configuration is current.
func (n *Direct) proofAge() time.Duration { return clock.Now().Sub(n.roster.VersionConfirmedAt()) }

// factsAge returns the age of the proof that the facts of a topic are complete.
func (n *Direct) factsAge(t chestnutstep.Topic) time.Duration {
	return clock.Now().Sub(n.roster.Proof(t))
}

// wakeWatch ends the current watch of the configuration.
func (n *Direct) wakeWatch() {
	select {
	case n.wake <- struct{}{}:
	default: // a wake-up is already pending
	}
}

// serveControl serves facts and cache lists to peers until ctx ends.
func (n *Direct) serveControl(ctx context.Context) {
	l, err := net.Listen("tcp", n.Settings.ControlAddr)
	if err != nil {
		n.log.Emit(event.AdminFailed, event.Str("addr", n.Settings.ControlAddr), event.Err(err))
		return
	}
	mux := http.NewServeMux()
	mux.Handle(feed.Path, &feed.Server{Roster: n.roster})
	mux.Handle(share.CacheListsPath, &share.CacheServer{Lists: func() []share.CacheList { return n.board.CacheLists(clock.Now()) }})
	srv := &http.Server{Handler: mux, ReadHeaderTimeout: directHeaderTimeout, IdleTimeout: directHeaderTimeout}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); ctx.Err() == nil {
		n.log.Emit(event.AdminFailed, event.Str("addr", n.Settings.ControlAddr), event.Err(err))
	}
}
