package gauge

import (
	"cmp"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// maxTargets limits the targets with a record; each record takes about 100 bytes.
	maxTargets = 8192
	// maxSends is how often an entry sends the same reading. With two, the oldest known readings are
	// older; with more than four, traffic grows and ages stay the same.
	maxSends = 4
	// invalidLogInterval is the minimum time between two log lines about invalid reports of one target.
	invalidLogInterval = time.Minute
)

// Store holds the newest reading of each target. Targets are identified by the key of an instance,
// which differs between restarts. A nil Store keeps nothing. It is safe for concurrent use.
type Store struct {
	mu      sync.Mutex
	records map[uint32]*record
	// targets are the keys of the targets that exist; nil before the first list.
	targets map[uint32]bool
	// changed lists the targets with a new reading since the last call of TakeChanged; spare is the
	// memory of the list before.
	changed, spare []uint32
	// toSend lists the targets whose reading is worth sending, and some for which that has ended.
	toSend  []uint32
	senders senders
	counts  Counts
	// freshUntil is the time at which the newest of all readings loses its weight, and hasChanged reports
	// whether changed is not empty. They are read without the lock: deployments whose targets don't report
	// their speed should have no cost.
	freshUntil atomic.Int64
	hasChanged atomic.Bool
}

// record is the state of one target.
type record struct {
	Reading
	// sends counts the datagrams that the reading was sent in.
	sends int
	// isChanged and isQueued report whether the target is in Store.changed and Store.toSend.
	isChanged, isQueued bool
	// invalidLoggedAt is the time of the last log line about an invalid report; 0 for none.
	invalidLoggedAt clock.Stamp
}

// Counts are numbers of readings since the start, by what became of them.
type Counts struct {
	// Own are readings of the entry's own answers, Peer those of peers that were newer than the known
	// ones, Old those that were not, Unknown those of targets that are not listed, and Invalid those
	// out of range.
	Own, Peer, Old, Unknown, Invalid int64
}

// SetTargets sets the keys of the targets that exist, and forgets all others.
func (s *Store) SetTargets(keys map[uint32]bool) {
	if s == nil {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.targets = keys
	for key := range s.records {
		if !keys[key] {
			delete(s.records, key)
		}
	}
	isGone := func(key uint32) bool { return !keys[key] }
	s.changed = slices.DeleteFunc(s.changed, isGone)
	s.toSend = slices.DeleteFunc(s.toSend, isGone)
}

// Record records the load that a target reported in an answer. A report without slowdown is ignored.
func (s *Store) Record(now clock.Stamp, key uint32, l chestnutstep.TargetLoad) {
	if s == nil || l.Slowdown <= 0 || l.Slots <= 0 {
		return
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.add(key, newReading(now, l), 0) {
		s.counts.Own++
	}
}

// RecordInvalid records that a target reported a load that is not valid, and reports whether to log
// it.
func (s *Store) RecordInvalid(now clock.Stamp, key uint32) bool {
	if s == nil {
		return false
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	s.counts.Invalid++
	x := s.record(key)
	if x == nil || x.invalidLoggedAt != 0 && now.Sub(x.invalidLoggedAt) < invalidLogInterval {
		return false
	}
	x.invalidLoggedAt = now
	return true
}

// record returns the record of a target, creating it if needed; nil for a target that does not exist
// and if there are too many.
func (s *Store) record(key uint32) *record {
	if x := s.records[key]; x != nil {
		return x
	}
	if s.targets != nil && !s.targets[key] || len(s.records) >= maxTargets {
		return nil
	}
	if s.records == nil {
		s.records = make(map[uint32]*record)
	}
	x := &record{}
	s.records[key] = x
	return x
}

// add replaces the reading of a target by one that is newer by more than the margin, and reports whether it
// did.
func (s *Store) add(key uint32, r Reading, margin time.Duration) bool {
	x := s.record(key)
	switch {
	case x == nil:
		s.counts.Unknown++
		return false
	case !r.isNewer(&x.Reading, margin):
		s.counts.Old++
		return false
	}
	x.Reading, x.sends = r, 0
	s.freshUntil.Store(max(s.freshUntil.Load(), int64(r.At.Add(Lifetime))))
	if !x.isChanged {
		x.isChanged = true
		s.changed = append(s.changed, key)
		s.hasChanged.Store(true)
	}
	if !x.isQueued {
		x.isQueued = true
		s.toSend = append(s.toSend, key)
	}
	return true
}

// IsActive reports whether any target has a reading with a weight.
func (s *Store) IsActive(now clock.Stamp) bool {
	return s != nil && now < clock.Stamp(s.freshUntil.Load())
}

// Get returns the newest reading of a target; the zero Reading if there is none.
func (s *Store) Get(key uint32) Reading {
	if s == nil || s.freshUntil.Load() == 0 {
		return Reading{}
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	if x := s.records[key]; x != nil {
		return x.Reading
	}
	return Reading{}
}

// TakeChanged returns the targets with a new reading since the last call. The list is valid until the
// next call.
func (s *Store) TakeChanged() []uint32 {
	if s == nil || !s.hasChanged.Load() {
		return nil
	}
	s.mu.Lock()
	defer s.mu.Unlock()
	list := s.changed
	s.hasChanged.Store(false)
	for _, key := range list {
		if x := s.records[key]; x != nil {
			x.isChanged = false
		}
	}
	s.changed, s.spare = s.spare[:0], list
	return list
}

// Summary describes the readings that have a weight now.
type Summary struct {
	Counts
	// Fresh is the number of targets with a reading that has a weight, and Slow that of those with a
	// slowdown above slowThreshold.
	Fresh, Slow int
}

// slowThreshold is the slowdown above which a target is counted as slow in metrics.
const slowThreshold = 1.25

// Summary returns the state of the readings for metrics.
func (s *Store) Summary(now clock.Stamp) Summary {
	s.mu.Lock()
	defer s.mu.Unlock()
	sum := Summary{Counts: s.counts}
	for _, x := range s.records {
		if x.Weight(now) <= 0 {
			continue
		}
		sum.Fresh++
		if x.Slowdown > slowThreshold {
			sum.Slow++
		}
	}
	return sum
}

// mustSend reports whether a reading is worth sending.
func (x *record) mustSend(now clock.Stamp) bool { return x.sends < maxSends && x.Weight(now) > 0 }

// pruneToSend removes the targets from toSend whose reading is not worth sending.
func (s *Store) pruneToSend(now clock.Stamp) {
	kept := s.toSend[:0]
	for _, key := range s.toSend {
		x := s.records[key]
		if x == nil {
			continue
		}
		if x.isQueued = x.mustSend(now); x.isQueued {
			kept = append(kept, key)
		}
	}
	s.toSend = kept
}

// takeBatch returns the newest readings to send, at most n, and counts them as sent. It returns none
// if there is nothing to send.
func (s *Store) takeBatch(now clock.Stamp, n int) []wireReading {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneToSend(now)
	if len(s.toSend) == 0 {
		return nil
	}
	slices.SortFunc(s.toSend, func(a, b uint32) int { return cmp.Compare(s.records[b].At, s.records[a].At) })
	batch := make([]wireReading, 0, n)
	for _, key := range s.toSend[:min(len(s.toSend), n)] {
		x := s.records[key]
		x.sends++
		batch = append(batch, encodeReading(now, key, &x.Reading))
	}
	return batch
}
