package link

import (
	"context"
	"io"
	"net"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"
	"golang.org/x/sys/unix"
)

// endReader reads from a connection. The kernel reports a reset once, to the first call that fails: if that is a write in
// another goroutine, a read returns io.EOF, as after a regular end. endReader returns ECONNRESET then.
type endReader struct{ conn net.Conn }

// Read reads from the connection.
func (r endReader) Read(p []byte) (int, error) {
	n, err := r.conn.Read(p)
	if errors.Is(err, io.EOF) && isReset(r.conn) {
		err = syscall.ECONNRESET
	}
	return n, err
}

// isReset reports whether the peer has reset a connection that was not closed here.
func isReset(c net.Conn) bool {
	return pollEvents(c, unix.POLLRDHUP)&(unix.POLLHUP|unix.POLLERR) != 0
}

// endConn is a connection whose reads distinguish a reset from a regular end while a request is being written.
type endConn struct{ *net.TCPConn }

// Read reads from the connection.
func (c endConn) Read(p []byte) (int, error) { return endReader{c.TCPConn}.Read(p) }

// Dialer opens TCP connections on which a read never returns io.EOF after a reset by the peer, also if a concurrent
// write has received the error.
type Dialer struct {
	// Timeout limits the opening of a connection; 0 for none.
	Timeout time.Duration
}

// DialContext opens a connection.
func (d *Dialer) DialContext(ctx context.Context, network, address string) (net.Conn, error) {
	c, err := (&net.Dialer{Timeout: d.Timeout}).DialContext(ctx, network, address)
	if tcp, ok := c.(*net.TCPConn); ok && err == nil {
		return endConn{tcp}, nil
	}
	return c, err
}
