// Package place chooses the target of a request from candidates with known load, cached prefix
// and health. It is used where no agent runs next to the targets. It is pure: it does no I/O
// and reads no clock.
//
// Many chats share long prompt prefixes, and a few prefixes take much of the traffic. Placement
// by load alone makes every target read every prefix, which delays the tokens of the other
// requests there. Placement by prefix alone overloads the target of a popular prefix. This
// package weighs both in one unit: milliseconds of the caller's time.
package place

import (
	"math"

	"github.com/cespare/xxhash/v2"
)

const (
	// PrefillRate is the number of prompt tokens that an engine reads per millisecond: the slow
	// end of current engines. It only has to be right relative to LoadCost.
	PrefillRate = 60.0
	// LoadCost is how much each request in progress adds to the time of the next one, in
	// milliseconds: a larger batch makes each token slower.
	LoadCost = 1.5
	// FetchRate is the number of tokens of cache that an engine imports from another per
	// millisecond, including its setup time at usual prompt lengths.
	FetchRate = 600.0
	// minFetchTokens is the shortest missing prefix that is fetched: below that, the setup
	// takes as long as reading.
	minFetchTokens = 128
	// SpreadRatio is the part of the allowed multiple of the mean load above which a target
	// gets no request if another target can take it. The rest is reserved for requests that
	// peers send at the same moment.
	SpreadRatio = 0.75
	// DefaultCapFactor is the multiple of the mean load if none is configured.
	DefaultCapFactor = 2.0
	// spreadSlack is added to the ceiling of each target, in requests. With a handful of
	// requests per target, one or two above a multiple of the mean are random variation, and
	// moving them away from their prefix would move the prefix from target to target.
	spreadSlack = 2.0
	// otherDomainCost is the cost of another failure domain, in milliseconds: one round trip
	// each for the request and the answer.
	otherDomainCost = 6.0
	// failureCost is multiplied by the recent failure ratio of a target, in milliseconds. It
	// exceeds any wait that a caller accepts.
	failureCost = 4000.0
	// suspectCost is the cost of a target whose host did not answer recently, in milliseconds:
	// less than detecting that it is gone, and as much as reading a long prefix elsewhere.
	suspectCost = 100.0
	// tieBreakCost breaks ties by hash, in milliseconds, so that entries that place a new
	// prefix at the same moment choose the same target.
	tieBreakCost = 3.0
)

// Candidate is a target that can take the request.
type Candidate struct {
	ID      string
	Address string
	// Running is the number of requests in progress at the target, from all entries.
	Running float64
	// Slots is the number of requests that run concurrently.
	Slots int
	// Unreported is the estimated number of requests at the target that other entries have not
	// reported yet.
	Unreported float64
	// Waiting is the number of requests that wait at the target for a slot, as it reported; 0 if
	// unknown.
	Waiting float64
	// Reported is set if Running follows a fresh report of the target, which counts the requests in
	// its queue.
	Reported bool
	// Slowdown is how long work takes at the target relative to its usual speed, as it reported. 0
	// and 1 mean the usual speed.
	Slowdown float64
	// Hold is how long a request holds a slot on average, in milliseconds; 0 if unknown. It is used
	// only with readings.
	Hold float64
	// Limit is the number of requests below which one more starts in time; 0 for no limit.
	Limit float64
	// PendingTokens is the number of prompt tokens that were sent and are not read yet.
	PendingTokens float64
	// CachedTokens is the number of tokens of the request's leading parts in the cache.
	CachedTokens int
	// FailureRatio is the ratio of recent requests that failed, from 0 to 1.
	FailureRatio float64
	// Suspected is set if the target's host did not answer recently.
	Suspected bool
	// OtherDomain is set if the target is in another failure domain than the entry.
	OtherDomain bool
	// Cold is set if the target is cold; it is a candidate only while its token bucket allows a
	// request.
	Cold bool
	// HashRank is the target's rank in the hash order of the prefix, from 1 to HashCandidates;
	// 0 for all others.
	HashRank int
}

// hasCapacity reports whether one more request would start in time.
func (c *Candidate) hasCapacity() bool { return c.Limit <= 0 || c.Running+c.Unreported < c.Limit }

