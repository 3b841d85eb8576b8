package roster

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// settleTime is how long after the source's return an instance that is missing is
	// still kept. Entries lapse while the source is away; those of live
	// targets are back within about two seconds. Dropped at once, a whole fleet of
	// sound targets would get no work.
	settleTime = 2 * time.Second
	// minLapse is the shortest loss of the source in which entries may lapse: they live
	// for three heartbeats of their targets.
	minLapse = time.Second
)

// extendKeepMissing decides for how long targets that are missing may have lapsed. A peer says so
// itself: it may have read the source all the while that this entry could not.
func (r *Roster) extendKeepMissing(now clock.Stamp, b chestnutstep.Batch, lastRead clock.Stamp) {
	if r.sourceUnresponsive && b.IsDirect() && now.Sub(lastRead) > minLapse {
		r.keepMissingUntil = now.Add(settleTime)
	}
	r.sourceUnresponsive = false
	r.keepMissingUntil = max(r.keepMissingUntil, now.Add(b.SettleTime))
}

// removeUnlisted removes what a full read of a topic no longer lists.
func (r *Roster) removeUnlisted(now clock.Stamp, topic chestnutstep.Topic, seen map[factKey]bool, revision uint64, c *Change) {
	isRemoved := func(kind chestnutstep.FactKind, name string) bool {
		key := factKey{kind, name}
		if kind.Topic() != topic || seen[key] || r.revisions[key] > revision {
			return false
		}
		r.revisions[key] = revision // an older answer must not bring it back
		return true
	}
	for id := range r.targets {
		if isRemoved(chestnutstep.FactInstance, id) {
			r.markMissing(now, id, c)
		}
	}
	for domain := range r.out {
		if isRemoved(chestnutstep.FactDomainOut, domain) {
			delete(r.facts, factKey{chestnutstep.FactDomainOut, domain})
			r.applyOut(domain, false, c)
		}
	}
}

// markMissing notes that an instance is no longer listed. One that was leaving is gone;
// any other is kept while the source settles.
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
