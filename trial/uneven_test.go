package trial

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// Aims of docs/hard-load.md: p99 of the time to the first byte relative to that of equal targets, the
// largest part of a target relative to its fair part, and the age of readings.
const (
	aimedP99   = 1.3
	aimedPart  = 1.5
	aimedAge   = 150 * time.Millisecond
	heavyTimes = 6
)

func runPolicy(cfg UnevenConfig, policy UnevenPolicy) UnevenResult {
	cfg.Policy, cfg.Age = policy, aimedAge
	return RunUneven(cfg)
}

func runEqual(cfg UnevenConfig) UnevenResult {
	cfg.SlowRatio = 0
	return runPolicy(cfg, WithSpeed)
}

func p99Ratio(a, b UnevenResult) float64 { return a.P99.Seconds() / b.P99.Seconds() }

// TestSlowEnginesKeepTail guards against a tail that is that of the slow engines: without their
// speed, p99 is more than twice that of equal engines.
func TestSlowEnginesKeepTail(t *testing.T) {
	cfg := EngineFleet(1)
	equal, got, without := runEqual(cfg), runPolicy(cfg, WithSpeed), runPolicy(cfg, WithoutSpeed)
	assert.Assert(t, p99Ratio(got, equal) <= aimedP99, "p99 %s, of equal targets %s", got.P99, equal.P99)
	assert.Assert(t, p99Ratio(without, equal) > 2, "p99 %s without speed: the slow targets do no harm", without.P99)
	assert.Assert(t, got.Misses <= 1.1*without.Misses, "%.3f of the prompts read again, %.3f without speed", got.Misses, without.Misses)
}

// TestEnginesKeepToTheirPart guards against evading slow engines by crowding onto a few others.
func TestEnginesKeepToTheirPart(t *testing.T) {
	for seed := uint64(1); seed <= 6; seed++ {
		t.Run(fmt.Sprint("seed", seed), func(t *testing.T) {
			got := runPolicy(EngineFleet(seed), WithSpeed)
			assert.Assert(t, got.LargestPart <= aimedPart, "%.2f times its part", got.LargestPart)
		})
	}
}

// TestSlowPlainTargetsAreAvoided guards against sending as much to slow targets as to the others.
// With readings of this age some requests go to targets that became slow since, so the bound is what
// perfect knowledge but for the age sends there. The aimed p99 cannot be reached: perfect knowledge of
// the moment misses it too, as at times all three targets are slow and 1% of the work is long.
func TestSlowPlainTargetsAreAvoided(t *testing.T) {
	cfg := PlainFleet(1)
	got, best, without := runPolicy(cfg, WithSpeed), runPolicy(cfg, BestAtAge), runPolicy(cfg, WithoutSpeed)
	assert.Assert(t, got.SlowPart <= 1.3*best.SlowPart, "%.4f at slow targets, at best %.4f", got.SlowPart, best.SlowPart)
	assert.Assert(t, without.SlowPart > 2*got.SlowPart, "%.4f at slow targets without their speed", without.SlowPart)
	assert.Assert(t, got.LargestPart <= aimedPart, "%.2f times its part", got.LargestPart)
	assert.Assert(t, p99Ratio(runPolicy(cfg, Perfect), runEqual(cfg)) > aimedP99, "the aim can be reached: set it as the bound")
}

// TestStaleReadingsDontHerdUnderLoad guards against entries with the same old readings that fill the
// queue of the target that was idle, while the others idle.
func TestStaleReadingsDontHerdUnderLoad(t *testing.T) {
	cfg := PlainFleet(1)
	cfg.Rate *= heavyTimes
	cfg.Duration = time.Minute
	got, without := runPolicy(cfg, WithSpeed), runPolicy(cfg, WithoutSpeed)
	assert.Assert(t, got.Refused*4 < without.Refused, "%d requests found a full queue, %d without speed", got.Refused, without.Refused)
	assert.Assert(t, got.P99 < without.P99*9/10, "p99 %s, %s without speed", got.P99, without.P99)
}

// TestUnequalDomainsKeepToTheirPart guards against a target that serves its whole failure domain
// where half of the requests arrive.
func TestUnequalDomainsKeepToTheirPart(t *testing.T) {
	cfg := PlainFleet(1)
	cfg.DomainRates = []float64{0.5, 0.33, 0.17}
	got := runPolicy(cfg, WithSpeed)
	assert.Assert(t, got.LargestPart <= aimedPart, "%.2f times its part", got.LargestPart)
}
