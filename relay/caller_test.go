package relay_test

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/stand"
)

// An entry is cut off from the source, or its host was suspended, while a key is
// taken away. It would go on to let that key in; the workspace's owner, who took it
// away after a leak, would see the thief book slots.
func TestKeyNotProvedCurrent(t *testing.T) {
	g := newTestRelay(t)
	assert.Equal(t, g.doRequest(t, "unsafe"), "200 signed whole")
	bounds := config.Bounds{MaxRevokeTime: time.Millisecond}
	g.relay.Bounds = func() config.Bounds { return bounds }
	time.Sleep(5 * time.Millisecond)
	assert.Equal(t, g.doRequest(t, "unsafe"), "503 come-back")
	_, ran := g.countRequests()
	assert.Equal(t, ran, 1)
}

// The proof was fresh when the request came, and is too old when its second try is
// due: the first target was slow to refuse. The check stands before each send.
func TestKeyIsCheckedBeforeEachSend(t *testing.T) {
	g := newTestRelay(t)
	for _, x := range g.targets {
		x.Behave(stand.Resets)
	}
	g.relay.Bounds = func() config.Bounds {
		if arrived, _ := g.countRequests(); arrived > 0 {
			return config.Bounds{MaxRevokeTime: time.Nanosecond}
		}
		return config.Bounds{MaxRevokeTime: time.Hour}
	}
	assert.Equal(t, g.doRequest(t, "safe"), "502")
	arrived, _ := g.countRequests()
	assert.Equal(t, arrived, 1)
}

// A key that a new version took away is refused at once, and one that it added is
// let in. An entry that knows from a peer that a newer version exists does not
// refuse for good what that version may allow.
func TestKeysOfVersions(t *testing.T) {
	g := newTestRelay(t)
	g.publish(2, "other")
	assert.Equal(t, g.doRequest(t, "unsafe"), "401")
	g.relay.IsBehind = func() bool { return true }
	assert.Equal(t, g.doRequest(t, "unsafe"), "503 come-back")
	g.relay.IsBehind = func() bool { return false }
	g.publish(3, key)
	assert.Equal(t, g.doRequest(t, "unsafe"), "200 signed whole")
	// A version never goes back, whatever comes late.
	g.publish(2, "other")
	assert.Equal(t, g.doRequest(t, "unsafe"), "200 signed whole")
}

// A caller sends headers that only the fleet may set, such as another workspace's
// name or a hold on a target's memory. Passed on, it would book in another's name.
func TestCallerCannotSetInternalHeaders(t *testing.T) {
	g := newTestRelay(t)
	got := g.doRequest(t, "unsafe", "Tenant: rich\r\n", "Hold: h1\r\n", "Kv-From: 1.2.3.4:5/x\r\n", "Pin-Ms: 9\r\n",
		"Kv-Backup: 1.2.3.4:5\r\n", "Urgency-Level: 0\r\n", "X-Own: 1\r\n", "Connection: X-Hop\r\n", "X-Hop: 1\r\n")
	assert.Equal(t, got, "200 signed whole")
	for _, x := range g.targets {
		for _, r := range x.Runs() {
			assert.Equal(t, r.Workspace, "ws")
			assert.Equal(t, r.Body, "the body of req-1")
			assert.Equal(t, r.Header.Get("X-Own"), "1")
			for _, name := range []string{"Hold", "Kv-From", "Pin-Ms", "Kv-Backup", "Urgency-Level", "Credential", "X-Hop"} {
				assert.Equal(t, r.Header.Get(name), "", name)
			}
		}
	}
}

