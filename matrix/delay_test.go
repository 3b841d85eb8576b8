package matrix

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// slowAgentDelay is longer than an entry waits for a target when other targets are available.
const slowAgentDelay = attemptTimeout * 7 / 20

// cellsAt returns the cells of a profile that this package runs and that stop at one of the given steps, or at any
// step if none is given.
func cellsAt(t *testing.T, profile string, steps ...Step) []cell {
	t.Helper()
	return slices.DeleteFunc(readCells(t), func(c cell) bool {
		runsHere := c.expected[0] != elsewhere && c.expected[0] != notRun
		at := len(steps) == 0 || slices.Contains(steps, Step(c.step))
		return !runsHere || !at || c.profile != profile
	})
}

// runEach runs cells in parallel.
func runEach(t *testing.T, cells []cell, newScenario func(c cell) *scenario) {
	t.Helper()
	for _, c := range cells {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			assert.NilError(t, retryScenario(func() *scenario { return newScenario(c) }))
		})
	}
}

// TestStepsWaitForAccept guards against a fault at a later step that also loses a delayed accept and so causes a second
// run of the request.
func TestStepsWaitForAccept(t *testing.T) {
	const acceptDelay = 100 * time.Millisecond
	runEach(t, cellsAt(t, ProfileChat, StepStart), func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{AcceptDelay: acceptDelay}, awaitAccept: true}
	})
}

// TestLateAcceptStartsNothing guards against a target that starts a request before the entry has read the accept. A fault
// in between makes the entry run the request again on another target.
func TestLateAcceptStartsNothing(t *testing.T) {
	const acceptDelay = 100 * time.Millisecond
	runEach(t, cellsAt(t, ProfileChat), func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{AcceptDelay: acceptDelay}}
	})
}

// TestLateAcceptIsAwaitedWithATicket guards against refusals that alternate between "down" and "dropped" while the only
// agent that the ticket permits to run the action is slow.
func TestLateAcceptIsAwaitedWithATicket(t *testing.T) {
	cells := slices.DeleteFunc(cellsAt(t, ProfileBook, StepOffer), func(c cell) bool { return !slices.Equal(c.expected, []string{"whole"}) })
	runEach(t, cells, func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{AcceptDelay: slowAgentDelay}}
	})
}

// TestRunIsJoinedAtSlowAgent guards against a second run of a request while a slow agent still has the first one.
func TestRunIsJoinedAtSlowAgent(t *testing.T) {
	cells := cellsAt(t, ProfileChat, StepBody, StepStart, StepFirst, StepMiddle, StepLast, StepLost, StepDrain)
	runEach(t, cells, func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{JoinDelay: slowAgentDelay}, timeout: 2 * attemptTimeout}
	})
}

// TestBrokenLinkIsResumedAtSlowAgent guards against an entry that tries to rejoin a run repeatedly, each time with a
// timeout too short for the agent to answer, until the deadline of the caller has passed.
func TestBrokenLinkIsResumedAtSlowAgent(t *testing.T) {
	cells := cellsAt(t, ProfileChat, StepStart, StepFirst, StepMiddle, StepLast)
	cells = append(cells, cellsAt(t, ProfileBook, StepStart, StepExecuted, StepFirst, StepLast)...)
	cells = slices.DeleteFunc(cells, func(c cell) bool { return !slices.Equal(c.faults, []string{"break"}) })
	for _, c := range cells {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			var last *scenario
			assert.NilError(t, retryScenario(func() *scenario {
				last = &scenario{cell: c, stack: &Stack{JoinDelay: slowAgentDelay}, timeout: 2 * attemptTimeout}
				return last
			}))
			assert.Equal(t, len(last.attempts), 1, "%v", last.attempts)
		})
	}
}

// TestLateEndRunsNothingTwice guards against a complete answer that counts as failed because the end of its connection
// is late. The retry of the caller would run the request again.
func TestLateEndRunsNothingTwice(t *testing.T) {
	// Cells with the fault "cold" are left out: each of their warm-up requests would wait for the delayed end.
	cells := slices.DeleteFunc(cellsAt(t, ProfileChat, StepMiddle, StepLast, StepLost), func(c cell) bool { return slices.Contains(c.faults, "cold") })
	runEach(t, cells, func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{EndDelay: attemptTimeout + attemptTimeout/10}}
	})
}

// TestPoisonIsRefusedAsNotRun guards against the run status "maybe" for content in quarantine. Its caller retries when the
// crashed targets are up again, and the retry is refused before it is forwarded to a target.
func TestPoisonIsRefusedAsNotRun(t *testing.T) {
	const probeWait = 600 * time.Millisecond // after two attempts each agent has detected that its target is up
	cells := slices.DeleteFunc(cellsAt(t, ProfileChat), func(c cell) bool { return !slices.Contains(c.faults, "poison") })
	runEach(t, cells, func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{}, pause: probeWait}
	})
}

// TestAnswerPastDeadlineIsNotRerun guards against a third run of a request whose second run is done but whose answer
// reaches the agent after the deadline of the attempt that started it.
func TestAnswerPastDeadlineIsNotRerun(t *testing.T) {
	c := cell{profile: ProfileChat, step: string(StepMiddle), faults: []string{"crash", "restart", "hold"}, expected: []string{"whole"}, runs: 2}
	assert.NilError(t, c.runOn(func() *Stack { return &Stack{} }))
}
