// Package ramp decides how fast load leaves a target and comes back to it.
//
// The load it answers: operators take a whole failure domain out at short
// notice and bring it back, and targets flap. Without it, all that waited at
// the domain's targets moves in one wave to the next targets of the ranking.
//
// The way back needs no clock. A target that lost its caches comes back under
// its cold cap, which whole answers raise; one that kept them is warm; and a
// chat with a hint stays where it was served meanwhile. A share that rose over
// 30 s was tried on top of this, and only made callers wait: see the design
// page.
package ramp

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// ShedInterval is how long the waiting work of one class has, after that of the
	// next less urgent one, before it is turned away. Three classes at 0.7 s
	// are gone in about two seconds: a target that leaves starts nothing new
	// after "a few seconds", and what is shed reaches the others in three
	// parts instead of one.
	ShedInterval = 700 * time.Millisecond
)

// Ramp is one target's way out and back. The zero value is in.
type Ramp struct {
	leaving      bool
	leavingSince time.Time
}

// Leave says that the target takes no new work from now on.
func (r *Ramp) Leave(now time.Time) {
	if !r.leaving {
		r.leaving, r.leavingSince = true, now
	}
}

// Return says that the target takes work again.
func (r *Ramp) Return() { r.leaving = false }

// Leaving says whether the target takes no new work.
func (r *Ramp) Leaving() bool { return r.leaving }

// Weight is the share of full load, 0 to 1, that a target asks for: none while
// it leaves, and as much as it has proven to carry of what it could.
func (r *Ramp) Weight(proven, slots int) float64 {
	if r.leaving {
		return 0
	}
	return min(1, float64(proven)/float64(max(1, slots)))
}

// ShouldShed says whether waiting work of a class must go elsewhere by now: the least
// urgent at once, each more urgent class one Step later. Urgent work is held
// longest since it may well start here before it would start elsewhere.
func (r *Ramp) ShouldShed(now time.Time, class chestnutstep.Class) bool {
	if !r.leaving {
		return false
	}
	steps := max(0, chestnutstep.ClassCount-1-int(class))
	return now.Sub(r.leavingSince) >= time.Duration(steps)*ShedInterval
}
