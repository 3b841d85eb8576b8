// Package route decides to which targets a request is offered, and in which order.
//
// Millions of chats return after pauses through thousands of entries, and each entry handles
// only a small part of them. A chat must reach the target that holds its prompt prefix although
// no entry stores this. The order is therefore computed by weighted rendezvous hashing of
// workspace and chat over the targets in service. Every entry computes the same order without
// communication. Entries whose host lists differ agree on the order of the targets that both
// have, and a target that leaves moves only its own chats, each to the next target in its
// order. A random or least-loaded choice would find the prefix of a returning chat only by
// chance.
package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
)

// Table implements chestnutstep.Ranker for one view of the fleet. Set the exported fields and
// call Build once; after that the table is read-only and safe for concurrent use. A new
// publication or host list needs a new table.
type Table struct {
	View *chestnutstep.View
	// Skip reports whether a target gets no work for a reason that is not in the publication,
	// such as a host that is leaving. Build calls it once per target; nil skips none.
	Skip func(t *chestnutstep.Target) bool

	pools  map[string]*pool
	byName map[string]*chestnutstep.Target
}

// pool holds the targets in service of one model, grouped by region.
type pool struct {
	candidates []candidate
	spans      []regionSpan
}

// regionSpan is the range of a pool's candidates in one region.
type regionSpan struct {
	region      string
	first, last int
}

// candidate holds the values of a target that ranking needs. They are stored inline, so that a
// scan of all targets reads memory sequentially.
type candidate struct {
	hash uint64
	// inverseWeight is 1 divided by the weight.
	inverseWeight float64
	// lowerBound is slightly below inverseWeight, for the bound that avoids most logarithms.
	lowerBound float64
	target     *chestnutstep.Target
}

// boundSlack keeps the cheap bound below the exact key in spite of the rounding of the
// logarithm: its error is below 2^-50, far less than this margin.
const boundSlack = 1 - 1.0/(1<<40)

// Build computes the lookup tables. Call it exactly once, before the first Rank.
func (t *Table) Build() {
	t.pools = make(map[string]*pool, len(t.View.TargetsByModel))
	t.byName = make(map[string]*chestnutstep.Target, len(t.View.Targets))
	for model, targets := range t.View.TargetsByModel {
		t.pools[model] = t.newPool(targets)
	}
}

func (t *Table) newPool(targets []*chestnutstep.Target) *pool {
	serving := make([]*chestnutstep.Target, 0, len(targets))
	for _, target := range targets {
		if t.serves(target) {
			serving = append(serving, target)
			t.byName[target.Name] = target
		}
	}
	slices.SortFunc(serving, func(a, b *chestnutstep.Target) int {
		return cmp.Or(
			cmp.Compare(t.View.Region(a.Host), t.View.Region(b.Host)),
			cmp.Compare(a.Name, b.Name),
		)
	})
	p := &pool{candidates: make([]candidate, 0, len(serving))}
	for _, target := range serving {
		p.add(t.View.Region(target.Host), newCandidate(target))
	}
	return p
}

func (t *Table) serves(target *chestnutstep.Target) bool {
	if t.View.IsOut(target) {
		return false
	}
	return t.Skip == nil || !t.Skip(target)
}

func (p *pool) add(region string, c candidate) {
	if n := len(p.spans); n == 0 || p.spans[n-1].region != region {
		p.spans = append(p.spans, regionSpan{region: region, first: len(p.candidates)})
	}
	p.candidates = append(p.candidates, c)
	p.spans[len(p.spans)-1].last = len(p.candidates)
}

func newCandidate(target *chestnutstep.Target) candidate {
	inverseWeight := 1 / target.EffectiveWeight()
	return candidate{
		hash:          xxhash.Sum64String(target.Name),
		inverseWeight: inverseWeight,
		lowerBound:    inverseWeight * boundSlack,
		target:        target,
	}
}
