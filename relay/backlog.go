package relay

import (
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

// acceptQueue tracks the queue of connections that wait to be accepted. The kernel does not report
// how long a connection has been waiting; the time for which the queue has not been found empty is
// used as an estimate.
type acceptQueue struct {
	// nonEmptySince is when the queue was first found non-empty since it was last found empty; 0
	// while it is empty.
	nonEmptySince atomic.Int64
}

// observe records whether a connection is waiting.
func (q *acceptQueue) observe(now clock.Stamp, waiting bool) {
	if !waiting {
		q.nonEmptySince.Store(0)
		return
	}
	q.nonEmptySince.CompareAndSwap(0, int64(now))
}

// nonEmptyFor returns for how long the queue has not been found empty.
func (q *acceptQueue) nonEmptyFor(now clock.Stamp) time.Duration {
	since := q.nonEmptySince.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(clock.Stamp(since))
}
