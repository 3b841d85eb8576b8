package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/guard"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/platform"
	"chestnutstep.example/chestnutstep/relay"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/stand"
)

const (
	key     = "secret"
	host    = "shop.example"
	timeout = 400 * time.Millisecond
	// stallTimeout is a timeout for tests whose result must not depend on pauses of the machine.
	stallTimeout  = 10 * time.Second
	revokeTimeout = 5 * time.Second
)

// testRelay is a relay with its targets, three unless a test needs others.
type testRelay struct {
	targets      []*stand.Target
	order        *stand.BehaviourQueue
	roster       *roster.Roster
	relay        *relay.Relay
	server       *httptest.Server
	requestCount int
	routeTimeout time.Duration
	// healthPath is that of the targets; empty for none.
	healthPath string
}

func newTestRelay(t *testing.T) *testRelay {
	t.Helper()
	return newTestRelayWithTimeout(t, timeout)
}

// newTestRelayWithTimeout returns a testRelay whose routes have the given timeout.
func newTestRelayWithTimeout(t *testing.T, limit time.Duration) *testRelay {
	t.Helper()
	return newTestRelayOf(t, limit, "i-a", "i-b", "i-c")
}

// newTestRelayOf returns a testRelay with the named targets.
func newTestRelayOf(t testing.TB, limit time.Duration, names ...string) *testRelay {
	t.Helper()
	g := &testRelay{order: &stand.BehaviourQueue{}, roster: &roster.Roster{}, routeTimeout: limit}
	b := chestnutstep.Batch{Revision: 1}
	for _, name := range names {
		x := stand.NewTarget(name)
		x.Queue = g.order
		t.Cleanup(x.Close)
		g.targets = append(g.targets, x)
		b.Facts = append(b.Facts, chestnutstep.Fact{
			Kind: chestnutstep.FactInstance, Name: name, Revision: 1,
			Instance: &chestnutstep.Instance{ID: name, Service: "shop", Address: x.Address(), Domain: "d", Slots: 8, Build: "1"},
		})
	}
	g.roster.Apply(clock.Now(), chestnutstep.TopicTargets, b, true)
	g.publish(1, key)
	g.roster.ConfirmVersion(clock.Now())
	bounds := config.Bounds{MaxRevokeTime: revokeTimeout}
	g.relay = newRelay(g.roster, bounds, 1)
	g.server = httptest.NewUnstartedServer(g.relay)
	g.server.Config.ConnContext = guard.ConnContext
	g.server.Start()
	t.Cleanup(g.server.Close)
	return g
}

// newRelay returns a relay for the targets of a roster. retries is the retry budget as a ratio of
// the requests; its slack is 100 times that number per second.
func newRelay(ros *roster.Roster, bounds config.Bounds, retries float64) *relay.Relay {
	pauses := &pause.Tracker{}
	return &relay.Relay{
		Domain: "d", Bounds: func() config.Bounds { return bounds },
		Roster: ros, Board: &board.Board{Pauses: pauses}, Pauses: pauses, Pool: &link.Pool{}, Codec: platform.HeaderCodec{},
		Crashes: &relay.CrashTracker{Meters: &meter.Relay{}, Pauses: pauses}, Meters: &meter.Relay{}, IsBehind: func() bool { return false },
		Budgets: &retry.Budgets{
			Bounds:  func() retry.Bounds { return retry.Bounds{Ratio: retries, Slack: 100 * retries, Window: time.Second} },
			Entries: func() int { return 1 },
		},
	}
}

// waitArrived waits until at least minArrived requests have reached the targets.
func (g *testRelay) waitArrived(t *testing.T, minArrived int) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if arrived, _ := g.countRequests(); arrived >= minArrived {
			return poll.Success()
		}
		return poll.Continue("not all arrived")
	}, poll.WithTimeout(20*time.Second))
}

// publish applies a configuration version whose workspace has the given keys.
func (g *testRelay) publish(version uint64, keys ...string) {
	c := &chestnutstep.Routing{
		Version:     version,
		RequiresKey: true,
		Services:    map[string]*chestnutstep.Service{"shop": {Name: "shop", HealthPath: g.healthPath}},
		Workspaces:  []*chestnutstep.WorkspaceAccess{{Name: "ws", Keys: keys}},
	}
	for name, r := range map[string]chestnutstep.Route{
		"safe":   {Kind: chestnutstep.RouteSafe, MaxAttempts: 2},
		"single": {Kind: chestnutstep.RouteSafe, MaxAttempts: 1},
		"unsafe": {Kind: chestnutstep.RouteUnsafe, MaxAttempts: 2},
		"stream": {Kind: chestnutstep.RouteStream, MaxAttempts: 2},
		"resume": {Kind: chestnutstep.RouteStream, MaxAttempts: 2, Resumable: true},
	} {
		r.Name, r.Host, r.Prefix, r.Timeout = name, host, "/"+name+"/", g.routeTimeout
		r.LatencyObjective = timeout / 2
		if r.Kind == chestnutstep.RouteStream {
			r.Prefix = "/" + name + "/stream/"
		}
		r.Splits = []chestnutstep.Split{{Service: "shop", Weight: 1}}
		c.Routes = append(c.Routes, r)
	}
	c.BuildIndex()
	g.roster.Apply(clock.Now(), chestnutstep.TopicRouting, chestnutstep.Batch{Facts: []chestnutstep.Fact{{
		Kind: chestnutstep.FactRouting, Revision: version, Routing: c,
	}}}, false)
}

