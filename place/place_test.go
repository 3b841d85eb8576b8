package place_test

import (
	"fmt"
	"math/rand/v2"
	"testing"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 100) }

// simulation is a small fleet of engines on whole steps of time: each request occupies its
// target for a while, and reading a prompt delays all that run beside it.
type simulation struct {
	running       [][]int // the steps at which requests end, by target
	pendingTokens []float64
	cached        []map[uint64]bool
	prefilled     int
	maxLoadRatio  float64
	late          int
	slow          int
}

const (
	targets      = 10
	prefixTokens = 10000
	ownTokens    = 500
	steps        = 4000
	requestSteps = 60
)

func newSimulation() *simulation {
	p := &simulation{running: make([][]int, targets), pendingTokens: make([]float64, targets), slow: -1}
	for range targets {
		p.cached = append(p.cached, make(map[uint64]bool))
	}
	return p
}

// picker chooses a target for a prefix.
type picker func(p *simulation, key uint64) place.Choice

func (p *simulation) candidates(key uint64) ([]place.Candidate, place.Donor) {
	var list []place.Candidate
	var donor place.Donor
	for i := range targets {
		c := place.Candidate{ID: fmt.Sprint(i), Running: float64(len(p.running[i])), Slots: 64, PendingTokens: p.pendingTokens[i]}
		if p.cached[i][key] {
			c.CachedTokens = prefixTokens
			if donor.CachedTokens == 0 || c.Running < donor.Running {
				donor = place.Donor{ID: c.ID, CachedTokens: prefixTokens, Running: c.Running}
			}
		}
		list = append(list, c)
	}
	return list, donor
}

// pick names candidates, and works out their ceiling, by looking at all of them.
func pick(list []place.Candidate, donor place.Donor, req place.Request) (place.Choice, bool) {
	var ids []string
	var sum place.Totals
	for i := range list {
		ids = append(ids, list[i].ID)
		list[i].HashRank = 0
		sum.Add(&list[i])
	}
	hashed := 0
	var ring place.Ring
	ring.Update(ids, nil)
	ring.Walk(req.Key, func(i int) bool {
		hashed++
		list[i].HashRank = hashed
		return hashed < place.HashCandidates
	})
	req.Ceiling = sum.Ceiling(0)
	return place.Pick(list, donor, req)
}

func taken(list []place.Candidate) float64 {
	var sum place.Totals
	for i := range list {
		sum.Add(&list[i])
	}
	return sum.Taken()
}

func pickByCost(p *simulation, key uint64) place.Choice {
	list, donor := p.candidates(key)
	c, _ := pick(list, donor, place.Request{Key: key, Tokens: prefixTokens + ownTokens, Shared: prefixTokens})
	return c
}

// pickByLoad is the naive version that looks at load alone.
func pickByLoad(p *simulation, _ uint64) place.Choice {
	best := 0
	for i := range targets {
		if len(p.running[i]) < len(p.running[best]) {
			best = i
		}
	}
	return place.Choice{Index: best}
}

// pickByPrefix is the naive version that looks at the prefix alone.
func pickByPrefix(_ *simulation, key uint64) place.Choice {
	return place.Choice{Index: int(key % targets)}
}

// run plays requests whose prefix keys come from next, some each step.
func (p *simulation) run(pick picker, perStep float64, nextKey func(r *rand.Rand) uint64) {
	r := rand.New(rand.NewPCG(1, 2))
	due := 0.0
	for step := range steps {
		p.step(step)
		for due += perStep; due >= 1; due-- {
			p.send(step, pick, nextKey(r))
		}
	}
}

// step lets a step pass: requests end, prompts are read.
func (p *simulation) step(step int) {
	mean := 0.0
	for i := range targets {
		kept := p.running[i][:0]
		for _, end := range p.running[i] {
			if end > step {
				kept = append(kept, end)
			}
		}
		p.running[i] = kept
		p.pendingTokens[i] = max(p.pendingTokens[i]-place.PrefillRate*10, 0)
		mean += float64(len(kept)) / targets
	}
	for i := range targets {
		if mean > 4 {
			p.maxLoadRatio = max(p.maxLoadRatio, float64(len(p.running[i]))/mean)
		}
	}
}

