package watch

import (
	"math/rand/v2"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// pauseLeast and pauseMost bound the pause after a failure. The least lets a
	// lost answer be asked for at once; the most keeps a fleet of 350 under
	// 1,200 calls a second while the source refuses them.
	pauseLeast = 30 * time.Millisecond
	pauseMost  = 300 * time.Millisecond
)

// Pauses spaces calls that fail: each pause in a row is longer. It is safe for concurrent use,
// and its zero value works.
type Pauses struct {
	mu    sync.Mutex
	pause time.Duration
	// until is when the last pause that was given ends.
	until clock.Stamp
}

// next returns how long to pause after a failure.
func (p *Pauses) next(now clock.Stamp) time.Duration {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause = min(max(2*p.pause, pauseLeast), pauseMost)
	p.until = max(p.until, now).Add(p.pause/2 + rand.N(p.pause))
	return p.until.Sub(now)
}

// reset begins anew after a success.
func (p *Pauses) reset() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.pause, p.until = 0, 0
}
