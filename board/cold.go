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
	// assignedMost is how many entries send to one cold target. Each may send a
	// request at any moment, so that all entries of a large fleet together would
	// exceed any rate.
	assignedMost = 6
	// coldShare is the part of a cold target's rate that is used: what is on the
	// way when a target turns cold takes the rest.
	coldShare        = 0.9
	defaultFleetSize = 6 // used until the first peer report arrives
	// overDefault and slackDefault stand in where operators set no bounds.
	overDefault  = 1.5
	slackDefault = 5.0
)

// coldBucket is this entry's allowance for one cold target: one request at once,
// and its part of the target's rate.
type coldBucket struct {
	tokens float64
	last   clock.Stamp
	begun  bool
}

func (c *coldBucket) refill(now clock.Stamp, rate float64) {
	if !c.begun {
		c.begun, c.tokens, c.last = true, 1, now
		return
	}
	c.tokens = min(c.tokens+now.Sub(c.last).Seconds()*rate, 1)
	c.last = now
}

func (c *coldBucket) take() { c.tokens-- }

// coldLeft says whether this entry may send a request to a cold target now. The
// target's rate is divided over its assigned entries: the first few by hash.
func (b *Board) coldLeft(now clock.Stamp, key uint32, s *state, service *chestnutstep.Service) bool {
	n := b.entries()
	k := min(n, b.assignedFor(service.ColdRate))
	if n > k && b.rankAt(s, key) >= k {
		return false
	}
	s.cold.refill(now, coldShare*service.ColdRate/float64(k))
	return s.cold.tokens >= 1
}

// assignedFor is how many entries may send to one cold target: each may send one
// request at any moment beside the steady rate.
func (b *Board) assignedFor(rate float64) int {
	over, slack := overDefault, slackDefault
	if b.Cold != nil {
		over, slack = b.Cold()
	}
	room := int((over-coldShare)*rate + slack)
	return min(max(room, 1), assignedMost)
}

// entries is how many entries there are. One that knows of fewer than before may be
// the one that is cut off: the others still send.
func (b *Board) entries() int {
	if len(b.peers) == 0 {
		return max(b.most, defaultFleetSize)
	}
	return max(b.most, len(b.peers)+1)
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
	own := hash(b.Self, key)
	return !slices.ContainsFunc(others, func(p netip.AddrPort) bool { return hash(p, key) < own })
}

// rankAt is rank, worked out anew only when the fleet has changed.
func (b *Board) rankAt(s *state, key uint32) int {
	if s.ranked != b.fleet || b.fleet == 0 {
		s.rank, s.ranked = b.rank(key), b.fleet
	}
	return s.rank
}

// rank is this entry's place among the known ones, by hash.
func (b *Board) rank(key uint32) int {
	own := hash(b.Self, key)
	before := 0
	for p := range b.peers {
		if hash(p, key) < own {
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

func hash(entry netip.AddrPort, key uint32) uint64 {
	a := entry.Addr().As16()
	return xxhash.Sum64(binary.LittleEndian.AppendUint32(slices.Clone(a[:]), key))
}
