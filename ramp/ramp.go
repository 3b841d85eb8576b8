// Package ramp decides how fast load leaves a target and comes back to it.
//
// The load it answers: operators take a whole failure domain out at short
// notice and bring it back, and targets flap. Without it, all that waited at
// the domain's targets moves in one wave to the next targets of the ranking,
// and at the return all chats of the domain come home in the same second, to
// caches that are empty or hours old.
package ramp

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// Start is the share of its cap that a returning target begins with: enough
	// to see at once whether it serves, too little to matter if it doesn't.
	Start = 0.1
	// Rise is how long a returning target takes to its full share. A chat costs
	// its target most on the first turn, when its prompt is read anew; over
	// 30 s a third of the fleet comes back at 3% of the load a second, which
	// the others' spare room under their caps covers.
	Rise = 30 * time.Second
	// Step is how long the waiting work of one class has, after that of the
	// next less urgent one, before it is turned away. Three classes at 0.7 s
	// are gone in about two seconds: a target that leaves starts nothing new
	// after "a few seconds", and what is shed reaches the others in three
	// parts instead of one.
	Step = 700 * time.Millisecond
)

// Ramp is one target's way out and back. The zero value is fully in: what a
// start costs is the cold cap's matter.
type Ramp struct {
	away  bool
	since time.Time
	rises bool
}

// Leave says that the target takes no new work from now on.
func (r *Ramp) Leave(now time.Time) {
	if r.away {
		return
	}
	r.away, r.since = true, now
}

// Return says that the target takes work again. A target that flaps returns to
// Start each time, so it never gets far, whatever its last share was.
func (r *Ramp) Return(now time.Time) {
	if !r.away {
		return
	}
	r.away, r.since, r.rises = false, now, true
}

// Away says whether the target takes no new work.
func (r *Ramp) Away() bool { return r.away }

// Share is the part of its full cap that the target asks for: 0 to 1.
func (r *Ramp) Share(now time.Time) float64 {
	if r.away {
		return 0
	}
	if !r.rises {
		return 1
	}
	gone := float64(now.Sub(r.since)) / float64(Rise)
	return min(1, Start+(1-Start)*max(0, gone))
}

// Scale applies the share to a cap, rounded down; a target that takes work at
// all takes one request.
func (r *Ramp) Scale(now time.Time, limit int) int {
	return max(1, int(r.Share(now)*float64(limit)))
}

// Shed says whether waiting work of a class must go elsewhere by now: the least
// urgent at once, each more urgent class one Step later. Urgent work is held
// longest since it may well start here before it would start elsewhere.
func (r *Ramp) Shed(now time.Time, class chestnutstep.Class) bool {
	if !r.away {
		return false
	}
	later := max(0, chestnutstep.Classes-1-int(class))
	return now.Sub(r.since) >= time.Duration(later)*Step
}
