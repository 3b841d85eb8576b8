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
		for i := range rapid.IntRange(0, 12).Draw(t, "targets") {
			list = append(list, place.Candidate{
				ID: fmt.Sprint("t", i), Running: amount.Draw(t, "running"), Slots: rapid.SampledFrom([]int{0, 6, 64}).Draw(t, "slots"),
				Unreported: amount.Draw(t, "unreported"), Limit: 2 * amount.Draw(t, "limit"), PendingTokens: 100 * amount.Draw(t, "pending"),
				CachedTokens: tokens.Draw(t, "cached"), FailureRatio: rapid.Float64Range(0, 1).Draw(t, "failures"),
				Suspected: rapid.Bool().Draw(t, "suspected"), OtherDomain: rapid.Bool().Draw(t, "other"),
				HashRank: rapid.IntRange(0, 3).Draw(t, "rank"), Slowdown: rapid.SampledFrom([]float64{0, 1}).Draw(t, "slowdown"),
			})
		}
		donor := place.Donor{ID: rapid.SampledFrom([]string{"", "t1", "other"}).Draw(t, "donor"), CachedTokens: tokens.Draw(t, "donated")}
		req := place.Request{
			Key: rapid.Uint64().Draw(t, "key"), Tokens: tokens.Draw(t, "tokens"), Shared: tokens.Draw(t, "shared"),
			Ceiling: 1 + amount.Draw(t, "ceiling"),
		}
		got, ok := place.Pick(list, donor, req)
		want, wantOK := pickWithoutReadings(list, donor, req)
		assert.Equal(t, ok, wantOK)
		if ok {
			assert.Equal(t, got, want)
		}
	})
}
