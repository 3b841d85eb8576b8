package board_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
)

// Three idle targets of a few slots stand behind 27 entries, and one entry gets a few
// requests at once. It can't know what the others send meanwhile; taken to be as much from
// each of them, its own few would fill all targets, and callers would hear "full" from a
// service that is hardly used.
func TestFewRequestsDontFillAnIdleService(t *testing.T) {
	plain := &chestnutstep.Service{Name: "s", LatencyObjective: 150 * time.Millisecond}
	entries, v := fleet(27), view(3, 3)
	b := entries[0]
	who := board.Who{Workspace: "w", Objective: plain.LatencyObjective}
	b.Start(start, v.ByID["t0"], plain, nil, 0, who).End(start.Add(30*time.Millisecond), board.Served)
	now := start.Add(time.Second)
	for _, x := range v.Services["s"] {
		room := b.Admit(now, "s", b.Candidates(now, v, plain, board.Need{}), who)
		assert.Assert(t, room.Free, "refused with %.2f of the places taken", room.Taken)
		b.Start(now, x, plain, nil, 0, who)
	}
	room := b.Admit(now, "s", b.Candidates(now, v, plain, board.Need{}), who)
	assert.Assert(t, room.Free, "refused with %.2f of the places taken", room.Taken)
}
