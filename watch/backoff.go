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
func (p *Backoff) next(now clock.Stamp) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = min(max(2*p.delay, minBackoff), maxBackoff)
	p.pausedUntil = max(p.pausedUntil, now).Add(p.delay/2 + rand.N(p.delay))
	return p.pausedUntil.Sub(now)
}

// reset returns to the minimum pause after a success.
func (p *Backoff) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.pausedUntil = 0, 0
}
