// Package dial provides a pool of gRPC connections between the processes of the fleet. Connections
// are opened on demand and closed when idle, so that the memory of a process depends on its traffic
// and not on the number of targets.
package dial

import (
	"context"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/backoff"
	"google.golang.org/grpc/connectivity"
	"google.golang.org/grpc/credentials"
	"google.golang.org/grpc/keepalive"
)

const (
	// connectTimeout bounds one attempt to connect. An unreachable host does not refuse connections
	// but leaves them unanswered, and the time limit for the first token is 1.4 s.
	connectTimeout = 400 * time.Millisecond
	// maxBackoff is the maximum pause between attempts, so that a recovered host is used again
	// within seconds.
	maxBackoff = 2 * time.Second
	// pingInterval and pingTimeout detect a peer that becomes unresponsive while streams are open.
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
	// bufferSize is the gRPC buffer size in bytes. It is smaller than the default of 32 KiB,
	// because each connection has two buffers and an entry can have hundreds of connections.
	bufferSize = 8 << 10
	// DefaultIdleTimeout is the default of Pool.IdleTimeout.
	DefaultIdleTimeout = time.Minute
)

// Pool keeps one connection per address in use. Its exported fields must be set before use. It is
// safe for concurrent use.
type Pool struct {
	// Credentials are the transport credentials of connections; insecure ones only if the settings
	// allow them.
	Credentials credentials.TransportCredentials
	// IdleTimeout is the time after which an unused connection is closed; 0 for DefaultIdleTimeout.
	IdleTimeout time.Duration

	mu    sync.Mutex
	conns map[string]*pooledConn
}

// pooledConn is a connection and the time of its last use.
type pooledConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
}

// Conn returns the connection to an address and creates it if necessary. It does not wait until it
// is established.
func (p *Pool) Conn(addr string) (grpc.ClientConnInterface, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := time.Now()
	if e := p.conns[addr]; e != nil {
		e.lastUsed = now
		return e.conn, nil
	}
	conn, err := grpc.NewClient("passthrough:///"+addr, p.options()...)
	if err != nil {
		return nil, errors.Wrapf(err, "connect to %s", addr)
	}
	if p.conns == nil {
		p.conns = make(map[string]*pooledConn)
	}
	p.conns[addr] = &pooledConn{conn: conn, lastUsed: now}
	return conn, nil
}

func (p *Pool) options() []grpc.DialOption {
	return []grpc.DialOption{
		grpc.WithTransportCredentials(p.Credentials),
		grpc.WithIdleTimeout(p.idleTimeout()),
		grpc.WithReadBufferSize(bufferSize),
		grpc.WithWriteBufferSize(bufferSize),
		grpc.WithSharedWriteBuffer(true),
		grpc.WithConnectParams(grpc.ConnectParams{
			Backoff:           backoff.Config{BaseDelay: 100 * time.Millisecond, Multiplier: 1.6, Jitter: 0.2, MaxDelay: maxBackoff},
			MinConnectTimeout: connectTimeout,
		}),
		grpc.WithKeepaliveParams(keepalive.ClientParameters{Time: pingInterval, Timeout: pingTimeout}),
	}
}

func (p *Pool) idleTimeout() time.Duration {
	if p.IdleTimeout == 0 {
		return DefaultIdleTimeout
	}
	return p.IdleTimeout
}

// Run removes connections that have been idle for long, until ctx ends.
func (p *Pool) Run(ctx context.Context) {
	tick := time.NewTicker(p.idleTimeout())
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case now := <-tick.C:
			p.sweep(now)
		}
	}
}

// sweep removes connections unused for twice the idle timeout. A connection with an open stream is
// kept, because closing it would interrupt a response.
func (p *Pool) sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for addr, e := range p.conns {
		if now.Sub(e.lastUsed) < 2*p.idleTimeout() || e.conn.GetState() != connectivity.Idle {
			continue
		}
		_ = e.conn.Close()
		delete(p.conns, addr)
	}
}

// Len returns the number of connections kept.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Connect establishes the connection to an address, or returns an error if ctx ends first. It also
// fails for a suspended process, which does not respond to the first frames of the connection.
func (p *Pool) Connect(ctx context.Context, addr string) error {
	c, err := p.Conn(addr)
	if err != nil {
		return err
	}
	conn := c.(*grpc.ClientConn)
	conn.Connect()
	for {
		state := conn.GetState()
		if state == connectivity.Ready {
			return nil
		}
		if !conn.WaitForStateChange(ctx, state) {
			return errors.Wrapf(ctx.Err(), "connect to %s", addr)
		}
	}
}
