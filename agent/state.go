package agent

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/chart"
)

// States of the target's chart (chart/target.chart). They decide whether this agent accepts new
// work.
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
	eventReady    = "ready" // the target answers
	eventDown     = "lost"  // the target doesn't answer
	eventAnswered = "earn"  // a complete answer
	eventWarm     = "prove" // the target carries its full share
	eventCold     = "chill" // the target restarted or lost its cache
	eventLeave    = "leave" // the host or this process leaves
	eventStay     = "stay"  // the host no longer leaves
	eventOut      = "out"   // operators took the target out of service
	eventBack     = "back"  // operators put the target back into service
)

// applyEvent applies an event to the target's chart. If the chart has no such transition the state
// stays: for example, an answer doesn't return a target to service that operators took out.
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

// restoreState sets the state of a target that returned to service. Without it, a target that
// crashed while out of service would be offered work until the next probe.
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

// rejectReason returns why the target accepts no new work in its present state, or "".
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

// recordAnswer applies a complete answer to the target's chart; cold is the gate's cold flag.
func (a *Agent) recordAnswer(cold bool) {
	if a.targetState == targetCold {
		a.applyEvent(eventAnswered)
	}
	if a.targetState == targetWarming && !cold {
		a.applyEvent(eventWarm)
	}
}

// TargetState returns the state of the target's chart, for status pages.
func (a *Agent) TargetState() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.targetState
}
