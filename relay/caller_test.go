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

// TestKeyNotProvedCurrent guards against an entry that accepts a revoked key. It happens when the
// entry is cut off from the source, or its host is suspended, while the key is revoked: after a
// leak, the holder of the key could go on booking.
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

// TestKeyIsCheckedBeforeEachSend guards against a retry under an outdated configuration: the
// configuration is confirmed when the request arrives, but no longer when a slow failure of the
// first target leads to a second attempt.
func TestKeyIsCheckedBeforeEachSend(t *testing.T) {
	g := newTestRelay(t)
	for _, x := range g.targets {
		x.SetBehaviour(stand.Resets)
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

// TestKeysOfVersions guards against entries that accept a key removed by a new version, or refuse
// one that it adds. An entry whose peer has a newer version must not refuse a key permanently.
func TestKeysOfVersions(t *testing.T) {
	g := newTestRelay(t)
	g.publish(2, "other")
	assert.Equal(t, g.doRequest(t, "unsafe"), "401")
	g.relay.IsBehind = func() bool { return true }
	assert.Equal(t, g.doRequest(t, "unsafe"), "503 come-back")
	g.relay.IsBehind = func() bool { return false }
	g.publish(3, key)
	assert.Equal(t, g.doRequest(t, "unsafe"), "200 signed whole")
	// A late, older version does not replace a newer one.
	g.publish(2, "other")
	assert.Equal(t, g.doRequest(t, "unsafe"), "200 signed whole")
}

// TestCallerCannotSetInternalHeaders guards against forwarding of headers that only the fleet may
// set, such as another workspace's name or a hold on a target's memory. A caller could use them to
// book in the name of another workspace.
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

// TestCallerLeaves guards against targets that keep working for a caller who has left in the middle
// of a stream, and so occupy a slot that others wait for.
func TestCallerLeaves(t *testing.T) {
	g := newTestRelay(t)
	for _, x := range g.targets {
		x.EventCount, x.EventInterval = 1000, 5*time.Millisecond
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
				if run.CallerLeft {
					return poll.Success()
				}
			}
		}
		return poll.Continue("the target works on")
	}, poll.WithTimeout(5*time.Second), poll.WithDelay(5*time.Millisecond))
}

// TestSecondAnswerReachesNobody guards against an answer delivered to the wrong caller. A target
// sends a second answer after a complete one; if the connection is reused, the next caller would
// receive it.
func TestSecondAnswerReachesNobody(t *testing.T) {
	requestAfterSecondAnswers(t, newTestRelay(t))
}

// TestSecondAnswerDelaysNoRequest guards against a request whose answer is delayed by an unexpected
// second answer to the previous request on the same connection.
func TestSecondAnswerDelaysNoRequest(t *testing.T) {
	requestAfterSecondAnswers(t, newTestRelayWithTimeout(t, stallTimeout))
}

func requestAfterSecondAnswers(t *testing.T, g *testRelay) {
	t.Helper()
	for _, x := range g.targets {
		x.SetBehaviour(stand.ExtraAnswer)
	}
	for range 12 {
		got := g.doRequest(t, "safe")
		assert.Assert(t, got == "200 signed whole" || strings.HasPrefix(got, "502"), got)
	}
}

// TestCrashingContentIsStopped guards against one caller that takes down a whole service: its
// content crashes each target that runs it, and the caller repeats it under new ids.
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
		x.KillRule = &stand.KillRule{Text: "poison", Step: stand.AtAccept, Reset: true}
	}
	statuses := ""
	for i := range 6 {
		statuses += fmt.Sprint(send(fmt.Sprintf("p-%d", i)), " ")
	}
	_, ran := g.countRequests()
	assert.Equal(t, statuses, "502 502 503 503 503 503 ")
	assert.Equal(t, ran, 2)
}

// TestBodyIsNotParsedAsRequest guards against request smuggling: a request in the body of another
// one, if parsed as a separate request, would run without a key.
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

// TestNoConfiguration guards against a permanent error from an entry without a configuration. Such
// an entry can't distinguish a wrong path or key from a valid one, and callers don't retry after
// "not found".
func TestNoConfiguration(t *testing.T) {
	g := newTestRelay(t)
	empty := *g
	empty.relay.Roster = newRoster()
	assert.Equal(t, empty.doRequest(t, "unsafe"), "503 come-back")
}

// TestLeavingTargetsGetNothing guards against requests sent to targets that are leaving, which end
// soon and cut the answer off. If all targets are leaving, the request is refused immediately.
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

// TestRegions guards against requests of a workspace that are served outside its allowed regions,
// so that its customers' data leave the country.
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

// TestHeadersAreBounded guards against headers above the configured limit: the request must be
// refused before anything is sent to a target.
func TestHeadersAreBounded(t *testing.T) {
	g := newTestRelay(t)
	g.roster.View().Routing.Limits.MaxHeaderBytes = 300
	assert.Equal(t, g.doRequest(t, "safe", "X-Long: "+strings.Repeat("x", 300)+"\r\n"), "431")
	assert.Equal(t, g.doRequest(t, "safe"), "200 signed whole")
}
