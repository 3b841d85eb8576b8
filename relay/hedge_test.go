package relay_test

import (
	"bytes"
	"context"
	"encoding/json"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"golang.org/x/sys/unix"
	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/hedge"
	"chestnutstep.example/chestnutstep/stand"
)

// hedgeLog collects how hedges ended and why attempts failed, and counts the targets that ended.
type hedgeLog struct {
	mu     sync.Mutex
	won    []string
	failed []string
	ended  int
	// answered, if set, is closed when the caller has its answer; until then, the line of a request that
	// was served is held, and noAnswer counts the lines that were held in vain.
	answered chan struct{}
	noAnswer int
	// onDone, if set, is called with each line of a request that was served.
	onDone func()
}

// Write takes one line of the log.
func (l *hedgeLog) Write(b []byte) (int, error) {
	var line struct {
		Event  event.ID
		Won    string
		Reason string
	}
	if err := json.NewDecoder(bytes.NewReader(b)).Decode(&line); err != nil {
		return 0, err
	}
	l.mu.Lock()
	defer l.mu.Unlock()
	if line.Event == event.RelayDone && l.answered != nil {
		select {
		case <-l.answered:
		case <-time.After(stallTimeout / 2):
			l.noAnswer++
		}
	}
	if line.Event == event.RelayDone && l.onDone != nil {
		l.onDone()
	}
	switch line.Event {
	case event.RelayHedged:
		l.won = append(l.won, line.Won)
	case event.RelayFailed:
		l.failed = append(l.failed, line.Reason)
	case event.TargetEnded:
		l.ended++
	}
	return len(b), nil
}

// newHedged returns a testRelay that hedges after 50 ms, so that the first target has the request by then.
func newHedged(t *testing.T, ratio float64) (*testRelay, *hedgeLog) {
	t.Helper()
	return newHedgedOf(t, ratio, "i-a", "i-b", "i-c")
}

// newHedgedOf is like newHedged, with the named targets.
func newHedgedOf(t *testing.T, ratio float64, names ...string) (*testRelay, *hedgeLog) {
	t.Helper()
	g, l := newTestRelayOf(t, 3*stallTimeout, names...), &hedgeLog{}
	g.relay.Log = &event.Log{Out: l}
	g.relay.Crashes.Log = g.relay.Log
	g.relay.Hedger = &hedge.Hedger{Ratio: ratio}
	for range 30 {
		for _, route := range []string{"safe", "single", "unsafe", "stream", "resume"} {
			g.relay.Hedger.Observe(clock.Now(), route, 50*time.Millisecond)
		}
	}
	return g, l
}

// awaitIdle waits until no request is in progress at the relay.
func (g *testRelay) awaitIdle(t *testing.T) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if g.relay.InFlight() == 0 {
			return poll.Success()
		}
		return poll.Continue("requests in progress")
	}, poll.WithTimeout(stallTimeout), poll.WithDelay(time.Millisecond))
}

// TestHedges guards against answers that are mixed, lost or wrongly final when a request runs at two
// targets at once: testdata/hedges has which target fails when. After each, two plain requests must
// get their own answers, not a late one of a loser.
func TestHedges(t *testing.T) {
	datadriven.RunTest(t, "testdata/hedges", func(t *testing.T, d *datadriven.TestData) string {
		kind, order, ratio := "", "", 1.0
		d.ScanArgs(t, "kind", &kind)
		d.ScanArgs(t, "order", &order)
		d.MaybeScanArgs(t, "ratio", &ratio)
		g, l := newHedged(t, ratio)
		var list []stand.Behaviour
		for _, b := range strings.Split(strings.ReplaceAll(order, "_", " "), "/") {
			list = append(list, stand.Behaviour(b))
		}
		g.order.Set(list...)
		out := g.doRequest(t, kind)
		g.awaitIdle(t)
		arrived, _ := g.countRequests()
		won := append([]string{}, l.won...)
		g.relay.Hedger = nil
		for range 2 {
			assert.Equal(t, g.doRequest(t, "safe"), "200 signed whole")
		}
		return fmt.Sprintf("%s; arrived %d, hedges %v\n", out, arrived, won)
	})
}