// Fits reports whether one more request would start in time and keep the load at or below the
// ceiling. A target that is full by its reading has no slot soon.
func (c *Candidate) Fits(ceiling float64) bool {
	return c.hasCapacity() && c.Running+1 <= ceiling && !isFull(c)
}

// Totals sums up the targets that can take a request.
type Totals struct {
	// Targets is the number of targets, and Warm the number of those that are not cold.
	Targets, Warm int
	// Running is the number of requests in progress at all targets, and WarmRunning at the warm
	// ones.
	Running, WarmRunning float64
	// Unreported is the estimated number of requests that other entries have not reported yet.
	Unreported float64
	// Capacity is the sum of the limits.
	Capacity float64
	// Unlimited is set if a target has no limit, or a cold target has capacity for a request
	// now: its load is low on purpose.
	Unlimited bool
}

// load returns the requests that use up the capacity of the target. The queue that a target reports
// counts up to its limit: what waits there does not use the capacity of other targets.
func (c *Candidate) load() (running, unreported float64) {
	if !c.Reported || c.Limit <= 0 {
		return c.Running, c.Unreported
	}
	running = min(c.Running, c.Limit)
	return running, min(c.Unreported, c.Limit-running)
}

// Add adds one target.
func (t *Totals) Add(c *Candidate) {
	running, unreported := c.load()
	t.Targets++
	t.Running += running
	t.Unreported += unreported
	t.Capacity += c.Limit
	t.Unlimited = t.Unlimited || c.Limit <= 0 || c.Cold && c.hasCapacity()
	if !c.Cold {
		t.Warm++
		t.WarmRunning += running
	}
}

// Taken returns the part of all places that is taken, 1 or more if no target has a free one.
func (t *Totals) Taken() float64 {
	if t.Unlimited || t.Targets == 0 {
		return 0
	}
	return (t.Running + t.Unreported) / max(t.Capacity, 1)
}

// Ceiling returns the load that no target should exceed, as a multiple of the mean load plus
// some slack. Cold targets are excluded: their load is low on purpose and would lower the mean.
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
	// CachedTokens is the number of tokens of the request's leading parts that it can provide.
	CachedTokens int
	Running      float64
}

// Request describes the request to place.
type Request struct {
	// Key is the hash of the prefix that the request shares with others, or of the request
	// itself if it shares none.
	Key uint64
	// Tokens is the length of the prompt; 0 if the service has no cache.
	Tokens int
	// Shared is the number of prompt tokens that other requests share.
	Shared int
	// Ceiling is the load that no target should exceed, see Totals.Ceiling.
	Ceiling float64
	// readings sums up the candidates' readings, and firstRank is the hash rank of the target that
	// reads a new prefix.
	readings  readings
	firstRank int
}

// Choice is the chosen target and whether it fetches the prefix.
type Choice struct {
	Index int
	// Fetch reports whether the missing prefix should be fetched from the donor.
	Fetch bool
	// Cost is the expected time to the first byte in milliseconds, for logs.
	Cost float64
}

// HashCandidates is how many targets the hash of a request selects. Reports of load are some
// hundred milliseconds old, and the same at all entries: if each entry chose among all targets,
// all would send to the one that was least loaded at the last report. With a few targets by
// hash, which differ from prefix to prefix, the excess of one prefix is balanced by the others.
const HashCandidates = 3

// Pick returns the best candidate, or false if there is none. It considers, in this order:
// holders of the prefix and the first target by hash (if the request shares enough tokens), both
// with the other targets by hash, all targets below the ceiling, the same regardless of readings, all
// with capacity, all targets.
// Thus entries that need a new prefix at the same moment send it to the same target, where it is
// read once. A slow target is not the first for a new prefix, and if any target is reported slow or
// full, the choice is spread, see readings.spread, and suspected targets are left to the pass that
// ignores the readings.
func Pick(list []Candidate, donor Donor, req Request) (Choice, bool) {
	req.readings = sumUp(list, &req)
	req.firstRank = firstRank(list, &req)
	passes := [...]func(c *Candidate, req *Request) bool{holderOrFirst, holderOrHashed, belowCeiling, underCeiling, withCapacity, anyTarget}
	for _, allowed := range passes {
		if best := cheapest(list, donor, &req, allowed); best.Index >= 0 {
			return best, true
		}
	}
	return Choice{Index: -1}, false
}

