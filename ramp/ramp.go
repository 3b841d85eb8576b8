// Package ramp decides how fast load leaves a target and returns to it.
//
// Operators take a whole failure domain out at short notice and bring it back, and targets
// flap. Without this package, all requests that wait at the domain's targets would move at the
// same moment to the next targets in the ranking.
//
// The return needs no timer. A target that lost its caches returns with its cold cap, which
// rises with complete answers; a target that kept them is warm; and a chat with a hint stays
// where it was served meanwhile. An additional ramp of the weight over 30 s only makes callers
// wait: see the design page.
package ramp

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// ShedInterval is the time between shedding the waiting work of one class and that of the
	// next more urgent one. Three classes are shed in about two seconds with 0.7 s: a leaving
	// target must start nothing new after a few seconds, and the shed work reaches the other
	// targets in three parts instead of one.
	ShedInterval = 700 * time.Millisecond
)

// Ramp is the draining state of one target. The zero value is in service.
type Ramp struct {
	leaving      bool
	leavingSince time.Time
}

// Leave marks the target as leaving. Repeated calls do not restart the time.
func (r *Ramp) Leave(now time.Time) {
	if !r.leaving {
		r.leaving, r.leavingSince = true, now
	}
}

// Return marks the target as in service.
func (r *Ramp) Return() { r.leaving = false }

// Leaving reports whether the target takes no new work.
func (r *Ramp) Leaving() bool { return r.leaving }

// Weight returns the part of the full load that a target requests, from 0 to 1: 0 while it
// leaves, otherwise its proven capacity relative to its slots.
func (r *Ramp) Weight(proven, slots int) float64 {
	if r.leaving {
		return 0
	}
	return min(1, float64(proven)/float64(max(1, slots)))
}

// ShouldShed reports whether the waiting work of a class must go to other targets now: the
// least urgent at once, each more urgent class one ShedInterval later. Urgent work is kept
// longest, because it can often start here before it would start elsewhere.
func (r *Ramp) ShouldShed(now time.Time, class chestnutstep.Class) bool {
	if !r.leaving {
		return false
	}
	steps := max(0, chestnutstep.ClassCount-1-int(class))
	return now.Sub(r.leavingSince) >= time.Duration(steps)*ShedInterval
}
