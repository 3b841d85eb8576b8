package relay_test

import (
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
)

// Every target has as many requests as it can begin in time, and each holds its place for
// a second. One more would wait until its caller has no use for the answer, and make all
// behind it late: it is refused at once, with the time after which it may be in time yet.
// As soon as places are free again it is served.
func TestFullTargetsRefuseAtOnce(t *testing.T) {
	g := newTestRelay(t)
	v := g.roster.View()
	service := v.Routing.Services["shop"]
	who := board.Caller{Workspace: "other", Objective: time.Second}
	now := clock.Now()
	var runs []*board.Attempt
	for _, x := range v.Services["shop"] {
		g.relay.Board.Start(now.Add(-time.Second), x, service, nil, 0, who).End(now, board.Served)
		for range 3 * x.Slots {
			runs = append(runs, g.relay.Board.Start(now, x, service, nil, 0, who))
		}
	}
	began := time.Now()
	got := g.doRequest(t, "unsafe")
	assert.Equal(t, got, "503 come-back")
	assert.Assert(t, time.Since(began) < timeout, "held for %s", time.Since(began))
	for _, x := range g.targets {
		assert.Equal(t, x.Arrived(), 0, "a request that was refused reached a target")
	}
	for _, r := range runs {
		r.End(clock.Now(), board.Served)
	}
	got = g.doRequest(t, "unsafe")
	assert.Assert(t, strings.HasPrefix(got, "200 signed"), got)
}
