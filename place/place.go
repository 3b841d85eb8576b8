// Package place chooses the target for a request, where no agent stands between
// entry and target. It is pure.
//
// The load it answers: many chats share long prompt prefixes, and a few prefixes
// take much of the traffic. Placed by load alone, each prefix is read anew at
// every target, and the reading delays the tokens of all others there. Placed by
// prefix alone, the target of a popular prefix is overloaded. The choice here weighs
// both in one unit, milliseconds of the caller's time.
package place

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefillRate is how many prompt tokens an engine reads in a millisecond: the
	// slower end of what current engines do. It only has to be right relative to
	// Share.
	PrefillRate = 60.0
	// LoadCost is what each request in progress adds to the time of the next one,
	// in milliseconds: a token takes longer for everyone in the batch.
	LoadCost = 1.5
	// FetchRate is how many tokens of cache an engine takes over from another in
	// a millisecond, its own set-up included at usual prompt lengths.
	FetchRate = 600.0
	// minFetchTokens is the shortest missing prefix that is worth fetching: below
	// that, the set-up takes as long as reading.
	minFetchTokens = 128
	// SpreadRatio is the part of the allowed multiple of the mean load above which a target
	// gets no request that another could take: what peers do in the same moment adds
	// the rest.
	SpreadRatio = 0.75
	// DefaultCapFactor is the multiple where none is set.
	DefaultCapFactor = 2.0
	// spreadSlack lets a target take a few requests more. Where it has a handful, one or
	// two above a multiple of the mean are chance, and sending them away from their
	// prefix moves it to one target after the other.
	spreadSlack = 2.0
	// otherDomainCost is what another failure domain costs, in milliseconds: the way
	// there and back for each of the request and the answer.
	otherDomainCost = 6.0
	// failureCost is added for a target that failed much of what it got of late,
	// times the share that failed. It outweighs any wait that a caller accepts.
	failureCost = 4000.0
	// suspectCost is added for a target whose host did not answer of late, in milliseconds: less
	// than finding out that it is gone, as much as reading a long prefix elsewhere.
	suspectCost = 100.0
	// tieBreakCost breaks ties by hash, so that entries that place the same prefix for
	// the first time at the same moment choose the same target.
	tieBreakCost = 3.0
)

// Candidate is a target that may take the request.
type Candidate struct {
	ID      string
	Address string
	// Running is the requests in progress there, of all entries.
	Running float64
	// Slots is how many run at once.
	Slots int
	// Unreported is the requests there, estimated, that other entries have not reported.
	Unreported float64
	// Limit is how many requests it may have so that one more begins in time; 0 for
	// no limit.
	Limit float64
	// PendingTokens is the prompt tokens that were sent and are not read yet.
	PendingTokens float64
	// CachedTokens is the tokens of the request's leading parts in the cache.
	CachedTokens int
	// FailureRatio is the share of recent requests that failed: 0 to 1.
	FailureRatio float64
	// Suspected says that its host did not answer of late.
	Suspected bool
	// OtherDomain says that it is in another failure domain.
	OtherDomain bool
	// Cold targets take a request only while they have allowance left.
	Cold bool
	// HashRank is the target's place among those that the hash of the prefix names, from 1 to
	// Choices; 0 for the others.
	HashRank int
}

// hasCapacity says that one more request would begin in time.
func (c *Candidate) hasCapacity() bool { return c.Limit <= 0 || c.Running+c.Unreported < c.Limit }

// Fits reports whether one more request would begin in time and keep the target below a ceiling.
func (c *Candidate) Fits(ceiling float64) bool { return c.hasCapacity() && c.Running+1 <= ceiling }

// Totals sum up the targets that may take a request.
type Totals struct {
	// Targets is how many there are, and Warm how many of them are not cold.
	Targets, Warm int
	// Running is the requests in progress at all of them, Busy those at the warm ones.
	Running, WarmRunning float64
	// Unreported is the requests, estimated, that other entries have not reported.
	Unreported float64
	// Capacity is the sum of their limits.
	Capacity float64
	// Unlimited reports that a target has no limit, or that a cold one has a place for a request
	// now: it carries little by intention.
	Unlimited bool
}

// Add counts one target.
func (t *Totals) Add(c *Candidate) {
	t.Targets++
	t.Running += c.Running
	t.Unreported += c.Unreported
	t.Capacity += c.Limit
	t.Unlimited = t.Unlimited || c.Limit <= 0 || c.Cold && c.hasCapacity()
	if !c.Cold {
		t.Warm++
		t.WarmRunning += c.Running
	}
}

// Taken is the part of all places that is taken, 1 and more where no target has one left.
func (t *Totals) Taken() float64 {
	if t.Unlimited || t.Targets == 0 {
		return 0
	}
	return (t.Running + t.Unreported) / max(t.Capacity, 1)
}

// Ceiling is the load that no target should exceed, where none may carry more than a multiple
// of the mean. Cold targets carry little by intention; counted, they would lower the mean.
func (t *Totals) Ceiling(capFactor float64) float64 {
	if t.Warm == 0 {
		return math.Inf(1)
	}
	if capFactor <= 0 {
		capFactor = DefaultCapFactor
	}
	return max(SpreadRatio*capFactor, 1)*t.WarmRunning/float64(t.Warm) + spreadSlack
}

