package route

import (
	"math"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
)

// MaxTargets is the maximum length of a ranking. A request is offered to a handful of targets;
// the limit allows the best ones to be kept on the stack.
const MaxTargets = 64

// topTargets keeps the targets with the smallest keys seen so far, in order.
type topTargets struct {
	keys       [MaxTargets]float64
	candidates [MaxTargets]*candidate
	n          int
	limit      int
}

// Rank appends at most n targets (and at most MaxTargets) to dst, best first: the hinted target
// if it qualifies, then the targets of the caller's region, then those of other regions. It
// does not allocate if dst has enough capacity.
func (t *Table) Rank(dst []*chestnutstep.Target, req chestnutstep.RankQuery, n int) []*chestnutstep.Target {
	p := t.pools[req.Model]
	if p == nil || n <= 0 {
		return dst
	}
	n = min(n, MaxTargets)
	hint := t.hint(req)
	if hint != nil {
		dst = append(dst, hint)
		n--
	}
	chat := chatHash(req.Workspace, req.Chat)
	near := topTargets{limit: n}
	p.scanRegion(&near, req.Region, chat, hint)
	dst = near.appendTo(dst)
	if near.n == n {
		return dst
	}
	far := topTargets{limit: n - near.n}
	p.scanOtherRegions(&far, req.Region, chat, hint)
	return far.appendTo(dst)
}

// hint returns the target that last served the caller, or nil if it does not qualify. A hint is
// untrusted input: a name of another model's target, or of one that left, is ignored and not an
// error, as callers keep hints for as long as their chats pause.
func (t *Table) hint(req chestnutstep.RankQuery) *chestnutstep.Target {
	if req.Hint == "" {
		return nil
	}
	target := t.byName[req.Hint]
	if target == nil || target.Model != req.Model {
		return nil
	}
	return target
}

func (p *pool) scanRegion(top *topTargets, region string, chat uint64, hint *chestnutstep.Target) {
	for _, s := range p.spans {
		if s.region == region {
			top.scan(p.candidates[s.first:s.last], chat, hint)
		}
	}
}

func (p *pool) scanOtherRegions(top *topTargets, region string, chat uint64, hint *chestnutstep.Target) {
	for _, s := range p.spans {
		if s.region != region {
			top.scan(p.candidates[s.first:s.last], chat, hint)
		}
	}
}

// scan adds the candidates that are among the best so far. A logarithm for each of thousands of
// targets would take most of the time of a ranking. As -ln(u) is never below 1-u, the cheap
// bound 1-u excludes nearly all candidates.
func (t *topTargets) scan(candidates []candidate, chat uint64, hint *chestnutstep.Target) {
	if t.limit == 0 {
		return
	}
	worst := t.worst()
	for i := range candidates {
		c := &candidates[i]
		u := uniform(c.hash, chat)
		if (1-u)*c.lowerBound > worst || c.target == hint {
			continue
		}
		t.add(c, rankKey(u, c.inverseWeight))
		worst = t.worst()
	}
}

// worst returns the key that a candidate must not exceed to be kept.
func (t *topTargets) worst() float64 {
	if t.n < t.limit {
		return math.Inf(1)
	}
	return t.keys[t.n-1]
}

func (t *topTargets) add(c *candidate, key float64) {
	i := t.n
	if t.n == t.limit {
		i--
		if !less(key, c, t.keys[i], t.candidates[i]) {
			return
		}
	} else {
		t.n++
	}
	for i > 0 && less(key, c, t.keys[i-1], t.candidates[i-1]) {
		t.keys[i], t.candidates[i] = t.keys[i-1], t.candidates[i-1]
		i--
	}
	t.keys[i], t.candidates[i] = key, c
}

func (t *topTargets) appendTo(dst []*chestnutstep.Target) []*chestnutstep.Target {
	for _, c := range t.candidates[:t.n] {
		dst = append(dst, c.target)
	}
	return dst
}

// less orders two candidates by key and, if the keys are equal, by name, so that the order does
// not depend on the order of the list.
func less(aKey float64, a *candidate, bKey float64, b *candidate) bool {
	if aKey != bKey {
		return aKey < bKey
	}
	return a.target.Name < b.target.Name
}

// rankKey returns the ranking key of a target for a chat; the smallest ranks first. With u
// uniform, -ln(u)/w is exponential with rate w, so each target ranks first for a part of the
// chats that is exactly its part of the weights.
func rankKey(u, inverseWeight float64) float64 {
	return -math.Log(u) * inverseWeight
}

// uniform returns a number between 0 and 1, both excluded, that is fixed for a target and chat.
func uniform(target, chat uint64) float64 {
	const bits = 53
	return (float64(mix(target^chat)>>(64-bits)) + 0.5) / (1 << bits)
}

// chatHash hashes workspace and chat. Moving the boundary between the two strings gives another
// hash.
func chatHash(workspace, chat string) uint64 {
	return mix(xxhash.Sum64String(workspace)) ^ xxhash.Sum64String(chat)
}

// mix is the finalizer of splitmix64: it spreads every bit over the whole word, which combining
// two hashes by exclusive or does not.
func mix(x uint64) uint64 {
	x ^= x >> 30
	x *= 0xbf58476d1ce4e5b9
	x ^= x >> 27
	x *= 0x94d049bb133111eb
	return x ^ x>>31
}
