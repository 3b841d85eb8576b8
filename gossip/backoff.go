package gossip

import (
	"math/rand/v2"
	"time"
)

const (
	// minBackoff and backoffLast bound the pause before the service is asked
	// again after it failed. The first is short, as most failures are one lost
	// connection; the last lets thousands of processes share a service that
	// comes back: at a minute, 3,050 of them ask 50 times a second.
	minBackoff = time.Second
	maxBackoff = time.Minute
)

// backoff is the pause after a number of failures in a row. It is drawn from
// the whole range up to the bound: processes that lost the service together
// would otherwise return together, and bring it down again.
func backoff(failures int, r *rand.Rand) time.Duration {
	bound := maxBackoff
	if shift := max(failures-1, 0); shift < 6 {
		bound = min(minBackoff<<shift, maxBackoff)
	}
	return bound/10 + time.Duration(r.Int64N(int64(bound)))
}
