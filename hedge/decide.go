package hedge

import "time"

// Denial is the reason for which a request is not hedged; empty if it is.
type Denial string

// The reasons, in the order in which they are checked.
const (
	Allowed      Denial = ""
	CallerLeft   Denial = "left"     // the caller has left, or the deadline has passed
	Overloaded   Denial = "overload" // the entry's processor is overloaded, and delays are its own
	Suspect      Denial = "suspect"  // the content may have ended a target, and would reach two at once
	Stale        Denial = "version"  // the configuration that accepts the caller is not confirmed
	OutOfTime    Denial = "deadline" // a second answer would come too late
	OutOfRoom    Denial = "capacity" // targets are short of capacity
	NoTarget     Denial = "target"   // no other target is in a good state
	OutOfBudget  Denial = "budget"   // the service's part of hedges is used up
	OutOfRetries Denial = "retries"  // the service's retry budget is used up
)

// maxTaken is the part of the places of the other targets from which nothing is hedged. Up to half,
// one more request delays no other; a refusal below half would be a fault.
const maxTaken = 0.5

// Situation is the state at the time when a request has reached its delay.
type Situation struct {
	// Overloaded reports whether the entry's processor is overloaded.
	Overloaded bool
	// Suspect reports whether the content, or a part of it, is in connection with the end of a target.
	Suspect bool
	// Stale reports whether the configuration by which the caller was accepted is not confirmed by now.
	Stale bool
	// Remaining is the time until the deadline.
	Remaining time.Duration
	// Short reports whether too many requests to the service were refused recently for lack of capacity.
	Short bool
	// Taken is the part of the places of the other targets that is taken.
	Taken float64
	// HasTarget reports whether another target is in a good state, and Running and Slots are its load.
	HasTarget bool
	Running   float64
	Slots     int
}

// Decide reports whether a request may be hedged, its budgets aside.
func Decide(plan Plan, s Situation) Denial {
	switch {
	case s.Overloaded:
		return Overloaded
	case s.Suspect:
		return Suspect
	case s.Stale:
		return Stale
	case s.Remaining <= plan.Typical:
		return OutOfTime
	case s.Short || s.Taken >= maxTaken:
		return OutOfRoom
	case !s.HasTarget:
		return NoTarget
	case s.Slots > 0 && s.Running >= float64(s.Slots):
		return OutOfRoom
	}
	return Allowed
}
