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

// deaf is a host that takes connections and, once its buffers are full, acknowledges nothing.
type deaf struct {
	net.Listener
	taken atomic.Int32
}

func (d *deaf) run(t *testing.T) {
	for {
		c, err := d.Accept()
		if err != nil {
			return
		}
		d.taken.Add(1)
		t.Cleanup(func() { c.Close() })
	}
}

// addDeaf adds a target whose host is deaf.
func (g *rig) addDeaf(t *testing.T) *deaf {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { l.Close() })
	d := &deaf{Listener: l}
	go d.run(t)
	g.roster.Learn(clock.Now(), chestnutstep.TopicTargets, chestnutstep.Batch{Facts: []chestnutstep.Fact{{
		Kind: chestnutstep.FactInstance, Name: "i-deaf", Revision: 9,
		Instance: &chestnutstep.Instance{ID: "i-deaf", Service: "shop", Address: l.Addr().String(), Domain: "d", Slots: 8},
	}}}, false)
	return d
}

// proveLink lets another target answer all the time.
func (g *rig) proveLink(t *testing.T) {
	v := g.roster.View()
	x := v.ByID["i-a"]
	run := g.relay.Board.Start(clock.Now(), x, v.Routing.Services["shop"], nil, 0, board.Who{})
	stop := time.NewTicker(20 * time.Millisecond)
	t.Cleanup(stop.Stop)
	go func() {
		for range stop.C {
			run.First(clock.Now())
		}
	}()
}

// send asks for a safe answer with a body that fits no socket's buffers.
func (g *rig) sendLong(t *testing.T, id string) (int, time.Duration) {
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

// TestSilentHostIsLeftInTime guards against requests that wait for a dead host until TCP gives
// its connection up, though another target could serve them in time.
func TestSilentHostIsLeftInTime(t *testing.T) {
	const tcpGivesUp = 1200 * time.Millisecond
	g := newRigWith(t, 5*time.Second)
	d := g.addDeaf(t)
	g.proveLink(t)
	for _, id := range []string{"a", "b", "c", "d", "e", "f", "g", "h", "i", "k"} {
		status, took := g.sendLong(t, id)
		assert.Equal(t, status, http.StatusOK)
		assert.Assert(t, took < tcpGivesUp, "%s", took)
	}
	assert.Assert(t, d.taken.Load() > 0, "no request went to the dead host")
}

// TestOwnLinkIsNotTheTargets guards against an entry whose own link is down or full giving up
// request after request, at targets that are sound.
func TestOwnLinkIsNotTheTargets(t *testing.T) {
	b := &board.Board{}
	g := newRig(t)
	v := g.roster.View()
	assert.Assert(t, !b.RecordSilence(clock.Now(), v.ByID["i-a"]), "nothing has answered here")
	run := b.Start(clock.Now(), v.ByID["i-b"], v.Routing.Services["shop"], nil, 0, board.Who{})
	run.First(clock.Now())
	assert.Assert(t, b.RecordSilence(clock.Now(), v.ByID["i-a"]))
	assert.Equal(t, len(b.Suspicions()), 1)
}
