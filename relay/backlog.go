package relay

import (
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

// acceptQueue observes the queue of connections that wait to be accepted. The system does
// not say for how long one has waited; but a queue that is not found empty for a while holds
// connections that have waited for about as long.
type acceptQueue struct {
	// nonEmptySince is when the queue was last empty; 0 while it is.
	nonEmptySince atomic.Int64
}

// observe notes whether a connection waits.
func (q *acceptQueue) observe(now clock.Stamp, waiting bool) {
	if !waiting {
		q.nonEmptySince.Store(0)
		return
	}
	q.nonEmptySince.CompareAndSwap(0, int64(now))
}

// nonEmptyFor is for how long the queue has not been found empty.
func (q *acceptQueue) nonEmptyFor(now clock.Stamp) time.Duration {
	since := q.nonEmptySince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(clock.Stamp(since))
}
