package place_test

import (
	"fmt"
	"math"
	"testing"

	"github.com/cespare/xxhash/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep/place"
)

// pickWithoutReadings is a copy of Pick and the functions it calls from before it used readings.
func pickWithoutReadings(list []place.Candidate, donor place.Donor, req place.Request) (place.Choice, bool) {
	hasCapacity := func(c *place.Candidate) bool { return c.Limit <= 0 || c.Running+c.Unreported < c.Limit }
	fits := func(c *place.Candidate) bool { return hasCapacity(c) && c.Running+1 <= req.Ceiling }
	isHolder := func(c *place.Candidate) bool {
		return c.CachedTokens >= max(int(math.Ceil(0.5*float64(req.Shared))), 128)
	}
	for _, allowed := range []func(c *place.Candidate) bool{
		func(c *place.Candidate) bool {
			return req.Shared >= 128 && fits(c) && (isHolder(c) || c.HashRank == 1)
		},
		func(c *place.Candidate) bool { return fits(c) && (isHolder(c) || c.HashRank > 0) },
		fits, hasCapacity, func(*place.Candidate) bool { return true },
	} {
		best := place.Choice{Index: -1, Cost: math.Inf(1)}
		for i := range list {
			if !allowed(&list[i]) {
				continue
			}
			if cost, fetch := costWithoutReadings(&list[i], donor, &req); cost < best.Cost {
				best = place.Choice{Index: i, Cost: cost, Fetch: fetch}
			}
		}
		if best.Index >= 0 {
			return best, true
		}
	}
	return place.Choice{Index: -1}, false
}

func costWithoutReadings(c *place.Candidate, donor place.Donor, req *place.Request) (float64, bool) {
	ms := c.Running*1.5 + c.PendingTokens/60 + c.FailureRatio*4000
	if c.Slots > 0 && c.Running >= float64(c.Slots) {
		ms += (c.Running - float64(c.Slots) + 1) * 40
	}
	if c.OtherDomain {
		ms += 6
	}
	if c.Suspected {
		ms += 100
	}
	h := xxhash.Sum64String(c.ID) ^ req.Key*0x9e3779b97f4a7c15
	h ^= h >> 29
	h *= 0xbf58476d1ce4e5b9
	h ^= h >> 32
	ms += 3 * (float64(h>>11) / (1 << 53))
	missing := float64(max(req.Tokens-c.CachedTokens, 0))
	gain := donor.CachedTokens - c.CachedTokens
	if donor.ID == c.ID || gain < 128 {
		return ms + missing/60, false
	}
	return ms + float64(gain)/600 + (missing-float64(gain))/60 + 60, true
}

// TestUsualReadingsChangeNothing guards against a deployment without readings, or with usual ones,
// that is served differently than before there were readings.
func TestUsualReadingsChangeNothing(t *testing.T) {
	tokens := rapid.SampledFrom([]int{0, 100, 500, 3000, prefixTokens, prefixTokens + ownTokens})
	amount := rapid.SampledFrom([]float64{0, 0, 1, 3, 7.5, 30, 64, 90})
	rapid.Check(t, func(t *rapid.T) {
		var list []place.Candidate
		for i := range rapid.OneOf(rapid.IntRange(0, 12), rapid.IntRange(6, 12)).Draw(t, "targets") {
			list = append(list, place.Candidate{
				ID: fmt.Sprint("t", i), Running: amount.Draw(t, "running"), Slots: rapid.SampledFrom([]int{0, 6, 64}).Draw(t, "slots"),
				Unreported: amount.Draw(t, "unreported"), Limit: 2 * amount.Draw(t, "limit"), PendingTokens: 100 * amount.Draw(t, "pending"),
				CachedTokens: tokens.Draw(t, "cached"), FailureRatio: rapid.OneOf(rapid.Just(0.0), rapid.Float64Range(0, 1)).Draw(t, "failures"),
				Suspected: rapid.Bool().Draw(t, "suspected"), OtherDomain: rapid.Bool().Draw(t, "other"),
				HashRank: rapid.SampledFrom([]int{0, 0, 0, 1, 2, 3}).Draw(t, "rank"), Cold: rapid.Bool().Draw(t, "cold"), Hold: 100 * amount.Draw(t, "hold"),
				Slowdown: rapid.SampledFrom([]float64{0, 1, 0.4, -3, 1.049, math.NaN(), math.Inf(-1)}).Draw(t, "slowdown"),
				Waiting:  rapid.SampledFrom([]float64{0, 0.3, 0.49, -2, math.NaN(), math.Inf(-1)}).Draw(t, "waiting"),
			})
		}
		donor := place.Donor{ID: rapid.SampledFrom([]string{"", "t1", "other"}).Draw(t, "donor"), CachedTokens: tokens.Draw(t, "donated")}
		req := place.Request{
			Key: rapid.Uint64().Draw(t, "key"), Tokens: tokens.Draw(t, "tokens"), Shared: tokens.Draw(t, "shared"),
		}
		for _, req.Ceiling = range []float64{1, 2, 4, 8.5, 31, 65, 91} {
			// One ceiling and one length of the shared prefix for each list rarely reach the later passes.
			for _, req.Shared = range []int{0, 100, 500, 3000, prefixTokens} {
				req.Key = req.Key*0x9e3779b97f4a7c15 + 1
				got, ok := place.Pick(list, donor, req)
				want, wantOK := pickWithoutReadings(list, donor, req)
				assert.Equal(t, ok, wantOK)
				if ok {
					assert.Equal(t, got, want)
				}
			}
		}
	})
}

