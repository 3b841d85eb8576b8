package answer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultTTL is how long a finished answer is kept: a caller whose entry
	// died notices and repeats within seconds.
	DefaultTTL = time.Minute
	// DefaultPreferredTTL is how long a preferred answer is kept: as long as its
	// ticket can be used.
	DefaultPreferredTTL = 10 * time.Minute
	// DefaultStoreBytes bounds what all answers of an agent keep: a quarter of the
	// 64 MB that a process may use.
	DefaultStoreBytes = 16 << 20
	// logOverhead is what a log costs besides its bytes, so that empty answers
	// count against the bound too: 517 were measured with a request id of 36
	// bytes, and the longest id is some 100 bytes longer.
	logOverhead = 640
)

// key names a request. The workspace is part of it, so that no caller can join
// the answer of another customer by guessing an id.
type key struct {
	workspace string
	id        string
}

// Store keeps the logs of one agent. Set the fields before the first call. It
// is safe for concurrent use.
//
// Its bytes are bounded by Bytes plus two windows for each running answer:
// finished answers are dropped first, the oldest first, then the fronts of
// running ones that every link has read.
type Store struct {
	// TTL is how long a finished answer is kept; DefaultKeep when 0.
	TTL time.Duration
	// PreferredTTL is the same for preferred answers; DefaultLong when 0.
	PreferredTTL time.Duration
	// MaxBytes bounds the bytes that are kept; DefaultBytes when 0.
	MaxBytes int64
	// Window of each new log; see Log.
	Window int
	// MaxAnswerBytes is how many bytes of one answer are kept; see Log.Most.
	MaxAnswerBytes int

	bytes atomic.Int64
	// endedCount counts answers that ended and are not yet in the queue of finished
	// ones: relieve looks through the logs only when there are some.
	endedCount atomic.Int64

	mu       sync.Mutex
	logs     map[key]*Log
	lastSeq  uint64
	finished []*Log
}

func (s *Store) maxBytes() int64 { return cmp.Or(s.MaxBytes, DefaultStoreBytes) }

func (s *Store) isOverLimit() bool { return s.bytes.Load() > s.maxBytes() }

// Bytes returns what is kept, with a flat cost for each answer.
func (s *Store) Bytes() int64 { return s.bytes.Load() }

// Len returns how many answers are kept.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.logs)
}

// Get returns a request's answer, or nil when it is not known here, or no
// longer.
func (s *Store) Get(workspace, id string) *Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logs[key{workspace, id}]
}

// GetOrCreate returns a request's answer, a new one unless it existed. Only the caller
// that hears false may run the request: of two that race, one gets it.
func (s *Store) GetOrCreate(_ time.Time, workspace, id string) (l *Log, existed bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	k := key{workspace, id}
	if l = s.logs[k]; l != nil {
		return l, true
	}
	if s.logs == nil {
		s.logs = map[key]*Log{}
	}
	s.lastSeq++
	l = &Log{Window: s.Window, MaxBytes: s.MaxAnswerBytes, store: s, key: k, seq: s.lastSeq}
	s.logs[k] = l
	s.bytes.Add(logOverhead)
	s.shrink()
	return l, false
}

// Remove forgets a request that never ran, so that a repeat starts anew.
func (s *Store) Remove(workspace, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	gone := s.logs[key{workspace, id}]
	if gone == nil {
		return
	}
	s.drop(gone)
	s.finished = slices.DeleteFunc(s.finished, func(l *Log) bool { return l == gone })
}

// Sweep drops answers that were kept long enough. Call it every second or so.
func (s *Store) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectEnded()
	s.finished = slices.DeleteFunc(s.finished, func(l *Log) bool {
		return s.isExpired(now, l) && s.drop(l)
	})
	s.shrink()
}

// isExpired counts from the first sweep that sees the answer ended, so that an end
// needs no clock.
func (s *Store) isExpired(now time.Time, l *Log) bool {
	if l.endedAt.IsZero() {
		l.endedAt = now
	}
	ttl := cmp.Or(s.TTL, DefaultTTL)
	if l.isPreferred() {
		ttl = cmp.Or(s.PreferredTTL, DefaultPreferredTTL)
	}
	return now.Sub(l.endedAt) >= ttl
}

// collectEnded moves answers that have ended into the queue, the oldest first.
func (s *Store) collectEnded() {
	if s.endedCount.Swap(0) == 0 {
		return
	}
	queued := make(map[*Log]bool, len(s.finished))
	for _, l := range s.finished {
		queued[l] = true
	}
	var fresh []*Log
	for _, l := range s.logs {
		if !queued[l] && l.Ended() {
			fresh = append(fresh, l)
		}
	}
	slices.SortFunc(fresh, func(a, b *Log) int { return cmp.Compare(a.seq, b.seq) })
	s.finished = append(s.finished, fresh...)
}

// reclaim makes room after bytes were added.
func (s *Store) reclaim() {
	if !s.isOverLimit() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shrink()
}

// shrink drops finished answers above the bound: those that are not preferred
// first, and of each kind the oldest first.
func (s *Store) shrink() {
	if !s.isOverLimit() {
		return
	}
	s.collectEnded()
	for _, preferred := range []bool{false, true} {
		s.finished = slices.DeleteFunc(s.finished, func(l *Log) bool {
			return s.isOverLimit() && l.isPreferred() == preferred && s.drop(l)
		})
	}
}

// drop always returns true: the answer is no longer kept.
func (s *Store) drop(l *Log) bool {
	delete(s.logs, l.key)
	l.evict()
	s.bytes.Add(-logOverhead)
	return true
}

func (l *Log) isPreferred() bool {
	l.mu.Lock()
	defer l.mu.Unlock()
	return l.preferred
}
