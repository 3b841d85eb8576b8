package feed

import (
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

// sourceAfter is how long an entry that its peers can keep up to date makes no call of the
// source after a failure: all entries together would keep a source busy that is down.
const sourceAfter = time.Second

// Gate holds back calls of a source that has failed. It is safe for concurrent use, and its
// zero value is open.
type Gate struct{ at atomic.Int64 }

// open says whether the source may be called.
func (g *Gate) open(now clock.Stamp) bool { return int64(now) >= g.at.Load() }

// shut holds calls back for a while.
func (g *Gate) shut(now clock.Stamp) { g.at.Store(int64(now.Add(sourceAfter))) }
