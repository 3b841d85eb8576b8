package link_test

import (
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/stand"
)

// send makes one call and reads the answer to its end.
func send(ctx context.Context, p *link.Pool, x *stand.Target, id, body string) (string, error) {
	h := http.Header{}
	h.Set("Attempt-Id", id)
	h.Set("Expect-Instance", x.Name)
	a, err := p.Do(ctx, x.Address(), &link.Call{Method: "POST", URI: "/x", Host: "h", Header: h, Body: []byte(body), HasBody: true, MaxIdle: 8})
	if err != nil {
		return "", err
	}
	raw, err := io.ReadAll(a)
	a.Close(err == nil)
	return string(raw), err
}

func reason(err error) string {
	var e link.ErrCall
	if !errors.As(err, &e) {
		return fmt.Sprint(err)
	}
	return fmt.Sprint(e.Reason, " ", e.Run)
}

func target(t *testing.T) *stand.Target {
	t.Helper()
	x := stand.NewTarget("i-a")
	t.Cleanup(x.Close)
	return x
}

// Requests that follow each other use one connection.
func TestConnectionIsKept(t *testing.T) {
	x, p := target(t), &link.Pool{}
	for i := range 5 {
		got, err := send(context.Background(), p, x, fmt.Sprint(i), "b")
		assert.NilError(t, err)
		assert.Equal(t, got, fmt.Sprint("answer to ", i))
	}
	assert.Equal(t, x.Opened(), 1)
	assert.Equal(t, p.Opened(), int64(1))
}

// What is known of a request after each failure. An entry that takes "maybe" for
// "no" sends a booking twice.
func TestErrorsTellWhetherRequestMayHaveRun(t *testing.T) {
	x, p := target(t), &link.Pool{}
	for manner, want := range map[stand.Manner]string{stand.Resets: "link maybe", stand.Garbage: "link maybe"} {
		x.Behave(stand.Fine, manner)
		_, err := send(context.Background(), p, x, "r", "b")
		assert.Equal(t, reason(err), want, string(manner))
	}
	x.Behave(stand.Fine, stand.Hangs)
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err := send(ctx, p, x, "h", "b")
	assert.Equal(t, reason(err), "timeout maybe")

	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	address := l.Addr().String()
	assert.NilError(t, l.Close())
	_, err = p.Do(context.Background(), address, &link.Call{Method: "GET", URI: "/x", Header: http.Header{}})
	assert.Equal(t, reason(err), "down no")
}

// A target closed an idle connection, or sent a late second answer on it. The next
// request must not be lost, nor be given that answer.
func TestUnsafeConnectionIsNotReused(t *testing.T) {
	x, p := target(t), &link.Pool{}
	x.Behave(stand.Fine, stand.Extra)
	got, err := send(context.Background(), p, x, "one", "b")
	assert.NilError(t, err)
	assert.Equal(t, got, "answer to one")
	time.Sleep(100 * time.Millisecond)
	for i := range 3 {
		id := fmt.Sprint("next-", i)
		got, err = send(context.Background(), p, x, id, "b")
		assert.NilError(t, err)
		assert.Equal(t, got, "answer to "+id)
	}
	p.CloseIdle(x.Address())
	_, err = send(context.Background(), p, x, "after", "b")
	assert.NilError(t, err)
}

// A target answers before it has read a long body. What is left of the body would be
// read as the next request on that connection.
func TestEarlyAnswer(t *testing.T) {
	x, p := target(t), &link.Pool{}
	x.Behave(stand.Fine, stand.Early)
	// More than any connection holds, so that the answer comes before its end is sent.
	_, err := send(context.Background(), p, x, "long", strings.Repeat("x", 64<<20))
	if err != nil {
		assert.Equal(t, reason(err), "link maybe")
	}
	got, err := send(context.Background(), p, x, "next", "b")
	assert.NilError(t, err)
	assert.Equal(t, got, "answer to next")
	assert.Equal(t, x.Opened(), 2)
}

// Connections that stay idle are closed before the target does.
func TestSweep(t *testing.T) {
	x, p := target(t), &link.Pool{}
	_, err := send(context.Background(), p, x, "a", "b")
	assert.NilError(t, err)
	p.Sweep(time.Now().Add(time.Minute))
	_, err = send(context.Background(), p, x, "b", "b")
	assert.NilError(t, err)
	assert.Equal(t, x.Opened(), 2)
}

// Cancelling closes the connection, which makes the target stop.
func TestCancel(t *testing.T) {
	x, p := target(t), &link.Pool{}
	x.Behave(stand.Hangs)
	ctx, cancel := context.WithCancel(context.Background())
	time.AfterFunc(20*time.Millisecond, cancel)
	_, err := send(ctx, p, x, "c", "b")
	assert.Equal(t, reason(err), fmt.Sprint(chestnutstep.ReasonCanceled, " maybe"))
}

// The network is cut while a request is on its way, and the entry gives it up and asks
// another target. When the cut heals, the first target must not get the request after
// all: it may be leaving by then, and nobody waits for the answer. Only a reset tells
// the network to drop what it still holds; a usual close lets it through.
func TestCanceledRequestResetsConnection(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	defer l.Close()
	ended := make(chan error, 1)
	go func() {
		c, err := l.Accept()
		if err == nil {
			_, err = io.Copy(io.Discard, c)
		}
		ended <- err
	}()
	ctx, cancel := context.WithTimeout(context.Background(), 50*time.Millisecond)
	defer cancel()
	_, err = (&link.Pool{}).Do(ctx, l.Addr().String(), &link.Call{Method: "GET", URI: "/x", Header: http.Header{}})
	assert.Equal(t, reason(err), "timeout maybe")
	assert.ErrorContains(t, <-ended, "reset")
}
