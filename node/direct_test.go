package node_test

import (
	"bytes"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"strings"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/node"
	"chestnutstep.example/chestnutstep/platform"
	"chestnutstep.example/chestnutstep/stand"
)

// direct is an entry without agents that runs in the test process.
type direct struct {
	settings    *config.DirectSettings
	storeServer *stand.StoreServer
	out         *blockableLog
	stop        context.CancelFunc
	done        chan error
}

// blockableLog is a log whose writes block while the test holds its mutex.
type blockableLog struct {
	mu      sync.Mutex
	written bytes.Buffer
}

func (p *blockableLog) Write(b []byte) (int, error) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.written.Write(b)
}

func (p *blockableLog) text() string {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.written.String()
}

func directSettings(t *testing.T, store string, seeds ...string) *config.DirectSettings {
	t.Helper()
	return &config.DirectSettings{
		Name: "entry", IP: node.OwnHost, Domain: "z", CallerAddr: node.FreeAddr(t), ReadyAddr: node.FreeAddr(t), ControlAddr: node.FreeAddr(t),
		PeerAddr: node.FreeAddr(t), MetricsAddr: node.FreeAddr(t), Seeds: seeds, StoreAddr: store, Bootstrap: true,
		Bounds: config.Bounds{
			GracePeriod: 6 * time.Second, MaxRevokeTime: 2 * time.Second,
			RetryRatio: 0.2, RetrySlack: 50, RetryWindow: 10 * time.Second, ColdFactor: 1.5, ColdSlack: 5, CapFactor: 2,
		},
	}
}

func startDirect(t *testing.T, store *stand.Store, seeds ...string) *direct {
	t.Helper()
	d := &direct{storeServer: store.NewServer(), out: &blockableLog{}, done: make(chan error, 1)}
	t.Cleanup(d.storeServer.Close)
	d.settings = directSettings(t, d.storeServer.Address(), seeds...)
	d.run(t, nil)
	return d
}

func (d *direct) run(t *testing.T, reloader *config.Reloader) {
	t.Helper()
	var ctx context.Context
	ctx, d.stop = context.WithCancel(context.Background())
	t.Cleanup(d.stop)
	source := platform.NewStore(d.storeServer.Address(), link.Dial)
	n := &node.Direct{
		Settings: d.settings, Source: source.TopicSource, Codec: platform.HeaderCodec{}, Out: d.out, Reloader: reloader, Decoder: source,
	}
	go func() { d.done <- n.Run(ctx) }()
	waitFor(t, func() bool { return d.ready() == http.StatusOK }, "the entry is ready")
}

func waitFor(t *testing.T, ok func() bool, what string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(10*time.Millisecond))
}

func (d *direct) ready() int { return status(http.Get("http://" + d.settings.ReadyAddr + "/anything")) }

func status(resp *http.Response, err error) int {
	if err != nil {
		return 0
	}
	defer resp.Body.Close()
	_, _ = io.Copy(io.Discard, resp.Body)
	return resp.StatusCode
}

// post sends one request on a new connection.
func (d *direct) post(path, key, id string) (*http.Response, error) {
	r, err := http.NewRequest(http.MethodPost, "http://"+d.settings.CallerAddr+path, strings.NewReader("body"))
	if err != nil {
		return nil, err
	}
	r.Host = "shop.example"
	r.Close = true
	r.Header.Set("Attempt-Id", id)
	r.Header.Set("Credential", key)
	r.Header.Set("Deadline-Ms", "3000")
	return http.DefaultClient.Do(r)
}

// publish writes a configuration with the given keys, and a list of targets.
func publish(store *stand.Store, version int, keys []string, targets ...*stand.Target) {
	route := func(name, kind string) map[string]any {
		return map[string]any{
			"resumable": name == "tell/stream",
			"name":      name, "host": "shop.example", "prefix": "/" + name + "/", "type": kind, "service": "s",
			"timeoutMs": 4000, "latencyTargetMs": 200, "maxAttempts": 2,
		}
	}
	store.Put("op/config", map[string]any{
		"version":  version,
		"routes":   []any{route("book", "unsafe"), route("look", "safe"), route("talk/stream", "stream"), route("tell/stream", "stream")},
		"services": []any{map[string]any{"name": "s", "healthPath": "/healthz", "maxConnections": 100}},
		"limits":   map[string]any{"maxBodyBytes": 100000, "idleTimeoutMs": 5000},
		"tenants":  []any{map[string]any{"name": "ws", "apiKeys": keys}},
	})
	for _, x := range targets {
		store.PutTarget(x.Name, stand.TargetEntry{Service: "s", Address: x.Address(), Zone: "z", Slots: 8, State: "ready", Version: x.Build})
	}
}

