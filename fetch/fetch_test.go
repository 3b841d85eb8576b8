package fetch_test

import (
	"context"
	"io"
	"net/http"
	"net/http/httptest"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/fetch"
)

// noTimeout is a limit that no test reaches.
const noTimeout = time.Minute

// serveBytes starts a server that sends one byte for each value received from bytes, and nothing
// more once the channel is closed.
func serveBytes(t *testing.T, sendHeader bool, bytes <-chan struct{}) string {
	t.Helper()
	server := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if sendHeader {
			w.WriteHeader(http.StatusOK)
			_ = http.NewResponseController(w).Flush()
		}
		for range bytes {
			_, _ = w.Write([]byte("x"))
			_ = http.NewResponseController(w).Flush()
		}
		if r.URL.Path == "/whole" {
			return
		}
		<-r.Context().Done()
	}))
	t.Cleanup(server.Close)
	return server.URL
}

// TestSlowBodyIsReadToItsEnd guards against a limit on the total time of a transfer, which a large
// response over a slow link always exceeds.
func TestSlowBodyIsReadToItsEnd(t *testing.T) {
	const idle, count = 2 * time.Second, 10
	bytes := make(chan struct{})
	url := serveBytes(t, true, bytes)
	go func() {
		defer close(bytes)
		for range count {
			time.Sleep(idle / 8)
			bytes <- struct{}{}
		}
	}()
	a, err := fetch.Get(context.Background(), http.DefaultClient, url+"/whole", fetch.Limits{FirstByteTimeout: idle, IdleTimeout: idle, MaxBytes: count})
	assert.NilError(t, err)
	assert.Equal(t, len(a.Body), count)
}

// TestUnresponsivePeerTimesOut guards against an unbounded wait for a peer, before or during its
// response.
func TestUnresponsivePeerTimesOut(t *testing.T) {
	const limit = 50 * time.Millisecond
	for name, begin := range map[string]bool{"no answer": false, "cut short": true} {
		t.Run(name, func(t *testing.T) {
			bytes := make(chan struct{}, 1)
			l := fetch.Limits{FirstByteTimeout: limit, IdleTimeout: noTimeout, MaxBytes: 9}
			if begin {
				bytes <- struct{}{}
				l = fetch.Limits{FirstByteTimeout: noTimeout, IdleTimeout: limit, MaxBytes: 9}
			}
			close(bytes)
			a, err := fetch.Get(context.Background(), http.DefaultClient, serveBytes(t, begin, bytes), l)
			var unresponsive fetch.ErrUnresponsive
			assert.Assert(t, errors.As(err, &unresponsive), "%v", err)
			assert.Equal(t, unresponsive.Bytes, len(a.Body))
			assert.Equal(t, len(a.Body) == 1, begin)
		})
	}
}

// onRead is a transport that calls a function before each read of a body.
type onRead struct {
	io.ReadCloser
	call func()
}

func (r *onRead) RoundTrip(req *http.Request) (*http.Response, error) {
	resp, err := http.DefaultTransport.RoundTrip(req)
	if err == nil {
		r.ReadCloser, resp.Body = resp.Body, r
	}
	return resp, err
}

func (r *onRead) Read(b []byte) (int, error) {
	r.call()
	return r.ReadCloser.Read(b)
}

// TestCancelDoesNotInterruptTransfer guards against a transfer that is aborted because its context
// is canceled after the response has begun.
func TestCancelDoesNotInterruptTransfer(t *testing.T) {
	bytes := make(chan struct{})
	url := serveBytes(t, true, bytes)
	ctx, cancel := context.WithCancel(context.Background())
	begin := sync.OnceFunc(func() {
		cancel()
		go func() {
			defer close(bytes)
			bytes <- struct{}{}
			bytes <- struct{}{}
		}()
	})
	client := &http.Client{Transport: &onRead{call: begin}}
	a, err := fetch.Get(ctx, client, url+"/whole", fetch.Limits{FirstByteTimeout: noTimeout, IdleTimeout: noTimeout, MaxBytes: 9})
	assert.NilError(t, err)
	assert.Equal(t, len(a.Body), 2)
}

// TestCancelEndsWaitForResponse guards against a call that continues after its context is canceled.
func TestCancelEndsWaitForResponse(t *testing.T) {
	bytes := make(chan struct{})
	close(bytes)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := fetch.Get(ctx, http.DefaultClient, serveBytes(t, false, bytes), fetch.Limits{FirstByteTimeout: noTimeout, IdleTimeout: noTimeout, MaxBytes: 9})
	assert.Assert(t, errors.Is(err, context.Canceled), "%v", err)
}

// TestLargeBodyIsRefused guards against a response that uses up the memory.
func TestLargeBodyIsRefused(t *testing.T) {
	bytes := make(chan struct{}, 9)
	for range 9 {
		bytes <- struct{}{}
	}
	close(bytes)
	_, err := fetch.Get(context.Background(), http.DefaultClient, serveBytes(t, true, bytes)+"/whole", fetch.Limits{FirstByteTimeout: noTimeout, IdleTimeout: noTimeout, MaxBytes: 3})
	var tooLarge fetch.ErrTooLarge
	assert.Assert(t, errors.As(err, &tooLarge), "%v", err)
}
