package trial

import (
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// smallConfig is the recorded load at a third of its size.
func smallConfig(multiple float64, p Policy) Config {
	return scaleToThird(ChurnConfig(multiple, p, false))
}

// Chats come back after their pauses, and targets restart now and then. The cap
// sends a chat away from the target that knows it, and its user waits for the
// booking history to be read again; without a cap the user of another target
// waits. With hints and a short wait at home, the cap costs little reuse.
func TestCapCostsLittleReuse(t *testing.T) {
	chosen := FullPolicy
	none := Run(smallConfig(0, chosen))
	capped := Run(smallConfig(1.25, chosen))
	naive := Run(smallConfig(1.25, Policy{Naive: true}))
	assert.Assert(t, capped.All.Reuse > none.All.Reuse-0.05, "reuse %.3f, without cap %.3f", capped.All.Reuse, none.All.Reuse)
	assert.Assert(t, capped.All.InTime > 0.999, "in time %.4f", capped.All.InTime)
	assert.Equal(t, capped.OverCap, 0)
	assert.Equal(t, capped.OverRule, 0)
	assert.Assert(t, capped.MaxToMean99 < none.MaxToMean99-0.5, "largest/mean %.2f, without cap %.2f", capped.MaxToMean99, none.MaxToMean99)
	assert.Equal(t, capped.Crashes, 0)
	assert.Assert(t, naive.All.Reuse < 0.2, "reuse of a random target %.3f", naive.All.Reuse)
	assert.Assert(t, naive.Crashes > 0)
}

func TestSameSeedSameResult(t *testing.T) {
	cfg := smallConfig(1.25, FullPolicy)
	cfg.Duration, cfg.Warmup = 3*time.Minute, time.Minute
	assert.DeepEqual(t, Run(cfg), Run(cfg))
}

// BenchmarkTrial prints the comparison of policies on the recorded load.
func BenchmarkTrial(b *testing.B) { runRows(b, Rows()) }

// BenchmarkDomain prints what callers get while a failure domain moves.
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

// TestReportsIncreaseReuse guards against prefixes that are read again although some
// target holds them: entries that exchange reports read fewer than two thirds of what entries
// read that don't, and those find most prefixes by hash alone.
func TestReportsIncreaseReuse(t *testing.T) {
	play := func(talk time.Duration) Result {
		cfg := smallConfig(0, Policy{Import: true})
		cfg.Entries, cfg.ReportInterval = 24, talk
		cfg.Duration, cfg.Warmup = 6*time.Minute, 3*time.Minute
		return Run(cfg)
	}
	often, never := play(400*time.Millisecond), play(0)
	t.Logf("told: reuse %.3f, fetched %.3f, largest99 %.2f, in time %.4f", often.All.Reuse, often.All.Imported, often.MaxToMean99, often.All.InTime)
	t.Logf("never: reuse %.3f, fetched %.3f, largest99 %.2f, in time %.4f", never.All.Reuse, never.All.Imported, never.MaxToMean99, never.All.InTime)
	reread := func(r Result) float64 { return 1 - r.All.Reuse - r.All.Imported }
	assert.Assert(t, reread(often) < 0.66*reread(never), "read again: %.3f told, %.3f never told", reread(often), reread(never))
	assert.Assert(t, reread(often) < 0.06, "read again: %.3f told", reread(often))
	assert.Assert(t, reread(never) < 0.15, "read again: %.3f never told", reread(never))
	assert.Assert(t, often.MaxToMean99 < never.MaxToMean99, "largest load %.2f told, %.2f never told", often.MaxToMean99, never.MaxToMean99)
	assert.Assert(t, often.All.InTime > 0.99, "in time %.4f", often.All.InTime)
	assert.DeepEqual(t, often, play(400*time.Millisecond))
}

// Operators take a third of the fleet out for a while, and it comes back with nothing
// cached. Callers whose chats lived there should find their prefix elsewhere, where
// it was fetched in time, and nobody should be sent into the domain that is out.
func TestDomainLeavesAndReturnsWithoutAgents(t *testing.T) {
	rows := DirectDomainRows(1)
	naive, entries := Run(rows[1].Config), Run(rows[3].Config)
	t.Logf("reuse %.3f, fetched %.3f, in time %.4f", entries.All.Reuse, entries.All.Imported, entries.All.InTime)
	assert.Assert(t, entries.All.InTime > 0.99, "in time %.4f", entries.All.InTime)
	assert.Assert(t, entries.All.Reuse+entries.All.Imported > naive.All.Reuse+0.7)
	assert.Equal(t, entries.StartsAfterLeave, 0)
	assert.Equal(t, len(entries.Series), int(rows[3].Config.Duration/intervalLength))
	for _, s := range entries.Series[1:] {
		assert.Assert(t, s.Reuse+s.Imported > 0.7, "%.2f at %s", s.Reuse+s.Imported, s.Begin)
	}
}
