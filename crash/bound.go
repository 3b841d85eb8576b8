package crash

import (
	"cmp"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
)

// bound drops expired suspicions and then the least useful above the limit:
// first what is not condemned, the oldest first. Without a limit a caller whose
// requests all differ could fill the memory by crashing targets.
func (j *Detector) bound(now time.Time) {
	for fingerprint := range j.cases {
		j.find(now, fingerprint)
	}
	if len(j.cases) <= j.Most {
		return
	}
	all := make([]*file, 0, len(j.cases))
	for _, f := range j.cases {
		all = append(all, f)
	}
	slices.SortFunc(all, func(a, b *file) int {
		return cmp.Or(
			cmp.Compare(j.weight(now, a), j.weight(now, b)),
			a.SeenAt.Compare(b.SeenAt),
			cmp.Compare(a.Fingerprint, b.Fingerprint),
		)
	})
	for _, f := range all[:len(all)-j.Most] {
		delete(j.cases, f.Fingerprint)
	}
}

func (j *Detector) weight(now time.Time, f *file) int {
	if j.Check(now, f.Fingerprint) == chestnutstep.ContentCondemned {
		return 1
	}
	return 0
}

// memory keeps the fingerprints that were served last, the oldest of which
// falls out when a new one comes.
type memory struct {
	most int
	at   map[uint64]time.Time
	ring []uint64
	next int
}

func (m *memory) add(now time.Time, fingerprint uint64) {
	if _, ok := m.at[fingerprint]; ok {
		m.at[fingerprint] = now
		return
	}
	if len(m.ring) < m.most {
		m.ring = append(m.ring, fingerprint)
	} else {
		delete(m.at, m.ring[m.next])
		m.ring[m.next] = fingerprint
		m.next = (m.next + 1) % m.most
	}
	m.at[fingerprint] = now
}

func (m *memory) recent(now time.Time, keep time.Duration, fingerprint uint64) bool {
	at, ok := m.at[fingerprint]
	return ok && now.Sub(at) < keep
}
