package relay_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
)

// TestFullTargetsRefuseAtOnce guards against a request that waits for targets which can't start it
// in time, and delays all requests after it. It must be refused immediately with a Retry-After, and
// served as soon as places are free again.
func TestFullTargetsRefuseAtOnce(t *testing.T) {
	g := newTestRelay(t)
	v := g.roster.View()
	service := v.Routing.Services["shop"]
	requester := board.Caller{Workspace: "other", Objective: time.Second}
	now := clock.Now()
	var runs []*board.Attempt
	for _, x := range v.Services["shop"] {
		g.relay.Board.Start(now.Add(-time.Second), x, service, nil, 0, requester).End(now, board.Served)
		for range 3 * x.Slots {
			runs = append(runs, g.relay.Board.Start(now, x, service, nil, 0, requester))
		}
	}
	began := time.Now()
	got := g.doRequest(t, "unsafe")
	assert.Equal(t, got, "503 come-back")
	assert.Assert(t, time.Since(began) < timeout, "held for %s", time.Since(began))
	for _, x := range g.targets {
		assert.Equal(t, x.Requests(), 0, "a request that was refused reached a target")
	}
	for _, r := range runs {
		r.End(clock.Now(), board.Served)
	}
	got = g.doRequest(t, "unsafe")
	assert.Assert(t, strings.HasPrefix(got, "200 signed"), got)
}
