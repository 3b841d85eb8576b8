package feed

import (
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

// sourceBackoff is the time after a failure of the source during which an entry that can read from
// peers does not call it. Otherwise all entries together would keep an unavailable source busy.
const sourceBackoff = time.Second

// Breaker suspends calls of a source after a failure. It is safe for concurrent use. The zero value
// allows calls.
type Breaker struct{ blockedUntil atomic.Int64 }

// allows reports whether the source can be called.
func (b *Breaker) allows(now clock.Stamp) bool { return int64(now) >= b.blockedUntil.Load() }

// trip suspends calls for sourceBackoff.
func (b *Breaker) trip(now clock.Stamp) { b.blockedUntil.Store(int64(now.Add(sourceBackoff))) }
