package relay_test

import (
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
)

// unresponsiveHost is a host that accepts connections and acknowledges nothing once its buffers are
// full.
type unresponsiveHost struct {
	net.Listener
	accepted atomic.Int32
}

func (d *unresponsiveHost) run(t *testing.T) {
	for {
		c, err := d.Accept()
		if err != nil {
			return
		}
		d.accepted.Add(1)
		t.Cleanup(func() { c.Close() })
	}
}

// addUnresponsiveHost adds a target on an unresponsive host.
func (g *testRelay) addUnresponsiveHost(t *testing.T) *unresponsiveHost {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	d := &unresponsiveHost{Listener: l}
	go d.run(t)
	g.roster.Apply(clock.Now(), chestnutstep.TopicTargets, chestnutstep.Batch{Facts: []chestnutstep.Fact{{
		Kind: chestnutstep.FactInstance, Name: "i-deaf", Revision: 9,
		Instance: &chestnutstep.Instance{ID: "i-deaf", Service: "shop", Address: l.Addr().String(), Domain: "d", Slots: 8},
	}}}, false)
	return d
}

// keepLinkActive makes another target answer continuously.
func (g *testRelay) keepLinkActive(t *testing.T) {
	v := g.roster.View()
	x := v.ByID["i-a"]
	run := g.relay.Board.Start(clock.Now(), x, v.Routing.Services["shop"], nil, 0, board.Caller{})
	stop := time.NewTicker(20 * time.Millisecond)
	t.Cleanup(stop.Stop)
	go func() {
		for range stop.C {
			run.FirstByte(clock.Now())
		}
	}()
}

// sendLargeBody sends a safe request whose body exceeds all socket buffers, and returns the status
// and the duration.
func (g *testRelay) sendLargeBody(t *testing.T, id string) (int, time.Duration) {
	t.Helper()
	r, err := http.NewRequest(http.MethodPost, g.server.URL+"/safe/x", strings.NewReader(strings.Repeat("x", 3500<<10)))
	assert.NilError(t, err)
	r.Host = host
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Credential", key)
	began := time.Now()
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	resp.Body.Close()
	return resp.StatusCode, time.Since(began)
}

// TestUnresponsiveHostIsAbandonedInTime guards against requests that wait for an unresponsive host
// until TCP closes the connection, although another target could serve them in time.
func TestUnresponsiveHostIsAbandonedInTime(t *testing.T) {
	const tcpTimeout = 1200 * time.Millisecond
	g := newTestRelayWithTimeout(t, 5*time.Second)
	d := g.addUnresponsiveHost(t)
	g.keepLinkActive(t)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "k"} {
		status, took := g.sendLargeBody(t, id)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, took < tcpTimeout, "%s", took)
	}
	assert.Assert(t, d.accepted.Load() > 0, "no request went to the dead host")
}

// TestOwnLinkFailureIsNotTheTargets guards against an entry whose own link is down or saturated and
// which therefore abandons request after request on healthy targets.
func TestOwnLinkFailureIsNotTheTargets(t *testing.T) {
	b := &board.Board{}
	g := newTestRelay(t)
	v := g.roster.View()
	assert.Assert(t, !b.RecordUnresponsive(clock.Now(), v.ByID["i-a"]), "nothing has answered here")
	run := b.Start(clock.Now(), v.ByID["i-b"], v.Routing.Services["shop"], nil, 0, board.Caller{})
	run.FirstByte(clock.Now())
	assert.Assert(t, b.RecordUnresponsive(clock.Now(), v.ByID["i-a"]))
	assert.Equal(t, len(b.Suspicions()), 1)
}
