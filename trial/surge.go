package trial

import (
	"slices"
	"time"
)

// SurgeConfig is a load beyond what targets carry, before entries without agents. Targets
// queue by urgency themselves and take nothing back, as engines do.
type SurgeConfig struct {
	Seed    uint64
	Entries int
	Targets int
	Slots   int
	// Offered is the load against what the targets carry.
	Offered float64
	// HotRatio is the part of the requests that one of ten workspaces sends; 0 for a tenth.
	HotRatio float64
	// Admit lets entries refuse what can't begin in time.
	Admit bool
	// ReportInterval is how often entries tell each other what they have in progress; 0 for never.
	ReportInterval time.Duration
	// Warmup is the time from which on requests count, and For the end of the load.
	Warmup, Duration time.Duration
}

// SurgeResult is what callers got.
type SurgeResult struct {
	// Goodput is the requests in time a second.
	Goodput float64
	// InTime and Refused are parts of the requests asked.
	InTime, Refused float64
	// Kinds is the part in time of each kind of request, the most urgent first.
	Kinds []float64
	// SmallInTime is the part in time of the requests of the workspaces that are not hot.
	SmallInTime float64
	// First95 is the time to the first byte of 95 in 100 that were served.
	First95 time.Duration
}

// surgeKind is one kind of request: urgent ones that take long, less urgent ones that
// take longer, and short ones that wait for the others.
type surgeKind struct {
	share     float64
	hold      time.Duration
	objective time.Duration
	limit     time.Duration
}

var surgeKinds = []surgeKind{
	{0.4, 2 * time.Second, 500 * time.Millisecond, 12 * time.Second},
	{0.25, 3 * time.Second, time.Second, 15 * time.Second},
	{0.35, 200 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second},
}

const (
	surgeWorkspaces = 10
	// maxQueueFactor is how many requests wait at a target for each of its slots.
	maxQueueFactor = 3
	// surgePrefill is what a target takes to read a prompt.
	surgePrefill = 30 * time.Millisecond
)

// SurgeRow is one load of a comparison.
type SurgeRow struct {
	Offered float64
	// WithAdmission is what callers get where entries refuse what can't begin in time, and
	// Taking where they send on all they get.
	WithAdmission, WithoutAdmission SurgeResult
}

// offeredLoads are those of the comparison, against what the targets carry.
var offeredLoads = []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3}

// SurgeRows plays loads from half to three times of what the targets carry.
func SurgeRows(seed uint64) []SurgeRow {
	var rows []SurgeRow
	for _, offered := range offeredLoads {
		cfg := SurgeConfig{
			Seed: seed, Entries: 4, Targets: 9, Slots: 64, Offered: offered,
			ReportInterval: 50 * time.Millisecond, Warmup: 5 * time.Second, Duration: time.Minute,
		}
		taking := RunSurge(cfg)
		cfg.Admit = true
		rows = append(rows, SurgeRow{offered, RunSurge(cfg), taking})
	}
	return rows
}

// RunSurge plays a load beyond what targets carry.
func RunSurge(cfg SurgeConfig) SurgeResult {
	s := newSurge(cfg)
	if cfg.ReportInterval > 0 {
		s.every(cfg.ReportInterval, s.exchangeReports)
	}
	s.after(0, s.arrive)
	s.runUntil(cfg.Duration)
	return s.result()
}

func (s *surgeRun) result() SurgeResult {
	var r SurgeResult
	asked, inTime := 0, 0
	for _, k := range s.counts {
		asked += k[0]
		inTime += k[1]
		r.Kinds = append(r.Kinds, ratio(k[1], k[0]))
	}
	r.Goodput = float64(inTime) / (s.cfg.Duration - s.cfg.Warmup).Seconds()
	r.InTime, r.Refused = ratio(inTime, asked), ratio(s.refused, asked)
	r.SmallInTime = ratio(s.smallCounts[1], s.smallCounts[0])
	slices.Sort(s.firstBytes)
	if len(s.firstBytes) > 0 {
		r.First95 = quantile(s.firstBytes, 0.95)
	}
	return r
}