// TestCallerLeavesRace guards against targets that go on for a caller who left while both worked, and
// against a loser that goes on after the other has answered.
func TestCallerLeavesRace(t *testing.T) {
	for _, order := range [][]stand.Behaviour{{stand.Hangs, stand.Hangs}, {stand.Hangs, stand.Normal}} {
		g, _ := newHedged(t, 1)
		g.order.Set(order...)
		ctx, cancel := context.WithCancel(context.Background())
		r, err := http.NewRequestWithContext(ctx, http.MethodPost, g.server.URL+"/safe/x", strings.NewReader("b"))
		assert.NilError(t, err)
		r.Host = host
		r.Header.Set("Attempt-Id", "leaver")
		r.Header.Set("Credential", key)
		done := make(chan struct{})
		go func() {
			defer close(done)
			if resp, err := http.DefaultClient.Do(r); err == nil {
				_, _ = io.Copy(io.Discard, resp.Body) // the connection stays open
				_ = resp.Body.Close()
			}
		}()
		g.waitArrived(t, 2)
		if order[1] == stand.Hangs {
			cancel()
		}
		<-done
		poll.WaitOn(t, func(poll.LogT) poll.Result {
			left := 0
			for _, x := range g.targets {
				for _, run := range x.Runs() {
					if run.CallerLeft || run.Ended {
						left++
					}
				}
			}
			if left == 2 {
				return poll.Success()
			}
			return poll.Continue("a target works on")
		}, poll.WithTimeout(stallTimeout), poll.WithDelay(5*time.Millisecond))
		g.awaitIdle(t)
		cancel()
	}
}

// TestLoserIsNoFailure guards against targets that are taken for dead or suspect, and contents that are
// accused, because their attempts were canceled.
func TestLoserIsNoFailure(t *testing.T) {
	g, l := newHedged(t, 1)
	for i := range 20 {
		g.order.Set(stand.Hangs, stand.Normal)
		assert.Equal(t, send(t, g.server, "safe", fmt.Sprint("req-", i), "same body"), "200 signed whole")
		g.awaitIdle(t)
	}
	assert.Equal(t, len(l.won), 20)
	for _, x := range g.targets {
		assert.Assert(t, len(x.Runs()) > 5, "target %s gets nothing any more", x.Name)
	}
}

// holdingCodec holds each answer that is no signed 200 until release is closed.
type holdingCodec struct {
	chestnutstep.HeaderCodec
	release chan struct{}
}

func (c holdingCodec) TargetHeaders(status int, h http.Header) chestnutstep.TargetHeaders {
	got := c.HeaderCodec.TargetHeaders(status, h)
	if status != http.StatusOK || !got.IsSigned {
		<-c.release
	}
	return got
}

// TestLoserKeepsItsOwnFailure guards against failures that are taken for a cancellation because they arrive
// while the answer of the other target is sent: a full target would get the next request, too.
func TestLoserKeepsItsOwnFailure(t *testing.T) {
	for first, reason := range map[stand.Behaviour]string{stand.Shed: "full", stand.Fails: "crashed", stand.Unsigned: "short"} {
		g, l := newHedged(t, 1)
		codec := holdingCodec{g.relay.Codec, make(chan struct{})}
		g.relay.Codec = codec
		g.order.Set(first, stand.Normal)
		assert.Equal(t, g.doRequest(t, "safe"), "200 signed whole")
		close(codec.release)
		g.awaitIdle(t)
		assert.DeepEqual(t, l.won, []string{"second"})
		assert.DeepEqual(t, l.failed, []string{reason})
		assert.Equal(t, g.relay.Hedger.IsShort(clock.Now(), "shop"), first == stand.Shed)
	}
}

// addFullListener adds a target that accepts no connection and refuses none, as its backlog is full.
func (g *testRelay) addFullListener(t *testing.T) {
	t.Helper()
	fd, err := unix.Socket(unix.AF_INET, unix.SOCK_STREAM|unix.SOCK_CLOEXEC, 0)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = unix.Close(fd) })
	assert.NilError(t, unix.Bind(fd, &unix.SockaddrInet4{Addr: [4]byte{127, 0, 0, 1}}))
	assert.NilError(t, unix.Listen(fd, 0))
	name, err := unix.Getsockname(fd)
	assert.NilError(t, err)
	address := fmt.Sprintf("127.0.0.1:%d", name.(*unix.SockaddrInet4).Port)
	for range 2 {
		if c, err := net.DialTimeout("tcp", address, 50*time.Millisecond); err == nil {
			t.Cleanup(func() { _ = c.Close() })
		}
	}
	g.roster.Apply(clock.Now(), chestnutstep.TopicTargets, chestnutstep.Batch{Facts: []chestnutstep.Fact{{
		Kind: chestnutstep.FactInstance, Name: "i-full", Revision: 9,
		Instance: &chestnutstep.Instance{ID: "i-full", Service: "shop", Address: address, Domain: "d", Slots: 8, Build: "1"},
	}}}, false)
}

