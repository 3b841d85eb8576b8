package node

import (
	"context"
	"io"
	"net"
	"net/http"
	"slices"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admin"
	"chestnutstep.example/chestnutstep/cert"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/entry"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/guard"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/route"
)

const (
	// leaveDelay is how long a stopping entry still accepts requests after it has reported that it
	// is not ready. The balancer notices after one or two probes.
	leaveDelay = time.Second
	// headerTimeout bounds the reading of request headers.
	headerTimeout = 10 * time.Second
	// callerIdleTimeout is how long an idle caller connection is kept.
	callerIdleTimeout = 2 * time.Minute
	// rankingInterval is how often the ranking is updated with the state of hosts.
	rankingInterval = time.Second
)

// Entry is the process that serves callers. Its exported fields must be set before Run.
type Entry struct {
	Settings *config.Settings
	// Out receives the log; standard error if unset.
	Out io.Writer

	*base
	entry   *entry.Entry
	ranking atomic.Pointer[ranking]
	server  *grpc.Server
}

// Run serves until ctx ends, then drains requests in progress.
func (n *Entry) Run(ctx context.Context) error {
	if err := n.build(); err != nil {
		return err
	}
	callers, err := net.Listen("tcp", n.Settings.Listen)
	if err != nil {
		return errors.Wrap(err, "listen for callers")
	}
	peers, err := net.Listen("tcp", n.Settings.Peer)
	if err != nil {
		return errors.Wrap(err, "listen for peers")
	}
	n.log.Emit(event.ProcessStart, event.Str("role", string(config.RoleEntry)))
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	srv := n.httpServer()
	served := make(chan error, 3)
	startTasks(workCtx,
		n.detectPauses, n.pool.Run, n.runGossip, n.awaitPublication, n.refreshLoop, n.probeLoop,
		func(ctx context.Context) { served <- n.serveAdmin(ctx, n.ready, n.status) },
		func(context.Context) { served <- n.server.Serve(peers) },
		func(context.Context) { served <- n.serve(srv, callers) },
	)
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		return n.stop(srv)
	}
}

func (n *Entry) build() error {
	var err error
	if n.base, err = newBase(n.Settings, config.RoleEntry, n.Out); err != nil {
		return err
	}
	n.entry = &entry.Entry{
		Name:           n.settings.Name,
		Region:         n.settings.Region,
		View:           n.store.View,
		Ranker:         n.ranker,
		Links:          n.pool,
		Hosts:          n.members,
		RetryBudget:    &retry.TokenBucket{},
		FailoverBudget: retry.NewStepBudget(),
		Detector:       &crash.Detector{},
		EntryCount:     n.countEntries,
		MaxOpen:        int64(n.settings.MaxStreams),
		Clock:          time.Now,
		Notify:         n.handleNotice,
		OnOffer:        n.onOffer,
	}
	n.server = n.base.newServer()
	n.gossipNode = n.newGossip(n.settings.Name, n.settings.Peer)
	n.gossipNode.Detector, n.gossipNode.Lock = n.entry.Detector, n.entry.Locker()
	n.registerPeerServer(n.server)
	return nil
}

func (n *Entry) httpServer() *http.Server {
	srv := &http.Server{
		Handler:           n.entry,
		ConnContext:       guard.ConnContext,
		ReadHeaderTimeout: headerTimeout,
		IdleTimeout:       callerIdleTimeout,
	}
	if n.settings.EncryptedCallers() {
		files := &cert.Files{Cert: n.settings.Callers.Cert, Key: n.settings.Callers.Key, Log: n.log}
		srv.TLSConfig = files.CallerConfig()
	}
	return srv
}

func (n *Entry) serve(srv *http.Server, l net.Listener) error {
	if srv.TLSConfig != nil {
		return srv.ServeTLS(l, "", "")
	}
	return srv.Serve(l)
}

