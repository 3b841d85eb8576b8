// Package route decides to which targets a request is offered, and in which
// order.
//
// The load it answers: millions of chats that return after pauses, through
// thousands of entries that each see only a sliver of them. A chat must find
// the target that holds its prompt prefix although no entry remembers it. So
// the order is computed and not stored: weighted rendezvous hashing of
// workspace and chat over the targets in service. Every entry computes the
// same order without talking, two entries whose host lists differ still agree
// on the targets that both see, and a target that leaves moves only its own
// chats, each to the next target of its own order. Without it (a random or a
// least-loaded target) a returning chat finds its prefix only by luck.
package route

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
)

// Table is a chestnutstep.Ranker over one view of the fleet. Set the fields,
// call Build once, then share it: a built table is only read, by any number of
// goroutines. Another publication or host list is another table.
type Table struct {
	View *chestnutstep.View
	// Skip says that a target gets no work for reasons that the publication
	// doesn't hold, such as a host that the host list shows as leaving. Build
	// calls it once for each target; nil skips none.
	Skip func(t *chestnutstep.Target) bool

	pools  map[string]*pool
	byName map[string]*chestnutstep.Target
}

// pool is the targets in service of one model, the regions one after another.
type pool struct {
	candidates []candidate
	spans      []regionSpan
}

// regionSpan is the part of a pool that lies in one region.
type regionSpan struct {
	region      string
	first, last int
}

// candidate is what ranking needs of one target. It is kept flat, so that a pass
// over all targets reads memory in order.
type candidate struct {
	hash uint64
	// inverseWeight is one over the weight.
	inverseWeight float64
	// lowerBound is a trifle under inv, for the bound that spares most logarithms.
	lowerBound float64
	target     *chestnutstep.Target
}

// boundSlack keeps the cheap bound under the exact key whatever the rounding of
// the logarithm: its error is below 2^-50, this is far above it.
const boundSlack = 1 - 1.0/(1<<40)

// Build computes the look-ups. Call it before the first Rank, and not again.
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

func (p *pool) add(region string, s candidate) {
	if n := len(p.spans); n == 0 || p.spans[n-1].region != region {
		p.spans = append(p.spans, regionSpan{region: region, first: len(p.candidates)})
	}
	p.candidates = append(p.candidates, s)
	p.spans[len(p.spans)-1].last = len(p.candidates)
}

func newCandidate(target *chestnutstep.Target) candidate {
	inv := 1 / target.EffectiveWeight()
	return candidate{
		hash:          xxhash.Sum64String(target.Name),
		inverseWeight: inv,
		lowerBound:    inv * boundSlack,
		target:        target,
	}
}
