package link

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net/http"
	"strconv"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

// Call is a request to one target.
type Call struct {
	Method string
	// URI as the caller wrote it, so that the target gets the same bytes.
	URI    string
	Host   string
	Header http.Header
	// Body is whole: what is sent again must be the same bytes.
	Body    []byte
	HasBody bool
	// MaxIdle is how many idle connections to the target are kept, this one's included.
	MaxIdle int
	// NewConn opens a connection for the request: that it opens proves that the host is there,
	// which an idle connection does not.
	NewConn bool
	// DialTimeout bounds the opening of a connection; 0 for the default.
	DialTimeout time.Duration
	// OnUnresponsive is called when the target's host does not acknowledge the request. True gives
	// the request up. Nil for never.
	OnUnresponsive func() bool
}

// Response is a target's answer whose body is still to be read. Close it.
type Response struct {
	Status int
	Header http.Header
	Body   io.Reader
	// Length of the body, -1 where it is not said.
	Length int64

	pool           *Pool
	address        string
	conn           *Conn
	maxIdle        int
	stop           func() bool
	resp           *http.Response
	complete       bool
	requestWritten bool
}

// ErrCall says that a target gave no usable answer.
type ErrCall struct {
	// Run says what is known of the request.
	Run chestnutstep.RunStatus
	// Reason is short and stable, for logs and decisions.
	Reason chestnutstep.Reason
	// Reused says that the connection had carried a request before.
	Reused bool
	// Unresponsive says that the target's host did not acknowledge the request.
	Unresponsive bool
	// PeerClosed says that the target's side ended the connection before the answer was whole,
	// whatever of it had come.
	PeerClosed bool
	Err        error
}

// Error says what happened.
func (err ErrCall) Error() string {
	return fmt.Sprintf("call: %s (run: %s): %v", err.Reason, err.Run, err.Err)
}

// Unwrap returns the cause.
func (err ErrCall) Unwrap() error { return err.Err }

// Do sends a request and reads the head of the answer. The connection is closed
// when ctx ends: the target stops work on the request. The error is ErrCall.
func (p *Pool) Do(ctx context.Context, address string, call *Call) (*Response, error) {
	c, err := p.get(ctx, address, call)
	if err != nil {
		return nil, ErrCall{Run: chestnutstep.RunNo, Reason: chestnutstep.ReasonDown, Err: err}
	}
	a := &Response{pool: p, address: address, conn: c, maxIdle: call.MaxIdle}
	a.stop = context.AfterFunc(ctx, c.reset)
	watcher := ackWatcher{conn: c, onUnresponsive: call.OnUnresponsive}
	if call.OnUnresponsive != nil {
		watcher.start()
	}
	sent := make(chan error, 1)
	message := call.message()
	if len(message) <= maxInlineWrite {
		_, err := c.Write(message)
		sent <- err
	} else {
		go func() {
			_, err := c.Write(message)
			sent <- err
		}()
	}
	resp, err := readHead(c, call.Method)
	unresponsive := watcher.stop()
	if err != nil {
		a.abort()
		<-sent
		return nil, callError(ctx, c, unresponsive, err)
	}
	a.resp = resp
	a.Status, a.Header, a.Body, a.Length = resp.StatusCode, resp.Header, resp.Body, resp.ContentLength
	select {
	case err := <-sent:
		a.requestWritten = err == nil
	default: // an answer before the body was taken: the connection is not used again
	}
	return a, nil
}

// maxInlineWrite is what a connection takes without waiting for its reader. A
// longer message is written beside the reading of the answer: a target may
// answer before it has read a long body.
const maxInlineWrite = 12 << 10

// message is the whole request as it goes over the wire.
func (call *Call) message() []byte {
	var b bytes.Buffer
	b.Grow(512 + len(call.Body))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", call.Method, call.URI, call.Host)
	_ = call.Header.Write(&b) // a bytes.Buffer takes all
	if call.HasBody || len(call.Body) > 0 {
		fmt.Fprintf(&b, "Content-Length: %d\r\n", len(call.Body))
	}
	b.WriteString("\r\n")
	b.Write(call.Body)
	return b.Bytes()
}

// readHead reads the head of the final answer, past interim ones.
func readHead(c *Conn, method string) (*http.Response, error) {
	for {
		resp, err := http.ReadResponse(c.br, &http.Request{Method: method})
		if err != nil {
			return nil, err
		}
		if resp.StatusCode >= http.StatusOK || resp.StatusCode == http.StatusSwitchingProtocols {
			return resp, nil
		}
	}
}

func callError(ctx context.Context, c *Conn, unresponsive bool, err error) error {
	reason := chestnutstep.ReasonLink
	if ctx.Err() != nil {
		reason = chestnutstep.ReasonCanceled
		if errors.Is(context.Cause(ctx), context.DeadlineExceeded) {
			reason = chestnutstep.ReasonTimeout
		}
	}
	return ErrCall{
		Run: chestnutstep.RunMaybe, Reason: reason, Reused: c.Reused, Unresponsive: unresponsive,
		PeerClosed: reason == chestnutstep.ReasonLink && !unresponsive, Err: err,
	}
}

// Read reads the body; io.EOF says that it is whole.
func (a *Response) Read(b []byte) (int, error) {
	n, err := a.Body.Read(b)
	if err == io.EOF {
		a.complete = true
	}
	return n, err
}

// Close gives the connection back where the answer was read to its end and
// nothing is in doubt, and closes it otherwise. Sound says that the caller of
// Close found the answer to be that of its request.
func (a *Response) Close(reusable bool) {
	if a.stop != nil && !a.stop() {
		reusable = false // ctx ended, and the connection is closed or about to be
	}
	a.stop = nil
	if !reusable || !a.complete || !a.requestWritten || a.resp.Close || a.IsCloseDelimited() || a.conn.br.Buffered() > 0 {
		a.conn.reset()
		return
	}
	a.pool.put(a.address, a.conn, keepAliveTimeout(a.Header), a.maxIdle)
}

// IsCloseDelimited says that only the end of the connection ends the body.
func (a *Response) IsCloseDelimited() bool { return a.Length < 0 && len(a.resp.TransferEncoding) == 0 }

// abort closes the connection, which makes the target stop.
func (a *Response) abort() {
	a.stop()
	a.conn.reset()
}

// keepAliveTimeout is how long the target keeps an idle connection, less a margin; 0
// where it does not say.
func keepAliveTimeout(h http.Header) time.Duration {
	for _, part := range strings.Split(h.Get("Keep-Alive"), ",") {
		name, value, _ := strings.Cut(strings.TrimSpace(part), "=")
		if n, err := strconv.Atoi(value); err == nil && strings.EqualFold(name, "timeout") {
			return max(time.Duration(n)*time.Second-idleMargin, time.Millisecond)
		}
	}
	return 0
}
