package roster

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// Since returns the facts that changed after a revision, as they were published; removed
// ones have no content. It reports false where it can't name all of them: the revision is
// older than the last full read. Revision 0 asks for all facts in force.
func (r *Roster) Since(now clock.Stamp, after uint64) (chestnutstep.Batch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin()
	b := chestnutstep.Batch{Revision: r.revision, Settle: max(r.settled.Sub(now), 0)}
	if after == 0 {
		b.Facts = r.all()
		return b, true
	}
	if after < r.floor {
		return b, false
	}
	if after >= r.revision {
		return b, true
	}
	for key, revision := range r.known {
		if revision <= after || key.kind == chestnutstep.FactUnknown {
			continue
		}
		f, ok := r.held[key]
		if !ok {
			f = chestnutstep.Fact{Kind: key.kind, Name: key.name, Revision: revision, Gone: true}
		}
		b.Facts = append(b.Facts, f)
	}
	return b, true
}

// all lists the facts in force, as the source would: without instances that it no longer
// lists. The caller holds the lock.
func (r *Roster) all() []chestnutstep.Fact {
	list := make([]chestnutstep.Fact, 0, len(r.held))
	for key, f := range r.held {
		if t := r.targets[key.name]; key.kind == chestnutstep.FactInstance && t != nil && t.missing {
			continue
		}
		list = append(list, f)
	}
	return list
}

// Await returns once the facts were read up to a later revision, or the wait is over.
func (r *Roster) Await(after uint64, wait time.Duration, done <-chan struct{}) {
	r.mu.Lock()
	r.begin()
	changed, newer := r.changed, r.revision > after
	r.mu.Unlock()
	if newer || wait <= 0 {
		return
	}
	t := time.NewTimer(wait)
	defer t.Stop()
	select {
	case <-changed:
	case <-t.C:
	case <-done:
	}
}

// keep remembers a fact as it was published, while it is in force.
func (r *Roster) keep(key entry, f chestnutstep.Fact) {
	switch {
	case f.Gone && f.Kind != chestnutstep.FactRouting:
		delete(r.held, key)
	case f.Kind == chestnutstep.FactUnknown:
	case f.Kind == chestnutstep.FactRouting && (f.Gone || r.routing != nil && f.Routing.Version <= r.routing.Version):
	default:
		r.held[key] = chestnutstep.Fact{Kind: f.Kind, Name: f.Name, Revision: f.Revision, Raw: f.Raw}
	}
}
