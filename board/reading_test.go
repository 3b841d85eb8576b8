package board_test

import (
	"fmt"
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/gauge"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

var plain = &chestnutstep.Service{Name: "s", LatencyObjective: 120 * time.Millisecond}

// newReadingBoard returns a board with readings and a view of n warm targets.
func newReadingBoard(n int) (*board.Board, *roster.View) {
	b, v := &board.Board{Self: addr(0), Readings: &gauge.Store{}}, newView(n, n)
	b.Prune(v)
	return b, v
}

// report records the load of a target.
func report(now clock.Stamp, b *board.Board, t *roster.Target, l chestnutstep.TargetLoad) {
	b.Readings.Record(now, board.CacheKey(&t.Instance), l)
}

// candidateOf returns a target as a candidate.
func candidateOf(t *testing.T, now clock.Stamp, b *board.Board, v *roster.View, id string) place.Candidate {
	for _, c := range b.Candidates(now, v, plain, board.Criteria{}) {
		if c.ID == id {
			return c
		}
	}
	t.Fatalf("%s is no candidate", id)
	return place.Candidate{}
}

// TestReadingsAge guards against a slow phase that counts long after it has ended.
func TestReadingsAge(t *testing.T) {
	b, v := newReadingBoard(2)
	usual := candidateOf(t, start, b, v, "t0")
	assert.Equal(t, usual.Slowdown, 1.0)
	report(start, b, v.ByID["t0"], chestnutstep.TargetLoad{Running: 4, Waiting: 2, Slots: 4, Slowdown: 2.5})
	for age, want := range map[time.Duration]place.Candidate{
		0:                      {Slowdown: 2.5, Waiting: 2, Running: 6},
		300 * time.Millisecond: {Slowdown: 1.75, Waiting: 1, Running: 3},
		600 * time.Millisecond: {Slowdown: 1, Waiting: 0, Running: 0},
	} {
		c := candidateOf(t, start.Add(age), b, v, "t0")
		assert.Assert(t, c.Slowdown == want.Slowdown && c.Waiting == want.Waiting && c.Running == want.Running, "%v: %+v", age, c)
		assert.Assert(t, age == gauge.Lifetime && c.Limit == usual.Limit || age < gauge.Lifetime && c.Limit < usual.Limit, "%v: limit %v of %v", age, c.Limit, usual.Limit)
	}
}

// TestOwnRequestsSinceAReading guards against a target that looks idle to all that have read the same
// report, and against a count below this entry's own requests.
func TestOwnRequestsSinceAReading(t *testing.T) {
	b, v := newReadingBoard(2)
	t0, now := v.ByID["t0"], start
	begin := func() *board.Attempt { return b.Start(now, t0, plain, nil, 0, board.Caller{}) }
	running := func() float64 { return candidateOf(t, now, b, v, "t0").Running }
	first := begin()
	now = now.Add(time.Millisecond)
	report(now, b, t0, chestnutstep.TargetLoad{Running: 3, Slots: 4, Slowdown: 1})
	assert.Equal(t, running(), 3.0)
	now = now.Add(time.Millisecond)
	begin()
	assert.Assert(t, math.Abs(running()-4) < 0.05, "one more since the report: %v", running())
	first.End(now, board.Served)
	assert.Assert(t, math.Abs(running()-3) < 0.05, "one less since the report: %v", running())
	report(now.Add(time.Millisecond), b, t0, chestnutstep.TargetLoad{Slots: 4, Slowdown: 1})
	now = now.Add(2 * time.Millisecond)
	assert.Equal(t, running(), 1.0, "not fewer than the own ones")
}

// TestHistoryCoversTheLifetime guards against a report that is carried on from a later count, because the target
// had more changes since than the history holds, and against a history that grows with the requests.
func TestHistoryCoversTheLifetime(t *testing.T) {
	b, v := newReadingBoard(2)
	t0, now := v.ByID["t0"], start
	report(now, b, t0, chestnutstep.TargetLoad{Running: 4, Waiting: 200, Slots: 4, Slowdown: 1})
	for n := 1; n <= 200; n++ {
		now = now.Add(2 * time.Millisecond)
		b.Start(now, t0, plain, nil, 0, board.Caller{})
		w := gauge.Weight(now.Sub(start))
		want := w*float64(204+n) + (1-w)*float64(n)
		got := candidateOf(t, now, b, v, "t0").Running
		assert.Assert(t, math.Abs(got-want) < 0.01, "%d requests since: %v, want %v", n, got, want)
		assert.Assert(t, b.HistoryLen("t0") <= 31)
	}
}

// TestNoHistoryWithoutReadings guards against memory and work for each request where targets don't report their
// speed.
func TestNoHistoryWithoutReadings(t *testing.T) {
	b, v := newReadingBoard(2)
	t0 := v.ByID["t0"]
	b.Start(start, t0, plain, nil, 0, board.Caller{})
	assert.Equal(t, b.HistoryLen("t0"), 0)
	report(start, b, t0, chestnutstep.TargetLoad{Running: 1, Slots: 4, Slowdown: 1})
	b.Start(start.Add(time.Millisecond), t0, plain, nil, 0, board.Caller{})
	assert.Equal(t, b.HistoryLen("t0"), 1)
	b.Start(start.Add(gauge.Lifetime), t0, plain, nil, 0, board.Caller{})
	assert.Equal(t, b.HistoryLen("t0"), 0)
}

// TestUsualReadingsWithoutSlots guards against an individual evaluation of all targets that publish no slots, for
// a difference of one request.
func TestUsualReadingsWithoutSlots(t *testing.T) {
	b, v := newReadingBoard(2)
	t0 := v.ByID["t0"]
	t0.Slots = 0
	for running, want := range []int{0, 0, 1} {
		now := start.Add(time.Duration(running) * time.Millisecond)
		report(now, b, t0, chestnutstep.TargetLoad{Running: running, Slots: 4, Slowdown: 1})
		b.Totals(now, v, plain, board.Criteria{})
		assert.Equal(t, b.IndividualCount("s"), want, "%d running", running)
	}
}

// TestReportsCountRequestsOfPeers guards against an estimate of what peers have sent on top of a report that
// counts it already, and against no estimate for what was sent since.
func TestReportsCountRequestsOfPeers(t *testing.T) {
	b, v := newReadingBoard(2)
	b.MergeReport(start, &share.Report{From: addr(1)})
	t0, now := v.ByID["t0"], start
	isNear := func(want float64) {
		t.Helper()
		got := candidateOf(t, now, b, v, "t0").Unreported
		assert.Assert(t, math.Abs(got-want) < 0.05, "%v, want %v", got, want)
		sum := b.Totals(now, v, plain, board.Criteria{}).Unreported
		assert.Assert(t, math.Abs(sum-want) < 0.05, "%v, want %v in the totals", sum, want)
	}
	b.Start(now, t0, plain, nil, 0, board.Caller{})
	isNear(1)
	now = now.Add(time.Millisecond)
	report(now, b, t0, chestnutstep.TargetLoad{Running: 2, Slots: 4, Slowdown: 1})
	isNear(0)
	now = now.Add(time.Millisecond)
	b.Start(now, t0, plain, nil, 0, board.Caller{})
	isNear(1)
	now = now.Add(50 * time.Millisecond)
	isNear(0.5 + 0.04)
	report(now, b, t0, chestnutstep.TargetLoad{Running: 1, Slots: 4, Slowdown: 1})
	isNear(0)
}

// TestFullTargetsByTheirReports guards against requests admitted to targets that peers have filled since
// their last reports, and against refusals by reports of peers that have become wrong.
func TestFullTargetsByTheirReports(t *testing.T) {
	b, v := newReadingBoard(3)
	taken := func(now clock.Stamp) float64 {
		return b.Choose(now, v, plain, board.Criteria{Caller: &board.Caller{}}, place.Request{}).Admission.Taken
	}
	taken(start)
	for _, t0 := range v.ByID {
		report(start, b, t0, chestnutstep.TargetLoad{Running: 4, Waiting: 20, Slots: 4, Slowdown: 1})
	}
	assert.Assert(t, taken(start) >= 1, "full by their reports")
	assert.Equal(t, taken(start.Add(gauge.Lifetime)), 0.0)

	now := start.Add(time.Second)
	var loads []share.Load
	for i := range 3 {
		loads = append(loads, share.Load{Target: board.LoadKey(fmt.Sprintf("t%d", i)), Running: 24})
	}
	b.MergeReport(now, &share.Report{From: addr(1), Loads: loads})
	assert.Assert(t, taken(now) >= 1, "full by the reports of peers")
	for _, t0 := range v.ByID {
		report(now, b, t0, chestnutstep.TargetLoad{Running: 1, Slots: 4, Slowdown: 1})
	}
	assert.Assert(t, taken(now) < 0.5, "idle by their own reports: %v", taken(now))
}

// TestFullTargetLeavesOthersOpen guards against a service that is closed because one of its targets reports
// a long queue while the others are idle.
func TestFullTargetLeavesOthersOpen(t *testing.T) {
	b, v := newReadingBoard(3)
	choose := func(now clock.Stamp) board.Choice {
		return b.Choose(now, v, plain, board.Criteria{Caller: &board.Caller{}}, place.Request{})
	}
	choose(start)
	report(start, b, v.ByID["t0"], chestnutstep.TargetLoad{Running: 4, Waiting: 24, Slots: 4, Slowdown: 2.5})
	for age := time.Duration(0); age < gauge.Lifetime; age += 50 * time.Millisecond {
		c := choose(start.Add(age))
		assert.Assert(t, c.Admission.Admitted && c.Admission.Taken < 0.5, "%v: %+v", age, c.Admission)
		assert.Assert(t, c.ID == "t1" || c.ID == "t2", "%v: %s", age, c.ID)
	}
}

// TestImplausibleReadingsAreIgnored guards against a target that is closed by a report which a target with its
// slots can't make.
func TestImplausibleReadingsAreIgnored(t *testing.T) {
	b, v := newReadingBoard(2)
	for i, l := range []chestnutstep.TargetLoad{
		{Running: 9, Slots: 64, Slowdown: 2.5},
		{Running: 4, Waiting: 257, Slots: 64, Slowdown: 2.5},
	} {
		now := start.Add(time.Duration(i) * time.Millisecond)
		report(now, b, v.ByID["t0"], l)
		c := candidateOf(t, now, b, v, "t0")
		assert.Assert(t, c.Running == 0 && c.Waiting == 0 && c.Slowdown == 1, "%+v", c)
	}
}

// TestRestartInvalidatesReadings guards against the load of a process that is gone at its successor.
func TestRestartInvalidatesReadings(t *testing.T) {
	b, v := newReadingBoard(2)
	report(start, b, v.ByID["t0"], chestnutstep.TargetLoad{Running: 4, Waiting: 20, Slots: 4, Slowdown: 2.5})
	assert.Equal(t, candidateOf(t, start, b, v, "t0").Slowdown, 2.5)
	next := newView(2, 2)
	next.ByID["t0"].StartedMs = 1
	b.Prune(next)
	c := candidateOf(t, start, b, next, "t0")
	assert.Assert(t, c.Slowdown == 1 && c.Running == 0, "%+v", c)
}

// TestTotalsWithReadings guards against totals that count a target twice or not at all when its reading
// arrives, ages, or is replaced. The sums over all candidates are the reference.
func TestTotalsWithReadings(t *testing.T) {
	b, v := newReadingBoard(20)
	now := start
	for i := range 400 {
		now = now.Add(time.Duration(i%70) * time.Millisecond)
		l := chestnutstep.TargetLoad{Running: i % 5, Slots: 4, Slowdown: 1 + float64(i%3)}
		report(now, b, v.ByID[fmt.Sprintf("t%d", i*7%20)], l)
		got := b.Totals(now, v, plain, board.Criteria{})
		var want place.Totals
		for _, c := range b.Candidates(now, v, plain, board.Criteria{}) {
			want.Add(&c)
		}
		assert.Equal(t, got.Targets, want.Targets)
		assert.Assert(t, math.Abs(got.Capacity-want.Capacity) < 0.05*want.Capacity, "%v, want %v", got, want)
		assert.Assert(t, math.Abs(got.Running-want.Running) <= 0.5*float64(got.Targets), "%v, want %v", got, want)
	}
}

// BenchmarkChooseWithReadings measures requests 1 ms apart while some of the targets report an unusual
// load: all of a small fleet, and as many of a large one as the rate of readings lets an entry know.
func BenchmarkChooseWithReadings(bm *testing.B) {
	for _, size := range []struct{ targets, fresh int }{{51, 51}, {2700, 0}, {2700, 60}} {
		bm.Run(fmt.Sprint(size.targets, " ", size.fresh), func(bm *testing.B) {
			b, v := busyBoard(size.targets)
			b.Readings = &gauge.Store{}
			b.Prune(v)
			bm.ReportAllocs()
			for i := range uint64(bm.N) {
				now := start.Add(time.Duration(i) * time.Millisecond)
				if size.fresh > 0 && i%8 == 0 {
					t := v.Services["s"][int(i/8)%size.fresh]
					report(now, b, t, chestnutstep.TargetLoad{Running: 4, Waiting: 6, Slots: 4, Slowdown: 2.5})
				}
				doRequest(b, v, now, i)
			}
		})
	}
}
