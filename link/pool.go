// Package link sends requests to targets without an agent. Its pool of HTTP/1.1 connections takes
// requests with complete bodies and guarantees that each failure states whether the target can have
// run the request.
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
	// dialTimeout bounds the opening of a connection. An unreachable host does not refuse
	// connections but leaves them unanswered; a live one responds within milliseconds.
	dialTimeout = 400 * time.Millisecond
	// ackTimeout is how long a peer can leave bytes unacknowledged. It is the only sign of a host
	// that lost power or a connection that is permanently cut; without it the request would wait
	// until its deadline.
	ackTimeout = 1200 * time.Millisecond
	// keepAliveIdle, keepAliveInterval and keepAliveCount detect an unresponsive peer while all
	// sent bytes are acknowledged and only the peer has data to send.
	keepAliveIdle     = 1 * time.Second
	keepAliveInterval = 500 * time.Millisecond
	keepAliveCount    = 2
	// defaultIdleTimeout is how long an idle connection is kept if the target states no time. It is
	// shorter than the idle timeout of common servers, so that a request rarely uses a connection
	// that the target is closing.
	defaultIdleTimeout = 4 * time.Second
	// idleMargin is how much earlier than the target the pool stops using an idle connection, for
	// the same reason.
	idleMargin = time.Second
	// readBufferSize is enough for an event of a stream and for most responses of services, in
	// bytes.
	readBufferSize = 2 << 10
)

// Conn is a connection to a target.
type Conn struct {
	net.Conn
	// Reused reports whether the connection has carried a request before.
	Reused bool

	// proven reports whether the target has answered on the connection, so that its process has accepted it.
	proven bool
	// unnamed reports whether the target has rejected a health check on the connection. A second copy of that
	// answer names no request, and would count as the rejection of the next one.
	unnamed   bool
	br        *bufio.Reader
	limit     *readLimit
	idleUntil time.Time
	// usedAt is when the connection was opened, or last carried an answer, as far as a Witness must know.
	usedAt time.Time
}

// Pool keeps idle connections by address. It is safe for concurrent use.
type Pool struct {
	mu   sync.Mutex
	idle map[string][]*Conn
	// idleTimes are the times after which targets, by address, were seen to close idle connections.
	idleTimes map[string]time.Duration
	// opened counts the connections opened by the pool.
	opened int64
	// probed counts the probes.
	probed int64
}

// Dial opens a TCP connection that fails if the peer becomes unresponsive.
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

// reset closes a connection with a TCP reset, because its request is canceled. After a regular
// close, bytes held back by a network partition would still be delivered when it ends: seconds
// later, to a target that can be leaving by then, although another target has served the request.
func (c *Conn) reset() {
	if tcp, ok := c.Conn.(*net.TCPConn); ok {
		_ = tcp.SetLinger(0) // fails only on a closed connection
	}
	_ = c.Close()
}

// get returns a usable idle connection, or opens one.
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

// open opens and counts a connection.
func (p *Pool) open(ctx context.Context, address string, timeout time.Duration) (*Conn, error) {
	raw, err := dial(ctx, "tcp", address, timeout)
	if err != nil {
		return nil, err
	}
	p.mu.Lock()
	p.opened++
	p.mu.Unlock()
	limit := &readLimit{conn: endReader{raw}, remaining: unlimited}
	return &Conn{Conn: raw, br: bufio.NewReaderSize(limit, readBufferSize), limit: limit}, nil
}

// idleConnFor removes an idle connection from the pool for a call, or returns nil if there is none
// or the call requires a new one.
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

// put keeps a connection for the next request for the given idle time, 0 for the default. It closes
// the connection if maxIdle connections are already kept.
func (p *Pool) put(address string, c *Conn, idle time.Duration, maxIdle int) {
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	c.usedAt = time.Now()
	c.idleUntil = c.usedAt.Add(idle)
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

// CloseIdle closes the idle connections to an address whose target is gone.
func (p *Pool) CloseIdle(address string) {
	p.mu.Lock()
	list := p.idle[address]
	delete(p.idle, address)
	delete(p.idleTimes, address)
	p.mu.Unlock()
	for _, c := range list {
		_ = c.Close()
	}
}

// Sweep closes connections that exceed their idle time.
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

// Opened returns the number of connections opened.
func (p *Pool) Opened() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.opened
}

// Probed returns the number of probes.
func (p *Pool) Probed() int64 {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.probed
}

// IsIdle reports whether the connection is open with no bytes to read. Bytes that arrive while no
// request is in progress belong to no request: a late second response would be taken for that of
// the next request.
func IsIdle(c net.Conn) bool {
	_, err := peek(c)
	return errors.Is(err, unix.EAGAIN)
}

// IsClosed reports whether the peer has closed the connection. Unlike a read, it does not block or
// consume bytes. It returns true as soon as the close has reached this host.
func IsClosed(c net.Conn) bool {
	n, err := peek(c)
	return err == nil && n == 0 || errors.Is(err, unix.ECONNRESET)
}

// control calls f with the file descriptor of a connection. Unlike Read, it does not wait for concurrent reads.
func control(c net.Conn, f func(fd int)) error {
	sc, ok := c.(syscall.Conn)
	if !ok {
		return errNoSocket
	}
	raw, err := sc.SyscallConn()
	if err != nil {
		return err
	}
	return raw.Control(func(fd uintptr) { f(int(fd)) })
}

// errNoSocket is the error for a connection that is not a socket.
var errNoSocket = errors.New("connection is not a socket")

// peek reads up to one pending byte without consuming it. It returns EAGAIN if the connection is
// open and has none.
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
	// Control, unlike Read, does not wait for concurrent reads of the connection.
	controlErr := raw.Control(func(fd uintptr) {
		n, _, err = unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
	})
	return n, errors.CombineErrors(controlErr, err)
}
