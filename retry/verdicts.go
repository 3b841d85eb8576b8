package retry

import "chestnutstep.example/chestnutstep"

// Attempts summarizes the results of all attempts of one request. It is the only place that decides
// whether "not run" is true.
type Attempts struct {
	// Sent counts the targets to which the request was sent.
	Sent int
	// Unreached counts the targets that could not be reached, so that nothing was sent.
	Unreached int
	// PossibleRuns counts the targets that may have started to run the request.
	PossibleRuns int
	// MaybeRan reports whether a target may have run it.
	MaybeRan bool
	// Ran reports whether a target has run it.
	Ran bool
}

// Record records the result of one attempt.
func (a *Attempts) Record(run chestnutstep.RunStatus) {
	a.Sent++
	switch run {
	case chestnutstep.RunMaybe:
		a.MaybeRan = true
		a.PossibleRuns++
	case chestnutstep.RunYes:
		a.Ran = true
		a.PossibleRuns++
	}
}

// NotRun reports whether it is certain that no target has run the request or will run it.
func (a *Attempts) NotRun() bool { return !a.MaybeRan && !a.Ran }

// CanRetry reports whether the request may be sent to another target. A request that is not
// idempotent is not sent again if a target can have run it: a slot would be booked twice. Each
// target to which the request was sent counts against limit, the attempts of the route. A target
// that could not be reached does not count; after maxUnreached of them the fault is probably on
// this side.
func (a *Attempts) CanRetry(idempotent bool, limit int) bool {
	if !idempotent && !a.NotRun() || a.Unreached >= maxUnreached {
		return false
	}
	if a.NotRun() {
		limit = max(limit, maxNotRun)
	}
	return a.Sent < limit
}

const (
	// maxUnreached limits the unreachable targets that are tried. A fifth of a service's targets
	// can crash at once; with six attempts, all but one request in ten thousand reach one that is
	// up.
	maxUnreached = 6
	// maxNotRun is the number of targets that may refuse a request without running it even if the
	// route allows fewer attempts, as those only limit possible runs.
	maxNotRun = 3
)
