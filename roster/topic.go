package roster

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// topic is how far the facts of one topic are read.
type topic struct {
	// revision up to which facts were read, and floor that of the last full read: of what
	// was removed before it nothing is known.
	revision, floor uint64
	// read is when the last answer came, and proof as of when all facts are known.
	read  clock.Stamp
	proof stamp
	// listed says that all facts were read once, direct that the last answer was the
	// source's own, lost that none comes at present.
	listed, direct, lost bool
	// changed is closed when news come, or none can be expected.
	changed chan struct{}
}

func (t *topic) learn(now clock.Stamp, b chestnutstep.Batch, full bool) {
	t.read, t.direct, t.lost = now, b.IsDirect(), false
	if full {
		t.floor, t.listed = max(t.floor, b.Revision), true
	}
	if b.Revision > t.revision {
		t.revision = b.Revision
		t.wake()
	}
}

// wake ends the waits of those who follow this entry.
func (t *topic) wake() {
	close(t.changed)
	t.changed = make(chan struct{})
}

// Lose records that a topic can't be read at present, from the source or from peers.
func (r *Roster) Lose(topic chestnutstep.Topic) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin()
	if t := &r.topics[topic]; !t.lost {
		t.lost, t.direct = true, false
		t.wake()
	}
}

// Newer says whether facts of a topic were read up to a later revision.
func (r *Roster) Newer(topic chestnutstep.Topic, after uint64) bool {
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

// Follows says whether changes of a topic reach this entry at present: with direct, from the
// source itself.
func (r *Roster) Follows(topic chestnutstep.Topic, direct bool) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	t := &r.topics[topic]
	return !t.lost && (t.direct || !direct)
}