func newTarget(t *testing.T, name string) *stand.Target {
	t.Helper()
	x := stand.NewTarget(name)
	t.Cleanup(x.Close)
	return x
}

// TestDirectCutOffFromTheStore guards against an entry that accepts a revoked key because it can
// reach neither the store nor a peer. It must reject requests before the maximum revocation time
// has passed, and serve again once the store is reachable.
func TestDirectCutOffFromTheStore(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	publish(store, 1, []string{"k"}, x)
	d := startDirect(t, store)
	assert.Equal(t, status(d.post("/book/1", "k", "a")), http.StatusOK)
	d.storeServer.SetFailure(stand.Unresponsive)
	publish(store, 2, []string{"other"})
	revoked := time.Now()
	for time.Since(revoked) < 3*time.Second {
		sent := time.Now()
		got := status(d.post("/book/1", "k", fmt.Sprint("r", sent.UnixNano())))
		late := sent.Sub(revoked) > d.settings.Bounds.MaxRevokeTime
		assert.Assert(t, !late || got == http.StatusServiceUnavailable, "%d after %s", got, sent.Sub(revoked))
		time.Sleep(20 * time.Millisecond)
	}
	assert.Equal(t, d.ready(), http.StatusServiceUnavailable)
	d.storeServer.SetFailure(stand.NoFailure)
	waitFor(t, func() bool { return status(d.post("/book/1", "k", "b")) == http.StatusUnauthorized }, "the key is rejected")
	assert.Equal(t, status(d.post("/book/1", "other", "c")), http.StatusOK)
	assert.Assert(t, strings.Contains(d.out.text(), `"source_lost"`))
	assert.Assert(t, strings.Contains(d.out.text(), `"source_regained"`))
}

// TestDirectFollowsPeersWithoutStore guards against failed requests at an entry that the store
// rejects while it serves another one. The rejected entry uses the reports of its peer as proof
// that the configuration is current, and reads newer versions from the peer.
func TestDirectFollowsPeersWithoutStore(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	publish(store, 1, []string{"k"}, x)
	first := startDirect(t, store)
	second := startDirect(t, store, first.settings.PeerAddr)
	waitFor(t, func() bool { return strings.Contains(second.out.text(), `"peers":1`) }, "the entries have found each other")
	second.storeServer.SetFailure(stand.Unavailable)
	for range 30 {
		assert.Equal(t, status(second.post("/book/1", "k", fmt.Sprint("p", time.Now().UnixNano()))), http.StatusOK)
		time.Sleep(100 * time.Millisecond)
	}
	publish(store, 2, []string{"new"})
	waitFor(t, func() bool {
		return status(second.post("/book/1", "new", fmt.Sprint("n", time.Now().UnixNano()))) == http.StatusOK
	}, "the new version is read from the peer")
	assert.Equal(t, status(second.post("/book/1", "k", "old")), http.StatusUnauthorized)
}

// TestDirectStops guards against a planned stop that interrupts responses in progress or rejects
// connections before the balancer has noticed the stop.
func TestDirectStops(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	x.EventCount, x.EventInterval = 100, 15*time.Millisecond
	publish(store, 1, []string{"k"}, x)
	d := startDirect(t, store)
	resp, err := d.post("/talk/stream/x", "k", "s")
	assert.NilError(t, err)
	defer resp.Body.Close()
	d.stop()
	waitFor(t, func() bool { return d.ready() == http.StatusServiceUnavailable }, "the entry reports that it is not ready")
	late, err := net.Dial("tcp", d.settings.CallerAddr)
	assert.NilError(t, err)
	defer late.Close()
	fmt.Fprint(late, "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: late\r\nCredential: k\r\nContent-Length: 0\r\n\r\n")
	answer, err := io.ReadAll(late)
	assert.NilError(t, err, "the connection is closed after the response")
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 200"), "the balancer has not noticed yet: %s", answer)
	assert.Assert(t, strings.Contains(string(answer), "Connection: close"))
	raw, err := io.ReadAll(resp.Body)
	assert.NilError(t, err)
	assert.Assert(t, strings.Contains(string(raw), "id: 100\n"))
	assert.NilError(t, <-d.done)
	assert.Assert(t, strings.Contains(d.out.text(), `"process_stop"`))
}

