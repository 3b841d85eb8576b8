// Package pause tracks the targets that must not receive requests because they said so in an answer.
// A target that rejects a request with 503 can state for how long it wants nothing more. Without this
// state it looks idle while it rejects, attracts more requests than the others, and never recovers.
// A target that stops can announce that in its answers before the list of targets shows it.
//
// The package is pure: the time is passed in, and nothing is sent or logged.
package pause

import (
	"fmt"
	"math"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// MaxTime is the longest pause of one answer. A longer value counts as MaxTime, so that a target
	// is never lost for good: the request after that asks it again.
	MaxTime = 10 * time.Minute
	// spreadRatio is the part of a pause by which its end is delayed at most, differently by entry and
	// target, so that entries do not return in the same instant. maxSpread limits the delay.
	spreadRatio = 0.1
	maxSpread   = 500 * time.Millisecond
	// firstWindow is how many requests may be unanswered at the end of a pause. Each answer doubles
	// the window; from fullWindow on there is no limit.
	firstWindow = 1
	fullWindow  = 16
	// answerTimeout is how long a full window keeps other requests away: a request that is never
	// answered must not do that until its deadline.
	answerTimeout = 500 * time.Millisecond
	// windowTime is the Retry-After while the window is full: about the time of an answer.
	windowTime = 100 * time.Millisecond
	// keepTime is how long the state is kept after the end of a pause that no request followed.
	keepTime = time.Minute
	// keepLeavingTime is how long it is kept that a target announced its leaving, since its state was
	// last read: longer than a target can be missing from the list and come back.
	keepLeavingTime = time.Hour
)

// Instance identifies one start of a target. Another start owes nothing of what an earlier one said.
type Instance struct {
	ID        string
	StartedMs int64
}

// InstanceOf returns the key of a target.
func InstanceOf(t *chestnutstep.Instance) Instance { return Instance{t.ID, t.StartedMs} }

// ErrPaused is the error of a request that was not sent, because its target must not receive it.
type ErrPaused struct {
	Target string
	State  State
}

// Error returns a text with the target and the reason.
func (err ErrPaused) Error() string {
	return fmt.Sprintf("target %s must not receive requests: %s", err.Target, err.State.Reason)
}

// State is whether a target may receive a request. The zero State allows it.
type State struct {
	// Reason is empty if the target may receive a request.
	Reason chestnutstep.Reason
	// Until is the earliest time at which it may receive one; 0 if that is unknown.
	Until clock.Stamp
}

// Blocked reports whether the target must not receive a request.
func (s State) Blocked() bool { return s.Reason != "" }

// Remaining returns the time until the target may receive a request; 0 if it is unknown or past.
func (s State) Remaining(now clock.Stamp) time.Duration { return max(s.Until.Sub(now), 0) }

// ParseRetryAfter parses a number of seconds, which can have fractions. It returns false for a value
// that is no finite positive number: such a value asks for nothing. A value above MaxTime counts as
// MaxTime.
func ParseRetryAfter(text string) (time.Duration, bool) {
	n, err := strconv.ParseFloat(text, 64)
	if err != nil || math.IsNaN(n) || math.IsInf(n, 0) || n <= 0 {
		return 0, false
	}
	return time.Duration(min(n, MaxTime.Seconds()) * float64(time.Second)), true
}
