// Package dial opens gRPC connections between the fleet's processes when they
// are needed and closes them when idle, so that a process's memory follows its
// traffic and not the number of targets.
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
	// connectTimeout bounds one attempt to connect. A host that is cut off does
	// not refuse, it stays silent; callers have 1.4 s to their first token.
	connectTimeout = 400 * time.Millisecond
	// maxBackoff bounds the pause between attempts, so that a host that comes
	// back is used again within seconds.
	maxBackoff = 2 * time.Second
	// pingInterval and pingLimit find a peer that went silent under open streams.
	pingInterval = 10 * time.Second
	pingTimeout  = 3 * time.Second
	// bufferSize is smaller than gRPC's 32 KiB: two of these stand for each
	// connection, and an entry may hold hundreds.
	bufferSize = 8 << 10
	// DefaultIdleTimeout closes a connection that carried nothing for this long.
	DefaultIdleTimeout = time.Minute
)

// Pool keeps one connection for each address in use. Set the fields first.
type Pool struct {
	// Credentials of the links; insecure ones only where settings allow it.
	Credentials credentials.TransportCredentials
	// IdleTimeout is when an unused connection is closed.
	IdleTimeout time.Duration

	mu    sync.Mutex
	conns map[string]*pooledConn
}

// pooledConn is a connection and when it was last asked for.
type pooledConn struct {
	conn     *grpc.ClientConn
	lastUsed time.Time
}

// Conn returns the connection to an address. It does not wait for it.
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

// Run forgets connections that have been idle for long, until ctx ends.
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

// sweep forgets what was unused for twice the idle time. A connection with a
// stream still open is kept: closing it would cut an answer.
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

// Len is how many connections are kept.
func (p *Pool) Len() int {
	p.mu.Lock()
	defer p.mu.Unlock()
	return len(p.conns)
}

// Connect connects to an address, or says why it can't within ctx. A frozen
// process does not answer the connection's first frames, so it isn't reached.
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
			return errors.Wrapf(ctx.Err(), "reach %s", addr)
		}
	}
}
