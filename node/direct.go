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
	"chestnutstep.example/chestnutstep/claim"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/feed"
	"chestnutstep.example/chestnutstep/gauge"
	"chestnutstep.example/chestnutstep/guard"
	"chestnutstep.example/chestnutstep/hedge"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/memory"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/origin"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/relay"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
	"chestnutstep.example/chestnutstep/watch"
)

const (
	// directHeaderTimeout bounds the reading of request headers.
	directHeaderTimeout = 5 * time.Second
	// directMaxHeaderBytes is the maximum size of request headers in bytes.
	directMaxHeaderBytes = 64 << 10
	// directTickInterval is how often the roster, the pool and the metrics are updated.
	directTickInterval = 250 * time.Millisecond
	// balancerDelay is how long a stopping entry still accepts connections. The balancer probes
	// once per second and removes an entry after two failures.
	balancerDelay = 2500 * time.Millisecond
	// graceRatio is the fraction of the grace period during which requests can finish. Those that are left
	// get an answer of the entry until exitRatio; the rest is left for the process to exit.
	graceRatio = 0.94
	exitRatio  = 0.97
	// gcPercent is the growth of the heap in percent that starts a garbage collection. The live
	// heap of an entry is small, so that frequent collections cost little CPU time while there are
	// few callers.
	gcPercent = 20
	// heapLimitRatio is the part of the memory limit from which garbage is collected sooner, whatever
	// gcPercent is. The rest is for the program itself and for what one collection lets grow.
	heapLimitRatio = 0.75
	// readyProofRatio is the fraction of the maximum revocation time after which an entry without
	// proof that its configuration is current reports that it is not ready, so that callers are
	// sent to another entry.
	readyProofRatio = 0.6
)

// Direct is an entry that sends requests to targets without agents. Its exported fields must be set
// before Run.
type Direct struct {
	Settings *config.DirectSettings
	// Source returns the source of a topic.
	Source func(chestnutstep.Topic) chestnutstep.Source
	Codec  chestnutstep.HeaderCodec
	// Decoder decodes facts copied from peers; nil disables reading from peers.
	Decoder chestnutstep.Decoder
	// Caches lists the cached prefixes of targets; nil disables listing.
	Caches chestnutstep.CacheLister
	// Out receives the log; standard output if unset.
	Out io.Writer
	// Reloader loads changed settings; nil disables reloading.
	Reloader *config.Reloader

	settings atomic.Pointer[config.DirectSettings]
	meters   *meter.Set
	log      *event.Log
	async    *event.AsyncWriter
	roster   *roster.Roster
	board    *board.Board
	crashes  *relay.CrashTracker
	pauses   *pause.Tracker
	readings *gauge.Store
	sender   *gauge.Sender
	relay    *relay.Relay
	callers  *relay.Listener
	shed     *relay.Shedder
	delays   *delayMonitor
	memory   memoryMonitor
	pool     *link.Pool
	peers    *share.Peers
	origins  *origin.Directory
	// historyTurn is held while the history of the targets is read; hasHistory is set once it was.
	historyTurn chan struct{}
	hasHistory  bool
	// confirmTurn is held while the source is asked whether the list of targets is up to date.
	confirmTurn chan struct{}
	// claims is nil unless the settings ask for it.
	claims *claim.Keeper
	// wake ends the current watch of the configuration.
	wake chan struct{}
	// breaker and backoff suspend calls of a failing source.
	breaker feed.Breaker
	backoff watch.Backoff
	// newestVersion is the newest version reported by a peer, and newestSeenAt the time of its last
	// report.
	newestVersion atomic.Uint64
	newestSeenAt  atomic.Int64
	leaving       atomic.Bool
	// endRequests ends all requests in progress.
	endRequests context.CancelFunc
	// hasFacts reports whether the first facts have been read.
	hasFacts atomic.Bool
	// hasCacheIndex reports whether the index of the prefixes cached by targets is loaded.
	hasCacheIndex atomic.Bool
	// cacheIndexSettled is closed once the index is loaded, or requests no longer wait for it.
	cacheIndexSettled chan struct{}
	reported          reportedCounts
	// claimsExpired is the count that metrics have.
	claimsExpired int64
}

