// Package board tracks the state of targets that an entry uses to place requests: requests in
// progress (its own and those reported by peers), prompt parts in the targets' caches, recent
// failures, and how many requests a cold target can still receive. Its inputs are the results
// of the entry's own requests, reports from peers and the view of the roster. It does no I/O
// and is safe for concurrent use.
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
	"chestnutstep.example/chestnutstep/gauge"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// maxParts limits the number of prompt parts in the index; each takes about 100 bytes. When
	// the limit is reached, parts that were not read recently are evicted, as targets have most
	// likely evicted them too.
	maxParts = 20000
	// cachedPartTTL is how long a part counts as cached after it was last read.
	cachedPartTTL = 30 * time.Minute
	// pendingTokensUnit is the number of tokens in one unit of share.Load.PendingPrefill.
	pendingTokensUnit = 100
)

// Board holds the state of targets as one entry sees it. Set the exported fields before the
// first call. It is safe for concurrent use.
type Board struct {
	// ColdBounds returns the limits on what all entries together send to a cold target in a
	// second: factor times its rate, plus slack requests. If nil, the defaults apply.
	ColdBounds func() (factor, slack float64)
	// Overloaded reports whether work is waiting for this entry's own processor. Its timeouts
	// are then no evidence of failed hosts. If nil, the entry is never overloaded.
	Overloaded func() bool
	// Pauses tracks the targets that asked to receive nothing for some time; nil for none.
	Pauses *pause.Tracker
	// Readings holds the load that targets reported about themselves; nil for none.
	Readings *gauge.Store
	// Claims returns the places that new requests must leave to callers that were told to return; nil
	// for none.
	Claims ClaimReserve
	// Self is this entry's address among its peers, and Domain the failure domain it runs in.
	Self   netip.AddrPort
	Domain string

	mu sync.Mutex
	// targets holds the state of targets by load key.
	targets map[uint32]*targetState
	// cachedParts is indexed by the low 32 bits of the part's ID, then by the target's cache
	// key.
	cachedParts  map[uint32]map[uint32]cachedPart
	cacheChanges []share.CachedPart
	replaced     []uint32
	peers        map[netip.AddrPort]*peer
	// peerLoads holds the sums of the loads that peers reported, by load key.
	peerLoads map[uint32]share.Load
	// services holds the state of this entry's requests, by service.
	services map[string]*serviceState
	// domains holds the reachability of failure domains, by name.
	domains map[string]*domain
	// listed is the set of caches whose complete contents were listed by the target or a peer.
	listed map[uint32]bool
	// maxEntries is the largest number of entries known at the same time recently, and
	// maxEntriesAt the time when that number was last reached.
	maxEntries   int
	maxEntriesAt clock.Stamp
	// fleetVersion is incremented whenever a peer joins or leaves.
	fleetVersion uint64
	expiredAt    clock.Stamp
	// unresponsive lists targets that were found unresponsive, for the next report to peers.
	// Until alertUntil more of them are expected. answeredAt is the time of the last answer of
	// any target.
	unresponsive []uint32
	alertUntil   clock.Stamp
	answeredAt   clock.Stamp

	// indexes holds the index of each service's targets.
	indexes map[string]*serviceIndex
	scratch []place.Candidate
	// choices counts the choices; currentChoice is the number of the one in progress, 0 for none.
	choices, currentChoice uint64
}

// targetState is the state of one target.
type targetState struct {
	// startedMs is the start time of the instance that health, cold and limit describe.
	startedMs     int64
	running       int
	pendingTokens int
	health        health
	cold          coldBucket
	limit         admit.AdaptiveLimit
	suspicion     suspicion
	// recentSent counts this entry's own requests that peers might not have a report of yet.
	recentSent decayingCounter
	// history is the recent course of running.
	history runningHistory
	// member is the target in the index of the newest view; nil if it is not indexed.
	member *indexMember
	// rank is this entry's rank among the entries that can send to the target while it is cold,
	// computed at rankVersion of the fleet.
	rank        int
	rankVersion uint64
}

// loadKey returns the key of a target in load reports. The key is the same for all instances of
// a target, so that requests sent just before a restart was noticed still count. With a key per
// instance, a restarted target would look idle while it is busy, and receive more than its
// allowed multiple of the mean.
func loadKey(id string) uint32 { return uint32(xxhash.Sum64String(id)) }

// CacheKey returns the key of an instance in cache reports. It differs between restarts,
// because a restarted instance has an empty cache.
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

// instanceState returns the key and the state of a target. State that describes an earlier
// instance is reset.
func (b *Board) instanceState(t *chestnutstep.Instance) (uint32, *targetState) {
	key := loadKey(t.ID)
	s := b.state(key)
	if s.startedMs != t.StartedMs {
		b.countIndividually(s)
		s.startedMs, s.health, s.cold, s.limit = t.StartedMs, health{}, coldBucket{}, admit.AdaptiveLimit{}
	}
	return key, s
}

// candidate returns a target as a candidate for a request, and false if the target cannot take
// it.
func (b *Board) candidate(l *lookup, m *indexMember) (place.Candidate, bool) {
	if !m.usable || !m.totals.allowed {
		return place.Candidate{}, false
	}
	if p := b.Pauses.State(l.now, pause.InstanceOf(&m.Instance)); p.Blocked() {
		l.pauses.add(p)
		return place.Candidate{}, false
	}
	l.pauses.available = true
	s := m.state
	if slices.Contains(l.criteria.Skip, m.ID) {
		return place.Candidate{}, false
	}
	if !l.criteria.IncludeDown && s.health.isDown(l.now) {
		return place.Candidate{}, false
	}
	if l.criteria.Spare && (l.now < m.ColdUntil || s.suspicion.isActive(l.now)) {
		return place.Candidate{}, false
	}
	cold := l.service.ColdRate > 0 && l.now < m.ColdUntil
	if cold && !b.canSendCold(l.now, m.key, s, l.service) {
		return place.Candidate{}, false
	}
	r := b.reading(l.now, m)
	limit := s.limit.At(l.now, m.Slots, l.holdTime(r.slowdown), l.patience)
	return place.Candidate{
		ID:            m.ID,
		Address:       m.Address,
		Running:       r.running,
		Waiting:       r.waiting,
		Reported:      r.weight > 0,
		Slowdown:      r.slowdown,
		Hold:          float64(l.serviceTime) / float64(time.Millisecond),
		Limit:         limit,
		Unreported:    b.unreported(r.recentSent, limit),
		PendingTokens: float64(s.pendingTokens + pendingTokensUnit*int(b.peerLoads[m.key].PendingPrefill)),
		Slots:         m.Slots,
		CachedTokens:  b.cachedTokens(l.now, m.cacheKey, l.criteria.Parts, false),
		FailureRatio:  s.health.failureRatio(),
		Suspected:     s.suspicion.isActive(l.now),
		OtherDomain:   m.Domain != l.criteria.Domain,
		Cold:          cold,
	}, true
}

// Prune removes the state of targets that are not in the view and have no requests in progress,
// and the cached parts of instances that are not in it.
func (b *Board) Prune(v *roster.View) {
	live, caches := make(map[uint32]bool, len(v.ByID)), make(map[uint32]bool, len(v.ByID))
	for _, t := range v.ByID {
		live[loadKey(t.ID)] = true
		caches[CacheKey(&t.Instance)] = true
	}
	b.Readings.SetTargets(caches)
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
