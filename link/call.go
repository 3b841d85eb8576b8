package link

import (
	"bufio"
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/head"
	"chestnutstep.example/chestnutstep/memory"
)

// Call is a request to one target.
type Call struct {
	Method string
	// URI is the request URI as the caller sent it, so that the target gets the same bytes.
	URI    string
	Host   string
	Header http.Header
	// Body is the complete body, because a retry must send the same bytes. The call retains it while it
	// is written, which can be after Do has returned.
	Body    *memory.Body
	HasBody bool
	// MaxIdle is the maximum number of idle connections kept to the target, including the one of
	// this call.
	MaxIdle int
	// NewConn requires a new connection. A successful dial proves that the host is up, which an
	// idle connection does not.
	NewConn bool
	// DialTimeout bounds the opening of a connection; 0 for the default.
	DialTimeout time.Duration
	// Allow is called right before the request is written; an error prevents it. The target can have
	// said in the meantime that it wants no requests. Nil allows every request.
	Allow func() error
	// OnConn is called with the connection right before the request is written; nil for none.
	OnConn func(c net.Conn)
	// OnUnresponsive is called if the target's host does not acknowledge the request. If it returns
	// true, the call is aborted. Nil disables the check.
	OnUnresponsive func() bool
}

// Response is the response of a target whose body is still to be read. It must be closed.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length is the length of the body, -1 if the target does not state it.
	Length int64

	pool           *Pool
	address        string
	conn           *Conn
	maxIdle        int
	stop           func() bool
	resp           *http.Response
	complete       bool
	peerEnded      bool
	requestWritten bool
	// upload watches the rest of the request; nil if all of it was acknowledged before the head arrived.
	upload *uploadWatcher
}

// ErrCall is the error of a call without a usable response.
type ErrCall struct {
	// Run states whether the target can have run the request.
	Run chestnutstep.RunStatus
	// Reason is a short, stable code for logs and decisions.
	Reason chestnutstep.Reason
	// Reused reports whether the connection had carried a request before.
	Reused bool
	// Unresponsive reports whether the target's host did not acknowledge the request.
	Unresponsive bool
	// PeerClosed reports whether the target's side ended the connection before the response was
	// complete, however much of it had arrived.
	PeerClosed bool
	Err        error
}

// Error returns a text with the reason, the run status and the cause.
func (err ErrCall) Error() string {
	return fmt.Sprintf("call: %s (run: %s): %v", err.Reason, err.Run, err.Err)
}

// Unwrap returns the cause.
func (err ErrCall) Unwrap() error { return err.Err }

// Do sends a request and reads the status line and headers of the response. When ctx ends, the
// connection is reset, so that the target stops working on the request. The error is an ErrCall.
func (p *Pool) Do(ctx context.Context, address string, call *Call) (*Response, error) {
	c, err := p.get(ctx, address, call)
	if err != nil {
		return nil, ErrCall{Run: chestnutstep.RunNo, Reason: chestnutstep.ReasonDown, Err: err}
	}
	if call.Allow != nil {
		if err := call.Allow(); err != nil {
			p.put(address, c, 0, call.MaxIdle)
			return nil, ErrCall{Run: chestnutstep.RunNo, Reason: chestnutstep.ReasonPaused, Err: err}
		}
	}
	if call.OnConn != nil {
		call.OnConn(c.Conn)
	}
	a := &Response{pool: p, address: address, conn: c, maxIdle: call.MaxIdle}
	a.stop = context.AfterFunc(ctx, c.reset)
	watcher := ackWatcher{conn: c, onUnresponsive: call.OnUnresponsive}
	if call.OnUnresponsive != nil {
		watcher.start()
	}
	sent := make(chan error, 1)
	message := message{conn: c, head: call.head(), body: call.Body}
	isLong := message.length() > maxInlineWrite
	if !isLong {
		sent <- message.writeAtOnce()
	} else {
		message.body.Retain()
		go message.run(sent)
	}
	resp, err := readHead(c, call.Method)
	unresponsive := watcher.stop()
	if err != nil {
		peerEnded := isConnEnd(c.Conn, err)
		a.abort()
		<-sent
		return nil, callError(ctx, c, unresponsive, peerEnded, err)
	}
	a.resp = resp
	a.Status, a.Header, a.Body, a.Length = resp.StatusCode, resp.Header, resp.Body, resp.ContentLength
	select {
	case err := <-sent:
		a.requestWritten = err == nil
		sent = nil
	default: // responded before reading the whole body: the connection is not reused
	}
	if isLong && (sent != nil || unackedBytes(c) > 0) {
		a.upload = &uploadWatcher{conn: c, sent: sent, stopped: make(chan struct{}), done: make(chan struct{})}
		go a.upload.run()
	}
	return a, nil
}

// maxInlineWrite is the size in bytes up to which a message is written without a goroutine, because
// the socket buffer holds it without waiting for the peer. A longer message is written concurrently
// with reading the response: a target can respond before it has read a long body.
const maxInlineWrite = 12 << 10

// head returns the request line and the headers in their HTTP/1.1 encoding.
func (call *Call) head() []byte {
	var b bytes.Buffer
	b.Grow(headBytes)
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.URI, call.Host)
	_ = call.Header.Write(&b) // writes to a bytes.Buffer do not fail
	if n := call.Body.Len(); call.HasBody || n > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", n)
	}
	b.WriteString("\r\n")
	return b.Bytes()
}

// headBytes is the usual size of a head, with a small body behind it.
const headBytes = 2 << 10