// Run serves until ctx ends, then drains requests in progress.
func (n *Direct) Run(ctx context.Context) error {
	if err := n.build(); err != nil {
		return err
	}
	callers, err := callerListenConfig.Listen(ctx, "tcp", n.Settings.CallerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	if err := relay.BoundQueue(callers); err != nil {
		return errors.Wrap(err, "bound the accept queue for callers")
	}
	ready, err := net.Listen("tcp", n.Settings.ReadyAddr)
	if err != nil {
		return errors.Wrap(err, "listen for readiness probes")
	}
	n.callers = &relay.Listener{Listener: callers, Relay: n.relay, MaxConns: n.Settings.MaxCallers(maxFiles()), Shedder: n.shed}
	n.logStart()
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	n.startBackground(workCtx)
	srv := &http.Server{
		Handler:           n.relay,
		ConnContext:       guard.ConnContext,
		ReadHeaderTimeout: directHeaderTimeout,
		IdleTimeout:       relay.IdleTimeout,
		MaxHeaderBytes:    directMaxHeaderBytes,
	}
	probes := &http.Server{Handler: http.HandlerFunc(n.serveReady), ReadHeaderTimeout: directHeaderTimeout}
	served := make(chan error, 2)
	startTasks(workCtx,
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

// startBackground starts the background tasks.
func (n *Direct) startBackground(workCtx context.Context) {
	startTasks(workCtx, n.tickLoop, n.loadCacheIndex, n.peers.Loop, n.delays.loop, n.sender.Loop,
		n.watcher(chestnutstep.TopicTargets).Run, n.watcher(chestnutstep.TopicRouting).Run)
	if n.Reloader != nil {
		n.Reloader.OnChange, n.Reloader.OnError = n.reload, n.logRefusedSettings
		startTasks(workCtx, n.Reloader.Run)
	}
	if n.Settings.ControlAddr != "" && n.Decoder != nil {
		startTasks(workCtx, n.serveControl)
	}
	if n.Settings.MetricsAddr != "" {
		startTasks(workCtx, n.serveMetrics)
	}
}

func (n *Direct) build() error {
	if n.Out == nil {
		n.Out = os.Stdout
	}
	debug.SetGCPercent(gcPercent)
	if limit := n.Settings.MemoryBytes; limit > 0 {
		debug.SetMemoryLimit(int64(heapLimitRatio * float64(limit)))
	}
	n.settings.Store(n.Settings)
	var err error
	if n.meters, err = meter.NewSet(); err != nil {
		return errors.Wrap(err, "create metrics")
	}
	n.async = event.NewAsyncWriter(n.Out)
	n.log = &event.Log{Out: n.async, Process: n.Settings.Name}
	n.wake, n.historyTurn, n.confirmTurn = make(chan struct{}, 1), make(chan struct{}, 1), make(chan struct{}, 1)
	n.cacheIndexSettled = make(chan struct{})
	n.roster = &roster.Roster{}
	n.pool = &link.Pool{}
	n.pauses = &pause.Tracker{Seed: uint64(randomIncarnation())}
	n.readings = &gauge.Store{}
	n.crashes = &relay.CrashTracker{Log: n.log, Meters: &n.meters.Relay, OnLoss: n.sendCrashes, Pauses: n.pauses, Seed: uint64(randomIncarnation())}
	self, err := netip.ParseAddrPort(n.Settings.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "parse peer address")
	}
	n.delays = &delayMonitor{node: n}
	n.board = &board.Board{Self: self, Domain: n.Settings.Domain, ColdBounds: n.coldBounds, Overloaded: n.delays.isOverloaded, Pauses: n.pauses, Readings: n.readings}
	n.relay = &relay.Relay{
		Domain:      n.Settings.Domain,
		Regions:     n.Settings.Regions,
		Bounds:      n.bounds,
		Roster:      n.roster,
		Board:       n.board,
		Pool:        n.pool,
		Codec:       n.Codec,
		Crashes:     n.crashes,
		Pauses:      n.pauses,
		Readings:    n.readings,
		Bodies:      &memory.Ledger{Limit: n.Settings.MaxBodyMemory()},
		Log:         n.log,
		Meters:      &n.meters.Relay,
		IsBehind:    n.isBehind,
		CachesKnown: n.cacheIndexSettled,
		Caches:      n.Caches,
		LoadHistory: n.loadHistory,

		ConfirmTargets: n.confirmTargets,

		Budgets: &retry.Budgets{Bounds: n.retryBounds, Entries: n.board.EntryCount},
	}
	n.relay.Base, n.endRequests = context.WithCancel(context.Background())
	if n.Settings.HedgeRatio > 0 {
		n.relay.Hedger = &hedge.Hedger{Ratio: n.Settings.HedgeRatio}
	}
	n.crashes.EntryCount = n.board.EntryCount
	n.shed = &relay.Shedder{Relay: n.relay}
	conn, err := net.ListenPacket("udp", n.Settings.PeerAddr)
	if err != nil {
		return errors.Wrap(err, "listen for peer datagrams")
	}
	n.peers = &share.Peers{Self: self, Incarnation: randomIncarnation(), Delegate: n, Conn: conn, OnError: n.logDatagramError, Link: uint32(n.Settings.LinkMbps)}
	if a, err := netip.ParseAddrPort(n.Settings.ControlAddr); err == nil && n.Decoder != nil {
		n.peers.ControlPort = a.Port()
	}
	n.peers.Seeds = seedAddrs(n.Settings.Seeds)
	n.origins = &origin.Directory{
		Self: origin.Member{Addr: self, Domain: board.DomainKey(n.Settings.Domain)}, Members: n.originMembers, Send: n.sendOrigins,
	}
	n.sender = &gauge.Sender{Store: n.readings, Incarnation: n.peers.Incarnation, Peer: n.peers.RandomPeer, Send: n.sendReadings}
	n.peers.ReservedRate = func() float64 { return n.sender.Rate(clock.Now()) }
	n.peers.Handlers = map[share.MessageKind]func(clock.Stamp, []byte) error{
		share.MessageOrigins:  n.origins.Receive,
		share.MessageReadings: n.readings.Receive,
	}
	n.relay.Origins = n.origins
	n.keepReturns()
	return nil
}

// seedAddrs parses the addresses of seeds. It skips invalid ones, because seeds can be stale
// anyway.
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

func (n *Direct) coldBounds() (factor, slack float64) {
	b := n.bounds()
	return b.ColdFactor, b.ColdSlack
}

func (n *Direct) retryBounds() retry.Bounds {
	b := n.bounds()
	return retry.Bounds{Ratio: b.RetryRatio, Slack: b.RetrySlack, Window: b.RetryWindow}
}

// reload applies changed settings: bounds and seeds. Changed addresses take effect at the next
// start.
func (n *Direct) reload(s *config.DirectSettings) {
	n.settings.Store(s)
	n.peers.SetSeeds(seedAddrs(s.Seeds))
	n.log.Emit(event.SettingsInForce, event.Dur("grace", s.Bounds.GracePeriod), event.Dur("revoke", s.Bounds.MaxRevokeTime))
}

func (n *Direct) logRefusedSettings(err error) { n.log.Emit(event.SettingsRefused, event.Err(err)) }

// randomIncarnation returns a random number that identifies this run of the process.
func randomIncarnation() uint32 {
	var b [4]byte
	_, _ = rand.Read(b[:]) // never returns an error
	return binary.LittleEndian.Uint32(b[:])
}

// tickLoop performs periodic maintenance until ctx ends.
func (n *Direct) tickLoop(ctx context.Context) {
	tick := time.NewTicker(directTickInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		n.pool.Sweep(time.Now())
		for _, i := range n.pauses.Expire(clock.Now()) {
			n.log.Emit(event.TargetResumed, event.Str("target", i.ID))
		}
		if change := n.roster.Tick(clock.Now()); !change.Empty() {
			n.OnChange(change, clock.Now())
		}
		n.updateMetrics()
	}
}
