package answer

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"
)

const (
	// DefaultTTL is the default time to keep a finished answer: a caller whose entry fails notices
	// and retries within seconds.
	DefaultTTL = time.Minute
	// DefaultPreferredTTL is the default time to keep a preferred answer: as long as its ticket can
	// be used.
	DefaultPreferredTTL = 10 * time.Minute
	// DefaultStoreBytes is the default limit in bytes of all answers of an agent: a quarter of the
	// 64 MB to which a process is limited.
	DefaultStoreBytes = 16 << 20
	// logOverhead is the memory of a log in bytes besides its body, so that empty answers also
	// count against the limit. A log with a request id of 36 bytes takes 517 bytes, and the longest
	// id is about 100 bytes longer.
	logOverhead = 640
)

// key identifies a request. It includes the workspace so that no caller can join the answer of
// another customer by guessing an id.
type key struct {
	workspace string
	id        string
}

// Store keeps the logs of one agent. Set the fields before the first call. It is safe for
// concurrent use.
//
// Its size is bounded by MaxBytes plus two windows for each running answer: finished answers are
// evicted first, the oldest first, and then the parts of running ones that all readers have read.
type Store struct {
	// TTL is how long a finished answer is kept; DefaultTTL if 0.
	TTL time.Duration
	// PreferredTTL is how long a preferred answer is kept; DefaultPreferredTTL if 0.
	PreferredTTL time.Duration
	// MaxBytes is the limit of the kept bytes; DefaultStoreBytes if 0.
	MaxBytes int64
	// Window is the window of each new log; see Log.Window.
	Window int
	// MaxAnswerBytes is the number of bytes kept of one answer; see Log.MaxBytes.
	MaxAnswerBytes int

	bytes atomic.Int64
	// endedCount is the number of ended answers that are not yet in finished. shrink and Sweep scan
	// the logs only if it is not zero.
	endedCount atomic.Int64

	mu       sync.Mutex
	logs     map[key]*Log
	lastSeq  uint64
	finished []*Log
}

func (s *Store) maxBytes() int64 { return cmp.Or(s.MaxBytes, DefaultStoreBytes) }

func (s *Store) isOverLimit() bool { return s.bytes.Load() > s.maxBytes() }

// Bytes returns the number of kept bytes, including logOverhead for each answer.
func (s *Store) Bytes() int64 { return s.bytes.Load() }

// Len returns the number of kept answers.
func (s *Store) Len() int {
	s.mu.Lock()
	defer s.mu.Unlock()
	return len(s.logs)
}

// Get returns a request's answer, or nil if it is unknown or no longer kept.
func (s *Store) Get(workspace, id string) *Log {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.logs[key{workspace, id}]
}

// GetOrCreate returns a request's answer and creates it if it doesn't exist. Only the caller that
// gets existed as false can run the request; of concurrent calls, exactly one does.
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

// Remove removes the answer of a request that never ran or whose run failed, so that a retry starts
// a new one.
func (s *Store) Remove(workspace, id string) {
	s.mu.Lock()
	defer s.mu.Unlock()
	removed := s.logs[key{workspace, id}]
	if removed == nil {
		return
	}
	s.drop(removed)
	s.finished = slices.DeleteFunc(s.finished, func(l *Log) bool { return l == removed })
}

// Sweep removes expired answers. Call it about once per second.
func (s *Store) Sweep(now time.Time) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.collectEnded()
	s.finished = slices.DeleteFunc(s.finished, func(l *Log) bool {
		return s.isExpired(now, l) && s.drop(l)
	})
	s.shrink()
}

// isExpired reports whether the answer's TTL has passed. The TTL starts at the first sweep after
// the end of the answer, so that ending an answer needs no clock.
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

// collectEnded appends the answers that have ended to finished, the oldest first.
func (s *Store) collectEnded() {
	if s.endedCount.Swap(0) == 0 {
		return
	}
	queued := make(map[*Log]bool, len(s.finished))
	for _, l := range s.finished {
		queued[l] = true
	}
	var ended []*Log
	for _, l := range s.logs {
		if !queued[l] && l.Ended() {
			ended = append(ended, l)
		}
	}
	slices.SortFunc(ended, func(a, b *Log) int { return cmp.Compare(a.seq, b.seq) })
	s.finished = append(s.finished, ended...)
}

// reclaim evicts answers if appended bytes have exceeded the limit.
func (s *Store) reclaim() {
	if !s.isOverLimit() {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.shrink()
}

// shrink evicts finished answers while the store is over its limit: first those that are not
// preferred, and of each kind the oldest first.
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

// drop removes an answer. It always returns true, for use in slices.DeleteFunc.
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
