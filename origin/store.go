package origin

import (
	"sync"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// recordTTL is the minimum time for which a record is kept, unless there are too many. A caller
	// comes back within its deadline.
	recordTTL = time.Minute
	// maxRecords limits the records of one generation: they take about 1 MB.
	maxRecords = 16384
)

// Store keeps records for one to two times recordTTL. If more than maxRecords arrive in that time,
// the oldest ones are dropped sooner. The zero value is an empty store. It is safe for concurrent
// use.
type Store struct {
	mu sync.Mutex
	// current receives new records; previous is dropped at the next rotation.
	current, previous map[StreamID]chestnutstep.BuildID
	rotatedAt         clock.Stamp
}

// Add adds a record. The build of a stream never changes: the first record stays.
func (s *Store) Add(now clock.Stamp, r Record) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.current == nil || now.Sub(s.rotatedAt) > recordTTL || len(s.current) >= maxRecords {
		s.previous, s.current, s.rotatedAt = s.current, make(map[StreamID]chestnutstep.BuildID), now
	}
	if _, known := s.find(r.Stream); !known {
		s.current[r.Stream] = r.Build
	}
}

// Find returns the build that began a stream, and whether there is a record of it.
func (s *Store) Find(stream StreamID) (chestnutstep.BuildID, bool) {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.find(stream)
}

func (s *Store) find(stream StreamID) (chestnutstep.BuildID, bool) {
	if b, ok := s.current[stream]; ok {
		return b, true
	}
	b, ok := s.previous[stream]
	return b, ok
}
