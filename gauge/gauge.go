// Package gauge holds the load that targets report about themselves in their answers, and exchanges
// it between entries. An entry of a large fleet gets an answer of each target less than once a
// second, while the speed of a target can change several times a second. Only readings of targets
// that state their speed are kept: they switch the use of reported load on.
//
// Times are those of this process; between entries only ages are exchanged. Each hop adds to them more than the usual
// time on the network.
package gauge

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// Lifetime is the age from which a reading has no weight: the length of the phases in which targets
// are slow.
const Lifetime = 600 * time.Millisecond

// Weight returns the weight of a reading by its age, from 1 to 0. It answers load whose speed changes
// within a second. A reading meets a phase of length Lifetime at a random moment, so the phase
// still lasts after the given age with this probability.
func Weight(age time.Duration) float64 {
	return min(max(1-float64(age)/float64(Lifetime), 0), 1)
}

// Reading is the load that a target reported, and the time of the report; the zero Reading if there
// is none. The slots are left out, as the configuration states them too.
type Reading struct {
	// Running and Waiting are the requests that run at the target and that wait for a slot.
	Running, Waiting int
	// Slowdown is how long work takes at the target relative to its usual speed.
	Slowdown float64
	At       clock.Stamp
}

func newReading(now clock.Stamp, l chestnutstep.TargetLoad) Reading {
	return Reading{Running: l.Running, Waiting: l.Waiting, Slowdown: l.Slowdown, At: now}
}

// IsPlausible reports whether a target with the given slots can have the load; 0 if they are unknown.
func (r *Reading) IsPlausible(slots int) bool {
	l := chestnutstep.TargetLoad{Running: r.Running, Waiting: r.Waiting, Slots: slots, Slowdown: r.Slowdown}
	return l.IsPlausible()
}

// Weight returns the weight of the reading now; 0 if there is none.
func (r *Reading) Weight(now clock.Stamp) float64 {
	if r.Slowdown <= 0 {
		return 0
	}
	return Weight(now.Sub(r.At))
}

// ExpectedSlowdown returns the expected slowdown for the weight of the reading: 1 without weight.
func (r *Reading) ExpectedSlowdown(weight float64) float64 {
	return 1 + (r.Slowdown-1)*weight
}

// isNewer reports whether the reading replaces another one: it is newer by more than the margin.
func (r *Reading) isNewer(other *Reading, margin time.Duration) bool {
	return other.Slowdown <= 0 || r.At.Sub(other.At) > margin
}
