package admit

import "time"

const (
	// retryAfterRatio is the part of its objective after which a refused request should be retried.
	// With jitter it can be twice as much, which is still in time if a place is free then.
	retryAfterRatio = 1.0 / 6
	// minRetryAfter is the minimum time before a retry when targets have no free place. Below it,
	// retries of refused requests would cost more than the requests themselves.
	minRetryAfter = 20 * time.Millisecond
	// defaultRetryAfter is the time before a retry for requests without an objective.
	defaultRetryAfter = 250 * time.Millisecond
)

// RetryAfter returns the time after which a caller that found no free place should retry. Places
// become free continuously, so that a retry within the objective can still be served in time.
func RetryAfter(id string, objective time.Duration) time.Duration {
	if objective <= 0 {
		return Jitter(id, defaultRetryAfter)
	}
	return Jitter(id, max(time.Duration(retryAfterRatio*float64(objective)), minRetryAfter))
}
