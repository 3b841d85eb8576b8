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

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/relay"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/stand"
)

// benchTargets is the number of targets of the overloaded service.
const benchTargets = 49

// newOverloadedRelay returns a relay whose targets have no free place.
func newOverloadedRelay(b *testing.B) *relay.Relay {
	ros := &roster.Roster{}
	list := chestnutstep.Batch{Revision: 1}
	for i := range benchTargets {
		name := fmt.Sprint("i-", i)
		list.Facts = append(list.Facts, chestnutstep.Fact{
			Kind: chestnutstep.FactInstance, Name: name, Revision: 1,
			Instance: &chestnutstep.Instance{ID: name, Service: "llm", Address: "127.0.0.1:1", Domain: "d", Slots: 8},
		})
	}
	ros.Apply(clock.Now(), chestnutstep.TopicTargets, list, true)
	c := &chestnutstep.Routing{
		Version: 1, RequiresKey: true, Services: map[string]*chestnutstep.Service{"llm": {Name: "llm", IsEngine: true}},
		Workspaces: []*chestnutstep.WorkspaceAccess{{Name: "ws", Keys: []string{key}}},
		Routes: []chestnutstep.Route{{
			Name: "plan", Host: host, Prefix: "/plan/", Kind: chestnutstep.RouteStream, Timeout: 12 * time.Second,
			LatencyObjective: 500 * time.Millisecond, MaxAttempts: 1, Splits: []chestnutstep.Split{{Service: "llm", Weight: 1}},
		}},
	}
	c.BuildIndex()
	ros.Apply(clock.Now(), chestnutstep.TopicRouting, chestnutstep.Batch{Facts: []chestnutstep.Fact{{
		Kind: chestnutstep.FactRouting, Revision: 1, Routing: c,
	}}}, false)
	ros.ConfirmVersion(clock.Now())
	bounds := config.Bounds{MaxRevokeTime: time.Hour}
	set, err := meter.NewSet()
	assert.NilError(b, err)
	x := newRelay(ros, bounds, 0)
	x.Meters, x.Log = &set.Relay, &event.Log{Out: io.Discard}
	now := clock.Now()
	v, service := ros.View(), c.Services["llm"]
	requester := board.Caller{Workspace: "ws", Objective: time.Second}
	for _, t := range v.Services["llm"] {
		x.Board.Start(now.Add(-time.Second), t, service, nil, 0, requester).End(now, board.Served)
		for range 3 * t.Slots {
			x.Board.Start(now, t, service, nil, 0, requester)
		}
	}
	return x
}

// BenchmarkRefusal measures the refusal of a request for which none of the 49 targets has a free
// place. During a surge an entry spends most of its processor time on refusals.
func BenchmarkRefusal(b *testing.B) {
	x := newOverloadedRelay(b)
	body := strings.Repeat("x", 12<<10)
	b.ReportAllocs()
	for b.Loop() {
		r := httptest.NewRequest(http.MethodPost, "/plan/x", strings.NewReader(body))
		r.Host = host
		r.Header.Set("Attempt-Id", "a")
		r.Header.Set("Credential", key)
		r.Header.Set("Deadline-Ms", "12000")
		r.Header.Set("Prefix-Hash", "5c1e07a2:800,91bd3f06:9410,e4402b7d:1250")
		w := httptest.NewRecorder()
		x.ServeHTTP(w, r)
		if w.Code != http.StatusServiceUnavailable {
			b.Fatal(w.Code)
		}
	}
}

// BenchmarkRefusalConnection measures refusals when each request arrives on a new connection.
func BenchmarkRefusalConnection(b *testing.B) {
	inner, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(b, err)
	x := newOverloadedRelay(b)
	srv := &http.Server{Handler: x, IdleTimeout: relay.IdleTimeout, ReadHeaderTimeout: 5 * time.Second}
	go func() { _ = srv.Serve(&relay.Listener{Listener: inner, Relay: x, MaxConns: 512}) }()
	defer srv.Close()
	message := "POST /plan/x HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: a\r\nCredential: " + key +
		"\r\nDeadline-Ms: 12000\r\nPrefix-Hash: 5c1e07a2:800,91bd3f06:9410,e4402b7d:1250\r\nContent-Length: 12288\r\n\r\n" + strings.Repeat("x", 12<<10)
	answer := make([]byte, 1<<10)
	b.ReportAllocs()
	for b.Loop() {
		c, err := net.Dial("tcp", inner.Addr().String())
		assert.NilError(b, err)
		_, err = io.WriteString(c, message)
		assert.NilError(b, err)
		_, err = c.Read(answer)
		assert.NilError(b, err)
		assert.NilError(b, c.Close())
	}
}

// BenchmarkWholeStream measures a stream of four events, over the three framings and without a health check. An
// answer that ends with its connection is held until its target's process is known to live.
func BenchmarkWholeStream(b *testing.B) {
	for _, framing := range stand.Framings {
		for _, path := range []string{stand.HealthPath, ""} {
			b.Run(fmt.Sprint(framing, path), func(b *testing.B) {
				g := newTestRelayOf(b, stallTimeout, "i-a")
				g.targets[0].Framing = framing
				g.healthPath = path
				g.publish(buildRevision, key)
				for b.Loop() {
					r, err := http.NewRequest(http.MethodPost, g.server.URL+"/stream/stream/x", strings.NewReader("body"))
					assert.NilError(b, err)
					r.Host = host
					r.Header.Set("Attempt-Id", "a")
					r.Header.Set("Credential", key)
					resp, err := http.DefaultClient.Do(r)
					assert.NilError(b, err)
					_, err = io.Copy(io.Discard, resp.Body)
					assert.NilError(b, err)
					resp.Body.Close()
				}
			})
		}
	}
}
