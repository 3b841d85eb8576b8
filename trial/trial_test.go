package trial

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallConfig returns the recorded load at a third of its size.
func smallConfig(multiple float64, p Policy) Config {
	return scaleToThird(ChurnConfig(multiple, p, false))
}

// TestCapCostsLittleReuse guards against a cap that displaces returning chats from the target with
// their cached prefix, which then has to be computed again while the user waits. Without a cap, the
// users of other chats on the most loaded targets wait instead. With hints and a short wait at the
// home target, the cap evens out the load at little cost in reuse.
func TestCapCostsLittleReuse(t *testing.T) {
	policy := FullPolicy
	uncapped := Run(smallConfig(0, policy))
	capped := Run(smallConfig(1.25, policy))
	naive := Run(smallConfig(1.25, Policy{Naive: true}))
	assert.Assert(t, capped.All.Reuse > uncapped.All.Reuse-0.05, "reuse %.3f, without cap %.3f", capped.All.Reuse, uncapped.All.Reuse)
	assert.Assert(t, capped.All.InTime > 0.999, "in time %.4f", capped.All.InTime)
	assert.Equal(t, capped.OverCap, 0)
	assert.Equal(t, capped.OverRule, 0)
	assert.Assert(t, capped.MaxToMean99 < uncapped.MaxToMean99-0.5, "max/mean load %.2f, without cap %.2f", capped.MaxToMean99, uncapped.MaxToMean99)
	assert.Equal(t, capped.Crashes, 0)
	assert.Assert(t, naive.All.Reuse < 0.2, "reuse of a random target %.3f", naive.All.Reuse)
	assert.Assert(t, naive.Crashes > 0)
}

// TestSameSeedSameResult guards against trials that are not deterministic.
func TestSameSeedSameResult(t *testing.T) {
	cfg := smallConfig(1.25, FullPolicy)
	cfg.Duration, cfg.Warmup = 3*time.Minute, time.Minute
	assert.DeepEqual(t, Run(cfg), Run(cfg))
}

// BenchmarkTrial prints the comparison of policies on the recorded load.
func BenchmarkTrial(b *testing.B) { runRows(b, Rows()) }

// BenchmarkDomain prints the comparison of policies while a failure domain leaves and returns.
func BenchmarkDomain(b *testing.B) { runRows(b, DomainRows()) }

func runRows(b *testing.B, rows []Row) {
	for _, row := range rows {
		b.Run(row.Name, func(b *testing.B) {
			for range b.N {
				report(b, Run(row.Config))
			}
		})
	}
}

func report(b *testing.B, r Result) {
	b.ReportMetric(100*r.All.Reuse, "%reuse")
	b.ReportMetric(r.Offers, "offers")
	b.ReportMetric(r.MaxToMean, "largest")
	b.ReportMetric(r.MaxToMean99, "largest99")
	b.ReportMetric(100*r.All.InTime, "%intime")
	b.ReportMetric(float64(r.All.Wait95.Milliseconds()), "ms-wait95")
	b.ReportMetric(100*r.All.Imported, "%imported")
	b.ReportMetric(float64(r.All.WaitMean.Milliseconds()), "ms-wait")
	b.ReportMetric(100*r.OverTrueMean, "%over")
	b.ReportMetric(float64(r.OverRule), "over-rule")
	b.ReportMetric(float64(r.Crashes), "crashes")
	b.ReportMetric(float64(r.StartsAfterLeave), "after")
	b.ReportMetric(100*r.ReturnedShare, "%back")
}

// TestReportsIncreaseReuse guards against prefixes that are computed again although a target has
// them cached. Entries that exchange reports recompute less than two thirds as many prefixes as
// entries without reports, which find most prefixes by hash.
func TestReportsIncreaseReuse(t *testing.T) {
	run := func(interval time.Duration) Result {
		cfg := smallConfig(0, Policy{Import: true})
		cfg.Entries, cfg.ReportInterval = 24, interval
		cfg.Duration, cfg.Warmup = 6*time.Minute, 3*time.Minute
		return Run(cfg)
	}
	withReports, withoutReports := run(400*time.Millisecond), run(0)
	t.Logf("with reports: reuse %.3f, fetched %.3f, largest99 %.2f, in time %.4f", withReports.All.Reuse, withReports.All.Imported, withReports.MaxToMean99, withReports.All.InTime)
	t.Logf("without reports: reuse %.3f, fetched %.3f, largest99 %.2f, in time %.4f", withoutReports.All.Reuse, withoutReports.All.Imported, withoutReports.MaxToMean99, withoutReports.All.InTime)
	recomputed := func(r Result) float64 { return 1 - r.All.Reuse - r.All.Imported }
	assert.Assert(t, recomputed(withReports) < 0.66*recomputed(withoutReports), "recomputed: %.3f with reports, %.3f without", recomputed(withReports), recomputed(withoutReports))
	assert.Assert(t, recomputed(withReports) < 0.06, "recomputed: %.3f with reports", recomputed(withReports))
	assert.Assert(t, recomputed(withoutReports) < 0.15, "recomputed: %.3f without reports", recomputed(withoutReports))
	assert.Assert(t, withReports.MaxToMean99 < withoutReports.MaxToMean99, "max/mean load %.2f with reports, %.2f without", withReports.MaxToMean99, withoutReports.MaxToMean99)
	assert.Assert(t, withReports.All.InTime > 0.99, "in time %.4f", withReports.All.InTime)
	assert.DeepEqual(t, withReports, run(400*time.Millisecond))
}

// TestDomainLeavesAndReturnsWithoutAgents guards against lost prefixes while a third of the fleet
// is out of service and returns with empty caches. Chats served there must find their prefix at
// other targets, which imported it, and no request must start in the domain that is out.
func TestDomainLeavesAndReturnsWithoutAgents(t *testing.T) {
	rows := DirectDomainRows(1)
	naive, entries := Run(rows[1].Config), Run(rows[3].Config)
	t.Logf("reuse %.3f, fetched %.3f, in time %.4f", entries.All.Reuse, entries.All.Imported, entries.All.InTime)
	assert.Assert(t, entries.All.InTime > 0.99, "in time %.4f", entries.All.InTime)
	assert.Assert(t, entries.All.Reuse+entries.All.Imported > naive.All.Reuse+0.7)
	assert.Equal(t, entries.StartsAfterLeave, 0)
	assert.Equal(t, len(entries.Series), int(rows[3].Config.Duration/intervalLength))
	for _, s := range entries.Series[1:] {
		assert.Assert(t, s.Reuse+s.Imported > 0.7, "reuse and imports %.2f at %s", s.Reuse+s.Imported, s.Begin)
	}
}
