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
	// maxAssigned is the maximum number of entries that send to one cold target. Each can send
	// a request at any moment, so all entries of a large fleet together would exceed any rate.
	maxAssigned = 6
	// coldRateRatio is the part of a cold target's rate that is used. Requests already in
	// flight when a target turns cold take the rest.
	coldRateRatio    = 0.9
	defaultFleetSize = 6 // used until the first peer report arrives
	// defaultColdOverage and defaultColdSlack apply if operators set no bounds.
	defaultColdOverage = 1.5
	defaultColdSlack   = 5.0
)

// coldBucket is this entry's token bucket for one cold target: a burst of one request, refilled
// at this entry's part of the target's rate.
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

// canSendCold reports whether this entry can send a request to a cold target now. The target's
// rate is divided among its assigned entries: the first few by hash.
func (b *Board) canSendCold(now clock.Stamp, key uint32, s *targetState, service *chestnutstep.Service) bool {
	n := b.entryCount()
	k := min(n, b.assignedEntries(service.ColdRate))
	if n > k && b.cachedRank(s, key) >= k {
		return false
	}
	s.cold.refill(now, coldRateRatio*service.ColdRate/float64(k))
	return s.cold.tokens >= 1
}

// assignedEntries returns how many entries can send to one cold target: each can send one
// request at any moment in addition to the steady rate.
func (b *Board) assignedEntries(rate float64) int {
	overage, slack := defaultColdOverage, defaultColdSlack
	if b.ColdBounds != nil {
		overage, slack = b.ColdBounds()
	}
	allowed := int((overage-coldRateRatio)*rate + slack)
	return min(max(allowed, 1), maxAssigned)
}

// entryCount returns the number of entries. An entry that sees fewer than before can be the one
// that is isolated, while the others still send; so the recent maximum counts.
func (b *Board) entryCount() int {
	if len(b.peers) == 0 {
		return max(b.maxEntries, defaultFleetSize)
	}
	return max(b.maxEntries, len(b.peers)+1)
}

// isAssigned reports whether this entry is among the first k by hash for a target.
func (b *Board) isAssigned(key uint32, k int) bool { return b.rank(key) < k }

// IsAssigned reports whether this entry is among the first k entries by hash that are
// responsible for a target.
func (b *Board) IsAssigned(t *chestnutstep.Instance, k int) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.isAssigned(loadKey(t.ID), k)
}

// IsFirstOf reports whether this entry ranks before all of others in the responsibility for a
// target.
func (b *Board) IsFirstOf(t *chestnutstep.Instance, others []netip.AddrPort) bool {
	key := loadKey(t.ID)
	own := rankHash(b.Self, key)
	return !slices.ContainsFunc(others, func(p netip.AddrPort) bool { return rankHash(p, key) < own })
}

// cachedRank returns rank, recomputed only if the fleet has changed.
func (b *Board) cachedRank(s *targetState, key uint32) int {
	if s.rankVersion != b.fleetVersion || b.fleetVersion == 0 {
		s.rank, s.rankVersion = b.rank(key), b.fleetVersion
	}
	return s.rank
}

// rank returns the number of known peers that come before this entry by hash.
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

// Rank returns this entry's rank among the known entries, from 0.
func (b *Board) Rank() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.rank(0)
}

func rankHash(entry netip.AddrPort, key uint32) uint64 {
	a := entry.Addr().As16()
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(slices.Clone(a[:]), key))
}
