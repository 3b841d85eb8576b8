package node

import (
	"context"
	"net"
	"net/http"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// copyTick is how often an entry looks whether it needs a peer's copy.
	copyTick = 100 * time.Millisecond
	// copyAfter is how long an entry waits for the source itself: a source that
	// was slow for a moment costs no copy.
	copyAfter = 400 * time.Millisecond
	// copyPause is the least time between two copies, and copyRate the bytes a
	// second that they may cost on average, within the 26 KB/s of control.
	copyPause = time.Second
	copyRate  = 10000.0
)

// copier keeps an entry up to date from its peers while it can't reach the source.
// Without it an entry that is turned away refuses each key from the first change on,
// and one that restarts meanwhile knows nothing at all. It is advice that comes with
// its age: the proof of a copy is the peer's, never better.
type copier struct {
	node *Direct
	// since is when the need began.
	since time.Time
	next  time.Time
}

func (c *copier) loop(ctx context.Context) {
	for sleep(ctx, copyTick) {
		if c.due(time.Now()) {
			c.fetch(ctx)
		}
	}
}

// due says whether a copy is needed, and not too soon after the last one.
func (c *copier) due(now time.Time) bool {
	n := c.node
	if !n.lostSource() && !n.behind() && n.roster.View() != nil {
		c.since = time.Time{}
		return false
	}
	if c.since.IsZero() {
		c.since = now
	}
	return now.Sub(c.since) >= copyAfter && now.After(c.next)
}

func (c *copier) fetch(ctx context.Context) {
	n := c.node
	peer, ok := n.peers.Newest()
	if !ok {
		return
	}
	c.next = time.Now().Add(copyPause)
	asked := clock.Now()
	got, err := share.FetchCopy(ctx, peer.String(), link.Dial, n.Facts)
	if err != nil {
		n.log.Emit(event.CopyFailed, event.Str("peer", peer.String()), event.Err(err))
		return
	}
	c.next = c.next.Add(time.Duration(float64(got.Bytes) / copyRate * float64(time.Second)))
	change := n.roster.Adopt(clock.Now(), got.Copy)
	if got.Fresh && n.roster.Version() == got.Version {
		n.roster.Prove(asked.Add(-got.Age))
	}
	n.log.Emit(event.CopyTaken,
		event.Str("peer", peer.String()), event.Uint("version", got.Version), event.Bool("fresh", got.Fresh),
		event.Dur("age", got.Age), event.Int("bytes", int64(got.Bytes)))
	if !change.Empty() {
		n.Changed(chestnutstep.TopicInstances, change, asked)
	}
}

// lostSource says that a topic of the source does not answer.
func (n *Direct) lostSource() bool { return n.lost[0].Load() || n.lost[1].Load() }

// serveCopies answers peers until ctx ends.
func (n *Direct) serveCopies(ctx context.Context) {
	l, err := net.Listen("tcp", n.Settings.Control)
	if err != nil {
		n.log.Emit(event.AdminFailed, event.Str("addr", n.Settings.Control), event.Err(err))
		return
	}
	srv := &http.Server{
		Handler: &share.Copies{
			Copy:   func() (roster.Copy, time.Duration) { return n.roster.Copy(), n.proofAge() },
			Caches: func() []share.List { return n.board.Lists(clock.Now()) },
		},
		ReadHeaderTimeout: directHeader,
		IdleTimeout:       directHeader,
	}
	stop := context.AfterFunc(ctx, func() { _ = srv.Close() })
	defer stop()
	if err := srv.Serve(l); ctx.Err() == nil {
		n.log.Emit(event.AdminFailed, event.Str("addr", n.Settings.Control), event.Err(err))
	}
}