// Donor is a target to fetch cache from; the zero Donor is none.
type Donor struct {
	ID      string
	Address string
	// CachedTokens is the tokens of the request's leading parts that it can give.
	CachedTokens int
	Running      float64
}

// Request is a request to be placed.
type Request struct {
	// Key of the prefix that the request shares with others, or of the request
	// itself where it shares none.
	Key uint64
	// Tokens of the prompt, 0 where the service has no cache.
	Tokens int
	// Shared is the tokens of the prompt that other requests share.
	Shared int
	// Ceiling is the load that no target should exceed, see Totals.
	Ceiling float64
}

// Choice is a target, and where it fetches from.
type Choice struct {
	Index int
	// Fetch says that the missing prefix is worth fetching from the donor.
	Fetch bool
	// Cost is the expected milliseconds to the first byte, for logs.
	Cost float64
}

// HashCandidates is how many targets the hash of a request names. Entries know of each
// other's requests some hundred milliseconds late, and all the same: had each of them
// the choice among all targets, all would send to the one that was least loaded when
// they last heard. Among a few, by a hash that differs from prefix to prefix, what one of
// them takes too much the others don't.
const HashCandidates = 3

// Pick returns the best candidate; false where there is none. It looks among targets
// that hold some of the prefix and the one that the hash of the request names first, then
// among a few that it names, then among all below the ceiling, then among all. Entries that
// need a new prefix at the same moment so send it to the same target, where it is read once.
func Pick(list []Candidate, donor Donor, req Request) (Choice, bool) {
	passes := [...]func(c *Candidate, req *Request) bool{holderOrFirst, holderOrHashed, belowCeiling, withCapacity, anyTarget}
	for _, allowed := range passes {
		if best := cheapest(list, donor, &req, allowed); best.Index >= 0 {
			return best, true
		}
	}
	return Choice{Index: -1}, false
}

func holderOrFirst(c *Candidate, req *Request) bool {
	return req.Shared >= minFetchTokens && belowCeiling(c, req) && (isHolder(c, req) || c.HashRank == 1)
}

func holderOrHashed(c *Candidate, req *Request) bool {
	return belowCeiling(c, req) && (isHolder(c, req) || c.HashRank > 0)
}

func belowCeiling(c *Candidate, req *Request) bool { return c.Fits(req.Ceiling) }

func withCapacity(c *Candidate, _ *Request) bool { return c.hasCapacity() }

func anyTarget(*Candidate, *Request) bool { return true }

// minHolderRatio is the part of a shared prefix that makes a target a holder of it. Many
// prompts begin with the same instructions: with any part of a prefix enough, all
// entries that know no loads would send to the first targets that have read those.
const minHolderRatio = 0.5

// MinHolderTokens is how many leading tokens of a shared prefix make a target a holder of it.
func MinHolderTokens(shared int) int {
	return max(int(math.Ceil(minHolderRatio*float64(shared))), minFetchTokens)
}

// isHolder reports whether a target holds enough of the request's prefix to be chosen for it.
func isHolder(c *Candidate, req *Request) bool { return c.CachedTokens >= MinHolderTokens(req.Shared) }

// cheapest is the candidate of least cost among those that are allowed.
func cheapest(list []Candidate, donor Donor, req *Request, allowed func(c *Candidate, req *Request) bool) Choice {
	best := Choice{Index: -1, Cost: math.Inf(1)}
	for i := range list {
		if !allowed(&list[i], req) {
			continue
		}
		cost, fetch := expectedCost(&list[i], donor, req)
		if cost < best.Cost {
			best = Choice{Index: i, Cost: cost, Fetch: fetch}
		}
	}
	return best
}

// expectedCost is the expected time to the first byte, and whether fetching shortens it.
func expectedCost(c *Candidate, donor Donor, req *Request) (float64, bool) {
	ms := c.Running*LoadCost + c.PendingTokens/PrefillRate + c.FailureRatio*failureCost
	if c.Slots > 0 && c.Running >= float64(c.Slots) {
		ms += (c.Running - float64(c.Slots) + 1) * queueCost
	}
	if c.OtherDomain {
		ms += otherDomainCost
	}
	if c.Suspected {
		ms += suspectCost
	}
	ms += tieBreakCost * unitHash(c.ID, req.Key)
	missing := float64(max(req.Tokens-c.CachedTokens, 0))
	gain := donor.CachedTokens - c.CachedTokens
	if donor.ID == c.ID || gain < minFetchTokens {
		return ms + missing/PrefillRate, false
	}
	return ms + float64(gain)/FetchRate + (missing-float64(gain))/PrefillRate + fetchCost, true
}

const (
	// queueCost is what each request beyond the slots adds: it waits for a whole
	// request to end.
	queueCost = 40.0
	// fetchCost stands for what a fetch costs beside time: both links, and the
	// memory at the taker. It keeps a request with its prefix unless the load
	// there is higher by several requests.
	fetchCost = 60.0
)

// unitHash is a number from 0 to 1 that is fixed for a target and key.
func unitHash(id string, key uint64) float64 {
	h := xxhash.Sum64String(id) ^ key*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}
