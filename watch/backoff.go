package watch

import (
	"math/rand/v2"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// minBackoff and pauseMost bound the pause after a failure. The least lets a
	// lost answer be asked for at once; the most keeps a fleet of 350 under
	// 1,200 calls a second while the source refuses them.
	minBackoff = 30 * time.Millisecond
	maxBackoff = 300 * time.Millisecond
)

// Backoff spaces calls that fail: each pause in a row is longer. It is safe for concurrent use,
// and its zero value works.
type Backoff struct {
	mu    sync.Mutex
	delay time.Duration
	// pausedUntil is when the last pause that was given ends.
	pausedUntil clock.Stamp
}

// next returns how long to pause after a failure.
func (p *Backoff) next(now clock.Stamp) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay = min(max(2*p.delay, minBackoff), maxBackoff)
	p.pausedUntil = max(p.pausedUntil, now).Add(p.delay/2 + rand.N(p.delay))
	return p.pausedUntil.Sub(now)
}

// reset begins anew after a success.
func (p *Backoff) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.delay, p.pausedUntil = 0, 0
}
