package roster

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// settleTime is how long after the source recovers a missing instance is still kept.
	// Published instances expire while the source is down, and live targets publish theirs again
	// within about two seconds. Without this time, a whole fleet of healthy targets would get no
	// work.
	settleTime = 2 * time.Second
	// minLapse is the shortest outage of the source in which published instances can expire: they
	// live for three heartbeats of their targets.
	minLapse = time.Second
)

// extendKeepMissing updates the time until which missing targets are kept. A batch of a peer
// carries that peer's settle time: the peer can have had access to the source while this entry
// had none.
func (r *Roster) extendKeepMissing(now clock.Stamp, b chestnutstep.Batch, lastRead clock.Stamp) {
	if r.sourceUnresponsive && b.IsDirect() && now.Sub(lastRead) > minLapse {
		r.keepMissingUntil = now.Add(settleTime)
	}
	r.sourceUnresponsive = false
	r.keepMissingUntil = max(r.keepMissingUntil, now.Add(b.SettleTime))
}

// removeUnlisted removes the facts that a full read of a topic does not list.
func (r *Roster) removeUnlisted(now clock.Stamp, topic chestnutstep.Topic, seen map[factKey]bool, revision uint64, c *Change) {
	isRemoved := func(kind chestnutstep.FactKind, name string) bool {
		key := factKey{kind, name}
		if kind.Topic() != topic || seen[key] || r.revisions[key] > revision {
			return false
		}
		r.revisions[key] = revision // so that an older answer does not restore it
		return true
	}
	for id := range r.targets {
		if isRemoved(chestnutstep.FactInstance, id) {
			r.markMissing(now, id, c)
		}
	}
	for key := range r.facts {
		if key.kind == chestnutstep.FactInstance && r.targets[key.name] == nil && isRemoved(key.kind, key.name) {
			delete(r.facts, key) // it named no target
		}
	}
	for domain := range r.out {
		if isRemoved(chestnutstep.FactDomainOut, domain) {
			delete(r.facts, factKey{chestnutstep.FactDomainOut, domain})
			r.applyOut(domain, false, c)
		}
	}
}

// markMissing records that an instance is no longer listed. An instance that was leaving is
// removed; any other is kept until keepMissingUntil.
func (r *Roster) markMissing(now clock.Stamp, id string, c *Change) {
	t := r.targets[id]
	if t == nil || t.missing {
		return
	}
	if t.Leaving || now >= r.keepMissingUntil {
		delete(r.targets, id)
		delete(r.facts, factKey{chestnutstep.FactInstance, id})
		c.Removed = append(c.Removed, id)
		return
	}
	kept := *t
	kept.missing = true
	r.targets[id] = &kept
	c.Kept = append(c.Kept, id)
}

func (r *Roster) expire(now clock.Stamp, c *Change) {
	if now < r.keepMissingUntil {
		return
	}
	for id, t := range r.targets {
		if t.missing {
			delete(r.targets, id)
			delete(r.facts, factKey{chestnutstep.FactInstance, id})
			c.Removed = append(c.Removed, id)
		}
	}
}
