package head

import (
	"bytes"
	"context"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync"
	"syscall"

	"github.com/cockroachdb/errors"
	"golang.org/x/net/http/httpguts"
)

// DialFunc opens a network connection, like net.Dialer.DialContext.
type DialFunc func(ctx context.Context, network, address string) (net.Conn, error)

// Scan returns a dial function for the base of a Transport. What net/http hides is checked on its connections: interim
// heads, and the Transfer-Encoding of HTTP/1.0, which has no chunks. A read returns an ErrHead there.
func Scan(dial DialFunc) DialFunc {
	return func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &scanConn{Conn: c}, nil
	}
}

// scanConn is a connection whose heads are checked as they are read.
type scanConn struct {
	net.Conn

	mu sync.Mutex
	// isInHead is set from the begin of an exchange until the end of its final head.
	isInHead bool
	// line is the part of the current line that has been read.
	line []byte
	// hasStatus is set once the status line of the current head was read; isInterim and isOld are what it says.
	hasStatus, isInterim, isOld bool
}

// SyscallConn returns the socket of the connection, for those who examine it.
func (c *scanConn) SyscallConn() (syscall.RawConn, error) {
	sc, ok := c.Conn.(syscall.Conn)
	if !ok {
		return nil, errors.Newf("connection to %s is no socket", c.RemoteAddr())
	}
	return sc.SyscallConn()
}

// begin prepares for the answer to the next request.
func (c *scanConn) begin() {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.isInHead, c.hasStatus, c.line = true, false, nil
}

// Read reads from the connection.
func (c *scanConn) Read(p []byte) (int, error) {
	n, err := c.Conn.Read(p)
	c.mu.Lock()
	defer c.mu.Unlock()
	for rest := p[:n]; c.isInHead && len(rest) > 0; {
		end := bytes.IndexByte(rest, '\n') + 1
		if end == 0 {
			c.line = append(c.line, rest...) // the transport limits the size of heads
			break
		}
		line := append(c.line, rest[:end]...)
		c.line, rest = nil, rest[end:]
		if err := c.scan(bytes.TrimRight(line, "\r\n")); err != nil {
			return 0, err
		}
	}
	return n, err
}

// scan checks a line of a head.
func (c *scanConn) scan(line []byte) error {
	switch {
	case !c.hasStatus:
		c.hasStatus = true
		c.isOld = bytes.HasPrefix(line, []byte("HTTP/1.0 "))
		_, status, _ := bytes.Cut(line, []byte(" "))
		c.isInterim = len(status) > 0 && status[0] == '1'
		if c.isInterim && !bytes.HasPrefix(line, []byte("HTTP/1.")) {
			return newErr("protocol", string(line))
		}
	case len(line) == 0:
		c.isInHead, c.hasStatus = c.isInterim, false
	case line[0] != ' ' && line[0] != '\t': // else the line continues the one before
		name, _, _ := bytes.Cut(line, []byte(":"))
		if !httpguts.ValidHeaderFieldName(string(name)) {
			return newErr("field name", string(name))
		}
		if c.isOld && bytes.EqualFold(name, []byte("Transfer-Encoding")) {
			return newErr("framing", "Transfer-Encoding in HTTP/1.0")
		}
	}
	return nil
}

// traceScan makes the connection of a request expect its answer.
func traceScan(r *http.Request) *http.Request {
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) {
		if c, ok := info.Conn.(*scanConn); ok {
			c.begin()
		}
	}}
	return r.WithContext(httptrace.WithClientTrace(r.Context(), trace))
}

// trailerBody is a body whose trailer is checked at its end.
type trailerBody struct {
	io.ReadCloser
	resp *http.Response
}

// Read reads from the body.
func (b trailerBody) Read(p []byte) (int, error) {
	n, err := b.ReadCloser.Read(p)
	if err == io.EOF {
		if invalid := CheckFields(b.resp.Trailer); invalid != nil {
			return n, invalid
		}
	}
	return n, err
}
