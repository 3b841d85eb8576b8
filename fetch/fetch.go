// Package fetch reads HTTP answers within limits on waiting, not on size: a large answer over
// a slow link may take as long as its bytes arrive, and a peer that falls silent is given up.
package fetch

import (
	"context"
	"io"
	"net/http"
	"time"

	"github.com/cockroachdb/errors"
)

// bufferSize is how many bytes are read at a time.
const bufferSize = 32 << 10

// Limits of one call.
type Limits struct {
	// FirstByteTimeout is the longest time to the beginning of the answer, Idle the longest pause
	// after that.
	FirstByteTimeout, IdleTimeout time.Duration
	// MaxBytes is the largest body, in bytes.
	MaxBytes int
}

// Response is what came back.
type Response struct {
	Status int
	Header http.Header
	Body   []byte
	// TimeToFirstByte is the time to its beginning.
	TimeToFirstByte time.Duration
}

// ErrUnresponsive is the cause of a call that was given up.
type ErrUnresponsive struct {
	// Bytes of the body that had come, and Pause after them.
	Bytes int
	Idle  time.Duration
}

// Error says how long nothing came.
func (err ErrUnresponsive) Error() string {
	return errors.Newf("silent for %s after %d bytes", err.Idle, err.Bytes).Error()
}

// ErrTooLarge is the error of a body that is larger than allowed.
type ErrTooLarge struct{ MaxBytes int }

// Error states the limit.
func (err ErrTooLarge) Error() string {
	return errors.Newf("body above %d bytes", err.MaxBytes).Error()
}

// Get calls an URL. The end of ctx ends the call until the answer begins; from then on only
// the limits do, as a transfer that is broken off has to begin anew.
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
	req.Header.Set("User-Agent", "") // saves bytes: followers ask all the time
	start := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return a, cause(callCtx, err)
	}
	defer resp.Body.Close()
	release()
	timer.Stop()
	a = Response{Status: resp.StatusCode, Header: resp.Header, TimeToFirstByte: time.Since(start)}
	a.Body, err = readBody(cancel, resp.Body, l)
	return a, cause(callCtx, err)
}

// readBody reads a body as long as bytes arrive.
func readBody(cancel context.CancelCauseFunc, r io.Reader, l Limits) ([]byte, error) {
	var body []byte
	buffer := make([]byte, bufferSize)
	for {
		unresponsive := ErrUnresponsive{Bytes: len(body), Idle: l.IdleTimeout}
		timer := time.AfterFunc(l.IdleTimeout, func() { cancel(unresponsive) })
		n, err := r.Read(buffer)
		timer.Stop()
		body = append(body, buffer[:n]...)
		switch {
		case len(body) > l.MaxBytes:
			return body, ErrTooLarge{l.MaxBytes}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// cause returns why a call was ended, rather than that it was.
func cause(ctx context.Context, err error) error {
	if err != nil && ctx.Err() != nil {
		return context.Cause(ctx)
	}
	return err
}