// message is a complete request that is written to a connection.
type message struct {
	conn *Conn
	head []byte
	body *memory.Body
}

func (m *message) length() int64 { return int64(len(m.head)) + m.body.Len() }

// writeAtOnce writes the message with a single call.
func (m *message) writeAtOnce() error {
	for _, segment := range m.body.Segments() {
		m.head = append(m.head, segment...)
	}
	_, err := m.conn.Write(m.head)
	return err
}

// run writes the message without a copy of the body, releases the body and sends the result.
func (m *message) run(sent chan<- error) {
	defer m.body.Release()
	buffers := append(net.Buffers{m.head}, m.body.Segments()...)
	_, err := buffers.WriteTo(m.conn.Conn)
	sent <- err
}

// readHead reads the status line and headers of the final response and skips interim ones. The error
// is an ErrTooLarge if they exceed MaxHeadBytes, and a head.ErrHead if one of them is not valid.
func readHead(c *Conn, method string) (*http.Response, error) {
	c.limit.remaining = chestnutstep.MaxHeadBytes
	defer func() { c.limit.remaining = unlimited }()
	for {
		if err := checkOldFraming(c.br); err != nil {
			return nil, err
		}
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if err := head.Check(resp); err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK {
			return resp, nil
		}
	}
}

// checkOldFraming returns a head.ErrHead if an answer of HTTP/1.0 has a Transfer-Encoding. That version has no chunks, and
// net/http would pass them on as the body. A head that is longer than the buffer is not looked at beyond that.
func checkOldFraming(br *bufio.Reader) error {
	const version = "HTTP/1.0 "
	if b, err := br.Peek(len(version)); err != nil || string(b) != version {
		return nil // reading it returns the error
	}
	for n := br.Buffered(); ; n = max(n+1, br.Buffered()) {
		b, err := br.Peek(n)
		end := bytes.Index(b, []byte("\r\n\r\n"))
		if end >= 0 {
			b = b[:end]
		}
		if bytes.Contains(bytes.ToLower(b), []byte("\ntransfer-encoding:")) {
			return head.ErrHead{Part: "framing", Value: "Transfer-Encoding in HTTP/1.0"}
		}
		if end >= 0 || err != nil {
			return nil
		}
	}
}

func callError(ctx context.Context, c *Conn, unresponsive, peerEnded bool, err error) error {
	reason := chestnutstep.ReasonLink
	if IsErrTooLarge(err) {
		reason = chestnutstep.ReasonLarge
	}
	if ctx.Err() != nil {
		reason = chestnutstep.ReasonCanceled
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			reason = chestnutstep.ReasonTimeout
		}
	}
	return ErrCall{
		Run: chestnutstep.RunMaybe, Reason: reason, Reused: c.Reused, Unresponsive: unresponsive,
		PeerClosed: reason == chestnutstep.ReasonLink && !unresponsive && peerEnded, Err: err,
	}
}

// Read reads from the body. It returns io.EOF once the body is complete.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	switch {
	case err == io.EOF:
		if err := head.CheckFields(a.resp.Trailer); err != nil {
			return n, err
		}
		a.complete = true
	case err != nil:
		a.peerEnded = isConnEnd(a.conn.Conn, err)
	}
	return n, err
}

// isConnEnd reports whether err is that of a connection that the peer's side ended, and not of bytes
// that are no answer.
func isConnEnd(c net.Conn, err error) bool {
	var e net.Error
	return errors.Is(err, io.EOF) || errors.Is(err, io.ErrUnexpectedEOF) || errors.As(err, &e) || IsClosed(c)
}

// PeerEnded reports whether a read failed because the peer's side ended the connection.
func (a *Response) PeerEnded() bool { return a.peerEnded }

// IsComplete reports whether the body was read to its end.
func (a *Response) IsComplete() bool { return a.complete }

// Close returns the connection to the pool if the response was read completely and the connection
// is in a defined state, and resets it otherwise. reusable reports whether the caller found the
// response to belong to its request.
func (a *Response) Close(reusable bool) {
	if a.stop != nil && !a.stop() {
		reusable = false // ctx ended, and the connection is closed or about to be
	}
	a.stop = nil
	if a.upload != nil {
		a.upload.stop()
		a.upload = nil
	}
	if !reusable || !a.complete || !a.requestWritten || a.resp.Close || a.IsCloseDelimited() || a.conn.br.Buffered() > 0 {
		a.conn.reset()
		return
	}
	a.conn.proven = true
	a.pool.put(a.address, a.conn, keepAliveTimeout(a.Header), a.maxIdle)
}

// IsCloseDelimited reports whether the body ends only with the connection.
func (a *Response) IsCloseDelimited() bool { return a.Length < 0 && len(a.resp.TransferEncoding) == 0 }

// Conn returns the connection of the response.
func (a *Response) Conn() net.Conn { return a.conn.Conn }

// Framing returns how the end of the body is marked: length, chunks or close.
func (a *Response) Framing() string {
	switch {
	case a.IsCloseDelimited():
		return "close"
	case a.Length >= 0:
		return "length"
	default:
		return "chunks"
	}
}

// abort resets the connection, so that the target stops working on the request.
func (a *Response) abort() {
	a.stop()
	a.conn.reset()
}

// keepAliveTimeout returns how long the target keeps an idle connection according to its Keep-Alive
// header, less idleMargin; 0 if it does not state a time.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(n)*time.Second-idleMargin, time.Millisecond)
		}
	}
	return 0
}
