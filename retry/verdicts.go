package retry

import "chestnutstep.example/chestnutstep"

// Tally sums up what the tries of one request proved. It is the one place that
// says whether "not run" would be true.
type Tally struct {
	// Tries is how many targets the request was sent to.
	Tries int
	// Counted is how many of them may have begun to run it.
	Counted int
	// Maybe says that one of them may have run it.
	Maybe bool
	// Ran says that one of them did.
	Ran bool
}

// Add takes the end of one try.
func (t *Tally) Add(run chestnutstep.Run) {
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
// counts against the route's tries.
func (t *Tally) Again(idempotent bool, most int) bool {
	if !idempotent && !t.NotRun() {
		return false
	}
	return t.Tries < most
}
