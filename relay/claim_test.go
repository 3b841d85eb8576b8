package relay_test

import (
	"fmt"
	"net/http"
	"net/netip"
	"strconv"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/claim"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/origin"
)

// newFullRelay returns a relay whose targets have some more requests than they can start in time. With claims,
// it is the only entry, and holds its claims.
func newFullRelay(t *testing.T, claims bool) *testRelay {
	t.Helper()
	g := newTestRelayWithTimeout(t, stallTimeout)
	if claims {
		k := &claim.Keeper{
			Self:    origin.Member{Addr: netip.MustParseAddrPort("10.0.0.1:1")},
			Members: func() []origin.Member { return nil }, Send: func(netip.AddrPort, []byte) {},
		}
		g.relay.Claims, g.relay.Board.Claims = k, k
	}
	v := g.roster.View()
	service := v.Routing.Services["shop"]
	requester := board.Caller{Workspace: "other", Objective: timeout / 2}
	for _, x := range v.Services["shop"] {
		for range 8 {
			g.relay.Board.Start(clock.Now().Add(-50*time.Millisecond), x, service, nil, 0, requester).End(clock.Now(), board.Served)
		}
	}
	for _, x := range v.Services["shop"] {
		for range 30 {
			g.relay.Board.Start(clock.Now(), x, service, nil, 0, requester)
		}
	}
	return g
}

// try sends a request with a remaining time and returns its status and Retry-After.
func (g *testRelay) try(t *testing.T, body string, remaining time.Duration) (int, time.Duration) {
	t.Helper()
	g.requestCount++
	r, err := http.NewRequest(http.MethodPost, g.server.URL+"/unsafe/x", strings.NewReader(body))
	assert.NilError(t, err)
	r.Host = host
	r.Header.Set("Attempt-Id", fmt.Sprintf("req-%d", g.requestCount))
	r.Header.Set("Credential", key)
	r.Header.Set("Deadline-Ms", strconv.FormatInt(remaining.Milliseconds(), 10))
	resp, err := http.DefaultClient.Do(r)
	assert.NilError(t, err)
	defer resp.Body.Close()
	seconds, err := strconv.ParseFloat(resp.Header.Get("Retry-After"), 64)
	assert.Assert(t, resp.StatusCode != http.StatusServiceUnavailable || err == nil)
	return resp.StatusCode, time.Duration(seconds * float64(time.Second))
}

// returnAsTold plays a caller that is refused, returns too early, as told, and once more, and returns the last two
// statuses.
func (g *testRelay) returnAsTold(t *testing.T, body string) (asTold, again int) {
	t.Helper()
	status, wait := g.try(t, body, 3000*time.Millisecond)
	assert.Equal(t, status, http.StatusServiceUnavailable)
	status, early := g.try(t, body, 2970*time.Millisecond)
	if status != http.StatusServiceUnavailable {
		return 0, 0 // not early any more on a busy machine
	}
	time.Sleep(min(wait, early, time.Second))
	asTold, _ = g.try(t, body, 2900*time.Millisecond)
	again, _ = g.try(t, body, 2890*time.Millisecond)
	return asTold, again
}

// TestRefusedCallerIsServedWhenItReturns guards against a caller that returns as told and is refused again, and
// against an early return or a repeat that goes before other requests.
func TestRefusedCallerIsServedWhenItReturns(t *testing.T) {
	for range 20 {
		g := newFullRelay(t, true)
		asTold, again := g.returnAsTold(t, "body")
		if asTold != http.StatusOK {
			continue // more than the grace too late on a busy machine
		}
		assert.Equal(t, again, http.StatusServiceUnavailable)
		arrived, ran := g.countRequests()
		assert.Assert(t, arrived == 1 && ran == 1, "arrived %d, ran %d", arrived, ran)
		return
	}
	t.Fatal("no caller that returned as told was served")
}

// TestWithoutClaimsReturnsAreRefused guards against a change for entries that were not asked to keep returns: there
// a caller that returns is treated like a new one, and Retry-After is the usual one.
func TestWithoutClaimsReturnsAreRefused(t *testing.T) {
	g := newFullRelay(t, false)
	asTold, again := g.returnAsTold(t, "body")
	assert.Equal(t, asTold, http.StatusServiceUnavailable)
	assert.Equal(t, again, http.StatusServiceUnavailable)
	_, wait := g.try(t, "another", 3000*time.Millisecond)
	assert.Equal(t, wait.Round(10*time.Millisecond), admit.RetryAfter(fmt.Sprintf("req-%d", g.requestCount), timeout/2).Round(10*time.Millisecond))
	arrived, _ := g.countRequests()
	assert.Equal(t, arrived, 0)
}

// TestRefusalWithoutClaimPromisesNothing guards against a caller that is told to return within its deadline though
// no place is likely by then.
func TestRefusalWithoutClaimPromisesNothing(t *testing.T) {
	g := newFullRelay(t, true)
	refused := 0
	for i := range 50 {
		status, wait := g.try(t, fmt.Sprint("body ", i), 3000*time.Millisecond)
		assert.Equal(t, status, http.StatusServiceUnavailable)
		if wait > timeout/2 {
			assert.Assert(t, wait > 2900*time.Millisecond, "told to return after %s", wait)
			refused++
		}
	}
	assert.Assert(t, refused > 30, "%d of 50 without a claim", refused)
}