// TestCanceledDialIsNoRefusal guards against a target that counts as unreachable because its connection was
// being opened when the other target answered.
func TestCanceledDialIsNoRefusal(t *testing.T) {
	g, l := newHedgedOf(t, 1, "i-a")
	g.addFullListener(t)
	g.order.Set(stand.Slow) // less than a dial may take
	assert.Equal(t, g.doRequest(t, "safe"), "200 signed whole")
	g.awaitIdle(t)
	assert.Equal(t, len(l.won), 1)
	assert.Equal(t, len(l.failed), 0, "%v", l.failed)
}

// TestAnswerIsSentAtOnce guards against an answer that stays in the buffer of its connection while the entry
// awaits the proof of the other target's end.
func TestAnswerIsSentAtOnce(t *testing.T) {
	for _, order := range [][]stand.Behaviour{{stand.Hangs, stand.Normal}, {stand.Late + stand.Resets, stand.Late + stand.Late + stand.Normal}} {
		g, l := newHedged(t, 1)
		l.answered = make(chan struct{})
		g.order.Set(order...)
		assert.Equal(t, g.doRequest(t, "safe"), "200 signed whole")
		close(l.answered)
		g.awaitIdle(t)
		assert.Equal(t, l.noAnswer, 0)
		assert.DeepEqual(t, l.won, []string{"second"})
	}
}

// panickingCodec panics at each answer with status 500.
type panickingCodec struct{ chestnutstep.HeaderCodec }

func (c panickingCodec) TargetHeaders(status int, h http.Header) chestnutstep.TargetHeaders {
	if status == http.StatusInternalServerError {
		panic("status 500")
	}
	return c.HeaderCodec.TargetHeaders(status, h)
}

// TestPanicEndsOnlyItsAttempt guards against a fault in one attempt that ends the entry with all its requests.
func TestPanicEndsOnlyItsAttempt(t *testing.T) {
	for _, c := range []struct {
		order []stand.Behaviour
		want  string
	}{
		{[]stand.Behaviour{stand.Fails, stand.Normal}, "200 signed whole"},
		{[]stand.Behaviour{stand.Late + stand.Fails, stand.Late + stand.Late + stand.Normal}, "200 signed whole"},
		{[]stand.Behaviour{stand.Late + stand.Fails, stand.Fails}, "502"},
	} {
		g, l := newHedged(t, 1)
		g.relay.Codec = panickingCodec{g.relay.Codec}
		g.order.Set(c.order...)
		assert.Equal(t, g.doRequest(t, "safe"), c.want)
		g.awaitIdle(t)
		assert.Assert(t, len(l.failed) > 0 && l.failed[0] == "link", "%v", l.failed)
	}
}

// TestContentIsClearedBeforeItsEndIsLogged guards against a content that is accused of the end of a target after the
// log says that it was served, without hedges too.
func TestContentIsClearedBeforeItsEndIsLogged(t *testing.T) {
	g, l := newHedged(t, 1)
	g.relay.Hedger = nil
	content, lines, suspect := crash.Fingerprint("ws", "POST /safe/x", []byte("body")), 0, false
	l.onDone = func() {
		lines++
		suspect = g.relay.Crashes.IsSuspect(clock.Now(), []uint64{content})
	}
	g.order.Set(stand.Hangs, stand.Late+stand.Normal)
	got := make(chan string)
	go func() { got <- send(t, g.server, "safe", "req-dies", "body") }()
	g.waitArrived(t, 1)
	for _, x := range g.targets {
		if len(x.Runs()) > 0 {
			x.Kill(true)
		}
	}
	g.waitArrived(t, 2)
	assert.Assert(t, g.relay.Crashes.IsSuspect(clock.Now(), []uint64{content}), "the end of the target was not seen")
	assert.Equal(t, <-got, "200 signed whole")
	g.awaitIdle(t)
	assert.Equal(t, lines, 1)
	assert.Assert(t, !suspect)
}

// TestTargetDiesWhileRaced guards against a death that is not seen because another target answers, and against
// a content that stays accused of it although it was served.
func TestTargetDiesWhileRaced(t *testing.T) {
	g, l := newHedged(t, 1)
	g.order.Set(stand.Hangs, stand.Late+stand.Late+stand.Late+stand.Normal)
	got := make(chan string)
	go func() { got <- send(t, g.server, "safe", "req-dies", "body") }()
	g.waitArrived(t, 2)
	for _, x := range g.targets {
		if len(x.Runs()) > 0 { // the second target notes its run only after its delay
			x.Kill(true)
		}
	}
	assert.Equal(t, <-got, "200 signed whole")
	g.awaitIdle(t)
	assert.DeepEqual(t, l.won, []string{"second"})
	assert.Equal(t, l.ended, 1)
	content := crash.Fingerprint("ws", "POST /safe/x", []byte("body"))
	assert.Assert(t, !g.relay.Crashes.IsSuspect(clock.Now(), []uint64{content}))
}
