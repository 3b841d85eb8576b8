package trial

import (
	"slices"
	"time"
)

// Surge is a load beyond what targets carry, before entries without agents. Targets
// queue by urgency themselves and take nothing back, as engines do.
type Surge struct {
	Seed    uint64
	Entries int
	Targets int
	Slots   int
	// Offered is the load against what the targets carry.
	Offered float64
	// Hot is the part of the requests that one of ten workspaces sends; 0 for a tenth.
	Hot float64
	// Admit lets entries refuse what can't begin in time.
	Admit bool
	// Talk is how often entries tell each other what they have in progress; 0 for never.
	Talk time.Duration
	// Warm is the time from which on requests count, and For the end of the load.
	Warm, For time.Duration
}

// SurgeResult is what callers got.
type SurgeResult struct {
	// Goodput is the requests in time a second.
	Goodput float64
	// InTime and Refused are parts of the requests asked.
	InTime, Refused float64
	// Kinds is the part in time of each kind of request, the most urgent first.
	Kinds []float64
	// Small is the part in time of the requests of the workspaces that are not hot.
	Small float64
	// First95 is the time to the first byte of 95 in 100 that were served.
	First95 time.Duration
}

// surgeKind is one kind of request: urgent ones that take long, less urgent ones that
// take longer, and short ones that wait for the others.
type surgeKind struct {
	part      float64
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
	// surgeBound is how many requests wait at a target for each of its slots.
	surgeBound = 3
	// surgeReading is what a target takes to read a prompt.
	surgeReading = 30 * time.Millisecond
)

// SurgeRow is one load of a comparison.
type SurgeRow struct {
	Offered float64
	// Refusing is what callers get where entries refuse what can't begin in time, and
	// Taking where they send on all they get.
	Refusing, Taking SurgeResult
}

// offeredLoads are those of the comparison, against what the targets carry.
var offeredLoads = []float64{0.5, 0.75, 1, 1.25, 1.5, 2, 2.5, 3}

// SurgeRows plays loads from half to three times of what the targets carry.
func SurgeRows(seed uint64) []SurgeRow {
	var rows []SurgeRow
	for _, offered := range offeredLoads {
		cfg := Surge{
			Seed: seed, Entries: 4, Targets: 9, Slots: 64, Offered: offered,
			Talk: 50 * time.Millisecond, Warm: 5 * time.Second, For: time.Minute,
		}
		taking := PlaySurge(cfg)
		cfg.Admit = true
		rows = append(rows, SurgeRow{offered, PlaySurge(cfg), taking})
	}
	return rows
}

// PlaySurge plays a load beyond what targets carry.
func PlaySurge(cfg Surge) SurgeResult {
	s := newSurge(cfg)
	if cfg.Talk > 0 {
		s.every(cfg.Talk, s.talk)
	}
	s.after(0, s.arrive)
	s.runUntil(cfg.For)
	return s.result()
}

func (s *surge) result() SurgeResult {
	var r SurgeResult
	asked, inTime := 0, 0
	for _, k := range s.asked {
		asked += k[0]
		inTime += k[1]
		r.Kinds = append(r.Kinds, ratio(k[1], k[0]))
	}
	r.Goodput = float64(inTime) / (s.cfg.For - s.cfg.Warm).Seconds()
	r.InTime, r.Refused = ratio(inTime, asked), ratio(s.refused, asked)
	r.Small = ratio(s.small[1], s.small[0])
	slices.Sort(s.firsts)
	if len(s.firsts) > 0 {
		r.First95 = quantile(s.firsts, 0.95)
	}
	return r
}
