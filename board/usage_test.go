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
	entries, v := newFleet(27), newView(3, 3)
	b := entries[0]
	caller := board.Caller{Workspace: "w", Objective: plain.LatencyObjective}
	b.Start(start, v.ByID["t0"], plain, nil, 0, caller).End(start.Add(30*time.Millisecond), board.Served)
	now := start.Add(time.Second)
	for _, x := range v.Services["s"] {
		admission := b.Admit(now, "s", b.Candidates(now, v, plain, board.Criteria{}), caller)
		assert.Assert(t, admission.Admitted, "refused with %.2f of the places taken", admission.Taken)
		b.Start(now, x, plain, nil, 0, caller)
	}
	admission := b.Admit(now, "s", b.Candidates(now, v, plain, board.Criteria{}), caller)
	assert.Assert(t, admission.Admitted, "refused with %.2f of the places taken", admission.Taken)
}
