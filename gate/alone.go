package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// maxDrainTime is how long a suspect may keep others from starting while it
	// waits for the target to empty. Answers in progress take seconds to tens of
	// seconds; a target that isn't empty by then is given back to its callers.
	maxDrainTime = 20 * time.Second
	// pauseFactor is how many times as long as one suspect held the target the next
	// must stay away. With 9, suspects have at most a tenth of the target:
	// otherwise a caller that keeps sending content that crashes targets would
	// take them out of service without crashing any.
	pauseFactor = 9
)

// suspectSlot is how crash suspects get their turn. A suspect was running when a
// target crashed. Run beside others, a guilty one takes them down with it, and
// which of them was guilty stays unknown; run by itself, its answer clears it,
// or one crash condemns it.
type suspectSlot struct {
	// waiting is the suspect that waits for the target to empty; others start
	// nothing meanwhile.
	waiting *chestnutstep.Work
	// runningID is the id of the suspect that runs.
	runningID string
	// heldSince is when the suspect began to hold the target.
	heldSince time.Time
	// nextAt is when another suspect may come.
	nextAt time.Time
}

// isTaken says that nothing else may start.
func (t *suspectSlot) isTaken() bool { return t.waiting != nil || t.runningID != "" }

func (t *suspectSlot) isWaiting(id string) bool { return t.waiting != nil && t.waiting.ID == id }

// availableIn is how long until another suspect may come.
func (t *suspectSlot) availableIn(now time.Time) time.Duration {
	if t.isTaken() {
		return maxDrainTime
	}
	return t.nextAt.Sub(now)
}

func (t *suspectSlot) start(now time.Time, id string) {
	if t.waiting == nil {
		t.heldSince = now
	}
	t.waiting, t.runningID = nil, id
}

// end frees the target when it was the suspect that ended.
func (t *suspectSlot) end(now time.Time, id string) {
	if t.runningID != id || id == "" {
		return
	}
	t.runningID = ""
	t.nextAt = now.Add(pauseFactor * now.Sub(t.heldSince))
}

// remove gives up a suspect that waits.
func (t *suspectSlot) remove(now time.Time, id string) bool {
	if !t.isWaiting(id) {
		return false
	}
	t.waiting = nil
	t.nextAt = now.Add(pauseFactor * now.Sub(t.heldSince))
	return true
}

// expire gives up a suspect whose time is over, or for which the target would
// not empty.
func (t *suspectSlot) expire(now time.Time) (*chestnutstep.Work, chestnutstep.Reason) {
	w := t.waiting
	if w == nil {
		return nil, ""
	}
	if !w.Deadline.After(now) {
		t.remove(now, w.ID)
		return w, chestnutstep.ReasonLate
	}
	if now.Sub(t.heldSince) < maxDrainTime {
		return nil, ""
	}
	t.remove(now, w.ID)
	return w, chestnutstep.ReasonSuspect
}

// offerSuspect decides on a suspect. It waits for the target to empty whatever
// its patience: there is hardly a target without work, so refused here it would
// be refused everywhere.
func (g *Gate) offerSuspect(now time.Time, w chestnutstep.Work) chestnutstep.Decision {
	if g.suspect.isTaken() || now.Before(g.suspect.nextAt) {
		return g.refuse(now, w, chestnutstep.ReasonSuspect)
	}
	if len(g.running) == 0 {
		g.suspect.start(now, w.ID)
		g.start(now, w)
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictAccept}
	}
	g.suspect.waiting, g.suspect.heldSince = &w, now
	return chestnutstep.Decision{Verdict: chestnutstep.VerdictQueue, PredictedWait: min(maxDrainTime, g.pace.Mean())}
}

// startSuspect starts the suspect once the target is empty.
func (g *Gate) startSuspect(now time.Time) string {
	w := g.suspect.waiting
	if w == nil || len(g.running) > 0 {
		return ""
	}
	g.suspect.start(now, w.ID)
	g.start(now, *w)
	return w.ID
}
