// Package node assembles the parts of one process from its settings: publication, peers, log,
// metrics, the admin address, and an entry or an agent. A process runs until its context ends and
// then drains its requests.
package node

import (
	"context"
	"io"
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/grpc/keepalive"

	"chestnutstep.example/chestnutstep/admin"
	"chestnutstep.example/chestnutstep/audit"
	"chestnutstep.example/chestnutstep/cert"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/dial"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/gossip"
	"chestnutstep.example/chestnutstep/member"
	"chestnutstep.example/chestnutstep/meter"
)

const (
	// pauseCheckInterval is how often a process checks whether it was suspended, and pauseThreshold
	// the gap between two checks that counts as a pause: far above the scheduling delays of a busy
	// host, and below all leases and timeouts of the system.
	pauseCheckInterval = 500 * time.Millisecond
	pauseThreshold     = 2 * time.Second
	// connectionBufferSize is the gRPC buffer size per connection and direction, in bytes. The
	// default of 32 KiB for hundreds of connections would take a quarter of the memory limit of a
	// process.
	connectionBufferSize = 8 << 10
)

// base holds the parts that entries and agents share.
type base struct {
	settings *config.Settings
	role     config.Role
	started  time.Time

	log          *event.Log
	trail        *audit.Trail
	meters       *meter.Set
	store        *config.Store
	members      *member.Tracker
	pool         *dial.Pool
	certFiles    *cert.Files
	gossipNode   *gossip.Node
	sourceStatus sourceStatus
}

func newBase(s *config.Settings, role config.Role, out io.Writer) (*base, error) {
	if out == nil {
		out = os.Stderr
	}
	b := &base{settings: s, role: role, started: time.Now()}
	b.log = &event.Log{Out: out, Process: s.Name}
	b.trail = &audit.Trail{Log: b.log, Process: s.Name}
	b.members = &member.Tracker{}
	var err error
	if b.meters, err = meter.NewSet(); err != nil {
		return nil, errors.Wrap(err, "create metrics")
	}
	if s.Encrypted() {
		b.certFiles = &cert.Files{Cert: s.TLS.Cert, Key: s.TLS.Key, CA: s.TLS.CA, Log: b.log}
		if err := b.certFiles.Load(); err != nil {
			return nil, errors.Wrap(err, "load TLS files")
		}
	}
	b.pool = &dial.Pool{Credentials: b.credentials(), IdleTimeout: s.IdleTimeout.Std()}
	b.store = &config.Store{
		OnChange: []func(config.Change){b.onPublicationAccepted},
		OnRefuse: []func(config.Refusal){b.onPublicationRefused},
	}
	return b, nil
}

// credentials returns the credentials of connections between processes. The checked settings allow
// insecure ones only if configured explicitly or on loopback.
func (b *base) credentials() credentials.TransportCredentials {
	if b.certFiles == nil {
		return insecure.NewCredentials()
	}
	return b.certFiles.Credentials()
}

// newServer returns a gRPC server for the other processes of the fleet.
func (b *base) newServer() *grpc.Server {
	return grpc.NewServer(
		grpc.Creds(b.credentials()),
		grpc.ReadBufferSize(connectionBufferSize),
		grpc.WriteBufferSize(connectionBufferSize),
		grpc.SharedWriteBuffer(true),
		grpc.MaxConcurrentStreams(uint32(b.settings.MaxStreams)),
		grpc.KeepaliveEnforcementPolicy(keepalive.EnforcementPolicy{MinTime: 5 * time.Second, PermitWithoutStream: true}),
		grpc.KeepaliveParams(keepalive.ServerParameters{Time: 10 * time.Second, Timeout: 3 * time.Second}),
	)
}

// gracefulStop stops a gRPC server once its streams have ended. Server.Stop alone closes
// connections before written frames are sent, and callers would miss the end of their responses.
type gracefulStop struct {
	server *grpc.Server
	done   chan struct{}
}

func (g *gracefulStop) run() {
	g.server.GracefulStop()
	close(g.done)
}

// stopServer waits until the server's streams have ended, or stops the server when ctx ends.
func stopServer(ctx context.Context, srv *grpc.Server) {
	g := &gracefulStop{server: srv, done: make(chan struct{})}
	go g.run()
	select {
	case <-g.done:
	case <-ctx.Done():
		srv.Stop()
	}
}

// serveAdmin serves health, status, metrics and the audit trail until ctx ends.
func (b *base) serveAdmin(ctx context.Context, ready func() error, status func() admin.Status) error {
	srv := &admin.Server{
		Addr:    b.settings.Admin,
		Log:     b.log,
		Ready:   ready,
		Status:  status,
		Metrics: b.meters.Handler(),
		Audit:   b.trail,
	}
	return srv.Run(ctx)
}

// detectPauses logs pauses of this process as a possible cause of late requests. No decision
// depends on it: each one checks the clock itself.
func (b *base) detectPauses(ctx context.Context) {
	tick := time.NewTicker(pauseCheckInterval)
	defer tick.Stop()
	last := time.Now()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		now := time.Now()
		if gap := now.Sub(last); gap > pauseThreshold {
			b.log.Emit(event.ProcessPaused, event.Dur("gap", gap))
		}
		last = now
	}
}