// A caller leaves in the middle of its stream. A target that works on for nobody
// keeps a slot from those who wait.
func TestCallerLeaves(t *testing.T) {
	g := newTestRelay(t)
	for _, x := range g.targets {
		x.Events, x.Pause = 1000, 5*time.Millisecond
	}
	ctx, cancel := context.WithCancel(context.Background())
	r, err := http.NewRequestWithContext(ctx, http.MethodPost, g.server.URL+"/stream/stream/x", strings.NewReader("b"))
	assert.NilError(t, err)
	r.Host = host
	r.Header.Set("Attempt-Id", "leaver")
	r.Header.Set("Credential", key)
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	_, err = bufio.NewReader(resp.Body).ReadString('\n')
	assert.NilError(t, err)
	cancel()
	_ = resp.Body.Close()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		for _, x := range g.targets {
			for _, run := range x.Runs() {
				if run.Left {
					return poll.Success()
				}
			}
		}
		return poll.Continue("the target works on")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// A target sends a second answer behind a whole one. On a connection that is used
// again, the next caller would be given the answer to somebody else's request.
func TestSecondAnswerReachesNobody(t *testing.T) {
	requestAfterSecondAnswers(t, newTestRelay(t))
}

// TestSecondAnswerDelaysNoRequest guards against a request that waits for its answer behind the second answer of another.
func TestSecondAnswerDelaysNoRequest(t *testing.T) {
	requestAfterSecondAnswers(t, newTestRelayWithTimeout(t, stallTimeout))
}

func requestAfterSecondAnswers(t *testing.T, g *testRelay) {
	t.Helper()
	for _, x := range g.targets {
		x.Behave(stand.Extra)
	}
	for range 12 {
		got := g.doRequest(t, "safe")
		assert.Assert(t, got == "200 signed whole" || strings.HasPrefix(got, "502"), got)
	}
}

// A content crashes each target that runs it, and its caller sends it again under
// new ids. Without a memory of it one caller takes a whole service down.
func TestCrashingContentIsStopped(t *testing.T) {
	g := newTestRelay(t)
	send := func(id string) int {
		r, err := http.NewRequest(http.MethodPost, g.server.URL+"/unsafe/poison", strings.NewReader("poison"))
		assert.NilError(t, err)
		r.Host = host
		r.Header.Set("Attempt-Id", id)
		r.Header.Set("Credential", key)
		resp, err := http.DefaultClient.Do(r)
		assert.NilError(t, err)
		defer resp.Body.Close()
		return resp.StatusCode
	}
	for _, x := range g.targets {
		x.Deadly = &stand.Deadly{Text: "poison", Step: stand.AtAccept, Reset: true}
	}
	statuses := ""
	for i := range 6 {
		statuses += fmt.Sprint(send(fmt.Sprintf("p-%d", i)), " ")
	}
	_, ran := g.countRequests()
	assert.Equal(t, statuses, "502 502 503 503 503 503 ")
	assert.Equal(t, ran, 2)
}

// A request is smuggled in the body of another. Read as a request of its own it
// would run without a key.
func TestBodyIsNotParsedAsRequest(t *testing.T) {
	g := newTestRelay(t)
	c, err := net.Dial("tcp", g.server.Listener.Addr().String())
	assert.NilError(t, err)
	defer c.Close()
	inner := "POST /unsafe/inner HTTP/1.1\r\nHost: " + host + "\r\nAttempt-Id: inner\r\nContent-Length: 0\r\n\r\n"
	fmt.Fprintf(c, "POST /unsafe/x HTTP/1.1\r\nHost: %s\r\nAttempt-Id: outer\r\nCredential: %s\r\nTransfer-Encoding: chunked\r\nConnection: close\r\n\r\n%x\r\n%s\r\n0\r\n\r\n",
		host, key, len(inner), inner)
	_, err = io.ReadAll(c)
	assert.NilError(t, err)
	_, ran := g.countRequests()
	assert.Equal(t, ran, 1)
	for _, x := range g.targets {
		for _, run := range x.Runs() {
			assert.Equal(t, run.Body, inner)
		}
	}
}

// A process that knows no configuration can't tell a wrong path or key from a right
// one: "not found" would make callers give up for good.
func TestNoConfiguration(t *testing.T) {
	g := newTestRelay(t)
	empty := *g
	empty.relay.Roster = newRoster()
	assert.Equal(t, empty.doRequest(t, "unsafe"), "503 come-back")
}

// Targets that are leaving end soon: a request sent there now is cut off in the
// middle. Where all leave, the refusal comes at once.
func TestLeavingTargetsGetNothing(t *testing.T) {
	g := newTestRelay(t)
	g.markLeaving("i-a", "i-b")
	for range 5 {
		assert.Equal(t, g.doRequest(t, "safe"), "200 signed whole")
	}
	assert.Equal(t, len(g.targets[0].Runs())+len(g.targets[1].Runs()), 0)
	g.markLeaving("i-a", "i-b", "i-c")
	assert.Equal(t, g.doRequest(t, "safe"), "503 come-back")
}

// A workspace may only be served in its own region. Sent elsewhere, its customers'
// data leave the country.
func TestRegions(t *testing.T) {
	g := newTestRelay(t)
	g.relay.Regions = map[string]string{"d": "north"}
	g.roster.View().Routing.Workspaces[0].AllowedRegions = []string{"south"}
	assert.Equal(t, g.doRequest(t, "safe"), "503 come-back")
	g.roster.View().Routing.Workspaces[0].AllowedRegions = []string{"south", "north"}
	assert.Equal(t, g.doRequest(t, "safe"), "200 signed whole")
	g.roster.View().Routing.MatchRoute(host, "/safe/x").AllowedRegions = []string{"south"}
	assert.Equal(t, g.doRequest(t, "safe"), "503 come-back")
	_, ran := g.countRequests()
	assert.Equal(t, ran, 1)
}

// Headers beyond what operators allow are refused before anything is sent.
func TestHeadersAreBounded(t *testing.T) {
	g := newTestRelay(t)
	g.roster.View().Routing.Limits.MaxHeaderBytes = 300
	assert.Equal(t, g.doRequest(t, "safe", "X-Long: "+strings.Repeat("x", 300)+"\r\n"), "431")
	assert.Equal(t, g.doRequest(t, "safe"), "200 signed whole")
}
