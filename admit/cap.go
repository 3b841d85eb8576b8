// Package admit decides how many requests a target may run at once, and which requests an entry
// refuses when places run out or its processor is overloaded. It uses the published slots, the mean
// load of the fleet, the observed latencies and the scheduling delay. The hard cap is needed
// because a few workspaces or chats cause most of the load, and placement by hash sends all
// requests of a popular chat to one target, which would answer late while the other targets are
// idle. The cold cap is needed because a target that has just started fails under a load that a
// warm one can carry, and would fail again after each restart.
package admit

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// MaxMeanAge is the maximum age of a mean that counts in full. Samples are dropped after 10 s
	// and travel for a few seconds, so an older mean means that the agent has lost its peers, not
	// that the exchange is slow.
	MaxMeanAge = 15 * time.Second
	// MeanHalfLife is the half-life of a mean that is older than MaxMeanAge. The real mean may have
	// dropped meanwhile, so an old one must be reduced: a target that is cut off then carries too
	// little, but never more than the multiple of the mean. The load of a day halves in hours, so
	// 10 s is well on the safe side, and a target with a mean of some tens takes a minute to reach
	// its floor.
	MeanHalfLife = 10 * time.Second
	// roundingTolerance compensates for floating-point errors: 1.15 x 20 is 23, not
	// 22.999999999999996.
	roundingTolerance = 1e-9
)

// Cap is the hard cap on the load of one target, a multiple of the mean load. Set the fields before
// use; they can be set again with each publication.
type Cap struct {
	// Multiple of the mean that must not be exceeded; 0 means that only Slots applies.
	Multiple float64
	// Floor is the load that the target may always run.
	Floor int
	// Slots is the maximum that the target can run; values below 1 mean 1.
	Slots int
	// Weight of the target relative to others; 0 means 1.
	Weight float64
	// Single reports whether no other target serves the model. The mean is then the target's own
	// load, so that a multiple of it is meaningless and only Slots applies.
	Single bool

	mean       chestnutstep.Mean
	measuredAt time.Time
}

// Measure records a new estimate of the mean. An estimate without other targets is ignored: it is
// the target's own load, and a cap based on it would grow with every request that it admits. The
// previous estimate continues to age.
func (c *Cap) Measure(now time.Time, m chestnutstep.Mean) {
	if m.Targets == 0 {
		return
	}
	c.mean, c.measuredAt = m, now
}

// At returns the current cap: the multiple of the mean load for this target's weight, rounded down,
// but at least Floor and at most Slots.
//
// Rounding down ensures that the multiple is not exceeded: rounded up, a target with a mean of 1
// could run twice the mean at any multiple. Floor, which the operators publish, is the only
// exception. It is needed because at a multiple of 1.25 and a mean of 0.5 the product is below one,
// and no target would start any request.
//
// If the mean counted only running requests, rounding down could block the fleet: with all targets
// at 3, floor(1.25 x 3) is 3, and no target could run a fourth request regardless of the demand.
// Therefore the mean also counts waiting requests: a request refused by all targets waits at the
// last one, the mean rises, and the cap follows up to Slots.
func (c *Cap) At(now time.Time) int {
	slots := max(c.Slots, 1)
	if c.Multiple <= 0 || c.Single {
		return slots
	}
	limit := int(math.Floor(c.Multiple*c.Mean(now)*weightOrDefault(c.Weight) + roundingTolerance))
	return min(max(limit, c.Floor, 1), slots)
}

// Mean returns the mean load per unit of weight on which the cap is based: the last estimate,
// reduced according to its age.
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
