package feed

import (
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

// sourceBackoff is how long an entry that its peers can keep up to date makes no call of the
// source after a failure: all entries together would keep a source busy that is down.
const sourceBackoff = time.Second

// Breaker holds back calls of a source that has failed. It is safe for concurrent use, and its
// zero value is open.
type Breaker struct{ blockedUntil atomic.Int64 }

// allows says whether the source may be called.
func (g *Breaker) allows(now clock.Stamp) bool { return int64(now) >= g.blockedUntil.Load() }

// trip holds calls back for a while.
func (g *Breaker) trip(now clock.Stamp) { g.blockedUntil.Store(int64(now.Add(sourceBackoff))) }
