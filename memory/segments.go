package memory

import (
	"sync"
	"time"
)

const (
	// SegmentBytes is the size of the segments that are reused.
	SegmentBytes = 32 << 10
	// SegmentTTL is how long unused segments should be kept.
	SegmentTTL = time.Second
)

// Segments keeps unused segments of SegmentBytes: as garbage, those of large bodies would take as much memory
// again. It is safe for concurrent use; the zero value is empty.
type Segments struct {
	mu   sync.Mutex
	list [][]byte
}

// Get returns memory of n bytes, at most SegmentBytes.
func (s *Segments) Get(n int64) []byte {
	s.mu.Lock()
	defer s.mu.Unlock()
	last := len(s.list) - 1
	if n < SegmentBytes || last < 0 {
		return make([]byte, n)
	}
	segment := s.list[last]
	s.list[last] = nil
	s.list = s.list[:last]
	return segment
}

// Put keeps those of the segments that can be reused. They must not be used after that.
func (s *Segments) Put(list [][]byte) {
	s.mu.Lock()
	defer s.mu.Unlock()
	for _, segment := range list {
		if cap(segment) == SegmentBytes {
			s.list = append(s.list, segment[:SegmentBytes])
		}
	}
}

// Trim drops segments beyond maxBytes.
func (s *Segments) Trim(maxBytes int64) {
	n := max(maxBytes, 0) / SegmentBytes
	s.mu.Lock()
	defer s.mu.Unlock()
	if n == 0 {
		s.list = nil
		return
	}
	for int64(len(s.list)) > n {
		s.list[len(s.list)-1] = nil
		s.list = s.list[:len(s.list)-1]
	}
}
