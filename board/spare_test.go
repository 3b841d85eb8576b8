package board_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/place"
)

// TestSpareTargetsAreInGoodState guards against second attempts at a target that is cold, suspected, down,
// paused, leaving or of another build. Of t0 to t4, only t0, t2 and t4 have build 0, and t4 is cold.
func TestSpareTargetsAreInGoodState(t *testing.T) {
	for name, spoil := range map[string]func(b *board.Board){
		"down": func(b *board.Board) {
			b.Start(start, newView(5, 4).ByID["t2"], engine, nil, 0, board.Caller{}).End(start, board.ConnRefused)
		},
		"suspected": func(b *board.Board) {
			b.Start(start, newView(5, 4).ByID["t2"], engine, nil, 0, board.Caller{}).End(start, board.Unreachable)
		},
		"paused":  func(b *board.Board) { b.StartPause(start, newView(5, 4).ByID["t2"], workTime) },
		"leaving": func(b *board.Board) { b.RecordLeaving(start, newView(5, 4).ByID["t2"]) },
	} {
		v := newView(5, 4)
		b := &board.Board{Pauses: &pause.Tracker{}}
		criteria := board.Criteria{Build: "0", Skip: []string{"t0"}, Spare: true}
		c := b.Choose(start, v, engine, criteria, place.Request{})
		assert.Assert(t, c.Target != nil && c.Target.ID == "t2", name)
		spoil(b)
		c = b.Choose(start, v, engine, criteria, place.Request{})
		assert.Assert(t, c.Target == nil, "%s: %s", name, c.ID)
	}
}
