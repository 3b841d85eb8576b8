package trial

import (
	"slices"
	"time"
)

// HedgeConfig describes a plain service in a fleet without agents whose targets are slow for a moment now
// and then, and requests of which a part may be repeated.
type HedgeConfig struct {
	Seed    uint64
	Entries int
	Targets int
	Slots   int
	// Offered is the load as a multiple of what the targets carry when none is slow.
	Offered float64
	// SafeRatio is the part of the requests that may be hedged.
	SafeRatio float64
	// Ratio is the part of all requests that may be hedged by package hedge; 0 for none.
	Ratio float64
	// Delay hedges each safe request after a fixed time and without limit, for comparison; 0 for not.
	Delay time.Duration
	// Perfect sends each request to the target that answers it first, known beforehand.
	Perfect bool
	// SameWork makes a request as slow at the second target as at the first; its work is otherwise
	// drawn at each.
	SameWork bool
	// Readings makes entries learn with the reports which targets are slow; second attempts then avoid
	// them.
	Readings bool
	// ReportInterval is the interval at which entries learn of each other's requests in progress.
	ReportInterval time.Duration
	// Warmup is the initial time that is excluded from the results. Duration is the end of the load.
	Warmup, Duration time.Duration
}

// HedgeResult holds the measurements of RunHedge. Quantiles are of the latency of safe requests.
type HedgeResult struct {
	P50, P99, P999 time.Duration
	// Hedged is the part of all requests that was hedged, and Extra the work of attempts whose answer
	// nobody got as a part of the work of the others.
	Hedged, Extra float64
	// Served and Refused are parts of all requests.
	Served, Refused float64
	// Denied counts the hedges that were not sent, by reason.
	Denied map[string]int
}

const (
	// hedgeHop is the one-way time between an entry and a target.
	hedgeHop = 1400 * time.Microsecond
	// minHedgeWork and maxHedgeWork bound the usual work; one request in a hundred takes
	// rareHedgeWork times that. The mean of all is 15 ms.
	minHedgeWork  = 6840 * time.Microsecond
	maxHedgeWork  = 22 * time.Millisecond
	meanHedgeWork = 15 * time.Millisecond
	rareHedgeWork = 5
	// slowFactor is how much longer work takes at a slow target; targets are slow for slowTime, and
	// slowRatio of the time.
	hedgeSlowFactor = 2.5
	hedgeSlowTime   = 600 * time.Millisecond
	hedgeSlowRatio  = 0.15
	// hedgeObjective and hedgeTimeout are those of the users' safe kind, and hedgeQueue the requests
	// that wait at a target at most.
	hedgeObjective = 120 * time.Millisecond
	hedgeTimeout   = 600 * time.Millisecond
	hedgeQueue     = 24
)

// PairingHedge returns the users' plain service of three targets at a load, with their part of safe
// requests.
func PairingHedge(seed uint64, offered float64) HedgeConfig {
	return HedgeConfig{
		Seed: seed, Entries: 8, Targets: 3, Slots: 6, Offered: offered, SafeRatio: 28.8 / (28.8 + 71.9),
		ReportInterval: 150 * time.Millisecond, Warmup: 20 * time.Second, Duration: 5 * time.Minute,
	}
}

// HedgeRow is one policy of a comparison.
type HedgeRow struct {
	// Group is the curve that the row belongs to.
	Group  string
	Name   string
	Config HedgeConfig
	Result HedgeResult
}

// Groups of HedgeRows.
const (
	HedgeNone    = "none"
	HedgeFixed   = "fixed delay, no limit"
	HedgeBudget  = "package hedge, 1 to 20 percent"
	HedgePerfect = "perfect knowledge"
)

// HedgeRows simulates no hedging, fixed delays, package hedge with several ratios, and a choice with
// perfect knowledge.
func HedgeRows(seed uint64, offered float64) []HedgeRow {
	base := PairingHedge(seed, offered)
	rows := []HedgeRow{{Group: HedgeNone, Name: "none", Config: base}}
	for _, ms := range []time.Duration{100, 70, 50, 40, 30, 25, 20, 15, 10, 5} {
		cfg := base
		cfg.Delay = ms * time.Millisecond
		rows = append(rows, HedgeRow{Group: HedgeFixed, Name: "after " + cfg.Delay.String(), Config: cfg})
	}
	for _, r := range []struct {
		name  string
		ratio float64
	}{{"1%", 0.01}, {"2%", 0.02}, {"5%", 0.05}, {"10%", 0.1}, {"20%", 0.2}} {
		cfg := base
		cfg.Ratio = r.ratio
		rows = append(rows, HedgeRow{Group: HedgeBudget, Name: "--hedge " + r.name, Config: cfg})
	}
	cfg := base
	cfg.Perfect = true
	rows = append(rows, HedgeRow{Group: HedgePerfect, Name: "perfect knowledge", Config: cfg})
	for i := range rows {
		rows[i].Result = RunHedge(rows[i].Config)
	}
	return rows
}

// RunHedge simulates cfg and returns its measurements.
func RunHedge(cfg HedgeConfig) HedgeResult {
	s := newHedgeRun(cfg)
	for _, t := range s.targets {
		s.after(s.exp(s.usualTime()), t.turnSlow)
	}
	s.every(cfg.ReportInterval, s.exchangeReports)
	s.after(0, s.arrive)
	s.runUntil(cfg.Duration)
	return s.result()
}

func (s *hedgeRun) result() HedgeResult {
	slices.Sort(s.latencies)
	r := HedgeResult{
		Hedged: ratio(s.hedged, s.sent), Served: ratio(s.served, s.sent), Refused: ratio(s.refused, s.sent),
		Extra: s.wasted.Seconds() / max(s.useful.Seconds(), 1e-9), Denied: s.denied,
	}
	if len(s.latencies) > 0 {
		r.P50, r.P99, r.P999 = quantile(s.latencies, 0.5), quantile(s.latencies, 0.99), quantile(s.latencies, 0.999)
	}
	return r
}
