package board

import (
	"encoding/binary"
	"net/netip"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// maxAssigned is how many entries send to one cold target. Each may send a
	// request at any moment, so that all entries of a large fleet together would
	// exceed any rate.
	maxAssigned = 6
	// coldRateRatio is the part of a cold target's rate that is used: what is on the
	// way when a target turns cold takes the rest.
	coldRateRatio    = 0.9
	defaultFleetSize = 6 // used until the first peer report arrives
	// defaultColdOverage and slackDefault stand in where operators set no bounds.
	defaultColdOverage = 1.5
	defaultColdSlack   = 5.0
)

// coldBucket is this entry's allowance for one cold target: one request at once,
// and its part of the target's rate.
type coldBucket struct {
	tokens  float64
	last    clock.Stamp
	started bool
}

func (c *coldBucket) refill(now clock.Stamp, rate float64) {
	if !c.started {
		c.started, c.tokens, c.last = true, 1, now
		return
	}
	c.tokens = min(c.tokens+now.Sub(c.last).Seconds()*rate, 1)
	c.last = now
}

func (c *coldBucket) take() { c.tokens-- }

// canSendCold says whether this entry may send a request to a cold target now. The
// target's rate is divided over its assigned entries: the first few by hash.
func (b *Board) canSendCold(now clock.Stamp, key uint32, s *targetState, service *chestnutstep.Service) bool {
	n := b.entryCount()
	k := min(n, b.assignedEntries(service.ColdRate))
	if n > k && b.cachedRank(s, key) >= k {
		return false
	}
	s.cold.refill(now, coldRateRatio*service.ColdRate/float64(k))
	return s.cold.tokens >= 1
}

// assignedEntries is how many entries may send to one cold target: each may send one
// request at any moment beside the steady rate.
func (b *Board) assignedEntries(rate float64) int {
	overage, slack := defaultColdOverage, defaultColdSlack
	if b.ColdBounds != nil {
		overage, slack = b.ColdBounds()
	}
	allowed := int((overage-coldRateRatio)*rate + slack)
	return min(max(allowed, 1), maxAssigned)
}

// entryCount is how many entries there are. One that knows of fewer than before may be
// the one that is cut off: the others still send.
func (b *Board) entryCount() int {
	if len(b.peers) == 0 {
		return max(b.maxEntries, defaultFleetSize)
	}
	return max(b.maxEntries, len(b.peers)+1)
}

// isAssigned says whether this entry is among the first k by hash.
func (b *Board) isAssigned(key uint32, k int) bool { return b.rank(key) < k }

// IsAssigned says whether this entry is among the first k that look after a
// target.
func (b *Board) IsAssigned(t *chestnutstep.Instance, k int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isAssigned(loadKey(t.ID), k)
}

// IsFirstOf reports whether this entry comes before some others in looking after a target.
func (b *Board) IsFirstOf(t *chestnutstep.Instance, others []netip.AddrPort) bool {
	key := loadKey(t.ID)
	own := rankHash(b.Self, key)
	return !slices.ContainsFunc(others, func(p netip.AddrPort) bool { return rankHash(p, key) < own })
}

// cachedRank is rank, worked out anew only when the fleet has changed.
func (b *Board) cachedRank(s *targetState, key uint32) int {
	if s.rankVersion != b.fleetVersion || b.fleetVersion == 0 {
		s.rank, s.rankVersion = b.rank(key), b.fleetVersion
	}
	return s.rank
}

// rank is this entry's place among the known ones, by hash.
func (b *Board) rank(key uint32) int {
	own := rankHash(b.Self, key)
	before := 0
	for p := range b.peers {
		if rankHash(p, key) < own {
			before++
		}
	}
	return before
}

// Rank is this entry's place among the known ones.
func (b *Board) Rank() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rank(0)
}

func rankHash(entry netip.AddrPort, key uint32) uint64 {
	a := entry.Addr().As16()
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(slices.Clone(a[:]), key))
}
