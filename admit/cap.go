// Package admit decides how many requests a target may run at once.
//
// The load it answers: a few workspaces or chats that take most of the work,
// and targets in cold start. Placement by hash sends a popular chat's repeats
// to one target whatever it carries already; without a hard cap that target
// answers late while its neighbours idle. And a target that has just started
// falls over under a load that a warm one carries with ease; without a cold cap
// it is pushed over again each time it comes back.
package admit

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// MaxMeanAge is how old a mean may be and still count in full. Samples are
	// dropped after 10 s and travel a few seconds, so a figure that is older
	// comes from an agent that has lost its peers, not from a slow exchange.
	MaxMeanAge = 15 * time.Second
	// MeanHalfLife is how long it takes a mean older than Hold to lose half its value.
	// The real mean may have dropped meanwhile, so an old figure must err low:
	// a target that is cut off then carries too little, and never more than
	// the multiple of the mean. Load of a day falls by half in hours, so 10 s
	// errs far on the safe side and still leaves a minute before a target with
	// a mean of some tens falls to its floor.
	MeanHalfLife = 10 * time.Second
	// roundingTolerance absorbs the error of the product: 1.15 x 20 is 23, and not the
	// 22.999999999999996 that the processor makes of it.
	roundingTolerance = 1e-9
)

// Cap is the hard cap on what one target runs: a multiple of the mean load.
// Set the fields before use; they may be set again with each publication.
type Cap struct {
	// Multiple of the mean that must not be exceeded; 0 leaves only Slots.
	Multiple float64
	// Floor is what the target may always run.
	Floor int
	// Slots is the most that the target can run; below 1 it is read as 1.
	Slots int
	// Weight of the target against others; 1 if unset.
	Weight float64
	// Single says that no other target serves the model: its load is the mean,
	// so that a multiple of the mean says nothing, and Slots alone decides.
	Single bool

	mean       chestnutstep.Mean
	measuredAt time.Time
}

// Measure takes a new estimate of the mean. An estimate that rests on no other
// target is the target's own load; as a cap it would grow with every request
// that it lets in, so it is left out and the last real one ages on.
func (c *Cap) Measure(now time.Time, m chestnutstep.Mean) {
	if m.Targets == 0 {
		return
	}
	c.mean, c.measuredAt = m, now
}

// At returns the cap in force. It is the multiple of the mean load for this
// target's weight, rounded down, but at least Floor and at most Slots.
//
// Rounding down is what keeps the promise: rounding up lets a target with a
// mean of 1 run twice the mean at any multiple. Floor is its one exception,
// published by the operators, and needed: at multiple 1.25 and a mean of 0.5
// the product is below one, and no target would ever start anything.
//
// Rounded down, a cap that counted running requests alone could lock the
// fleet: with all targets at 3, floor(1.25 x 3) is 3, and none may run a
// fourth however much work is turned away. So the mean counts what waits as
// well: work that was turned away by all waits at its last target, the mean
// rises with it, and the cap follows. Slots bounds that rise.
func (c *Cap) At(now time.Time) int {
	slots := max(c.Slots, 1)
	if c.Multiple <= 0 || c.Single {
		return slots
	}
	limit := int(math.Floor(c.Multiple*c.Mean(now)*weightOrDefault(c.Weight) + roundingTolerance))
	return min(max(limit, c.Floor, 1), slots)
}

// Mean is the mean load that the cap rests on, for one unit of weight: the last
// estimate, less what its age costs it.
func (c *Cap) Mean(now time.Time) float64 {
	age := c.mean.Age + now.Sub(c.measuredAt)
	if age <= MaxMeanAge {
		return c.mean.Load
	}
	return c.mean.Load * math.Exp2(-float64(age-MaxMeanAge)/float64(MeanHalfLife))
}

func weightOrDefault(w float64) float64 {
	if w > 0 {
		return w
	}
	return 1
}
