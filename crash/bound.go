package crash

import (
	"cmp"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
)

// evictExcess removes expired suspicions. Above MaxSuspicions it also removes the least useful
// ones: suspicions that are not condemned first, oldest first. Without a limit, a caller whose
// requests all differ could exhaust the memory by crashing targets.
func (d *Detector) evictExcess(now time.Time) {
	for fingerprint := range d.suspicions {
		d.find(now, fingerprint)
	}
	if len(d.suspicions) <= d.MaxSuspicions {
		return
	}
	all := make([]*localSuspicion, 0, len(d.suspicions))
	for _, f := range d.suspicions {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b *localSuspicion) int {
		return cmp.Or(
			cmp.Compare(d.retentionPriority(now, a), d.retentionPriority(now, b)),
			a.SeenAt.Compare(b.SeenAt),
			cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	for _, f := range all[:len(all)-d.MaxSuspicions] {
		delete(d.suspicions, f.Fingerprint)
	}
}

func (d *Detector) retentionPriority(now time.Time, f *localSuspicion) int {
	if d.Check(now, f.Fingerprint) == chestnutstep.ContentCondemned {
		return 1
	}
	return 0
}

// servedCache holds the fingerprints that were served most recently, up to capacity. A new
// fingerprint evicts the one that was added first.
type servedCache struct {
	capacity int
	servedAt map[uint64]time.Time
	ring     []uint64
	next     int
}

func (c *servedCache) add(now time.Time, fingerprint uint64) {
	if _, ok := c.servedAt[fingerprint]; ok {
		c.servedAt[fingerprint] = now
		return
	}
	if len(c.ring) < c.capacity {
		c.ring = append(c.ring, fingerprint)
	} else {
		delete(c.servedAt, c.ring[c.next])
		c.ring[c.next] = fingerprint
		c.next = (c.next + 1) % c.capacity
	}
	c.servedAt[fingerprint] = now
}

func (c *servedCache) isRecent(now time.Time, maxAge time.Duration, fingerprint uint64) bool {
	servedAt, ok := c.servedAt[fingerprint]
	return ok && now.Sub(servedAt) < maxAge
}
