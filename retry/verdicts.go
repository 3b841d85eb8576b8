package retry

import "chestnutstep.example/chestnutstep"

// Tally sums up what the tries of one request proved. It is the one place that
// says whether "not run" would be true.
type Tally struct {
	// Tries is how many targets the request was sent to.
	Tries int
	// Unreached is how many could not be reached: nothing was sent.
	Unreached int
	// Counted is how many of them may have begun to run it.
	Counted int
	// Maybe says that one of them may have run it.
	Maybe bool
	// Ran says that one of them did.
	Ran bool
}

// Add takes the end of one try.
func (t *Tally) Add(run chestnutstep.RunStatus) {
	t.Tries++
	switch run {
	case chestnutstep.RunMaybe:
		t.Maybe = true
		t.Counted++
	case chestnutstep.RunYes:
		t.Ran = true
		t.Counted++
	}
}

// NotRun says that no target ran the request or will.
func (t *Tally) NotRun() bool { return !t.Maybe && !t.Ran }

// Again says whether the request may be sent to another target. One that is not
// idempotent may have run once it was sent and no target said otherwise: a slot
// confirmed twice shows as two people before one door. Each further target
// counts against the route's tries. One that could not be reached does not, but
// with unreachedMost of them the fault is more likely on this side.
func (t *Tally) Again(idempotent bool, most int) bool {
	if !idempotent && !t.NotRun() || t.Unreached >= unreachedMost {
		return false
	}
	if t.NotRun() {
		most = max(most, unrunMost)
	}
	return t.Tries < most
}

const (
	// unreachedMost is how many targets that can't be reached are tried. A fifth
	// of a service's targets may crash at once; six tries then find one that lives
	// with all but one request in ten thousand.
	unreachedMost = 6
	// unrunMost is how many targets may refuse a request, whatever the route's
	// tries, which bound where it may run.
	unrunMost = 3
)
