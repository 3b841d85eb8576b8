package roster

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// settle is how long after the source's return an instance that is missing is
	// still kept. Entries lapse while the source is away; those of live
	// targets are back within about two seconds. Dropped at once, a whole fleet of
	// sound targets would get no work.
	settle = 2 * time.Second
	// lapseLeast is the shortest loss of the source in which entries may lapse: they live
	// for three heartbeats of their targets.
	lapseLeast = time.Second
)

// extendSettled decides for how long targets that are missing may have lapsed. A peer says so
// itself: it may have read the source all the while that this entry could not.
func (r *Roster) extendSettled(now clock.Stamp, b chestnutstep.Batch, read clock.Stamp) {
	if r.doubt && b.IsDirect() && now.Sub(read) > lapseLeast {
		r.settled = now.Add(settle)
	}
	r.doubt = false
	r.settled = max(r.settled, now.Add(b.SettleTime))
}

// retire removes what a full read of a topic no longer lists.
func (r *Roster) retire(now clock.Stamp, topic chestnutstep.Topic, seen map[entry]bool, revision uint64, c *Change) {
	gone := func(kind chestnutstep.FactKind, name string) bool {
		key := entry{kind, name}
		if kind.Topic() != topic || seen[key] || r.known[key] > revision {
			return false
		}
		r.known[key] = revision // an older answer must not bring it back
		return true
	}
	for id := range r.targets {
		if gone(chestnutstep.FactInstance, id) {
			r.miss(now, id, c)
		}
	}
	for domain := range r.out {
		if gone(chestnutstep.FactDomainOut, domain) {
			delete(r.held, entry{chestnutstep.FactDomainOut, domain})
			r.takeOut(domain, false, c)
		}
	}
}

// miss notes that an instance is no longer listed. One that was leaving is gone;
// any other is kept while the source settles.
func (r *Roster) miss(now clock.Stamp, id string, c *Change) {
	t := r.targets[id]
	if t == nil || t.missing {
		return
	}
	if t.Leaving || now >= r.settled {
		delete(r.targets, id)
		delete(r.held, entry{chestnutstep.FactInstance, id})
		c.Left = append(c.Left, id)
		return
	}
	kept := *t
	kept.missing = true
	r.targets[id] = &kept
	c.Kept = append(c.Kept, id)
}

func (r *Roster) expire(now clock.Stamp, c *Change) {
	if now < r.settled {
		return
	}
	for id, t := range r.targets {
		if t.missing {
			delete(r.targets, id)
			delete(r.held, entry{chestnutstep.FactInstance, id})
			c.Left = append(c.Left, id)
		}
	}
}
