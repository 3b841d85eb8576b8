package relay_test

import (
	"bufio"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/relay"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/stand"
)

const (
	// restTime is how long a target asks to be left alone, and restGrace the time after which no
	// request may reach it any more.
	restTime  = 2 * time.Second
	restGrace = 500 * time.Millisecond
	// leaveGrace is the same for a target that announces that it leaves.
	leaveGrace = 2 * time.Second
	// requestInterval is the time between two requests of a test that sends for some seconds.
	requestInterval = 25 * time.Millisecond
)

// reply is the outcome of one request.
type reply struct {
	status int
	sentAt time.Time
	// retryAfter is the time that a refusal names; 0 if it names none.
	retryAfter time.Duration
}

// sendFor sends requests of a kind for some time, each on a new connection, and returns the replies.
func sendFor(t *testing.T, g *testRelay, kind string, d time.Duration, headers ...string) []reply {
	t.Helper()
	var mu sync.Mutex
	var all sync.WaitGroup
	var list []reply
	for end := time.Now().Add(d); time.Now().Before(end); time.Sleep(requestInterval) {
		g.requestCount++
		id := fmt.Sprintf("req-%d", g.requestCount)
		all.Go(func() {
			x := sendOne(t, g.server.Listener.Addr().String(), kind, id, headers)
			mu.Lock()
			defer mu.Unlock()
			list = append(list, x)
		})
	}
	all.Wait()
	return list
}

func sendOne(t *testing.T, address, kind, id string, headers []string) reply {
	x := reply{sentAt: time.Now()}
	c, err := net.Dial("tcp", address)
	if err != nil {
		t.Error(err)
		return x
	}
	defer c.Close()
	path := "/" + kind + "/x"
	if kind == "stream" || kind == "resume" {
		path = "/" + kind + "/stream/x"
	}
	extra := ""
	for _, h := range headers {
		extra += h
	}
	fmt.Fprintf(c, "POST %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nCredential: %s\r\nDeadline-Ms: 3000\r\n%sContent-Length: 4\r\n\r\nbody", path, host, id, key, extra)
	resp, err := http.ReadResponse(bufio.NewReader(c), nil)
	if err != nil {
		return x
	}
	_, _ = io.Copy(io.Discard, resp.Body)
	x.status = resp.StatusCode
	if after, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64); err == nil {
		x.retryAfter = time.Duration(after * float64(time.Second))
	}
	return x
}

// arrivedInPause returns the number of requests that reached a target between grace after an answer
// that asked for a pause, and the end of that pause.
func arrivedInPause(x *stand.Target, grace time.Duration) int {
	var from, until time.Time
	n := 0
	for _, a := range x.Arrivals() {
		if !from.IsZero() && a.At.After(from) && a.At.Before(until) {
			n++
		}
		if a.Pause > 0 && from.IsZero() {
			from, until = a.At.Add(grace), a.At.Add(a.Pause)
		}
	}
	return n
}

// TestPausedTargetGetsNothing guards against requests to targets that asked to be left alone with the
// Retry-After of a 503, also if all targets of the service did.
func TestPausedTargetGetsNothing(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe", "stream", "resume"} {
		for _, paused := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s/%d of 3", kind, paused), func(t *testing.T) {
				t.Parallel()
				g := newTestRelayWithTimeout(t, stallTimeout)
				sendFor(t, g, kind, 200*time.Millisecond)
				for _, x := range g.targets[:paused] {
					x.Rest(restTime)
				}
				end := time.Now().Add(restTime)
				list := sendFor(t, g, kind, restTime-100*time.Millisecond)
				for _, x := range g.targets[:paused] {
					assert.Equal(t, arrivedInPause(x, restGrace), 0, x.Name)
				}
				for _, x := range list {
					if paused < len(g.targets) {
						assert.Equal(t, x.status, http.StatusOK, "another target serves it")
						continue
					}
					assert.Equal(t, x.status, http.StatusServiceUnavailable)
					assert.Assert(t, !x.sentAt.Add(x.retryAfter).Before(end.Add(-100*time.Millisecond)), "told to return after %s", x.retryAfter)
				}
			})
		}
	}
}

// TestPausedTargetServesAgain guards against a target that gets nothing after its pause.
func TestPausedTargetServesAgain(t *testing.T) {
	g := newTestRelayWithTimeout(t, stallTimeout)
	for _, x := range g.targets {
		x.Rest(restTime / 2)
	}
	sendFor(t, g, "safe", 200*time.Millisecond)
	time.Sleep(restTime)
	for _, x := range sendFor(t, g, "safe", 500*time.Millisecond) {
		assert.Equal(t, x.status, http.StatusOK)
	}
}

// TestTargetThatAnnouncesItsLeavingGetsNothing guards against requests to a target that announced in
// an answer that it leaves, while the list still shows it as ready.
func TestTargetThatAnnouncesItsLeavingGetsNothing(t *testing.T) {
	for _, kind := range []string{"safe", "unsafe", "stream", "resume"} {
		for _, leaving := range []int{1, 3} {
			t.Run(fmt.Sprintf("%s/%d of 3", kind, leaving), func(t *testing.T) {
				t.Parallel()
				g := newTestRelayWithTimeout(t, stallTimeout)
				for _, x := range g.targets[:leaving] {
					x.Leave()
				}
				list := sendFor(t, g, kind, leaveGrace+time.Second)
				for _, x := range g.targets[:leaving] {
					first, late := time.Time{}, 0
					for _, a := range x.Arrivals() {
						if !first.IsZero() && a.At.Sub(first) > leaveGrace {
							late++
						}
						if a.Leaving && first.IsZero() {
							first = a.At
						}
					}
					assert.Assert(t, !first.IsZero(), "%s got no request", x.Name)
					assert.Equal(t, late, 0, x.Name)
				}
				for _, x := range list {
					if leaving < len(g.targets) || x.status != http.StatusServiceUnavailable {
						assert.Equal(t, x.status, http.StatusOK)
						continue
					}
					assert.Assert(t, x.retryAfter > 0)
				}
			})
		}
	}
}

// TestPausedTargetIsNotProbed guards against connections to a target that asked for a pause, opened to
// find out whether it has ended.
func TestPausedTargetIsNotProbed(t *testing.T) {
	x := stand.NewTarget("i-a")
	defer x.Close()
	one := &roster.Target{Instance: chestnutstep.Instance{ID: "i-a", Address: x.Address()}}
	crashes := &relay.CrashTracker{Meters: &meter.Relay{}, Pauses: &pause.Tracker{}}
	crashes.Pauses.Start(clock.Now(), pause.InstanceOf(&one.Instance), time.Minute)
	<-crashes.RecordBroken(clock.Now(), &link.Pool{}, relay.UnfinishedRun{Target: one})
	assert.Equal(t, x.Connections(), 0)
	assert.Assert(t, !crashes.HasEnded(clock.Now(), one))
}