// TestDirectStopRefusesLateRequests guards against requests on channels that were opened before a planned stop was noticed,
// and used late in the grace period: a target would run them, and the end of the process would cut them.
func TestDirectStopRefusesLateRequests(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	publish(store, 1, []string{"k"}, x)
	d := startDirect(t, store)
	assert.Equal(t, status(d.post("/book/1", "k", "first")), http.StatusOK)
	x.SetBehaviour(stand.Hangs)
	d.stop()
	waitFor(t, func() bool { return d.ready() == http.StatusServiceUnavailable }, "the entry reports that it is not ready")
	var late []net.Conn
	for range 3 {
		c, err := net.Dial("tcp", d.settings.CallerAddr)
		assert.NilError(t, err)
		defer c.Close()
		late = append(late, c)
	}
	const head = "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: late\r\nCredential: k\r\nContent-Length: 4\r\n\r\n"
	fmt.Fprint(late[0], head)
	waitFor(t, func() bool { return !d.accepts() }, "the entry accepts no connections")
	for i, c := range late {
		if i > 0 {
			fmt.Fprint(c, head)
		}
		fmt.Fprint(c, "body")
		answer, err := io.ReadAll(c)
		assert.NilError(t, err)
		assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 503"), "%s", answer)
		assert.Assert(t, strings.Contains(string(answer), "Retry-After"), "%s", answer)
	}
	assert.Equal(t, x.Requests(), 1, "none of them has reached the target")
	assert.NilError(t, <-d.done)
}

// TestDirectStopAnswersAtItsEnd guards against requests that a target still runs at the end of the grace period, and that
// end with their channel in place of an answer.
func TestDirectStopAnswersAtItsEnd(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	publish(store, 1, []string{"k"}, x)
	d := &direct{storeServer: store.NewServer(), out: &blockableLog{}, done: make(chan error, 1)}
	t.Cleanup(d.storeServer.Close)
	d.settings = directSettings(t, d.storeServer.Address())
	d.settings.Bounds.GracePeriod = 3500 * time.Millisecond // shorter than the timeout of the route
	d.run(t, nil)
	assert.Equal(t, status(d.post("/book/1", "k", "first")), http.StatusOK)
	x.SetBehaviour(stand.Hangs)
	c, err := net.Dial("tcp", d.settings.CallerAddr)
	assert.NilError(t, err)
	defer c.Close()
	fmt.Fprint(c, "POST /book/1 HTTP/1.1\r\nHost: shop.example\r\nAttempt-Id: long\r\nCredential: k\r\nContent-Length: 0\r\n\r\n")
	waitFor(t, func() bool { return x.Requests() == 2 }, "the target runs the request")
	d.stop()
	assert.NilError(t, <-d.done)
	assert.NilError(t, c.SetReadDeadline(time.Now().Add(100*time.Millisecond))) // the end of the process would close it now
	answer, err := io.ReadAll(c)
	assert.NilError(t, err)
	assert.Assert(t, strings.HasPrefix(string(answer), "HTTP/1.1 504"), "%s", answer)
}

// accepts reports whether the entry accepts a connection.
func (d *direct) accepts() bool {
	c, err := net.Dial("tcp", d.settings.CallerAddr)
	if err != nil {
		return false
	}
	_ = c.Close()
	return true
}

// TestDirectLogReaderStops guards against requests that wait for their log lines while the reader
// of standard output is stopped for five seconds.
func TestDirectLogReaderStops(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	publish(store, 1, []string{"k"}, x)
	d := startDirect(t, store)
	d.out.mu.Lock()
	maxLatency := time.Duration(0)
	for end := time.Now().Add(5 * time.Second); time.Now().Before(end); {
		began := time.Now()
		assert.Equal(t, status(d.post("/look/1", "k", fmt.Sprint("l", began.UnixNano()))), http.StatusOK)
		maxLatency = max(maxLatency, time.Since(began))
	}
	d.out.mu.Unlock()
	assert.Assert(t, maxLatency < 3*time.Second, "%s", maxLatency)
}