func (p *simulation) send(step int, pick picker, key uint64) {
	c := pick(p, key)
	i := c.Index
	tokens := ownTokens
	if !p.cached[i][key] && !c.Fetch {
		tokens += prefixTokens
		p.prefilled += prefixTokens
	}
	p.cached[i][key] = true
	p.pendingTokens[i] += float64(tokens)
	if p.pendingTokens[i]/place.PrefillRate > 800 {
		p.late++
	}
	p.running[i] = append(p.running[i], step+requestSteps)
}

// evenKey asks for one of 40 prefixes.
func evenKey(r *rand.Rand) uint64 { return r.Uint64N(40) }

// hotKey asks for one prefix in half of all requests.
func hotKey(r *rand.Rand) uint64 {
	if r.Uint64N(2) == 0 {
		return 7
	}
	return evenKey(r)
}

// Many chats share long prefixes. By load alone each target reads each prefix, and
// whoever sits beside waits for it; by prefix alone the target of a popular one
// drowns. Callers notice both as a late first word.
func TestPrefixesAndLoad(t *testing.T) {
	for _, tc := range []struct {
		name string
		next func(r *rand.Rand) uint64
	}{{"even", evenKey}, {"hot", hotKey}} {
		t.Run(tc.name, func(t *testing.T) {
			a, b, c := newSimulation(), newSimulation(), newSimulation()
			a.run(pickByCost, 1.2, tc.next)
			b.run(pickByLoad, 1.2, tc.next)
			c.run(pickByPrefix, 1.2, tc.next)
			t.Logf("read %d, least in progress %d, home %d; worst over mean %.2f, %.2f, %.2f; late %d, %d, %d",
				a.prefilled, b.prefilled, c.prefilled, a.maxLoadRatio, b.maxLoadRatio, c.maxLoadRatio, a.late, b.late, c.late)
			assert.Assert(t, a.prefilled <= 40*prefixTokens*2, "read again: %d", a.prefilled)
			assert.Assert(t, a.prefilled*4 < b.prefilled, "%d against %d by load alone", a.prefilled, b.prefilled)
			assert.Assert(t, a.maxLoadRatio < 2, "%f times the mean", a.maxLoadRatio)
			assert.Assert(t, a.maxLoadRatio < c.maxLoadRatio, "%f against %f by prefix alone", a.maxLoadRatio, c.maxLoadRatio)
			assert.Assert(t, a.late <= c.late)
		})
	}
}

// A burst of requests for one prefix that no target holds yet: all at one moment.
// Spread over all targets, each would read it.
func TestBurstForNewPrefix(t *testing.T) {
	p := newSimulation()
	for range 8 {
		p.send(0, pickByCost, 3)
	}
	assert.Assert(t, p.prefilled <= 2*prefixTokens, "%d", p.prefilled)
}

// TestNewPrefixGoesToOneTarget guards against entries that need a new prefix at the same
// moment and, as each knows other loads, have it read by a target each.
func TestNewPrefixGoesToOneTarget(t *testing.T) {
	req := place.Request{Key: 77, Tokens: 9000, Shared: 8000}
	got := make(map[string]bool)
	for entry := range 20 {
		var list []place.Candidate
		for i := range 30 {
			list = append(list, place.Candidate{
				ID: fmt.Sprint("t", i), Running: float64((entry*7 + i*3) % 4), Slots: 64, OtherDomain: (entry+i)%3 > 0,
			})
		}
		c, ok := pick(list, place.Donor{}, req)
		assert.Assert(t, ok)
		got[list[c.Index].ID] = true
	}
	assert.Equal(t, len(got), 1, "%v", got)
}

// All targets are far over their slots: a request still goes to the least loaded one
// rather than to none, as targets queue by urgency.
func TestSaturation(t *testing.T) {
	var list []place.Candidate
	for i := range 4 {
		list = append(list, place.Candidate{ID: fmt.Sprint(i), Running: float64(90 + i), Slots: 64})
	}
	c, ok := pick(list, place.Donor{}, place.Request{Key: 5})
	assert.Assert(t, ok)
	assert.Equal(t, c.Index, 0)
	_, ok = pick(nil, place.Donor{}, place.Request{})
	assert.Assert(t, !ok)
}

// Idle targets share what comes: all entries would send to the first of the list.
func TestIdleTargetsShare(t *testing.T) {
	list := []place.Candidate{{ID: "a"}, {ID: "b"}, {ID: "c"}}
	got := make([]int, 3)
	for i := range uint64(300) {
		c, _ := pick(list, place.Donor{}, place.Request{Key: i * 7919})
		got[c.Index]++
	}
	for _, n := range got {
		assert.Assert(t, n > 60, "%v", got)
	}
}

