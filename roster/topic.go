package roster

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// topic is the read state of one topic.
type topic struct {
	// revision is the highest revision that was read, and fullRevision that of the last full
	// read. Removals before fullRevision are unknown.
	revision, fullRevision uint64
	// readAt is the time of the last answer, and proof the latest time up to which all facts
	// are known.
	readAt clock.Stamp
	proof  latestStamp
	// listed is set after the first full read, direct if the last answer came from the source
	// itself, and lost while no answers arrive.
	listed, direct, lost bool
	// changed is closed when a newer revision is read, or when none can be expected.
	changed chan struct{}
}

func (t *topic) recordRead(now clock.Stamp, b chestnutstep.Batch, full bool) {
	t.readAt, t.direct, t.lost = now, b.IsDirect(), false
	if full {
		t.fullRevision, t.listed = max(t.fullRevision, b.Revision), true
	}
	if b.Revision > t.revision {
		t.revision = b.Revision
		t.notify()
	}
}

// notify wakes up all WaitForUpdate calls.
func (t *topic) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// MarkLost records that a topic currently cannot be read, neither from the source nor from
// peers.
func (r *Roster) MarkLost(topic chestnutstep.Topic) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	if t := &r.topics[topic]; !t.lost {
		t.lost, t.direct = true, false
		t.notify()
	}
}

// Revision returns the highest revision of a topic that was read.
func (r *Roster) Revision(topic chestnutstep.Topic) uint64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topics[topic].revision
}

// HasNewer reports whether a topic was read beyond a revision.
func (r *Roster) HasNewer(topic chestnutstep.Topic, after uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topics[topic].revision > after
}

// Listed reports whether a topic was read completely at least once.
func (r *Roster) Listed(topic chestnutstep.Topic) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topics[topic].listed
}

// IsFollowing reports whether this entry currently receives the changes of a topic; if direct
// is set, from the source itself.
func (r *Roster) IsFollowing(topic chestnutstep.Topic, direct bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.topics[topic]
	return !t.lost && (t.direct || !direct)
}