// plainTargets returns targets of a plain service with short requests.
func plainTargets(n int, running float64) []place.Candidate {
	var list []place.Candidate
	for i := range n {
		list = append(list, place.Candidate{ID: fmt.Sprint("t", i), Running: running, Slots: 6, Hold: 16, Slowdown: 1})
	}
	return list
}

// parts returns the part of requests with different keys that each target gets.
func parts(list []place.Candidate, req place.Request) []float64 {
	const n = 4000
	got := make([]float64, len(list))
	for key := range uint64(n) {
		req.Key = key * 0x9e3779b97f4a7c15
		if c, ok := pick(list, place.Donor{}, req); ok {
			got[c.Index] += 1.0 / n
		}
	}
	return got
}

// TestStuckSlowTargetKeepsSomeRequests guards against a target that gets nothing for ever because of
// a reading that is stuck, so that no answer can correct it, and against one that gets less after it
// has recovered.
func TestStuckSlowTargetKeepsSomeRequests(t *testing.T) {
	for _, req := range []place.Request{{}, {Tokens: 3000, Shared: 2000}, {Tokens: 6500, Shared: 6000}, {Tokens: 6500}} {
		for _, slowdown := range []float64{2.5, 1e300, math.Inf(1)} {
			busy := engineTargets(3, 1, 0)
			busy[1].Running = 0
			for _, list := range [][]place.Candidate{plainTargets(3, 0), engineTargets(3, 1, 0), busy} {
				list[1].Slowdown = slowdown
				got := parts(list, req)
				assert.Assert(t, got[1] > 0.002, "%v of %+v", got, list[1])
				if req.Tokens > 0 || list[0].Running == list[1].Running { // without a prompt, an idle target is worth it
					assert.Assert(t, got[1] < 0.02, "%v of %+v", got, list[1])
				}
				list[1].Slowdown = 1
				got = parts(list, req)
				assert.Assert(t, got[1] > 0.25, "%v after recovery", got)
			}
		}
	}
}

// TestAllTargetsSlow guards against readings that leave no target when all are slow, and against
// treating targets that are slower by different factors alike.
func TestAllTargetsSlow(t *testing.T) {
	for _, req := range []place.Request{{}, {Tokens: 3000, Shared: 2000}} {
		list := plainTargets(3, 1)
		for i := range list {
			list[i].Slowdown = 2.5
		}
		for i, part := range parts(list, req) {
			assert.Assert(t, part > 0.25, "%f at target %d", part, i)
		}
		assert.DeepEqual(t, parts(list[:1], req), parts(plainTargets(1, 1), req))
		list[0].Slowdown, list[1].Slowdown = 9, 1.05
		got := parts(list, req)
		assert.Assert(t, got[0] < 0.05 && got[2] < 0.05 && got[1] > 0.9, "%v at different speeds", got)
	}
}

// TestInvalidReadingsChangeNothing guards against a garbled reading that takes a target out, or
// draws all requests to it.
func TestInvalidReadingsChangeNothing(t *testing.T) {
	for _, invalid := range []float64{math.NaN(), -1, math.Inf(-1), -1e300} {
		list, usual := plainTargets(3, 1), plainTargets(3, 1)
		list[0].Slowdown, list[1].Waiting = invalid, invalid
		assert.DeepEqual(t, parts(list, place.Request{}), parts(usual, place.Request{}))
	}
	list := plainTargets(3, 1)
	list[2].Waiting = math.Inf(1)
	assert.Equal(t, parts(list, place.Request{})[2], 0.0)
	c, ok := pick(list[2:], place.Donor{}, place.Request{})
	assert.Assert(t, ok && c.Index == 0 && !math.IsInf(c.Cost, 0), "%+v", c)
}

// TestEqualStaleReadingsDontHerd guards against entries that all send to the target that was idle at
// the last reading, while one of the others is slow. Its part may be half as large again as that of
// a target that was busy.
func TestEqualStaleReadingsDontHerd(t *testing.T) {
	list := plainTargets(4, 6)
	list[0].Slowdown, list[1].Running = 2.5, 0
	got := parts(list, place.Request{})
	assert.Assert(t, got[1] < 1.5*got[2] && got[1] < 1.5*got[3], "%v", got)
	for i := range list {
		list[i].Slowdown, list[i].Running = 2.5, 3
	}
	for _, part := range parts(list, place.Request{}) {
		assert.Assert(t, part > 0.2 && part < 0.3)
	}
}

