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

// simulation is a small fleet of engines in discrete time steps. Each request occupies its
// target for a number of steps, and reading a prompt delays all requests that run concurrently.
type simulation struct {
	running       [][]int // steps at which requests end, by target
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
	s := &simulation{running: make([][]int, targets), pendingTokens: make([]float64, targets), slow: -1}
	for range targets {
		s.cached = append(s.cached, make(map[uint64]bool))
	}
	return s
}

// picker chooses a target for a prefix.
type picker func(p *simulation, key uint64) place.Choice

func (s *simulation) candidates(key uint64) ([]place.Candidate, place.Donor) {
	var list []place.Candidate
	var donor place.Donor
	for i := range targets {
		c := place.Candidate{ID: fmt.Sprint(i), Running: float64(len(s.running[i])), Slots: 64, PendingTokens: s.pendingTokens[i]}
		if s.cached[i][key] {
			c.CachedTokens = prefixTokens
			if donor.CachedTokens == 0 || c.Running < donor.Running {
				donor = place.Donor{ID: c.ID, CachedTokens: prefixTokens, Running: c.Running}
			}
		}
		list = append(list, c)
	}
	return list, donor
}

// pick computes the hash ranks and the ceiling over all candidates and calls place.Pick.
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
	if req.Ceiling == 0 {
		req.Ceiling = sum.Ceiling(0)
	}
	return place.Pick(list, donor, req)
}

func taken(list []place.Candidate) float64 {
	var sum place.Totals
	for i := range list {
		sum.Add(&list[i])
	}
	return sum.Taken()
}

func pickByCost(s *simulation, key uint64) place.Choice {
	list, donor := s.candidates(key)
	c, _ := pick(list, donor, place.Request{Key: key, Tokens: prefixTokens + ownTokens, Shared: prefixTokens})
	return c
}

// pickByLoad is a naive placement by load alone.
func pickByLoad(s *simulation, _ uint64) place.Choice {
	best := 0
	for i := range targets {
		if len(s.running[i]) < len(s.running[best]) {
			best = i
		}
	}
	return place.Choice{Index: best}
}

// pickByPrefix is a naive placement by prefix alone.
func pickByPrefix(_ *simulation, key uint64) place.Choice {
	return place.Choice{Index: int(key % targets)}
}

// run simulates requests with prefix keys from nextKey, perStep of them each step.
func (s *simulation) run(pick picker, perStep float64, nextKey func(r *rand.Rand) uint64) {
	r := rand.New(rand.NewPCG(1, 2))
	due := 0.0
	for step := range steps {
		s.step(step)
		for due += perStep; due >= 1; due-- {
			s.send(step, pick, nextKey(r))
		}
	}
}

// step advances one step: requests end and prompts are read.
func (s *simulation) step(step int) {
	mean := 0.0
	for i := range targets {
		kept := s.running[i][:0]
		for _, end := range s.running[i] {
			if end > step {
				kept = append(kept, end)
			}
		}
		s.running[i] = kept
		s.pendingTokens[i] = max(s.pendingTokens[i]-place.PrefillRate*10, 0)
		mean += float64(len(kept)) / targets
	}
	for i := range targets {
		if mean > 4 {
			s.maxLoadRatio = max(s.maxLoadRatio, float64(len(s.running[i]))/mean)
		}
	}
}

func (s *simulation) send(step int, pick picker, key uint64) {
	c := pick(s, key)
	i := c.Index
	tokens := ownTokens
	if !s.cached[i][key] && !c.Fetch {
		tokens += prefixTokens
		s.prefilled += prefixTokens
	}
	s.cached[i][key] = true
	s.pendingTokens[i] += float64(tokens)
	if s.pendingTokens[i]/place.PrefillRate > 800 {
		s.late++
	}
	s.running[i] = append(s.running[i], step+requestSteps)
}

// evenKey draws one of 40 prefixes.
func evenKey(r *rand.Rand) uint64 { return r.Uint64N(40) }

// hotKey draws one prefix for half of all requests.
func hotKey(r *rand.Rand) uint64 {
	if r.Uint64N(2) == 0 {
		return 7
	}
	return evenKey(r)
}

// TestPrefixesAndLoad guards against placement by load alone, where each target reads each
// prefix and delays the other requests, and by prefix alone, where the target of a popular
// prefix is overloaded. Callers see both as a late first byte.
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
			t.Logf("by cost, by load, by prefix: tokens read %d, %d, %d; maximum over mean load %.2f, %.2f, %.2f; late %d, %d, %d",
				a.prefilled, b.prefilled, c.prefilled, a.maxLoadRatio, b.maxLoadRatio, c.maxLoadRatio, a.late, b.late, c.late)
			assert.Assert(t, a.prefilled <= 40*prefixTokens*2, "%d tokens read", a.prefilled)
			assert.Assert(t, a.prefilled*4 < b.prefilled, "%d against %d by load alone", a.prefilled, b.prefilled)
			assert.Assert(t, a.maxLoadRatio < 2, "%f times the mean", a.maxLoadRatio)
			assert.Assert(t, a.maxLoadRatio < c.maxLoadRatio, "%f against %f by prefix alone", a.maxLoadRatio, c.maxLoadRatio)
			assert.Assert(t, a.late <= c.late)
		})
	}
}

// TestBurstForNewPrefix guards against spreading simultaneous requests for a prefix that no
// target holds over all targets, each of which would read it.
func TestBurstForNewPrefix(t *testing.T) {
	s := newSimulation()
	for range 8 {
		s.send(0, pickByCost, 3)
	}
	assert.Assert(t, s.prefilled <= 2*prefixTokens, "%d", s.prefilled)
}

// TestNewPrefixGoesToOneTarget guards against entries that need a new prefix at the same moment
// and, with different views of the load, have it read by one target each.
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

// TestSaturation guards against rejecting a request when all targets exceed their slots: it
// goes to the least loaded one, as targets queue by urgency.
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

// TestIdleTargetsShare guards against entries that all send to the first idle target of the
// list.
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

// TestStaleLoadsDontOverloadATarget guards against entries with the same load reports that all
// send requests for new prefixes to the target that was least loaded then, while the others
// idle.
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

// TestCommonPartDoesNotOverloadItsHolders guards against the few targets that have read the
// common instructions of many prompts: entries without load reports would send all these
// prompts there, whatever follows the instructions.
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

// TestFewRequestsStayWithTheirPrefix guards against moving a request away from its prefix for a
// random difference in load: nine requests at the holder, five at the others. Each move costs
// link bandwidth and memory without an earlier answer.
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

// TestPopularPrefixStaysBelowCeiling guards against a popular prefix that puts a target over
// twice the mean plus three requests while another target could take the request.
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

// TestFullColdTargetHasNoCapacity guards against counting a cold target with all slots taken as
// free capacity: every caller would be admitted to targets that cannot start in time.
func TestFullColdTargetHasNoCapacity(t *testing.T) {
	list := []place.Candidate{{ID: "a", Running: 70, Limit: 70}, {ID: "cold", Running: 70, Limit: 70, Cold: true}}
	assert.Assert(t, taken(list) >= 1, "%.2f", taken(list))
	list[1].Running = 2
	assert.Equal(t, taken(list), 0.0, "a cold target with capacity counts as unlimited")
}
