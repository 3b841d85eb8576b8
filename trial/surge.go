package trial

import (
	"slices"
	"time"
)

// SurgeConfig describes a load, up to several times the capacity of the targets, in a fleet
// without agents. Targets queue requests by urgency and never hand a queued request back to its
// entry, as engines do; it leaves the queue only when it starts or its caller gives up.
type SurgeConfig struct {
	Seed    uint64
	Entries int
	Targets int
	Slots   int
	// Offered is the load as a multiple of the capacity of the targets.
	Offered float64
	// HotRatio is the share of requests sent by workspace w0, one of ten; 0 means a tenth.
	HotRatio float64
	// Admit makes entries refuse requests that can't start in time.
	Admit bool
	// ReportInterval is the interval at which entries exchange reports of their requests in
	// flight; 0 disables reports.
	ReportInterval time.Duration
	// Warmup is the initial time that is excluded from the results. Duration is the end of
	// the load.
	Warmup, Duration time.Duration
}

// SurgeResult holds the measurements of RunSurge. A request is in time if its first
// byte arrives within the objective of its kind.
type SurgeResult struct {
	// Goodput is the number of requests in time per second.
	Goodput float64
	// InTime and Refused are shares of the requests sent. Refused counts requests that were
	// refused twice.
	InTime, Refused float64
	// Kinds is the share in time of each kind of request, the most urgent first.
	Kinds []float64
	// SmallInTime is the share in time of the requests of all workspaces except w0.
	SmallInTime float64
	// First95 is the 95th percentile of the time to the first byte of served requests.
	First95 time.Duration
}

// surgeKind is one kind of request. A lower index in surgeKinds is more urgent.
type surgeKind struct {
	share     float64
	hold      time.Duration
	objective time.Duration
	timeout   time.Duration
}

// surgeKinds lists long urgent requests, longer and less urgent ones, and short requests that are
// queued after all others.
var surgeKinds = []surgeKind{
	{0.4, 2 * time.Second, 500 * time.Millisecond, 12 * time.Second},
	{0.25, 3 * time.Second, time.Second, 15 * time.Second},
	{0.35, 200 * time.Millisecond, 600 * time.Millisecond, 3 * time.Second},
}

const (
	surgeWorkspaces = 10
	// maxQueueFactor is the maximum number of queued requests per slot of a target.
	maxQueueFactor = 3
	// surgePrefill is the time from the start of a request to its first byte.
	surgePrefill = 30 * time.Millisecond
)

// SurgeRow holds the results for one load of a comparison.
type SurgeRow struct {
	Offered float64
	// WithAdmission is the result if entries refuse requests that can't start in time,
	// WithoutAdmission the result if they forward all requests.
	WithAdmission, WithoutAdmission SurgeResult
}

// offeredLoads lists the compared loads as multiples of the capacity of the targets.
var offeredLoads = []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3}

// SurgeRows simulates loads from half to three times the capacity of the targets.
func SurgeRows(seed uint64) []SurgeRow {
	var rows []SurgeRow
	for _, offered := range offeredLoads {
		cfg := SurgeConfig{
			Seed: seed, Entries: 4, Targets: 9, Slots: 64, Offered: offered,
			ReportInterval: 50 * time.Millisecond, Warmup: 5 * time.Second, Duration: time.Minute,
		}
		withoutAdmission := RunSurge(cfg)
		cfg.Admit = true
		rows = append(rows, SurgeRow{offered, RunSurge(cfg), withoutAdmission})
	}
	return rows
}

// RunSurge simulates cfg and returns its measurements.
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
	sent, inTime := 0, 0
	for _, k := range s.counts {
		sent += k[0]
		inTime += k[1]
		r.Kinds = append(r.Kinds, ratio(k[1], k[0]))
	}
	r.Goodput = float64(inTime) / (s.cfg.Duration - s.cfg.Warmup).Seconds()
	r.InTime, r.Refused = ratio(inTime, sent), ratio(s.refused, sent)
	r.SmallInTime = ratio(s.smallCounts[1], s.smallCounts[0])
	slices.Sort(s.firstBytes)
	if len(s.firstBytes) > 0 {
		r.First95 = quantile(s.firstBytes, 0.95)
	}
	return r
}
