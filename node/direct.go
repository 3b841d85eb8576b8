package node

import (
	"context"
	"crypto/rand"
	"encoding/binary"
	"io"
	"net"
	"net/http"
	"net/netip"
	"os"
	"runtime/debug"
	"strings"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/feed"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/relay"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
	"chestnutstep.example/chestnutstep/watch"
)

const (
	// directHeader bounds the reading of a caller's headers.
	directHeader = 5 * time.Second
	// directHeaderBytes bounds the headers of a request.
	directHeaderBytes = 64 << 10
	// directTick is how often the roster and the pool are looked at.
	directTick = 250 * time.Millisecond
	// balancerTime is how long a stopping entry still takes connections: the
	// balancer asks once a second and believes the second answer.
	balancerTime = 2500 * time.Millisecond
	// graceShare is the part of the grace in which requests may come to their
	// end; the rest is for the process to end by itself.
	graceShare = 0.94
	// gcPercent collects garbage when the heap has grown by this much of what is in
	// use. An entry lives on little, and less garbage beside it costs hardly any
	// processor while callers are few.
	gcPercent = 20
	// unprovedReady is the part of the bound on keys after which an entry that
	// can't prove its configuration says that it is not ready: callers are then
	// better served by another.
	unprovedReady = 0.6
)

// Direct is an entry that brings requests to targets without agents. Set the
// fields before Run.
type Direct struct {
	Settings *config.DirectSettings
	// Source of each topic.
	Source func(chestnutstep.Topic) chestnutstep.Source
	Wire   chestnutstep.HeaderCodec
	// Facts reads what a peer's copy holds; nil takes no copies.
	Facts chestnutstep.Decoder
	// Caches asks targets what they hold; nil for never.
	Caches chestnutstep.CacheLister
	// Out receives the log; standard output if unset.
	Out io.Writer
	// Reloader brings changed settings; nil for none.
	Reloader *config.Reloader

	settings atomic.Pointer[config.DirectSettings]
	meters   *meter.Set
	log      *event.Log
	async    *event.AsyncWriter
	roster   *roster.Roster
	board    *board.Board
	crashes  *relay.CrashTracker
	relay    *relay.Relay
	callers  *relay.Listener
	shed     *relay.Shedder
	delays   *delays
	pool     *link.Pool
	peers    *share.Peers
	// wake ends the present watch of the configuration.
	wake chan struct{}
	// gate and pauses hold back calls of a source that fails.
	gate   feed.Gate
	pauses watch.Pauses
	// newest is the newest version that a peer named, and newestAt when.
	newest   atomic.Uint64
	newestAt atomic.Int64
	leaving  atomic.Bool
	// hasFacts says that the first facts are there.
	hasFacts atomic.Bool
	// knows says that this entry has learned what targets hold.
	knows atomic.Bool
	// settled is closed once it does, or is late with it.
	settled chan struct{}
	counted counted
}

// Run serves until ctx ends, then lets requests in progress come to their end.
func (n *Direct) Run(ctx context.Context) error {
	if err := n.build(); err != nil {
		return err
	}
	callers, err := callersListen.Listen(ctx, "tcp", n.Settings.CallerAddr)
	if err != nil {
		return errors.Wrap(err, "callers")
	}
	if err := relay.BoundQueue(callers); err != nil {
		return errors.Wrap(err, "queue of callers")
	}
	ready, err := net.Listen("tcp", n.Settings.ReadyAddr)
	if err != nil {
		return errors.Wrap(err, "ready")
	}
	n.callers = &relay.Listener{Listener: callers, Relay: n.relay, MaxConns: n.Settings.MaxCallers(filesMost()), Shedder: n.shed}
	n.logStart()
	work, stop := context.WithCancel(context.Background())
	defer stop()
	n.begin(work)
	srv := &http.Server{
		Handler:           n.relay,
		ConnContext:       relay.ConnContext,
		ReadHeaderTimeout: directHeader,
		IdleTimeout:       relay.IdleTimeout,
		MaxHeaderBytes:    directHeaderBytes,
	}
	probes := &http.Server{Handler: http.HandlerFunc(n.probe), ReadHeaderTimeout: directHeader}
	served := make(chan error, 2)
	start(work,
		func(context.Context) { served <- srv.Serve(n.callers) },
		func(context.Context) { served <- probes.Serve(ready) },
	)
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		return n.stop(srv)
	}
}

func (n *Direct) logStart() {
	n.log.Emit(event.ProcessStart, event.Str("role", string(config.RoleEntry)), event.Str("callers", n.Settings.CallerAddr))
	n.log.Emit(event.SettingsInForce, event.Dur("grace", n.Settings.Bounds.GracePeriod), event.Dur("revoke", n.Settings.Bounds.MaxRevokeTime),
		event.Int("callers", int64(n.callers.MaxConns)), event.Str("unknown", strings.Join(n.Settings.UnknownFields, " ")))
}

