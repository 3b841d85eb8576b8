// Package memory bounds the memory that the bodies of requests take in a process. A Ledger accounts for
// the bytes of all bodies; a Body is read into segments, so that memory is taken only for bytes that have
// come, and is shared by all that send it.
package memory

import (
	"sync"
	"time"
)

const (
	// SmallBytes is the size up to which a body is small.
	SmallBytes = 64 << 10
	// DefaultLimit is used by a Ledger without a limit.
	DefaultLimit = 64 << 20
	// reserveRatio is the part of the limit that only small bodies may take.
	reserveRatio = 0.25
	// firstSegmentBytes is the size of the first segment of a body of unknown length.
	firstSegmentBytes = 4 << 10
)

// Ledger accounts for the memory of bodies. It is safe for concurrent use. Set the fields before use; the
// zero value has DefaultLimit.
type Ledger struct {
	// Limit is the total in bytes. Small bodies may take all of it, so that they are accepted while large
	// ones are not.
	Limit int64

	mu       sync.Mutex
	used     int64
	large    int64
	segments Segments
}

// Use is the state of a Ledger, in bytes.
type Use struct {
	// Used is what all bodies take, and Large what large ones take of that.
	Used, Large int64
	// Limit is the most that all bodies may take, and LargeLimit the most that large ones may find taken.
	Limit, LargeLimit int64
}

// Use returns the state of the ledger.
func (l *Ledger) Use() Use {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.use()
}

// IsShort reports whether more than half of what large bodies may take is taken.
func (u Use) IsShort() bool { return 2*u.Used > u.LargeLimit }

func (l *Ledger) use() Use {
	limit := l.Limit
	if limit <= 0 {
		limit = DefaultLimit
	}
	return Use{Used: l.used, Large: l.large, Limit: limit, LargeLimit: limit - int64(reserveRatio*float64(limit))}
}

// Take accounts for n bytes of a body that is small or large, and reports whether there is room for them.
func (l *Ledger) Take(n int64, isLarge bool) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	u := l.use()
	if u.Used+n > u.Limit || isLarge && u.Used+n > u.LargeLimit {
		return false
	}
	l.used += n
	if isLarge {
		l.large += n
	}
	l.segments.Trim(u.Limit - l.used) // unused segments and bodies together keep to the limit
	return true
}

// Return ends the accounting for n bytes.
func (l *Ledger) Return(n int64, isLarge bool) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.used -= n
	if !isLarge {
		return
	}
	l.large -= n
	if l.large == 0 && n > 0 {
		time.AfterFunc(SegmentTTL, l.freeSegments)
	}
}

// reclassify accounts for n bytes of a small body as those of a large one, and reports whether there is
// room for a large body.
func (l *Ledger) reclassify(n int64) bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	if u := l.use(); u.Used > u.LargeLimit {
		return false
	}
	l.large += n
	return true
}

// putSegments keeps the segments of a body, which must not be used after that.
func (l *Ledger) putSegments(list [][]byte) {
	l.mu.Lock()
	defer l.mu.Unlock()
	l.segments.Put(list)
	l.segments.Trim(l.use().Limit - l.used)
}

// freeSegments frees the unused segments if there are no large bodies.
func (l *Ledger) freeSegments() {
	l.mu.Lock()
	defer l.mu.Unlock()
	if l.large == 0 {
		l.segments.Trim(0)
	}
}