// doRequest sends one request on a new connection and returns a summary of the answer.
func (g *testRelay) doRequest(t *testing.T, kind string, headers ...string) string {
	t.Helper()
	g.requestCount++
	id := fmt.Sprintf("req-%d", g.requestCount)
	return send(t, g.server, kind, id, "the body of "+id, headers...)
}

// body sends one request of a kind and returns the body of its answer.
func (g *testRelay) body(t *testing.T, kind string) string {
	t.Helper()
	g.requestCount++
	r, err := http.NewRequest(http.MethodPost, g.server.URL+"/"+kind+"/stream/x", strings.NewReader("body"))
	assert.NilError(t, err)
	r.Host = host
	r.Header.Set("Attempt-Id", fmt.Sprintf("req-%d", g.requestCount))
	r.Header.Set("Credential", key)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	return string(raw)
}

// send sends one request to an entry on a new connection and returns a summary of the answer.
func send(t *testing.T, entry *httptest.Server, kind, id, body string, headers ...string) string {
	t.Helper()
	return sendAs(t, entry, key, kind, id, body, headers...)
}

// sendAs is like send, with the given key.
func sendAs(t *testing.T, entry *httptest.Server, key, kind, id, body string, headers ...string) string {
	t.Helper()
	path := "/" + kind + "/x"
	if kind == "stream" || kind == "resume" {
		path = "/" + kind + "/stream/x"
	}
	c, err := net.Dial("tcp", entry.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Ms: 3000\r\n%sContent-Length: %d\r\n\r\n%s",
		path, host, id, key, strings.Join(headers, ""), len(body), body)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return "no answer"
	}
	raw, err := io.ReadAll(resp.Body)
	out := fmt.Sprint(resp.StatusCode)
	if resp.Header.Get("Server-Signature") != "" {
		out += " signed"
	}
	if resp.Header.Get("Retry-After") != "" {
		out += " come-back"
	}
	switch {
	case err != nil:
		out += " cut"
	case strings.HasSuffix(path, "/stream/x") && resp.StatusCode == http.StatusOK:
		out += " ids" + ids(string(raw))
	case string(raw) == "answer to "+id:
		out += " whole"
	}
	return out
}

// ids returns the event ids of a stream.
func ids(text string) string {
	out := ""
	for _, line := range strings.Split(text, "\n") {
		if id, ok := strings.CutPrefix(line, "id: "); ok {
			out += " " + id
		}
	}
	return out
}

// countRequests returns how many requests arrived at targets, and how many of them ran.
func (g *testRelay) countRequests() (arrived, ran int) {
	for _, x := range g.targets {
		arrived += x.Requests()
		ran += len(x.Runs())
	}
	return arrived, ran
}

// TestAnswers guards against requests that run twice, refusals that wrongly report "not run", and
// incomplete answers that look complete, when targets refuse, fail, break off or answer wrongly in
// the order given by the script. Callers would book a slot twice, or not detect that an answer is
// incomplete.
func TestAnswers(t *testing.T) {
	datadriven.RunTest(t, "testdata/answers", func(t *testing.T, d *datadriven.TestData) string {
		g := newTestRelay(t)
		var kind, order string
		d.ScanArgs(t, "kind", &kind)
		if d.HasArg("order") {
			d.ScanArgs(t, "order", &order)
		}
		var list []stand.Behaviour
		for _, m := range strings.Split(order, "/") {
			if m != "" {
				list = append(list, stand.Behaviour(m))
			}
		}
		g.order.Set(list...)
		out := g.doRequest(t, kind)
		arrived, ran := g.countRequests()
		return fmt.Sprintf("%s; arrived %d, ran %d\n", out, arrived, ran)
	})
}

func newRoster() *roster.Roster { return &roster.Roster{} }

// markLeaving marks targets as leaving.
func (g *testRelay) markLeaving(names ...string) {
	var b chestnutstep.Batch
	for _, name := range names {
		for _, x := range g.targets {
			if x.Name != name {
				continue
			}
			b.Facts = append(b.Facts, chestnutstep.Fact{
				Kind: chestnutstep.FactInstance, Name: name, Revision: 9,
				Instance: &chestnutstep.Instance{ID: name, Service: "shop", Address: x.Address(), Domain: "d", Slots: 8, Leaving: true},
			})
		}
	}
	g.roster.Apply(clock.Now(), chestnutstep.TopicTargets, b, false)
}