// TestFullTargetGetsNothing guards against requests that queue at a target at capacity while
// another one has room.
func TestFullTargetGetsNothing(t *testing.T) {
	list := plainTargets(3, 1)
	list[0].Waiting = 24
	assert.Equal(t, parts(list, place.Request{})[0], 0.0)
	list[0].Waiting, list[0].Hold = 1, 2500 // a slot is free in 400 ms
	assert.Equal(t, parts(list, place.Request{})[0], 0.0)
}

// TestSlowTargetsServeWhatOthersCannot guards against overloading the targets of usual speed when
// all slots are needed: the parts are then in proportion to the speed.
func TestSlowTargetsServeWhatOthersCannot(t *testing.T) {
	list := plainTargets(3, 5)
	list[0].Slowdown = 2.5
	got := parts(list, place.Request{})
	assert.Assert(t, got[0] > 0.12 && got[0] < 0.2, "%v, fair is 0.17", got)
}

// TestReadingsKeepTheCeiling guards against a short queue at the only target below the ceiling that
// sends requests to targets above it.
func TestReadingsKeepTheCeiling(t *testing.T) {
	list := []place.Candidate{
		{ID: "t0", Running: 2, Slots: 6, Hold: 16, Waiting: 24},
		{ID: "t1", Running: 50, Slots: 6, Hold: 16},
		{ID: "t2", Running: 50, Slots: 6, Hold: 16, Waiting: 24},
	}
	for _, req := range []place.Request{{Ceiling: 8}, {Ceiling: 8, Tokens: 3000, Shared: 2000}} {
		got := parts(list, req)
		assert.Assert(t, got[0] > 0 && got[1] == 0 && got[2] == 0, "%v", got)
	}
}

// engineTargets returns engines, of which all but the first have the slowdown and queue.
func engineTargets(n int, slowdown, waiting float64) []place.Candidate {
	list := []place.Candidate{{ID: "t0", Running: 4, Slots: 64, Hold: 2500, Slowdown: 1}}
	for i := 1; i < n; i++ {
		list = append(list, place.Candidate{ID: fmt.Sprint("t", i), Running: 4, Slots: 64, Hold: 2500, Slowdown: slowdown, Waiting: waiting})
	}
	return list
}

// TestUntrustedTargetsGainNothingFromSlowOthers guards against readings that outweigh that a target
// is suspected, fails or is cold.
func TestUntrustedTargetsGainNothingFromSlowOthers(t *testing.T) {
	for _, others := range []struct{ slowdown, waiting float64 }{{2.5, 0}, {1, 1}, {2.5, 24}, {10, 0}} {
		for _, req := range []place.Request{{}, {Tokens: 6500}, {Tokens: 6500, Shared: 6000}} {
			list := engineTargets(3, others.slowdown, others.waiting)
			list[0].Suspected = true
			assert.Equal(t, parts(list, req)[0], 0.0, "suspected, others %v", others)
			list[0].Suspected, list[0].Cold = false, true
			assert.Assert(t, parts(list, req)[0] < 0.4, "%v, cold, others %v", parts(list, req), others)
			list[0].Cold, list[0].FailureRatio = false, 0.5
			bound := 0.01
			if req.Shared > 0 {
				bound = 0.4 // the first target by hash reads a new prefix, as without readings
			}
			assert.Assert(t, parts(list, req)[0] < bound, "%v, failing, others %v", parts(list, req), others)
		}
	}
}

// TestSuspectedTargetIsTheLastResort guards against refusing a target that is suspected where no
// other has room.
func TestSuspectedTargetIsTheLastResort(t *testing.T) {
	list := engineTargets(3, 2.5, 0)
	list[0].Suspected = true
	for i := 1; i < 3; i++ {
		list[i].Limit = 4
	}
	got := parts(list, place.Request{})
	assert.Assert(t, got[1] == 0 && got[2] == 0 && got[0] > 0.99, "%v", got)
}

// TestUnusableTargetsDontCountAsFastest guards against parts of the others that depend on the speed and
// the slots of a target that takes no request.
func TestUnusableTargetsDontCountAsFastest(t *testing.T) {
	for _, change := range []func(c *place.Candidate){
		func(c *place.Candidate) { c.Waiting = 24 },
		func(c *place.Candidate) { c.Suspected = true },
		func(c *place.Candidate) { c.Slots = 0; c.Suspected = true },
	} {
		for _, running := range []float64{4, 50} {
			list := engineTargets(3, 2, 0)
			list[2].Slowdown = 2.5
			for i := range list {
				list[i].Running = running
			}
			list[0].Running = 0
			want := parts(list[1:], place.Request{})
			change(&list[0])
			got := parts(list, place.Request{})
			assert.Assert(t, got[0] == 0 && math.Abs(got[1]-want[0]) < 0.03, "%v, %v without the first", got, want)
		}
	}
}

// TestAgedReadingChangesNothing guards against a reading that has nearly aged to the usual speed and
// sends requests of idle targets to other failure domains.
func TestAgedReadingChangesNothing(t *testing.T) {
	list := plainTargets(3, 0)
	list[1].OtherDomain, list[2].OtherDomain = true, true
	list[0].Slowdown = 1.01
	assert.Equal(t, parts(list, place.Request{})[1], 0.0)
	assert.Equal(t, parts(list, place.Request{})[2], 0.0)
}
