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
	// since is when the queue was last empty; 0 while it is.
	since atomic.Int64
}

// observe notes whether a connection waits.
func (q *acceptQueue) observe(now clock.Stamp, waits bool) {
	if !waits {
		q.since.Store(0)
		return
	}
	q.since.CompareAndSwap(0, int64(now))
}

// standing is for how long the queue has not been found empty.
func (q *acceptQueue) standing(now clock.Stamp) time.Duration {
	since := q.since.Load()
	if since == 0 {
		return 0
	}
	return now.Sub(clock.Stamp(since))
}
