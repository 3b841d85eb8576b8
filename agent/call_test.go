package agent

import (
	"bufio"
	"io"
	"net"
	"net/http"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/wire"
)

// closingTarget answers its first request and closes the connection after reading the second.
type closingTarget struct {
	l net.Listener

	mu       sync.Mutex
	received []string
}

func (d *closingTarget) run() {
	c, err := d.l.Accept()
	if err != nil {
		return
	}
	defer c.Close()
	r := bufio.NewReader(c)
	for n := 1; ; n++ {
		rq, err := http.ReadRequest(r)
		if err != nil {
			return
		}
		_, _ = io.Copy(io.Discard, rq.Body)
		id := rq.Header.Get(chestnutstep.HeaderRequestID)
		d.mu.Lock()
		d.received = append(d.received, id)
		d.mu.Unlock()
		if n == 2 {
			d.l.Close()
			return
		}
		_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n"+chestnutstep.HeaderRequestID+": "+id+"\r\n\r\nok")
	}
}

// TestRetryByHTTPClientIsNotUnsent guards against "not run" for a request that a target had
// received when it crashed: net/http retries the request by itself, and only the connection of that
// retry is refused.
func TestRetryByHTTPClientIsNotUnsent(t *testing.T) {
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	d := &closingTarget{l: l}
	go d.run()
	s := newHarness(t)
	s.agent.URL = "http://" + l.Addr().String()
	s.agent.PooledClient, _ = Clients()
	call := func(id string) callResult {
		j := newJob(s.agent, s.now, &wire.Offer{
			Id: id, Workspace: "w", Method: http.MethodPost, Path: "/v1", Remain: int64(time.Minute), Idempotent: true,
			Headers: []*wire.Header{{Name: chestnutstep.HeaderIdempotencyKey, Value: id}},
		}, &answer.Log{})
		return j.call(t.Context())
	}
	assert.Equal(t, call("a").outcome, chestnutstep.OutcomeServed)
	res := call("b")
	d.mu.Lock()
	defer d.mu.Unlock()
	assert.DeepEqual(t, d.received, []string{"a", "b"})
	assert.Equal(t, res.outcome, chestnutstep.OutcomeFailed)
	assert.Assert(t, !res.unsent, "%+v", res)
	assert.Equal(t, res.run, chestnutstep.RunMaybe)
}

// TestLastEventEndsTheStream guards against a whole answer that counts as failed because its
// connection ended late or with an error, and against a partial answer that counts as whole.
func TestLastEventEndsTheStream(t *testing.T) {
	for _, c := range []struct {
		wanted, text string
		ended        bool
	}{
		{"event: done", "data: a\n\nevent: done\ndata: {}\n\n", true},
		{"event: done", "data: a\r\n\r\nevent: done\r\ndata: {}\r\n\r\n", true},
		{"event: done", "event: done\ndata: {}\n\n", true},
		{"data: [DONE]\n\n", "data: a\n\ndata: [DONE]\n\n", true},
		{"event: done", "data: a\n\nevent: done\ndata: {}\n", false},
		{"event: done", "data: a\n\nevent: done\n", false},
		{"event: done", "data: event: done\n\n", false},
		{"event: done", "data: a\n\n: event: done\n\n", false},
		{"event: done", "event: done\ndata: {}\n\ndata: a\n\n", false},
		{"event: done", "", false},
		{"", "data: a\n\n", false},
	} {
		for _, piece := range []int{1, 7, len(c.text) + 1} {
			tail := tail{terminator: c.wanted}
			for rest := []byte(c.text); len(rest) > 0; {
				n := min(piece, len(rest))
				tail.add(rest[:n])
				rest = rest[n:]
			}
			assert.Equal(t, tail.isEnded(), c.ended, "%q in pieces of %d", c.text, piece)
		}
	}
}