// Entries heard the same loads a moment ago, and each has a request for a prefix that
// nobody holds. All would send to the one target that was least loaded then; its users
// wait while the others idle.
func TestStaleLoadsDontOverloadATarget(t *testing.T) {
	var list []place.Candidate
	for i := range 20 {
		list = append(list, place.Candidate{ID: fmt.Sprint("t", i), Running: 10, Slots: 64})
	}
	list[7].Running = 4
	chosen := 0
	for i := range uint64(24) {
		c, ok := pick(list, place.Donor{}, place.Request{Key: i * 104729, Tokens: prefixTokens + ownTokens, Shared: prefixTokens})
		assert.Assert(t, ok)
		if c.Index == 7 {
			chosen++
		}
	}
	assert.Assert(t, chosen >= 1 && chosen <= 8, "%d of 24", chosen)
}

// All prompts of a kind begin with the same instructions, and a few targets have read
// them. Entries that know no loads would all send to those few, whatever follows the
// instructions: a caller waits behind a crowd while a thousand targets idle.
func TestCommonPartDoesNotOverloadItsHolders(t *testing.T) {
	const instructions = 500
	var list []place.Candidate
	for i := range 40 {
		list = append(list, place.Candidate{ID: fmt.Sprint("t", i), Slots: 64})
	}
	list[7].CachedTokens = instructions
	chosen := 0
	for i := range uint64(24) {
		c, ok := pick(list, place.Donor{}, place.Request{Key: i * 104729, Tokens: prefixTokens + ownTokens, Shared: prefixTokens})
		assert.Assert(t, ok)
		if c.Index == 7 {
			chosen++
		}
	}
	assert.Assert(t, chosen <= 5, "%d of 24", chosen)
}

// Targets have five requests each, and the one that holds a prefix has nine: chance, not a
// crowd. Sent to another, the request has its prefix moved there, and so has the next one:
// links and memory are spent on chats that would have been served as soon where they were.
func TestFewRequestsStayWithTheirPrefix(t *testing.T) {
	var list []place.Candidate
	for i := range 9 {
		list = append(list, place.Candidate{ID: fmt.Sprint("t", i), Running: 5, Slots: 64})
	}
	list[4].Running, list[4].CachedTokens = 9, prefixTokens
	donor := place.Donor{ID: "t4", CachedTokens: prefixTokens}
	c, ok := pick(list, donor, place.Request{Key: 1, Tokens: prefixTokens + ownTokens, Shared: prefixTokens})
	assert.Assert(t, ok)
	assert.Equal(t, c.Index, 4)
	assert.Assert(t, !c.Fetch)
}

// However popular a prefix is, no target gets a request that puts it over twice the mean
// and three, while another could take it: its other callers would wait for one chat.
func TestPopularPrefixStaysBelowCeiling(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		var list []place.Candidate
		sum := 0.0
		for i := range rapid.IntRange(2, 30).Draw(t, "targets") {
			n := float64(rapid.IntRange(0, 70).Draw(t, "running"))
			list = append(list, place.Candidate{ID: fmt.Sprint("t", i), Running: n, Slots: 64})
			sum += n
		}
		holder := rapid.IntRange(0, len(list)-1).Draw(t, "holder")
		list[holder].CachedTokens = prefixTokens
		donor := place.Donor{ID: list[holder].ID, CachedTokens: prefixTokens}
		c, ok := pick(list, donor, place.Request{Key: 3, Tokens: prefixTokens + ownTokens, Shared: prefixTokens})
		assert.Assert(t, ok)
		maxRunning := 2*sum/float64(len(list)) + 3
		assert.Assert(t, list[c.Index].Running+1 <= maxRunning, "%.0f in progress, %.1f allowed", list[c.Index].Running, maxRunning)
	})
}

// A target turns cold while all its slots are taken, and the others are full as well. It
// may get a request now and then, but has no place for one: taken for free, it would let
// every caller through to targets that can't begin in time.
func TestFullColdTargetHasNoCapacity(t *testing.T) {
	list := []place.Candidate{{ID: "a", Running: 70, Limit: 70}, {ID: "cold", Running: 70, Limit: 70, Cold: true}}
	assert.Assert(t, taken(list) >= 1, "%.2f", taken(list))
	list[1].Running = 2
	assert.Equal(t, taken(list), 0.0, "a cold target that may get one is a place")
}
