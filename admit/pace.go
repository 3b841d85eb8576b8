package admit

import (
	"time"

	"github.com/cespare/xxhash/v2"
)

// DurationEstimator is how long work holds a place at targets, as measured.
type DurationEstimator struct {
	// Smoothing is the weight of one more measurement in the moving averages; 0.1 if unset.
	Smoothing float64

	meanSeconds    float64
	meanCost       float64
	hasMeasurement bool
}

// defaultSmoothing lets the last ten or so measurements count. Fewer would follow every
// long plan, more would keep refusing for a slow target long after it has recovered.
const defaultSmoothing = 0.1

// Measure takes what one request took, however it ended: one that was cancelled
// freed its place as much as one that was answered, and most are cancelled.
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

// Estimate is how long work of a cost holds a place; 0 while nothing is measured.
func (e *DurationEstimator) Estimate(cost float64) time.Duration {
	if !e.hasMeasurement {
		return 0
	}
	return secondsToDuration(e.meanSeconds / e.meanCost * cost)
}

// Mean is how long the average request holds a place.
func (e *DurationEstimator) Mean() time.Duration { return secondsToDuration(e.meanSeconds) }

// maxEstimate bounds every estimate: past an hour there is no difference to a
// caller, and sums of such durations must not overflow.
const maxEstimate = time.Hour

func secondsToDuration(s float64) time.Duration {
	if s >= maxEstimate.Seconds() {
		return maxEstimate
	}
	return time.Duration(s * float64(time.Second))
}

// Jitter stretches a pause by up to its own length, by the hash of the id.
// Callers that were refused in one second would otherwise return in one second,
// be refused together again, and so on. A hash spreads as well as a random
// number and gives the same answer each time.
func Jitter(id string, d time.Duration) time.Duration {
	const steps = 1024
	return d + d/steps*time.Duration(xxhash.Sum64String(id)%steps)
}
