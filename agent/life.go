package agent

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/chart"
)

// States of the target's chart (chart/target.chart), by which this agent takes
// new work or not.
const (
	targetStarting = "starting"
	targetCold     = "cold"
	targetWarming  = "warming"
	targetLeaving  = "leaving"
	targetOut      = "out"
	targetDown     = "down"
)

// Events of the target's chart.
const (
	eventReady    = "ready" // it answers
	eventDown     = "lost"  // it does not answer
	eventAnswered = "earn"  // a whole answer
	eventWarm     = "prove" // it carries its full share
	eventCold     = "chill" // it restarted, or lost what it had cached
	eventLeave    = "leave" // its host or this process leaves
	eventStay     = "stay"  // its host stays after all
	eventOut      = "out"   // operators took it out of service
	eventBack     = "back"  // operators brought it back
)

// applyEvent moves the target's life by an event. Where the chart has no such move the
// state stays: an answer does not bring a target back that operators took out.
func (a *Agent) applyEvent(event string) {
	next, err := chart.Target.Next(a.targetState, event)
	if err != nil {
		return
	}
	a.targetState = next
	if next == targetStarting {
		a.restoreState()
	}
}

// restoreState finds the state of a target that came back into service from what is
// known of it. Without it, one that died while it was out would be offered work
// until the next probe.
func (a *Agent) restoreState() {
	switch {
	case a.draining || a.hostLeaving:
		a.applyEvent(eventLeave)
	case a.health.isDown:
		a.applyEvent(eventDown)
	case a.health.hasAnswered:
		a.applyEvent(eventReady)
	}
}

// rejectReason is why the target takes no new work in its present state, or "".
func (a *Agent) rejectReason() chestnutstep.Reason {
	switch a.targetState {
	case targetOut:
		return chestnutstep.ReasonOut
	case targetLeaving:
		return chestnutstep.ReasonLeaving
	case targetDown:
		return chestnutstep.ReasonDown
	}
	return ""
}

// recordAnswer notes a whole answer.
func (a *Agent) recordAnswer(cold bool) {
	if a.targetState == targetCold {
		a.applyEvent(eventAnswered)
	}
	if a.targetState == targetWarming && !cold {
		a.applyEvent(eventWarm)
	}
}

// TargetState is the state of the target's chart, for status pages.
func (a *Agent) TargetState() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.targetState
}
