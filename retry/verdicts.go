package retry

import "chestnutstep.example/chestnutstep"

// Attempts sums up what the tries of one request proved. It is the one place that
// says whether "not run" would be true.
type Attempts struct {
	// Sent is how many targets the request was sent to.
	Sent int
	// Unreached is how many could not be reached: nothing was sent.
	Unreached int
	// PossibleRuns is how many of them may have begun to run it.
	PossibleRuns int
	// MaybeRan says that one of them may have run it.
	MaybeRan bool
	// Ran says that one of them did.
	Ran bool
}

// Record takes the end of one try.
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

// NotRun says that no target ran the request or will.
func (a *Attempts) NotRun() bool { return !a.MaybeRan && !a.Ran }

// CanRetry says whether the request may be sent to another target. One that is not
// idempotent may have run once it was sent and no target said otherwise: a slot
// confirmed twice shows as two people before one door. Each further target
// counts against the route's tries. One that could not be reached does not, but
// with unreachedMost of them the fault is more likely on this side.
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
	// maxUnreached is how many targets that can't be reached are tried. A fifth
	// of a service's targets may crash at once; six tries then find one that lives
	// with all but one request in ten thousand.
	maxUnreached = 6
	// maxNotRun is how many targets may refuse a request, whatever the route's
	// tries, which bound where it may run.
	maxNotRun = 3
)
