package gossip

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackoff and maxBackoff bound the pause before the service is read
	// again after a failure. The first pause is short, as most failures are a
	// single lost connection. The last one spreads the load of thousands of
	// processes on a service that recovers: with one minute, 3,050 processes
	// send about 50 reads per second.
	minBackoff = time.Second
	maxBackoff = time.Minute
)

// backoff returns the pause after a number of consecutive failures. It is drawn
// from the whole range up to the bound, because processes that lost the service
// at the same time would otherwise return at the same time and overload it
// again.
func backoff(failures int, r *rand.Rand) time.Duration {
	bound := maxBackoff
	if shift := max(failures-1, 0); shift < 6 {
		bound = min(minBackoff<<shift, maxBackoff)
	}
	return bound/10 + time.Duration(r.Int64N(int64(bound)))
}
