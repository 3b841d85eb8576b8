package roster

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// Copy is what a process believes, for a peer that can't reach the source.
type Copy struct {
	// Fresh says that the source answers: what is not in the copy is gone.
	Fresh bool
	// Routing and Instances are the revisions up to which each topic was read.
	Routing   uint64
	Instances uint64
	Version   uint64
	Facts     []chestnutstep.Fact
}

// Copy returns what is believed now.
func (r *Roster) Copy() Copy {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin()
	c := Copy{
		Fresh:     !r.doubt[chestnutstep.TopicRouting] && !r.doubt[chestnutstep.TopicInstances],
		Routing:   r.revision[chestnutstep.TopicRouting],
		Instances: r.revision[chestnutstep.TopicInstances],
	}
	if r.routing != nil {
		c.Version = r.routing.Version
	}
	for _, f := range r.held {
		c.Facts = append(c.Facts, f)
	}
	return c
}

// Adopt takes a peer's copy. A copy of a peer that can't reach the source either is
// taken only by a process that knows nothing: between two that are both in the dark,
// the one with the longer list is not the wiser.
func (r *Roster) Adopt(now clock.Stamp, in Copy) Change {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.begin()
	var c Change
	if !in.Fresh && r.routing != nil {
		return c
	}
	seen := make(map[entry]bool, len(in.Facts))
	for _, f := range in.Facts {
		seen[entry{f.Kind, f.Name}] = true
		r.take(now, f, &c)
	}
	if in.Fresh {
		r.retire(now, chestnutstep.TopicRouting, seen, in.Routing, &c)
		r.retire(now, chestnutstep.TopicInstances, seen, in.Instances, &c)
	}
	first := in.Instances > 0 && !r.heard
	r.heard = r.heard || first
	r.publish(c, first)
	return c
}

// keep remembers an entry as it was published, while it is in force.
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
