package matrix

import (
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// lateBy is longer than an entry waits for a target that has others beside it.
const lateBy = attemptTimeout * 7 / 20

// cellsAt returns the cells of a profile that are played here and stop at one of the steps, at any where none is named.
func cellsAt(t *testing.T, profile string, steps ...Step) []cell {
	t.Helper()
	return slices.DeleteFunc(readCells(t), func(c cell) bool {
		played := c.expected[0] != elsewhere && c.expected[0] != notRun
		at := len(steps) == 0 || slices.Contains(steps, Step(c.step))
		return !played || !at || c.profile != profile
	})
}

// runEach plays cells beside each other.
func runEach(t *testing.T, cells []cell, stage func(c cell) *scenario) {
	t.Helper()
	for _, c := range cells {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			assert.NilError(t, retryScenario(func() *scenario { return stage(c) }))
		})
	}
}

// TestStepsWaitForAccept guards against a fault at a later step that also loses the accept, which allows a second run.
func TestStepsWaitForAccept(t *testing.T) {
	const busy = 100 * time.Millisecond
	runEach(t, cellsAt(t, ProfileChat, StepStart), func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{AcceptDelay: busy}, awaitAccept: true}
	})
}

// TestLateAcceptStartsNothing guards against a target that starts before its accept is read: a fault between the two has
// the request run again elsewhere.
func TestLateAcceptStartsNothing(t *testing.T) {
	const busy = 100 * time.Millisecond
	runEach(t, cellsAt(t, ProfileChat), func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{AcceptDelay: busy}}
	})
}

// TestLateAcceptIsAwaitedWithATicket guards against callers of actions who go round between "down" and "dropped" while the one
// agent that may run them is slow.
func TestLateAcceptIsAwaitedWithATicket(t *testing.T) {
	cells := slices.DeleteFunc(cellsAt(t, ProfileBook, StepOffer), func(c cell) bool { return !slices.Equal(c.expected, []string{"whole"}) })
	runEach(t, cells, func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{AcceptDelay: lateBy}}
	})
}

// TestRunIsJoinedAtSlowAgent guards against a second run of a request whose first one is at an agent that is slow.
func TestRunIsJoinedAtSlowAgent(t *testing.T) {
	cells := cellsAt(t, ProfileChat, StepBody, StepStart, StepFirst, StepMiddle, StepLast, StepLost, StepDrain)
	runEach(t, cells, func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{JoinDelay: lateBy}, timeout: 2 * attemptTimeout}
	})
}

// TestBrokenLinkIsResumedAtSlowAgent guards against an entry that asks an agent for a run again and again, each time too briefly
// for it to answer, until the caller's time has passed.
func TestBrokenLinkIsResumedAtSlowAgent(t *testing.T) {
	cells := cellsAt(t, ProfileChat, StepStart, StepFirst, StepMiddle, StepLast)
	cells = append(cells, cellsAt(t, ProfileBook, StepStart, StepExecuted, StepFirst, StepLast)...)
	cells = slices.DeleteFunc(cells, func(c cell) bool { return !slices.Equal(c.faults, []string{"break"}) })
	for _, c := range cells {
		t.Run(c.name(), func(t *testing.T) {
			t.Parallel()
			var last *scenario
			assert.NilError(t, retryScenario(func() *scenario {
				last = &scenario{cell: c, stack: &Stack{JoinDelay: lateBy}, timeout: 2 * attemptTimeout}
				return last
			}))
			assert.Equal(t, len(last.attempts), 1, "%v", last.attempts)
		})
	}
}

// TestLateEndRunsNothingTwice guards against a whole answer that is taken for a failed one because the end of its
// connection is late: the caller's repeat would run it again.
func TestLateEndRunsNothingTwice(t *testing.T) {
	// Of the warming requests of a cold cell each would wait for its end.
	cells := slices.DeleteFunc(cellsAt(t, ProfileChat, StepMiddle, StepLast, StepLost), func(c cell) bool { return slices.Contains(c.faults, "cold") })
	runEach(t, cells, func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{EndDelay: attemptTimeout + attemptTimeout/10}}
	})
}

// TestPoisonIsRefusedAsNotRun guards against a "maybe" for content that is in quarantine: its caller comes back when the targets
// it crashed are up again, and nothing was passed on for it.
func TestPoisonIsRefusedAsNotRun(t *testing.T) {
	const untilProbed = 600 * time.Millisecond // two tries later each agent has found its target up
	cells := slices.DeleteFunc(cellsAt(t, ProfileChat), func(c cell) bool { return !slices.Contains(c.faults, "poison") })
	runEach(t, cells, func(c cell) *scenario {
		return &scenario{cell: c, stack: &Stack{}, pause: untilProbed}
	})
}

// TestAnswerPastDeadlineIsNotRerun guards against a third run of a request whose second one is done, though its answer
// comes to the agent behind the deadline of the try that asked for it.
func TestAnswerPastDeadlineIsNotRerun(t *testing.T) {
	c := cell{profile: ProfileChat, step: string(StepMiddle), faults: []string{"crash", "restart", "hold"}, expected: []string{"whole"}, runs: 2}
	assert.NilError(t, c.runOn(func() *Stack { return &Stack{} }))
}
