package roster

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// topic is how far the facts of one topic are read.
type topic struct {
	// revision up to which facts were read, and floor that of the last full read: of what
	// was removed before it nothing is known.
	revision, fullRevision uint64
	// readAt is when the last answer came, and proof as of when all facts are known.
	readAt clock.Stamp
	proof  latestStamp
	// listed says that all facts were read once, direct that the last answer was the
	// source's own, lost that none comes at present.
	listed, direct, lost bool
	// changed is closed when news come, or none can be expected.
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

// notify ends the waits of those who follow this entry.
func (t *topic) notify() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// MarkLost records that a topic can't be read at present, from the source or from peers.
func (r *Roster) MarkLost(topic chestnutstep.Topic) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	if t := &r.topics[topic]; !t.lost {
		t.lost, t.direct = true, false
		t.notify()
	}
}

// HasNewer says whether facts of a topic were read up to a later revision.
func (r *Roster) HasNewer(topic chestnutstep.Topic, after uint64) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topics[topic].revision > after
}

// Listed says whether all facts of a topic were read once.
func (r *Roster) Listed(topic chestnutstep.Topic) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topics[topic].listed
}

// IsFollowing says whether changes of a topic reach this entry at present: with direct, from the
// source itself.
func (r *Roster) IsFollowing(topic chestnutstep.Topic, direct bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.topics[topic]
	return !t.lost && (t.direct || !direct)
}
