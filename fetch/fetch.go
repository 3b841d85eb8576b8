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
	// First is the longest time to the beginning of the answer, Idle the longest pause
	// after that.
	First, Idle time.Duration
	// Most is the largest body, in bytes.
	Most int
}

// Answer is what came back.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
	// First is the time to its beginning.
	First time.Duration
}

// ErrSilent is the cause of a call that was given up.
type ErrSilent struct {
	// Bytes of the body that had come, and Pause after them.
	Bytes int
	Pause time.Duration
}

// Error says how long nothing came.
func (err ErrSilent) Error() string {
	return errors.Newf("silent for %s after %d bytes", err.Pause, err.Bytes).Error()
}

// ErrSize is the error of a body that is larger than allowed.
type ErrSize struct{ Most int }

// Error states the limit.
func (err ErrSize) Error() string { return errors.Newf("body above %d bytes", err.Most).Error() }

// Get calls an URL. The end of ctx ends the call until the answer begins; from then on only
// the limits do, as a transfer that is broken off has to begin anew.
func Get(ctx context.Context, client *http.Client, url string, l Limits) (a Answer, err error) {
	call, cancel := context.WithCancelCause(context.WithoutCancel(ctx))
	defer cancel(nil)
	release := context.AfterFunc(ctx, func() { cancel(context.Cause(ctx)) })
	defer release()
	timer := time.AfterFunc(l.First, func() { cancel(ErrSilent{Pause: l.First}) })
	defer timer.Stop()
	req, err := http.NewRequestWithContext(call, http.MethodGet, url, nil)
	if err != nil {
		return a, err
	}
	req.Header.Set("User-Agent", "") // saves bytes: followers ask all the time
	began := time.Now()
	resp, err := client.Do(req)
	if err != nil {
		return a, cause(call, err)
	}
	defer resp.Body.Close()
	release()
	timer.Stop()
	a = Answer{Status: resp.StatusCode, Header: resp.Header, First: time.Since(began)}
	a.Body, err = read(cancel, resp.Body, l)
	return a, cause(call, err)
}

// read reads a body as long as bytes arrive.
func read(cancel context.CancelCauseFunc, r io.Reader, l Limits) ([]byte, error) {
	var body []byte
	buffer := make([]byte, bufferSize)
	for {
		silent := ErrSilent{Bytes: len(body), Pause: l.Idle}
		timer := time.AfterFunc(l.Idle, func() { cancel(silent) })
		n, err := r.Read(buffer)
		timer.Stop()
		body = append(body, buffer[:n]...)
		switch {
		case len(body) > l.Most:
			return body, ErrSize{l.Most}
		case errors.Is(err, io.EOF):
			return body, nil
		case err != nil:
			return body, err
		}
	}
}

// cause returns why a call was ended, rather than that it was.
func cause(call context.Context, err error) error {
	if err != nil && call.Err() != nil {
		return context.Cause(call)
	}
	return err
}