// TestDirectReloads guards against a settings file that changes without a signal and is not
// reloaded, and against broken settings taking effect. The error in the broken ones is logged.
func TestDirectReloads(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	publish(store, 1, []string{"k"}, x)
	d := &direct{storeServer: store.NewServer(), out: &blockableLog{}, done: make(chan error, 1)}
	t.Cleanup(d.storeServer.Close)
	d.settings = directSettings(t, d.storeServer.Address())
	file := filepath.Join(t.TempDir(), "settings")
	assert.NilError(t, os.WriteFile(file, []byte("first"), 0o600))
	d.run(t, &config.Reloader{
		Path: file, Interval: 20 * time.Millisecond, Read: []byte("first"),
		Parse: func(path string) (*config.DirectSettings, error) {
			raw, err := os.ReadFile(path)
			if err != nil || string(raw) == "broken" {
				return nil, fmt.Errorf("field x: broken")
			}
			s := *d.settings
			s.Bounds.MaxRevokeTime = time.Hour
			return &s, nil
		},
	})
	assert.NilError(t, os.WriteFile(file, []byte("broken"), 0o600))
	waitFor(t, func() bool { return strings.Contains(d.out.text(), "field x: broken") }, "the error is logged")
	assert.NilError(t, os.WriteFile(file, []byte("second"), 0o600))
	waitFor(t, func() bool { return strings.Contains(d.out.text(), `"revoke":"1h0m0s"`) }, "the bounds are in force")
	assert.Equal(t, status(d.post("/book/1", "k", "a")), http.StatusOK)
}

// slowList is a source whose list of targets is delayed until it is released.
type slowList struct {
	chestnutstep.Source
	called  chan struct{}
	release chan struct{}
}

func (s *slowList) topic(store *platform.Store) func(chestnutstep.Topic) chestnutstep.Source {
	return func(t chestnutstep.Topic) chestnutstep.Source {
		if t == chestnutstep.TopicTargets {
			return s
		}
		return store.TopicSource(t)
	}
}

func (s *slowList) List(ctx context.Context) (chestnutstep.Batch, error) {
	close(s.called)
	<-s.release
	return s.Source.List(ctx)
}

// TestDirectIsNotReadyWithoutTargets guards against an entry that accepts callers before it has
// read the list of targets, and rejects their requests although all targets are healthy.
func TestDirectIsNotReadyWithoutTargets(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	publish(store, 1, []string{"k"}, x)
	storeServer := store.NewServer()
	t.Cleanup(storeServer.Close)
	source := platform.NewStore(storeServer.Address(), link.Dial)
	slow := &slowList{Source: source.TopicSource(chestnutstep.TopicTargets), called: make(chan struct{}), release: make(chan struct{})}
	d := &direct{settings: directSettings(t, storeServer.Address()), storeServer: storeServer, out: &blockableLog{}}
	n := &node.Direct{Settings: d.settings, Source: slow.topic(source), Codec: platform.HeaderCodec{}, Out: d.out}
	ctx, stop := context.WithCancel(context.Background())
	t.Cleanup(stop)
	go func() { _ = n.Run(ctx) }()
	<-slow.called
	for range 10 {
		assert.Equal(t, d.ready(), http.StatusServiceUnavailable)
		time.Sleep(10 * time.Millisecond)
	}
	close(slow.release)
	waitFor(t, func() bool { return d.ready() == http.StatusOK }, "the entry is ready")
	assert.Equal(t, status(d.post("/book/1", "k", "a")), http.StatusOK)
}

// TestDirectMetrics guards against requests missing in the metrics of an entry.
func TestDirectMetrics(t *testing.T) {
	store, x := stand.NewStore(), newTarget(t, "i-a")
	publish(store, 1, []string{"k"}, x)
	d := startDirect(t, store)
	assert.Equal(t, status(d.post("/book/1", "k", "a")), http.StatusOK)
	waitFor(t, func() bool {
		resp, err := http.Get("http://" + d.settings.MetricsAddr + "/metrics")
		if err != nil {
			return false
		}
		defer resp.Body.Close()
		raw, _ := io.ReadAll(resp.Body)
		text := string(raw)
		return strings.Contains(text, `chestnutstep_relay_requests_total{kind="unsafe",result="ok"} 1`) &&
			strings.Contains(text, "chestnutstep_relay_answer_seconds_bucket") && strings.Contains(text, "chestnutstep_relay_version 1")
	}, "the request is counted")
}
