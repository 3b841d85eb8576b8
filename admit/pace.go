package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// DurationEstimator estimates how long requests occupy a place at targets, from measurements.
type DurationEstimator struct {
	// Smoothing is the weight of a new measurement in the moving averages; 0 means
	// defaultSmoothing.
	Smoothing float64

	meanSeconds    float64
	meanCost       float64
	hasMeasurement bool
}

// defaultSmoothing averages over about the last ten measurements. With fewer, each long request
// would change the estimate; with more, a target that was slow would cause refusals long after it
// has recovered.
const defaultSmoothing = 0.1

// Measure records the duration and cost of one request. Canceled requests count too: they free
// their place like answered ones, and most requests are canceled.
func (e *DurationEstimator) Measure(took time.Duration, cost float64) {
	s := max(0, took.Seconds())
	if !e.hasMeasurement {
		e.meanSeconds, e.meanCost, e.hasMeasurement = s, max(cost, 1), true
		return
	}
	smoothing := e.Smoothing
	if smoothing <= 0 {
		smoothing = defaultSmoothing
	}
	e.meanSeconds += smoothing * (s - e.meanSeconds)
	e.meanCost += smoothing * (max(cost, 1) - e.meanCost)
}

// Estimate returns how long a request of the given cost occupies a place; 0 if nothing was
// measured.
func (e *DurationEstimator) Estimate(cost float64) time.Duration {
	if !e.hasMeasurement {
		return 0
	}
	return secondsToDuration(e.meanSeconds / e.meanCost * cost)
}

// Mean returns how long the average request occupies a place.
func (e *DurationEstimator) Mean() time.Duration { return secondsToDuration(e.meanSeconds) }

// maxEstimate limits every estimate. Beyond an hour there is no difference for callers, and sums of
// estimates must not overflow.
const maxEstimate = time.Hour

func secondsToDuration(s float64) time.Duration {
	if s >= maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(s * float64(time.Second))
}

// Jitter extends a duration by up to its own length, based on the hash of the id. Otherwise callers
// that were refused in the same second would return in the same second and be refused again. A hash
// spreads them as well as a random number and is deterministic.
func Jitter(id string, d time.Duration) time.Duration {
	const steps = 1024
	return d + d/steps*time.Duration(xxhash.Sum64String(id)%steps)
}
