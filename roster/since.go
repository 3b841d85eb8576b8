package roster

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// Since returns the facts of a topic that changed after a revision, as they were published;
// removed facts have no content. It returns false if it cannot list all of them, because the
// revision is older than the last full read. Revision 0 returns all facts in force.
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

// factsInForce returns the facts of a topic that are in force as the source would list them:
// without instances that it no longer lists. The caller must hold the lock.
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

// WaitForUpdate blocks until the topic was read beyond a revision, no updates can be expected,
// the wait is over, or done is closed.
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

// storeFact stores a fact as it was published while it is in force, and deletes it when it is
// removed.
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
