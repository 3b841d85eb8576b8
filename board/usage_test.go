package board_test

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
)

// TestFewRequestsDontFillAnIdleService guards against rejecting a burst at a nearly idle
// service. With 27 entries and three targets of few slots, an entry that assumes as many
// unreported requests from each peer as it sent itself would count all targets as full.
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

// TestHoldIsMeasured guards against spreading by loads that are over: place has to know how long a
// request holds its slot.
func TestHoldIsMeasured(t *testing.T) {
	plain := &chestnutstep.Service{Name: "s", LatencyObjective: 150 * time.Millisecond}
	entries, v := newFleet(1), newView(3, 3)
	b := entries[0]
	assert.Equal(t, b.Candidates(start, v, plain, board.Criteria{})[0].Hold, 0.0)
	b.Start(start, v.ByID["t0"], plain, nil, 0, board.Caller{}).End(start.Add(30*time.Millisecond), board.Served)
	assert.Equal(t, b.Candidates(start.Add(time.Second), v, plain, board.Criteria{})[0].Hold, 30.0)
}