func holderOrFirst(c *Candidate, req *Request) bool {
	return req.Shared >= minFetchTokens && belowCeiling(c, req) && (isHolder(c, req) || c.HashRank > 0 && c.HashRank == req.firstRank)
}

func holderOrHashed(c *Candidate, req *Request) bool {
	return belowCeiling(c, req) && (isHolder(c, req) || c.HashRank > 0 && req.readings.takesPrefix(c, req))
}

func belowCeiling(c *Candidate, req *Request) bool {
	return underCeiling(c, req) && req.readings.isUsable(c) && !req.readings.isFull(c)
}

// underCeiling ignores the readings: a queue at one target must not put another one above the ceiling.
func underCeiling(c *Candidate, req *Request) bool {
	return c.hasCapacity() && c.Running+1 <= req.Ceiling
}

func withCapacity(c *Candidate, req *Request) bool {
	return c.hasCapacity() && req.readings.isUsable(c)
}

func anyTarget(*Candidate, *Request) bool { return true }

// minHolderRatio is the part of a shared prefix that makes a target a holder of it. Many
// prompts begin with the same instructions: if any part were enough, all entries without load
// reports would send to the first targets that have read those instructions.
const minHolderRatio = 0.5

// MinHolderTokens returns how many leading tokens of a shared prefix make a target a holder of
// it.
func MinHolderTokens(shared int) int {
	return max(int(math.Ceil(minHolderRatio*float64(shared))), minFetchTokens)
}

// isHolder reports whether a target has enough of the request's prefix cached to be chosen for
// it.
func isHolder(c *Candidate, req *Request) bool { return c.CachedTokens >= MinHolderTokens(req.Shared) }

// cheapest returns the allowed candidate with the lowest cost, or if the targets are uneven, with
// the lowest spread cost.
func cheapest(list []Candidate, donor Donor, req *Request, allowed func(c *Candidate, req *Request) bool) Choice {
	best, lowest := Choice{Index: -1}, math.Inf(1)
	for i := range list {
		c := &list[i]
		if !allowed(c, req) {
			continue
		}
		cost, fetch := expectedCost(c, donor, req)
		score := cost
		if req.readings.uneven {
			score = req.readings.spread(c, req.Key, cost)
		}
		if score < lowest {
			best, lowest = Choice{Index: i, Cost: cost, Fetch: fetch}, score
		}
	}
	return best
}

// expectedCost returns the expected time to the first byte in milliseconds, and whether
// fetching the prefix shortens it. All work at a slow target takes longer. Ties are broken here
// unless the cost is spread.
func expectedCost(c *Candidate, donor Donor, req *Request) (float64, bool) {
	slow := req.readings.slowdown(c)
	ms := slow*(req.readings.relevance(c)*c.Running*LoadCost+c.PendingTokens/PrefillRate) + c.FailureRatio*failureCost
	excess := req.readings.waiting(c)
	if c.Slots > 0 && c.Running >= float64(c.Slots) {
		excess = max(excess, c.Running-float64(c.Slots)+1)
	}
	ms += slow * req.readings.relevance(c) * excess * req.readings.slotWait(c)
	if c.OtherDomain {
		ms += otherDomainCost
	}
	if c.Suspected {
		ms += suspectCost
	}
	if !req.readings.uneven {
		ms += tieBreakCost * unitHash(c.ID, req.Key)
	}
	missing := float64(max(req.Tokens-c.CachedTokens, 0))
	gain := donor.CachedTokens - c.CachedTokens
	if donor.ID == c.ID || gain < minFetchTokens {
		return ms + slow*missing/PrefillRate, false
	}
	return ms + float64(gain)/FetchRate + slow*(missing-float64(gain))/PrefillRate + fetchCost, true
}

const (
	// queueCost is added for each request beyond the slots, in milliseconds: it waits for
	// another request to end.
	queueCost = 40.0
	// fetchCost accounts for the resources that a fetch uses in addition to time: both links,
	// and memory at the receiver. It keeps a request with its prefix unless the load there is
	// higher by several requests.
	fetchCost = 60.0
)

// unitHash returns a number from 0 to 1 that is fixed for a target and key.
func unitHash(id string, key uint64) float64 {
	h := xxhash.Sum64String(id) ^ key*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 32
	return float64(h>>11) / (1 << 53)
}
