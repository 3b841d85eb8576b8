package agent

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/chart"
)

// States of the target's chart (chart/target.chart), by which this agent takes
// new work or not.
const (
	lifeStarting = "starting"
	lifeCold     = "cold"
	lifeWarming  = "warming"
	lifeLeaving  = "leaving"
	lifeOut      = "out"
	lifeDown     = "down"
)

// Events of the target's chart.
const (
	eventReady = "ready" // it answers
	eventLost  = "lost"  // it does not answer
	eventEarn  = "earn"  // a whole answer
	eventProve = "prove" // it carries its full share
	eventChill = "chill" // it restarted, or lost what it had cached
	eventLeave = "leave" // its host or this process leaves
	eventStay  = "stay"  // its host stays after all
	eventOut   = "out"   // operators took it out of service
	eventBack  = "back"  // operators brought it back
)

// turn moves the target's life by an event. Where the chart has no such move the
// state stays: an answer does not bring a target back that operators took out.
func (a *Agent) turn(event string) {
	next, err := chart.Target.Next(a.life, event)
	if err != nil {
		return
	}
	a.life = next
	if next == lifeStarting {
		a.resettle()
	}
}

// resettle finds the state of a target that came back into service from what is
// known of it. Without it, one that died while it was out would be offered work
// until the next probe.
func (a *Agent) resettle() {
	switch {
	case a.leaving || a.away:
		a.turn(eventLeave)
	case a.health.down:
		a.turn(eventLost)
	case a.health.heard:
		a.turn(eventReady)
	}
}

// closed is why the target takes no new work in its present state, or "".
func (a *Agent) closed() chestnutstep.Reason {
	switch a.life {
	case lifeOut:
		return chestnutstep.ReasonOut
	case lifeLeaving:
		return chestnutstep.ReasonLeaving
	case lifeDown:
		return chestnutstep.ReasonDown
	}
	return ""
}

// earned notes a whole answer.
func (a *Agent) earned(cold bool) {
	if a.life == lifeCold {
		a.turn(eventEarn)
	}
	if a.life == lifeWarming && !cold {
		a.turn(eventProve)
	}
}

// Life is the state of the target's chart, for status pages.
func (a *Agent) Life() string {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.life
}
