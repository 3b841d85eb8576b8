// Package link carries requests to targets without an agent: a pool of HTTP/1.1
// connections that says of each failure whether the target may have run the
// request.
package link

import (
	"bufio"
	"context"
	"net"
	"sync"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

const (
	// dialTimeout bounds the opening of a connection. A host that is gone doesn't
	// refuse, it stays silent; a live one answers within milliseconds.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long a peer may leave bytes unacknowledged. A host that
	// lost power, or a connection that went silent for good, shows by this alone:
	// without it the request would wait until its deadline.
	ackTimeout = 1200 * time.Millisecond
	// probeAfter, probeEvery and probeCount find a peer that went silent while
	// only it had something to say.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// defaultIdleTimeout is how long a connection is kept where the target names no
	// time: shorter than what servers usually allow, so that a request rarely
	// meets a connection that the target is closing.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much sooner than the target we stop using a connection,
	// for the same reason.
	idleMargin = time.Second
	// readBufferSize holds a stream's events, and most answers of services.
	readBufferSize = 2 << 10
)

// Conn is a connection to a target.
type Conn struct {
	net.Conn
	// Reused says that it carried a request before.
	Reused bool

	br        *bufio.Reader
	idleUntil time.Time
}

// Pool keeps idle connections by address.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
	// opened counts connections that were opened.
	opened int64
}

// Dial opens a TCP connection that notices a silent peer.
func Dial(ctx context.Context, network, address string) (net.Conn, error) {
	return dial(ctx, network, address, dialTimeout)
}

func dial(ctx context.Context, network, address string, timeout time.Duration) (net.Conn, error) {
	d := net.Dialer{
		Timeout: timeout,
		KeepAliveConfig: net.KeepAliveConfig{
			Enable: true, Idle: keepAliveIdle, Interval: keepAliveInterval, Count: keepAliveCount,
		},
		Control: func(_, _ string, c syscall.RawConn) error {
			var sockErr error
			err := c.Control(func(fd uintptr) {
				sockErr = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(ackTimeout.Milliseconds()))
			})
			if err != nil {
				return err
			}
			return sockErr
		},
	}
	return d.DialContext(ctx, network, address)
}

// reset resets a connection whose request is given up. Closed in the usual way, what
// a cut network holds back would still be delivered when it heals: seconds later, at a
// target that is leaving by then, a request that another target has long answered.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a connection that is closed already
	}
	_ = c.Close()
}

// get returns an idle connection that is still sound, or opens one.
func (p *Pool) get(ctx context.Context, address string, call *Call) (*Conn, error) {
	for c := p.idleConnFor(address, call); c != nil; c = p.idleConnFor(address, call) {
		if time.Now().Before(c.idleUntil) && IsIdle(c.Conn) {
			c.Reused = true
			return c, nil
		}
		_ = c.Close()
	}
	timeout := dialTimeout
	if call.DialTimeout > 0 {
		timeout = min(call.DialTimeout, dialTimeout)
	}
	return p.open(ctx, address, timeout)
}

// open opens a connection.
func (p *Pool) open(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	raw, err := dial(ctx, "tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	return &Conn{Conn: raw, br: bufio.NewReaderSize(raw, readBufferSize)}, nil
}

// idleConnFor takes an idle connection that a request may use.
func (p *Pool) idleConnFor(address string, call *Call) *Conn {
	if call.NewConn {
		return nil
	}
	return p.popIdle(address)
}

func (p *Pool) popIdle(address string) *Conn {
	p.mu.Lock()
	defer p.mu.Unlock()
	list := p.idle[address]
	if len(list) == 0 {
		return nil
	}
	c := list[len(list)-1]
	p.idle[address] = list[:len(list)-1]
	return c
}

// put keeps a connection for the next request, unless most are kept already.
func (p *Pool) put(address string, c *Conn, idle time.Duration, maxIdle int) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.idleUntil = time.Now().Add(idle)
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.idle == nil {
		p.idle = make(map[string][]*Conn)
	}
	if len(p.idle[address]) >= maxIdle {
		_ = c.Close()
		return
	}
	p.idle[address] = append(p.idle[address], c)
}

// CloseIdle closes the idle connections to an address: its target is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes connections that were idle for too long.
func (p *Pool) Sweep(now time.Time) {
	p.mu.Lock()
	defer p.mu.Unlock()
	for address, list := range p.idle {
		kept := list[:0]
		for _, c := range list {
			if now.Before(c.idleUntil) {
				kept = append(kept, c)
				continue
			}
			_ = c.Close()
		}
		if len(kept) == 0 {
			delete(p.idle, address)
			continue
		}
		p.idle[address] = kept
	}
}

// Opened is how many connections were opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// IsIdle reports that nothing waits to be read and the peer has not closed. Bytes
// that come while no request is open belong to none: a late second answer would
// be taken for the next request's.
func IsIdle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN)
}

// IsClosed reports that the peer has closed the connection. Unlike a read it neither waits nor
// takes bytes, and it is true as soon as the close has reached the host.
func IsClosed(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
}

// errNoSocket is the error of a connection that is no socket.
var errNoSocket = errors.New("no socket")

// peek looks at the first byte that waits, if any.
func peek(c net.Conn) (n int, err error) {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return 0, errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return 0, err
	}
	var one [1]byte
	// Control, unlike Read, doesn't wait for whoever reads from the connection.
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.CombineErrors(controlErr, err)
}
