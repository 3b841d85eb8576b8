package watch

import (
	"math/rand/v2"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// minBackoff and maxBackoff bound the pause after a failure. The minimum allows an immediate
	// retry after a lost response; the maximum limits a fleet of 350 entries to 1,200 calls per
	// second while the source rejects them.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Backoff spaces calls that fail with increasing pauses. It is safe for concurrent use. The zero
// value is ready to use.
type Backoff struct {
	mu    sync.Mutex
	delay time.Duration
	// pausedUntil is the end of the last pause returned.
	pausedUntil clock.Stamp
}

// next returns the pause after a failure.
func (b *Backoff) next(now clock.Stamp) time.Duration {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay = min(max(2*b.delay, minBackoff), maxBackoff)
	b.pausedUntil = max(b.pausedUntil, now).Add(b.delay/2 + rand.N(b.delay))
	return b.pausedUntil.Sub(now)
}

// reset returns to the minimum pause after a success.
func (b *Backoff) reset() {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.delay, b.pausedUntil = 0, 0
}
