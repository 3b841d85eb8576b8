package relay_test

import (
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/stand"
)

// setUnframed makes the answers of all targets end with their connection.
func (f *cluster) setUnframed() {
	for _, x := range f.targets {
		x.Framing = stand.ByClose
	}
}

// TestDeadlyUnframedAnswersAreStopped guards against a content, or a part of its prompt, that ends one
// target after the other because the end of an answer without length or chunks passes for success.
func TestDeadlyUnframedAnswersAreStopped(t *testing.T) {
	for _, kind := range []string{"safe", "stream", "resume"} {
		for _, step := range stand.KillSteps {
			t.Run(fmt.Sprintf("%s/%s", kind, step), func(t *testing.T) {
				t.Parallel()
				f := newCluster(t)
				f.setDeadly(step, false)
				f.setUnframed()
				f.visitDeadly(t, kind)
			})
		}
	}
}

// TestUnframedAnswers guards against an answer without length or chunks that looks complete although
// its target ended, and against a complete one that is not delivered.
func TestUnframedAnswers(t *testing.T) {
	f := newCluster(t)
	f.setUnframed()
	for n := range 6 {
		assert.Equal(t, f.send(t, n, "stream", "sound"), "200 signed ids 1 2 3 4")
		assert.Assert(t, strings.HasPrefix(f.send(t, n, "unsafe", "sound"), "200 signed whole"))
	}
	f = newCluster(t)
	f.setUnframed()
	f.setDeadly(stand.AtMiddle, false)
	assert.Equal(t, f.send(t, 0, "stream", poison), "200 signed cut")
	assert.Equal(t, f.send(t, 1, "unsafe", poison+" of another"), fmt.Sprint(http.StatusBadGateway))
}

// applyTarget makes a server of the test the only target.
func (g *testRelay) applyTarget(id, address string) {
	g.roster.Apply(clock.Now(), chestnutstep.TopicTargets, chestnutstep.Batch{Revision: buildRevision, Facts: []chestnutstep.Fact{{
		Kind: chestnutstep.FactInstance, Name: id, Revision: buildRevision,
		Instance: &chestnutstep.Instance{ID: id, Service: "shop", Address: address, Domain: "d", Slots: 8, Build: "1"},
	}}}, true)
}

// cutter is a target that answers its first request with a length. All later answers have none, and end with
// half of their body in the packet that has their head.
type cutter struct{ requests int }

func (c *cutter) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	w.Header().Set("Attempt-Id", r.Header.Get("Attempt-Id"))
	w.Header().Set("Server-Signature", "sig-i-0")
	w.Header().Set("Connection", "close") // no idle connection is left that could be a witness
	if r.Method == http.MethodPost {
		c.requests++
	}
	if c.requests < 2 || r.Method != http.MethodPost {
		return
	}
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	raw, err := conn.(*net.TCPConn).SyscallConn()
	if err != nil {
		return
	}
	_ = raw.Control(func(fd uintptr) { _ = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_CORK, 1) })
	fmt.Fprint(conn, "HTTP/1.1 200 OK\r\n")
	_ = w.Header().Write(conn)
	fmt.Fprint(conn, "\r\nhalf of the bo")
}

// TestUnprovenEndIsNotWhole guards against a part of an answer that looks whole because it ended before there was a
// witness, and something listens at the address of its target.
func TestUnprovenEndIsNotWhole(t *testing.T) {
	target := httptest.NewServer(&cutter{})
	t.Cleanup(target.Close)
	g := newTestRelayOf(t, stallTimeout)
	g.applyTarget("i-0", target.Listener.Addr().String())
	assert.Assert(t, strings.HasPrefix(g.doRequest(t, "unsafe"), "200 signed"))
	assert.Equal(t, g.doRequest(t, "unsafe"), fmt.Sprint(http.StatusBadGateway))
}

// closer is a target that closes idle connections soon. Its answers have neither a length nor chunks, come late and whole,
// and end in the packet that has their head.
type closer struct{}

func (closer) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	if r.Method != http.MethodPost {
		return
	}
	_, _ = io.Copy(io.Discard, r.Body)
	time.Sleep(4 * closerIdle)
	id := r.Header.Get("Attempt-Id")
	conn, _, err := http.NewResponseController(w).Hijack()
	if err != nil {
		return
	}
	defer conn.Close()
	body := "answer to " + id
	if strings.Contains(r.URL.Path, "stream") {
		body = "id: 1\ndata: 1\n\nid: 2\ndata: 2\n\n"
	}
	fmt.Fprintf(conn, "HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nServer-Signature: sig-i-0\r\n\r\n%s", id, body)
}

const closerIdle = 100 * time.Millisecond

// TestWitnessClosedBeforeTheAnswer guards against a whole answer that counts as cut because its target, which was still
// working on it, closed the idle connection that was to prove its end.
func TestWitnessClosedBeforeTheAnswer(t *testing.T) {
	target := httptest.NewUnstartedServer(closer{})
	target.Config.IdleTimeout = closerIdle
	target.Start()
	t.Cleanup(target.Close)
	g := newTestRelayOf(t, stallTimeout)
	g.healthPath = "/healthz"
	g.publish(2, key)
	g.applyTarget("i-0", target.Listener.Addr().String())
	for range 3 {
		assert.Equal(t, g.doRequest(t, "unsafe"), "200 signed whole")
		assert.Equal(t, g.doRequest(t, "stream"), "200 signed ids 1 2")
	}
}
