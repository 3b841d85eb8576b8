// Package board holds what an entry knows of targets from moment to moment:
// requests in progress, its own and its peers', prompt parts in caches, recent
// failures, and how much a cold target may still get.
package board

import (
	"net/netip"
	"slices"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// maxParts bounds the prompt parts that are remembered, in about 100 bytes
	// each. What a target has not read for long it has dropped anyway.
	maxParts = 20000
	// cachedPartTTL is how long a part is believed to be in a cache without being
	// read again.
	cachedPartTTL = 30 * time.Minute
	// pendingTokensUnit is the tokens in one unit of share.Load.Reading.
	pendingTokensUnit = 100
)

// Board is safe for concurrent use. Set the fields before the first call.
type Board struct {
	// ColdBounds bounds what all entries together may send to a cold target in a second:
	// over times its rate, and slack more. Nil for the defaults.
	ColdBounds func() (over, slack float64)
	// Overloaded reports that work waits for this entry's own processor: its time-outs then say
	// nothing of hosts. Nil for never.
	Overloaded func() bool
	// Self names this entry among Peers, Domain the failure domain that it is in.
	Self   netip.AddrPort
	Domain string

	mu      sync.Mutex
	targets map[uint32]*targetState
	// cachedParts is by the low half of a part's ID, and by target.
	cachedParts  map[uint32]map[uint32]cachedPart
	cacheChanges []share.CachedPart
	replaced     []uint32
	peers        map[netip.AddrPort]*peer
	peerLoads    map[uint32]share.Load
	// services is what requests to each service hold, of this entry.
	services map[string]*serviceState
	// domains is what is known of the ways to failure domains.
	domains map[string]*domain
	// listed are the caches that a target or a peer has listed whole.
	listed map[uint32]bool
	// maxEntries is the largest number of entries that was known at once of late, and
	// mostAt when there were that many.
	maxEntries   int
	maxEntriesAt clock.Stamp
	// fleetVersion counts the changes of who is a member of the fleet.
	fleetVersion uint64
	expiredAt    clock.Stamp
	// unresponsive are targets that were found to be silent, for the peers; alert is until when
	// more of them are to be expected, and answeredAt when any target last answered.
	unresponsive []uint32
	alertUntil   clock.Stamp
	answeredAt   clock.Stamp

	// indexes index the targets of each service.
	indexes map[string]*serviceIndex
	scratch []place.Candidate
}

// targetState is what is known of one target.
type targetState struct {
	// born is the start that health and cold are about.
	born          int64
	running       int
	pendingTokens int
	health        health
	cold          coldBucket
	limit         admit.AdaptiveLimit
	suspicion     suspicion
	// recentSent are this entry's own requests that peers may not know of.
	recentSent decayingCounter
	// member is the target in the index of the newest view; nil before it is indexed.
	member *indexMember
	// rank is this entry's place among those that may send to the target while it is cold,
	// as of a number of changes of the fleet.
	rank        int
	rankVersion uint64
}

// loadKey names a target in datagrams about what is in progress there. A restart
// keeps it: requests that were sent just before it was noticed still count. With a key
// of its own for each start, a target that had restarted would look idle while it is at
// work, and get more than its multiple of the mean.
func loadKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// CacheKey names an instance in datagrams about its cache. A restart is another instance,
// which has nothing in its cache.
func CacheKey(t *chestnutstep.Instance) uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(t.ID)
	var b [8]byte
	for i := range b {
		b[i] = byte(t.StartedMs >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return uint32(d.Sum64())
}

func (b *Board) initMaps() {
	if b.targets != nil {
		return
	}
	b.targets = make(map[uint32]*targetState)
	b.cachedParts = make(map[uint32]map[uint32]cachedPart)
	b.peers = make(map[netip.AddrPort]*peer)
	b.peerLoads = make(map[uint32]share.Load)
	b.services = make(map[string]*serviceState)
	b.domains = make(map[string]*domain)
	b.listed = make(map[uint32]bool)
	b.indexes = make(map[string]*serviceIndex)
}

func (b *Board) state(key uint32) *targetState {
	b.initMaps()
	s := b.targets[key]
	if s == nil {
		s = &targetState{}
		b.targets[key] = s
	}
	return s
}

// instanceState returns the state of a target. What was learned of an earlier start says
// nothing of this one.
func (b *Board) instanceState(t *chestnutstep.Instance) (uint32, *targetState) {
	key := loadKey(t.ID)
	s := b.state(key)
	if s.born != t.StartedMs {
		b.countIndividually(s)
		s.born, s.health, s.cold, s.limit = t.StartedMs, health{}, coldBucket{}, admit.AdaptiveLimit{}
	}
	return key, s
}

// candidate returns a target as a candidate for a request; false where it may not have it.
func (b *Board) candidate(l *lookup, m *indexMember) (place.Candidate, bool) {
	if !m.usable || slices.Contains(l.criteria.Skip, m.ID) || !m.totals.allowed {
		return place.Candidate{}, false
	}
	s := m.state
	if !l.criteria.IncludeDown && s.health.isDown(l.now) {
		return place.Candidate{}, false
	}
	cold := l.service.ColdRate > 0 && l.now < m.ColdUntil
	if cold && !b.canSendCold(l.now, m.key, s, l.service) {
		return place.Candidate{}, false
	}
	limit := s.limit.At(l.now, m.Slots, l.serviceTime, l.patience)
	return place.Candidate{
		ID:            m.ID,
		Address:       m.Address,
		Running:       float64(b.runningAt(m)),
		Limit:         limit,
		Unreported:    b.unreported(l.now, s, limit),
		PendingTokens: float64(s.pendingTokens + pendingTokensUnit*int(b.peerLoads[m.key].PendingPrefill)),
		Slots:         m.Slots,
		CachedTokens:  b.cachedTokens(l.now, m.cacheKey, l.criteria.Parts, false),
		FailureRatio:  s.health.failureRatio(),
		Suspected:     s.suspicion.isActive(l.now),
		OtherDomain:   m.Domain != l.criteria.Domain,
		Cold:          cold,
	}, true
}

// Prune forgets all targets that are not listed: what they held is lost.
func (b *Board) Prune(v *roster.View) {
	live, caches := make(map[uint32]bool, len(v.ByID)), make(map[uint32]bool, len(v.ByID))
	for _, t := range v.ByID {
		live[loadKey(t.ID)] = true
		caches[CacheKey(&t.Instance)] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	for key, s := range b.targets {
		if !live[key] && s.running == 0 {
			delete(b.targets, key)
		}
	}
	for key := range b.listed {
		if !caches[key] {
			delete(b.listed, key)
		}
	}
	for part, m := range b.cachedParts {
		for key := range m {
			if !caches[key] {
				delete(m, key)
			}
		}
		if len(m) == 0 {
			delete(b.cachedParts, part)
		}
	}
}
