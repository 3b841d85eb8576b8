package roster

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// Since returns the facts of a topic that changed after a revision, as they were published;
// removed ones have no content. It reports false where it can't name all of them: the revision
// is older than the last full read. Revision 0 asks for all facts in force.
func (r *Roster) Since(now clock.Stamp, topic chestnutstep.Topic, after uint64) (chestnutstep.Batch, bool) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.initMaps()
	t := &r.topics[topic]
	b := chestnutstep.Batch{Revision: t.revision}
	if topic == chestnutstep.TopicTargets {
		b.SettleTime = max(r.keepMissingUntil.Sub(now), 0)
	}
	if after == 0 {
		b.Facts = r.factsInForce(topic)
		return b, true
	}
	if after < t.fullRevision {
		return b, false
	}
	if after >= t.revision {
		return b, true
	}
	for key, revision := range r.revisions {
		if revision <= after || key.kind == chestnutstep.FactUnknown || key.kind.Topic() != topic {
			continue
		}
		f, ok := r.facts[key]
		if !ok {
			f = chestnutstep.Fact{Kind: key.kind, Name: key.name, Revision: revision, Deleted: true}
		}
		b.Facts = append(b.Facts, f)
	}
	return b, true
}

// factsInForce lists the facts of a topic in force, as the source would: without instances that it no
// longer lists. The caller holds the lock.
func (r *Roster) factsInForce(topic chestnutstep.Topic) []chestnutstep.Fact {
	var list []chestnutstep.Fact
	for key, f := range r.facts {
		if key.kind.Topic() != topic {
			continue
		}
		if t := r.targets[key.name]; key.kind == chestnutstep.FactInstance && t != nil && t.missing {
			continue
		}
		list = append(list, f)
	}
	return list
}

// WaitForUpdate returns once facts of a topic were read up to a later revision, none can be expected,
// or the wait is over.
func (r *Roster) WaitForUpdate(topic chestnutstep.Topic, after uint64, wait time.Duration, done <-chan struct{}) {
	r.mu.Lock()
	r.initMaps()
	t := &r.topics[topic]
	changed, ready := t.changed, t.revision > after || t.lost
	r.mu.Unlock()
	if ready || wait <= 0 {
		return
	}
	timer := time.NewTimer(wait)
	defer timer.Stop()
	select {
	case <-changed:
	case <-timer.C:
	case <-done:
	}
}

// storeFact remembers a fact as it was published, while it is in force.
func (r *Roster) storeFact(key factKey, f chestnutstep.Fact) {
	switch {
	case f.Deleted && f.Kind != chestnutstep.FactRouting:
		delete(r.facts, key)
	case f.Kind == chestnutstep.FactUnknown:
	case f.Kind == chestnutstep.FactRouting && (f.Deleted || r.routing != nil && f.Routing.Version <= r.routing.Version):
	default:
		r.facts[key] = chestnutstep.Fact{Kind: f.Kind, Name: f.Name, Revision: f.Revision, Raw: f.Raw}
	}
}
