package admit

import "time"

const (
	// retryAfterRatio is the part of its objective after which a refused request comes back:
	// spread to twice that, it is still in time if it finds a place then.
	retryAfterRatio = 1.0 / 6
	// minRetryAfter is the least time after which a caller comes back to targets without
	// a place: below it, repeats of refused work would cost more than the work.
	minRetryAfter = 20 * time.Millisecond
	// defaultRetryAfter is when one comes back that has no objective.
	defaultRetryAfter = 250 * time.Millisecond
)

// RetryAfter is when a caller may come back that found no place. Places come free all the
// time: one who asks again within its objective may still be served in time.
func RetryAfter(id string, objective time.Duration) time.Duration {
	if objective <= 0 {
		return Jitter(id, defaultRetryAfter)
	}
	return Jitter(id, max(time.Duration(retryAfterRatio*float64(objective)), minRetryAfter))
}
