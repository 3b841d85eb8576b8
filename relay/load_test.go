package relay_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/gauge"
	"chestnutstep.example/chestnutstep/stand"
)

// TestLoadOfAnswers guards against reported load that is lost with an error, or taken from the answer to
// another request or from an invalid report.
func TestLoadOfAnswers(t *testing.T) {
	for _, c := range []struct {
		behaviour stand.Behaviour
		load      string
		want      gauge.Reading
	}{
		{stand.Normal, "5,2,8,250", gauge.Reading{Running: 5, Waiting: 2, Slowdown: 2.5}},
		{stand.Fails, "5,2,8,250", gauge.Reading{Running: 5, Waiting: 2, Slowdown: 2.5}},
		{stand.Misdelivered, "5,2,8,250", gauge.Reading{}},
		{stand.Normal, "5,2,8", gauge.Reading{}},
		{stand.Normal, "5,2,0,250", gauge.Reading{}},
	} {
		t.Run(string(c.behaviour)+" "+c.load, func(t *testing.T) {
			g := newTestRelayOf(t, stallTimeout, "i-a")
			g.relay.Readings = &gauge.Store{}
			g.relay.Board.Readings = g.relay.Readings
			g.targets[0].SetLoad(c.load)
			g.targets[0].SetBehaviour(c.behaviour)
			send(t, g.server, "unsafe", "req", g.body(t, "unsafe"))
			got := g.relay.Readings.Get(board.CacheKey(&g.roster.View().ByID["i-a"].Instance))
			got.At = 0
			assert.Equal(t, got, c.want)
		})
	}
}
