// Package fetch reads HTTP responses with limits on pauses instead of on the total time: a large
// response over a slow link can take as long as its bytes arrive, and a call to an unresponsive
// peer is aborted.
package fetch

import (
	"bytes"
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/head"
)

// bufferSize is the size of a segment in bytes.
const bufferSize = 32 << 10

// Limits bound one call.
type Limits struct {
	// FirstByteTimeout is the maximum time until the response headers, IdleTimeout the maximum
	// pause after that.
	FirstByteTimeout, IdleTimeout time.Duration
	// MaxBytes is the maximum size of the body in bytes.
	MaxBytes int
}

// Response is an HTTP response with its complete body, or the part received before an error.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// TimeToFirstByte is the time until the response headers arrived.
	TimeToFirstByte time.Duration
}

// ErrUnresponsive is the error of a call that was aborted because the peer sent nothing.
type ErrUnresponsive struct {
	// Bytes is the number of body bytes received, and Idle the pause after them.
	Bytes int
	Idle  time.Duration
}

// Error returns a text with the pause and the bytes received.
func (err ErrUnresponsive) Error() string {
	return errors.Newf("no data for %s after %d bytes", err.Idle, err.Bytes).Error()
}

// ErrTooLarge is the error of a body larger than MaxBytes.
type ErrTooLarge struct{ MaxBytes int }

// Error returns a text with the limit.
func (err ErrTooLarge) Error() string {
	return errors.Newf("body exceeds %d bytes", err.MaxBytes).Error()
}

// Get requests a URL. The end of ctx aborts the call only until the response begins; after that
// only the limits apply, because an aborted transfer would have to start over. The error is an
// ErrUnresponsive or an ErrTooLarge if a limit is exceeded, and a head.ErrHead if the head of the
// response is not valid.
func Get(ctx context.Context, client *http.Client, url string, l Limits) (a Response, err error) {
	callCtx, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	release := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer release()
	timer := time.AfterFunc(l.FirstByteTimeout, func() { cancel(ErrUnresponsive{Idle: l.FirstByteTimeout}) })
	defer timer.Stop()
	req, err := http.NewRequestWithContext(callCtx, http.MethodGet, url, nil)
	if err != nil {
		return a, err
	}
	req.Header.Set("User-Agent", "") // saves bytes: followers send requests continually
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return a, cause(callCtx, err)
	}
	defer resp.Body.Close()
	if err := head.Check(resp); err != nil {
		return a, err
	}
	release()
	timer.Stop()
	a = Response{Status: resp.StatusCode, Header: resp.Header, TimeToFirstByte: time.Since(start)}
	a.Body, err = readBody(cancel, resp.Body, l)
	return a, cause(callCtx, err)
}

// readBody reads a body as long as bytes arrive within the idle timeout.
func readBody(cancel context.CancelCauseFunc, r io.Reader, l Limits) ([]byte, error) {
	var b segments
	for {
		unresponsive := ErrUnresponsive{Bytes: b.size, Idle: l.IdleTimeout}
		timer := time.AfterFunc(l.IdleTimeout, func() { cancel(unresponsive) })
		err := b.readFrom(r)
		timer.Stop()
		switch {
		case b.size > l.MaxBytes:
			return b.join(), ErrTooLarge{l.MaxBytes}
		case errors.Is(err, io.EOF):
			return b.join(), nil
		case err != nil:
			return b.join(), err
		}
	}
}

// ReadAll reads a body to its end. The error is an ErrTooLarge if it is larger than maxBytes.
func ReadAll(r io.Reader, maxBytes int) ([]byte, error) {
	var b segments
	for {
		err := b.readFrom(r)
		switch {
		case b.size > maxBytes:
			return nil, ErrTooLarge{maxBytes}
		case errors.Is(err, io.EOF):
			return b.join(), nil
		case err != nil:
			return nil, err
		}
	}
}

// segments holds a body while it is read. A single buffer that grows takes several times the size of
// the body, as garbage.
type segments struct {
	list [][]byte
	size int
}

// readFrom reads once into the last segment, or a new one if that is full.
func (b *segments) readFrom(r io.Reader) error {
	last := len(b.list) - 1
	if last < 0 || len(b.list[last]) == bufferSize {
		b.list = append(b.list, make([]byte, 0, bufferSize))
		last++
	}
	s := b.list[last]
	n, err := r.Read(s[len(s):bufferSize])
	b.list[last] = s[:len(s)+n]
	b.size += n
	return err
}

func (b *segments) join() []byte {
	if len(b.list) == 1 {
		return b.list[0]
	}
	return bytes.Join(b.list, nil)
}

// cause returns the reason for which the context of a call was canceled, and err if it was not.
func cause(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