// begin starts what runs beside the servers.
func (n *Direct) begin(work context.Context) {
	start(work, n.loop, n.learn, n.peers.Loop, n.delays.loop,
		n.watcher(chestnutstep.TopicTargets).Run, n.watcher(chestnutstep.TopicRouting).Run)
	if n.Reloader != nil {
		n.Reloader.OnChange, n.Reloader.OnError = n.reload, n.refuse
		start(work, n.Reloader.Run)
	}
	if n.Settings.ControlAddr != "" && n.Facts != nil {
		start(work, n.serveControl)
	}
	if n.Settings.MetricsAddr != "" {
		start(work, n.serveMetrics)
	}
}

func (n *Direct) build() error {
	if n.Out == nil {
		n.Out = os.Stdout
	}
	debug.SetGCPercent(gcPercent)
	n.settings.Store(n.Settings)
	var err error
	if n.meters, err = meter.NewSet(); err != nil {
		return errors.Wrap(err, "metrics")
	}
	n.async = event.NewAsyncWriter(n.Out)
	n.log = &event.Log{Out: n.async, Process: n.Settings.Name}
	n.wake = make(chan struct{}, 1)
	n.settled = make(chan struct{})
	n.roster = &roster.Roster{}
	n.pool = &link.Pool{}
	n.crashes = &relay.CrashTracker{Log: n.log, Meters: &n.meters.Relay, OnLoss: n.spreadCrashes}
	self, err := netip.ParseAddrPort(n.Settings.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "peer address")
	}
	n.delays = &delays{node: n}
	n.board = &board.Board{Self: self, Domain: n.Settings.Domain, Cold: n.coldBounds, Overloaded: n.delays.overloaded}
	n.relay = &relay.Relay{
		Domain:      n.Settings.Domain,
		Regions:     n.Settings.Regions,
		Bounds:      n.bounds,
		Roster:      n.roster,
		Board:       n.board,
		Pool:        n.pool,
		Wire:        n.Wire,
		Crashes:     n.crashes,
		Log:         n.log,
		Meters:      &n.meters.Relay,
		IsBehind:    n.behind,
		CachesKnown: n.settled,
		Budgets:     &retry.Budgets{Bounds: n.retryBounds, Entries: n.board.Entries},
	}
	n.shed = &relay.Shedder{Relay: n.relay}
	conn, err := net.ListenPacket("udp", n.Settings.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "peer")
	}
	n.peers = &share.Peers{Self: self, Run: drawRun(), Knowledge: n, Conn: conn, OnError: n.datagramFailed, Link: uint32(n.Settings.LinkMbps)}
	if a, err := netip.ParseAddrPort(n.Settings.ControlAddr); err == nil && n.Facts != nil {
		n.peers.Control = a.Port()
	}
	n.peers.Seeds = seedAddrs(n.Settings.Seeds)
	return nil
}

// seedAddrs reads the addresses of seeds; one that can't be read is left out, as
// seeds may be stale anyway.
func seedAddrs(list []string) []netip.AddrPort {
	var addrs []netip.AddrPort
	for _, s := range list {
		if a, err := netip.ParseAddrPort(s); err == nil {
			addrs = append(addrs, a)
		}
	}
	return addrs
}

func (n *Direct) bounds() config.Bounds { return n.settings.Load().Bounds }

func (n *Direct) coldBounds() (over, slack float64) {
	b := n.bounds()
	return b.ColdFactor, b.ColdSlack
}

func (n *Direct) retryBounds() retry.Bounds {
	b := n.bounds()
	return retry.Bounds{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// reload puts changed settings in force: bounds and seeds. Addresses are taken
// at the next start.
func (n *Direct) reload(s *config.DirectSettings) {
	n.settings.Store(s)
	n.peers.Seed(seedAddrs(s.Seeds))
	n.log.Emit(event.SettingsInForce, event.Dur("grace", s.Bounds.GracePeriod), event.Dur("revoke", s.Bounds.MaxRevokeTime))
}

func (n *Direct) refuse(err error) { n.log.Emit(event.SettingsRefused, event.Err(err)) }

// drawRun draws the number of this life of the process.
func drawRun() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:]) // never fails, says its documentation
	return binary.LittleEndian.Uint32(b[:])
}

// loop looks after what needs no hurry.
func (n *Direct) loop(ctx context.Context) {
	tick := time.NewTicker(directTick)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.pool.Sweep(time.Now())
		if c := n.roster.Tick(clock.Now()); !c.Empty() {
			n.Changed(c, clock.Now())
		}
		n.count()
	}
}