// stop reports that the entry is not ready, closes the listener after leaveDelay and waits for
// requests in progress, so that a planned stop interrupts no response.
func (n *Entry) stop(srv *http.Server) error {
	n.entry.StartDrain()
	n.log.Emit(event.ProcessNotReady, event.Str("cause", "leaving"))
	n.log.Emit(event.ProcessDrain, event.Int("open", n.entry.OpenCount()))
	time.Sleep(leaveDelay)
	ctx, cancel := context.WithTimeout(context.Background(), n.settings.DrainTimeout.Std())
	defer cancel()
	err := srv.Shutdown(ctx)
	n.server.Stop()
	n.log.Emit(event.ProcessStop, event.Err(err))
	return errors.Wrap(err, "drain")
}

// ranking is a routing table and the hosts that it excludes.
type ranking struct {
	table         *route.Table
	excludedHosts []string
}

// ranker returns the routing table of a publication and builds it if the publication is new.
func (n *Entry) ranker(v *chestnutstep.View) chestnutstep.Ranker {
	if r := n.ranking.Load(); r != nil && r.table.View == v {
		return r.table
	}
	return n.rebuildRanking(v, n.members.Unavailable(time.Now()))
}

// rebuildRanking builds a routing table without the hosts that are leaving or unresponsive. If that
// leaves no target of a model, this process is more likely to be the one that is cut off, and all
// targets of the model are kept.
func (n *Entry) rebuildRanking(v *chestnutstep.View, excludedHosts []string) *route.Table {
	skip := func(t *chestnutstep.Target) bool {
		_, found := slices.BinarySearch(excludedHosts, t.Host)
		return found
	}
	usable := make(map[string]int)
	for i := range v.Publication.Targets {
		if t := &v.Publication.Targets[i]; !v.IsOut(t) && !skip(t) {
			usable[t.Model]++
		}
	}
	t := &route.Table{View: v, Skip: func(t *chestnutstep.Target) bool { return usable[t.Model] > 0 && skip(t) }}
	t.Build()
	n.ranking.Store(&ranking{table: t, excludedHosts: excludedHosts})
	return t
}

// updateRanking rebuilds the table if the set of unavailable hosts has changed.
func (n *Entry) updateRanking(v *chestnutstep.View) {
	excludedHosts := n.members.Unavailable(time.Now())
	if r := n.ranking.Load(); r != nil && r.table.View == v && slices.Equal(r.excludedHosts, excludedHosts) {
		return
	}
	n.rebuildRanking(v, excludedHosts)
}

// refreshLoop updates the ranking and the gauges periodically until ctx ends.
func (n *Entry) refreshLoop(ctx context.Context) {
	tick := time.NewTicker(rankingInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if v := n.store.View(); v != nil {
			n.updateRanking(v)
		}
		n.meters.Entry.OpenRequests.Set(float64(n.entry.OpenCount()))
		n.meters.Entry.AgentLinks.Set(float64(n.pool.Len()))
	}
}

func (n *Entry) ready() error {
	if n.store.View() == nil {
		return &ErrNotReady{Cause: "no publication yet"}
	}
	if !n.entry.IsReady() {
		return &ErrNotReady{Cause: "leaving"}
	}
	return nil
}

// status returns the status page with the state of all targets as this entry sees them.
func (n *Entry) status() admin.Status {
	s := n.base.baseStatus(n.ready(), n.entry.OpenCount())
	v := n.store.View()
	if v == nil {
		return s
	}
	now := time.Now()
	s.Domains = admin.TargetsByDomain(v, func(t *chestnutstep.Target) admin.Target {
		reached := !n.members.IsSuspect(now, t.Host)
		return admin.Target{Name: t.Name, Host: t.Host, Model: t.Model, NoWorkReason: admin.NoWorkReason(v, t, nil, reached)}
	})
	return s
}

// countEntries returns the number of entries that share the load of callers, at least 1.
func (n *Entry) countEntries() int {
	v := n.store.View()
	if v == nil {
		return 1
	}
	now := time.Now()
	count := 0
	for i := range v.Publication.Hosts {
		h := &v.Publication.Hosts[i]
		if h.HasEntry && !h.Out && !n.members.IsLeaving(now, h.Name) {
			count++
		}
	}
	return max(count, 1)
}
