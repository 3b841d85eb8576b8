package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// maxDrainTime is how long a waiting suspect can prevent other starts until the target is
	// empty. Answers in progress take seconds to tens of seconds; after this time the target is
	// released again.
	maxDrainTime = 20 * time.Second
	// pauseFactor is the pause before the next suspect, as a multiple of the time that the last
	// one held the target. With 9, suspects use at most a tenth of the target. Otherwise a
	// caller that repeatedly sends suspected content would make targets unavailable without
	// crashing any.
	pauseFactor = 9
)

// suspectSlot schedules crash suspects. A suspect is a request that was running when a target
// crashed. Run concurrently with others, a harmful one would crash their target too, and it
// would stay unclear which request was the cause. Run exclusively, an answer clears it and one
// crash condemns it.
type suspectSlot struct {
	// waiting is the suspect that waits for the target to empty; no other work starts
	// meanwhile.
	waiting *chestnutstep.Work
	// runningID is the ID of the running suspect.
	runningID string
	// heldSince is the time since when the suspect has held the target.
	heldSince time.Time
	// nextAt is the time from which another suspect is accepted.
	nextAt time.Time
}

// isTaken reports whether no other work can start.
func (s *suspectSlot) isTaken() bool { return s.waiting != nil || s.runningID != "" }

func (s *suspectSlot) isWaiting(id string) bool { return s.waiting != nil && s.waiting.ID == id }

// availableIn returns the time until another suspect is accepted.
func (s *suspectSlot) availableIn(now time.Time) time.Duration {
	if s.isTaken() {
		return maxDrainTime
	}
	return s.nextAt.Sub(now)
}

func (s *suspectSlot) start(now time.Time, id string) {
	if s.waiting == nil {
		s.heldSince = now
	}
	s.waiting, s.runningID = nil, id
}

// end releases the target if the ended request was the running suspect.
func (s *suspectSlot) end(now time.Time, id string) {
	if s.runningID != id || id == "" {
		return
	}
	s.runningID = ""
	s.nextAt = now.Add(pauseFactor * now.Sub(s.heldSince))
}

// remove removes a waiting suspect, and reports whether it was waiting.
func (s *suspectSlot) remove(now time.Time, id string) bool {
	if !s.isWaiting(id) {
		return false
	}
	s.waiting = nil
	s.nextAt = now.Add(pauseFactor * now.Sub(s.heldSince))
	return true
}

// expire removes a waiting suspect whose deadline has passed, or for which the target did not
// empty in time.
func (s *suspectSlot) expire(now time.Time) (*chestnutstep.Work, chestnutstep.Reason) {
	w := s.waiting
	if w == nil {
		return nil, ""
	}
	if !w.Deadline.After(now) {
		s.remove(now, w.ID)
		return w, chestnutstep.ReasonLate
	}
	if now.Sub(s.heldSince) < maxDrainTime {
		return nil, ""
	}
	s.remove(now, w.ID)
	return w, chestnutstep.ReasonSuspect
}

// offerSuspect decides on a suspect. A suspect waits for the target to empty regardless of its
// patience: almost all targets have work in progress, so a suspect rejected for that reason
// would be rejected everywhere.
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
	return chestnutstep.Decision{Verdict: chestnutstep.VerdictQueue, PredictedWait: min(maxDrainTime, g.durations.Mean())}
}

// startSuspect starts the waiting suspect once the target is empty, and returns its ID.
func (g *Gate) startSuspect(now time.Time) string {
	w := g.suspect.waiting
	if w == nil || len(g.running) > 0 {
		return ""
	}
	g.suspect.start(now, w.ID)
	g.start(now, *w)
	return w.ID
}
