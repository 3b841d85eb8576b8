// Package board holds what an entry knows of targets from moment to moment:
// requests in progress, its own and its peers', prompt parts in caches, recent
// failures, and how much a cold target may still get.
package board

import (
	"net/netip"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// peerKeep is how long a peer's loads count: longer than the longest pause
	// between its datagrams, and short enough that those of a dead peer don't
	// keep targets looking busy.
	peerKeep = 1500 * time.Millisecond
	// partsMost bounds the prompt parts that are remembered, in about 100 bytes
	// each. What a target has not read for long it has dropped anyway.
	partsMost = 20000
	// holdKeep is how long a part is believed to be in a cache without being
	// read again.
	holdKeep = 2 * time.Minute
	// readingUnit is the tokens in one unit of share.Load.Reading.
	readingUnit = 100
)

// Board is safe for concurrent use. Set the fields before the first call.
type Board struct {
	// Self names this entry among Peers.
	Self netip.AddrPort

	mu      sync.Mutex
	targets map[uint32]*state
	holds   map[uint64]map[uint32]clock.Stamp
	news    []news
	cursor  []uint64
	peers   map[netip.AddrPort]*peer
	sums    map[uint32]share.Load
	// most is the largest number of entries that was known at once.
	most int
}

// state is what is known of one target.
type state struct {
	running int
	reading int
	health  health
	cold    coldBucket
}

type peer struct {
	heard clock.Stamp
	loads []share.Load
}

// Key names an instance in datagrams. A restart is another instance, which has
// nothing in its cache.
func Key(t *chestnutstep.Instance) uint32 {
	var d xxhash.Digest
	d.Reset()
	_, _ = d.WriteString(t.ID)
	var b [8]byte
	for i := range b {
		b[i] = byte(t.Born >> (8 * i))
	}
	_, _ = d.Write(b[:])
	return uint32(d.Sum64())
}

func (b *Board) begin() {
	if b.targets != nil {
		return
	}
	b.targets = make(map[uint32]*state)
	b.holds = make(map[uint64]map[uint32]clock.Stamp)
	b.peers = make(map[netip.AddrPort]*peer)
	b.sums = make(map[uint32]share.Load)
}

func (b *Board) state(key uint32) *state {
	b.begin()
	s := b.targets[key]
	if s == nil {
		s = &state{}
		b.targets[key] = s
	}
	return s
}

// Need says what a request wants of a target.
type Need struct {
	Parts []chestnutstep.Part
	// Domain of the entry.
	Domain string
	// Skip are targets that had the request already.
	Skip []string
	// Suspects may be used when nothing else is left.
	Suspects bool
}

// Candidates lists the targets of a service that may take a request now.
func (b *Board) Candidates(now clock.Stamp, v *roster.View, service *chestnutstep.Service, need Need) []place.Candidate {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	b.expire(now)
	list := make([]place.Candidate, 0, len(v.Services[service.Name]))
	for _, t := range v.Services[service.Name] {
		if !v.Usable(t) || contains(need.Skip, t.ID) {
			continue
		}
		key := Key(&t.Instance)
		s := b.state(key)
		if s.health.down(now) && !need.Suspects {
			continue
		}
		cold := service.ColdRate > 0 && now < t.ColdUntil
		if cold && !b.coldLeft(now, key, s, service) {
			continue
		}
		sum := b.sums[key]
		list = append(list, place.Candidate{
			ID:      t.ID,
			Address: t.Address,
			Running: float64(s.running + int(sum.Running)),
			Reading: float64(s.reading + readingUnit*int(sum.Reading)),
			Slots:   t.Slots,
			Held:    b.held(now, key, need.Parts),
			Failing: s.health.failing(),
			Far:     t.Domain != need.Domain,
			Cold:    cold,
			Donor:   !cold && !s.health.down(now),
		})
	}
	return list
}

