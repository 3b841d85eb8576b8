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
	// heard says that all facts were read once.
	heard bool
	// changed is closed when news come.
	changed chan struct{}
}

func (t *topic) learn(now clock.Stamp, b chestnutstep.Batch, full bool) {
	t.read = now
	if full {
		t.floor, t.heard = max(t.floor, b.Revision), true
	}
	if b.Revision > t.revision {
		t.revision = b.Revision
		close(t.changed)
		t.changed = make(chan struct{})
	}
}

// Heard says whether all facts of a topic were read once.
func (r *Roster) Heard(topic chestnutstep.Topic) bool {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.topics[topic].heard
}
