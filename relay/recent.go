package relay

import "chestnutstep.example/chestnutstep/clock"

// maxRecent limits the fingerprints of one generation of a recentSet.
const maxRecent = 8192

// recentSet holds the fingerprints that were added within servedTTL, or twice that time at most. The
// zero value is empty.
type recentSet struct {
	current, previous map[uint64]struct{}
	rotatedAt         clock.Stamp
}

func (s *recentSet) add(now clock.Stamp, fingerprint uint64) {
	s.rotate(now)
	s.current[fingerprint] = struct{}{}
}

func (s *recentSet) contains(now clock.Stamp, fingerprint uint64) bool {
	s.rotate(now)
	_, inCurrent := s.current[fingerprint]
	_, inPrevious := s.previous[fingerprint]
	return inCurrent || inPrevious
}

func (s *recentSet) rotate(now clock.Stamp) {
	age := now.Sub(s.rotatedAt)
	if s.current != nil && age <= servedTTL && len(s.current) < maxRecent {
		return
	}
	s.previous = s.current
	if age > 2*servedTTL {
		s.previous = nil
	}
	s.current, s.rotatedAt = make(map[uint64]struct{}), now
}