func contains(list []string, one string) bool {
	for _, s := range list {
		if s == one {
			return true
		}
	}
	return false
}

// held counts the tokens of the leading parts in a target's cache: a part is of
// use only if all before it are there too.
func (b *Board) held(now clock.Stamp, key uint32, parts []chestnutstep.Part) int {
	n := 0
	for _, p := range parts {
		at, ok := b.holds[p.ID][key]
		if !ok || now.Sub(at) > holdKeep {
			return n
		}
		n += p.Tokens
	}
	return n
}

// Run is a request in progress at a target. End it once.
type Run struct {
	board   *Board
	key     uint32
	parts   []chestnutstep.Part
	reading int
}

// Start counts a request at a target.
func (b *Board) Start(now clock.Stamp, t *roster.Target, service *chestnutstep.Service, parts []chestnutstep.Part, held int) *Run {
	b.mu.Lock()
	defer b.mu.Unlock()
	key := Key(&t.Instance)
	s := b.state(key)
	s.running++
	if service.ColdRate > 0 && now < t.ColdUntil {
		s.cold.take()
	}
	r := &Run{board: b, key: key, parts: parts}
	for _, p := range parts {
		r.reading += p.Tokens
	}
	r.reading = max(r.reading-held, 0)
	s.reading += r.reading
	b.hold(now, key, parts)
	return r
}

// First says that the target has read the prompt.
func (r *Run) First() {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.read()
}

func (r *Run) read() {
	r.board.state(r.key).reading -= r.reading
	r.reading = 0
}

// End says how the request ended.
func (r *Run) End(now clock.Stamp, o Outcome) {
	r.board.mu.Lock()
	defer r.board.mu.Unlock()
	r.read()
	s := r.board.state(r.key)
	s.running--
	s.health.take(now, o)
	if o == Refused || o == Unreached {
		r.board.drop(r.key, r.parts)
	}
}

// hold notes that a target reads parts. The last part is the request's own: no
// other request asks for it.
func (b *Board) hold(now clock.Stamp, key uint32, parts []chestnutstep.Part) {
	if len(parts) == 0 {
		return
	}
	for _, p := range parts[:len(parts)-1] {
		if !b.learn(now, p.ID, key) {
			continue
		}
		b.news = append(b.news, news{hold: share.Hold{Target: key, Part: p.ID}})
	}
}

// learn notes a part in a cache, and says whether that is new.
func (b *Board) learn(now clock.Stamp, part uint64, key uint32) bool {
	m := b.holds[part]
	if m == nil {
		if len(b.holds) >= partsMost {
			b.forgetOld(now)
		}
		m = make(map[uint32]clock.Stamp, 2)
		b.holds[part] = m
	}
	_, known := m[key]
	m[key] = now
	return !known
}

// drop forgets parts that a target did not read after all.
func (b *Board) drop(key uint32, parts []chestnutstep.Part) {
	for _, p := range parts {
		delete(b.holds[p.ID], key)
	}
}

// forgetOld makes room.
func (b *Board) forgetOld(now clock.Stamp) {
	for part, m := range b.holds {
		for key, at := range m {
			if now.Sub(at) > holdKeep/4 {
				delete(m, key)
			}
		}
		if len(m) == 0 {
			delete(b.holds, part)
		}
	}
	if len(b.holds) >= partsMost {
		clear(b.holds)
	}
}

// Keep forgets all targets that are not listed: what they held is lost.
func (b *Board) Keep(v *roster.View) {
	live := make(map[uint32]bool, len(v.ByID))
	for _, t := range v.ByID {
		live[Key(&t.Instance)] = true
	}
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	for key, s := range b.targets {
		if !live[key] && s.running == 0 {
			delete(b.targets, key)
		}
	}
	for part, m := range b.holds {
		for key := range m {
			if !live[key] {
				delete(m, key)
			}
		}
		if len(m) == 0 {
			delete(b.holds, part)
		}
	}
}
