package board_test

import (
	"fmt"
	"math"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

// plainChoice is the reference for Choose: it evaluates every target.
func plainChoice(b *board.Board, now clock.Stamp, v *roster.View, criteria board.Criteria, req place.Request) (place.Choice, []place.Candidate) {
	list := b.Candidates(now, v, engine, criteria)
	byID := make(map[string]*place.Candidate, len(list))
	var sum place.Totals
	for i := range list {
		byID[list[i].ID] = &list[i]
		sum.Add(&list[i])
	}
	var ids []string
	for _, t := range v.Services["s"] {
		ids = append(ids, t.ID)
	}
	hashed := 0
	var ring place.Ring
	ring.Update(ids, nil)
	ring.Walk(req.Key, func(i int) bool {
		if c := byID[ids[i]]; c != nil && hashed < place.HashCandidates {
			hashed++
			c.HashRank = hashed
		}
		return true
	})
	req.Ceiling = sum.Ceiling(criteria.CapFactor)
	if criteria.Build != "" {
		criteria.Build = ""
		sum = place.Totals{}
		for _, c := range b.Candidates(now, v, engine, criteria) {
			sum.Add(&c)
		}
		req.Ceiling = sum.Ceiling(criteria.CapFactor)
	}
	c, _ := place.Pick(list, b.Donor(now, v, engine, criteria.Parts), req)
	return c, list
}

// history applies random steps to a board.
type history struct {
	b    *board.Board
	v    *roster.View
	now  clock.Stamp
	runs []*board.Attempt
	// joined is the number of targets that joined.
	joined int
}

func (h *history) step(t *rapid.T) {
	h.now = h.now.Add(time.Duration(rapid.IntRange(0, 700).Draw(t, "ms")) * time.Millisecond)
	x := rapid.SampledFrom(h.v.Services["s"]).Draw(t, "target")
	switch rapid.IntRange(0, 5).Draw(t, "step") {
	case 0, 1:
		p := rapid.Uint64Range(1, 6).Draw(t, "prefix")
		h.runs = append(h.runs, h.b.Start(h.now, x, engine, parts(p, 1000+p), 0, board.Caller{Objective: time.Second}))
	case 2:
		if len(h.runs) > 0 {
			r := h.runs[0]
			h.runs = h.runs[1:]
			r.FirstByte(h.now)
			r.End(h.now, rapid.SampledFrom([]board.Outcome{board.Served, board.Refused, board.Unreachable, board.Broken}).Draw(t, "end"))
		}
	case 3:
		from := addr(rapid.IntRange(1, 4).Draw(t, "peer"))
		var loads []share.Load
		for _, l := range h.b.Loads() {
			loads = append(loads, share.Load{Target: l.Target, Running: uint16(rapid.IntRange(0, 9).Draw(t, "running"))})
		}
		h.b.MergeReport(h.now, &share.Report{From: from, Loads: loads})
	case 4:
		h.v = newView(len(h.v.Services["s"]), rapid.IntRange(1, len(h.v.Services["s"])).Draw(t, "warm"))
	case 5:
		h.change(t, x)
	}
}

// change removes a target, toggles its leaving state, or adds a target; the others stay the
// same.
func (h *history) change(t *rapid.T, x *roster.Target) {
	list := slices.Clone(h.v.Services["s"])
	i := slices.Index(list, x)
	switch rapid.IntRange(0, 2).Draw(t, "change") {
	case 0:
		if len(list) > 1 {
			list = slices.Delete(list, i, i+1)
		}
	case 1:
		leaving := *x
		leaving.Leaving = !leaving.Leaving
		list[i] = &leaving
	case 2:
		h.joined++
		list = append(list, &roster.Target{Instance: chestnutstep.Instance{ID: fmt.Sprint("j", h.joined), Service: "s", Domain: "e", Slots: 4, Build: fmt.Sprint(h.joined % 3)}})
	}
	v := &roster.View{Services: map[string][]*roster.Target{"s": list}, ByID: make(map[string]*roster.Target)}
	for _, one := range list {
		v.ByID[one.ID] = one
	}
	h.v = v
}

// TestChooseIsThePlainChoice guards against an index that diverges from the targets: totals,
// holders and hash order must equal those computed over all targets.
func TestChooseIsThePlainChoice(t *testing.T) { compareChoices(t, nil) }

// TestChooseIsThePlainChoiceWithPauses guards against totals that count the places of targets which
// asked for a pause, and against a choice of one, also if no other target is left.
func TestChooseIsThePlainChoiceWithPauses(t *testing.T) { compareChoices(t, &pause.Tracker{}) }

// compareChoices compares the choices after random steps. With a tracker, targets ask for pauses.
func compareChoices(t *testing.T, pauses *pause.Tracker) {
	rapid.Check(t, func(t *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(t, "targets")
		h := &history{b: &board.Board{Self: addr(0)}, v: newView(n, n), now: start}
		if pauses != nil {
			h.b.Pauses = &pause.Tracker{}
		}
		for range rapid.IntRange(1, 40).Draw(t, "steps") {
			h.step(t)
			h.pauseOne(t)
			p := rapid.Uint64Range(1, 6).Draw(t, "asked")
			criteria := board.Criteria{Parts: parts(p, 2000), Domain: "d", Skip: []string{"t0"}[:rapid.IntRange(0, 1).Draw(t, "skip")]}
			criteria.Build = rapid.SampledFrom([]string{"", "", "0", "1", "2"}).Draw(t, "build")
			req := place.Request{Key: p, Tokens: 2000, Shared: 1000}
			sameTotals(t, h, criteria)
			want, list := plainChoice(h.b, h.now, h.v, criteria, req)
			if len(list) == 0 {
				criteria.IncludeDown = true
				want, list = plainChoice(h.b, h.now, h.v, criteria, req)
			}
			got := h.b.Choose(h.now, h.v, engine, criteria, req)
			assert.Equal(t, got.PausedUntil, h.pausedUntil(criteria))
			if len(list) == 0 {
				assert.Assert(t, got.Target == nil)
				continue
			}
			assert.Assert(t, !h.isPaused(got.Target) && !h.isPaused(h.v.ByID[got.Donor.ID]))
			assert.Equal(t, got.ID, list[want.Index].ID)
			assert.Assert(t, criteria.Build == "" || got.Target.Build == criteria.Build)
			assert.Equal(t, got.Donor.ID != "", want.Fetch)
			assert.Assert(t, math.Abs(got.Cost-want.Cost) < 1e-6)
		}
	})
}

// pauseOne lets a target ask for a pause in one step of four.
func (h *history) pauseOne(t *rapid.T) {
	if h.b.Pauses == nil || rapid.IntRange(0, 3).Draw(t, "pauses") > 0 {
		return
	}
	x := rapid.SampledFrom(h.v.Services["s"]).Draw(t, "paused")
	h.b.StartPause(h.now, x, time.Duration(rapid.IntRange(100, 3000).Draw(t, "pause"))*time.Millisecond)
}

func (h *history) isPaused(x *roster.Target) bool {
	return x != nil && h.b.Pauses.State(h.now, pause.InstanceOf(&x.Instance)).Blocked()
}

// pausedUntil returns the earliest end of a pause if all usable targets of the build are paused.
func (h *history) pausedUntil(criteria board.Criteria) clock.Stamp {
	var until clock.Stamp
	for _, x := range h.v.Services["s"] {
		if !h.v.Usable(x) || criteria.Build != "" && x.Build != criteria.Build {
			continue
		}
		if !h.isPaused(x) {
			return 0
		}
		if s := h.b.Pauses.State(h.now, pause.InstanceOf(&x.Instance)); until == 0 || s.Until < until {
			until = s.Until
		}
	}
	return until
}

// sameTotals compares the totals of the index with those computed over all targets.
func sameTotals(t *rapid.T, h *history, criteria board.Criteria) {
	var want place.Totals
	for _, c := range h.b.Candidates(h.now, h.v, engine, criteria) {
		want.Add(&c)
	}
	if criteria.Build != "" {
		for _, c := range h.b.Candidates(h.now, h.v, engine, criteria) {
			assert.Equal(t, h.v.ByID[c.ID].Build, criteria.Build)
		}
	}
	got := h.b.Totals(h.now, h.v, engine, criteria)
	assert.Equal(t, got.Targets, want.Targets)
	assert.Equal(t, got.Warm, want.Warm)
	assert.Equal(t, got.Running, want.Running)
	assert.Equal(t, got.WarmRunning, want.WarmRunning)
	assert.Equal(t, got.Unlimited, want.Unlimited)
	assert.Assert(t, math.Abs(got.Taken()-want.Taken()) < 0.02, "%f and %f", got.Taken(), want.Taken())
}

// TestSampledChoiceIsNearlyLeastLoaded guards against a sample that is too small: the least
// loaded target of the sample must have almost the load of the least loaded of all.
func TestSampledChoiceIsNearlyLeastLoaded(t *testing.T) {
	b, v := &board.Board{Self: addr(0)}, newView(300, 300)
	for i := range 6000 {
		req := place.Request{Key: uint64(i) * 7919}
		c := b.Choose(start, v, engine, board.Criteria{}, req)
		b.Start(start, c.Target, engine, nil, 0, board.Caller{})
	}
	maxRunning, minRunning := 0.0, math.Inf(1)
	for _, c := range b.Candidates(start, v, engine, board.Criteria{}) {
		maxRunning, minRunning = max(maxRunning, c.Running), min(minRunning, c.Running)
	}
	assert.Assert(t, maxRunning <= 34 && minRunning >= 10, "%.0f to %.0f in progress, 20 on average", minRunning, maxRunning)
}

// busyBoard returns a board with n targets, ten requests in progress at each, and 300 peers.
func busyBoard(n int) (*board.Board, *roster.View) {
	b, v := &board.Board{Self: addr(0)}, newView(n, n)
	for i := range 10 * n {
		b.Start(start, v.Services["s"][i%n], engine, parts(1, uint64(10+i/3), uint64(1e6+i)), 0, board.Caller{}).FirstByte(start)
	}
	for i := range 300 {
		b.MergeReport(start, &share.Report{From: addr(i + 1), Loads: []share.Load{{Target: 7, Running: 1}}})
	}
	return b, v
}

// doRequest makes all the calls to the board that one request needs.
func doRequest(b *board.Board, v *roster.View, now clock.Stamp, i uint64) {
	criteria := board.Criteria{Parts: parts(1, 10+i%1000, 1e9+i), Domain: "d", Caller: &board.Caller{Workspace: "w", Objective: time.Second}}
	c := b.Choose(now, v, engine, criteria, place.Request{Key: 10 + i%1000, Tokens: 3000, Shared: 2000})
	r := b.Start(now, c.Target, engine, criteria.Parts, c.ReusableTokens(), *criteria.Caller)
	r.FirstByte(now)
	r.End(now, board.Served)
}

// BenchmarkChoose measures requests 1 ms apart against fleets of several sizes.
func BenchmarkChoose(bm *testing.B) {
	for _, n := range []int{51, 300, 1000, 2700} {
		bm.Run(fmt.Sprint(n), func(bm *testing.B) {
			b, v := busyBoard(n)
			bm.ReportAllocs()
			for i := range uint64(bm.N) {
				doRequest(b, v, start.Add(time.Duration(i)*time.Millisecond), i)
			}
		})
		bm.Run(fmt.Sprint(n, "-by-8"), func(bm *testing.B) {
			b, v := busyBoard(n)
			bm.SetParallelism(8)
			var next atomic.Uint64
			bm.RunParallel(func(pb *testing.PB) {
				for pb.Next() {
					i := next.Add(1)
					doRequest(b, v, start.Add(time.Duration(i)*time.Millisecond), i)
				}
			})
		})
	}
}

// TestSuspicionsOfPeers guards against every entry detecting a dead host with a request of its
// own, and against an isolated entry that closes targets for all others.
func TestSuspicionsOfPeers(t *testing.T) {
	entries, v := newFleet(2), newView(2, 2)
	a, b := entries[0], entries[1]
	b.Candidates(start, v, engine, board.Criteria{})
	a.Start(start, v.ByID["t0"], engine, nil, 0, board.Caller{}).End(start, board.Unreachable)
	report := func() { b.MergeReport(start, &share.Report{From: addr(0), Suspected: a.Suspicions()}) }
	report()
	list := b.Candidates(start, v, engine, board.Criteria{})
	assert.Equal(t, len(list), 2, "a suspicion of a peer must not exclude a target")
	assert.Assert(t, list[0].Suspected && !list[1].Suspected)

	choose := func(verify bool, skip string) board.Choice {
		return b.Choose(start, v, engine, board.Criteria{VerifyHost: verify, Skip: []string{skip}}, place.Request{Key: 1})
	}
	assert.Assert(t, choose(false, "t1").NewConnection, "the suspected host must be verified by a new connection")
	assert.Assert(t, !choose(false, "t0").NewConnection)
	assert.Assert(t, choose(true, "t0").NewConnection, "during an alert, requests with VerifyHost must verify the host")

	run := b.Start(start, v.ByID["t0"], engine, nil, 0, board.Caller{})
	run.FirstByte(start)
	assert.Assert(t, !choose(true, "t1").NewConnection, "the target has answered")
	assert.Assert(t, !b.Candidates(start, v, engine, board.Criteria{})[0].Suspected)
	a.Start(start, v.ByID["t0"], engine, nil, 0, board.Caller{}).End(start.Add(time.Second), board.Unreachable)
	report()
	assert.Assert(t, !b.Candidates(start, v, engine, board.Criteria{})[0].Suspected, "the target answers this entry")
}

// BenchmarkView measures a request after one target joined and one left.
func BenchmarkView(bm *testing.B) {
	for _, n := range []int{51, 2700} {
		bm.Run(fmt.Sprint(n), func(bm *testing.B) {
			b, v := busyBoard(n)
			doRequest(b, v, start, 0)
			bm.ReportAllocs()
			for i := range uint64(bm.N) {
				list := slices.Clone(v.Services["s"])
				list[int(i)%n] = &roster.Target{Instance: chestnutstep.Instance{ID: fmt.Sprint("j", i), Service: "s", Domain: "d", Slots: 4}}
				v = &roster.View{Services: map[string][]*roster.Target{"s": list}, ByID: v.ByID}
				v.ByID[list[int(i)%n].ID] = list[int(i)%n]
				doRequest(b, v, start.Add(time.Duration(i)*time.Millisecond), i)
			}
		})
	}
}

// TestEmptyCachesAreListed guards against entries that request the contents of a cache
// repeatedly although it is known to be empty.
func TestEmptyCachesAreListed(t *testing.T) {
	entries, v := newFleet(2), newView(1, 1)
	a, b := entries[0], entries[1]
	a.RecordCache(start, &v.ByID["t0"].Instance, nil)
	b.MergeCacheLists(start, a.CacheLists(start))
	assert.Assert(t, b.CacheListed(&v.ByID["t0"].Instance))
}

// TestOverloadedEntrySuspectsNoTarget guards against an overloaded entry whose own timeouts
// make it verify every host, time out again, and send all requests to the few hosts that it
// does not suspect.
func TestOverloadedEntrySuspectsNoTarget(t *testing.T) {
	overloaded := true
	b, v := &board.Board{Self: addr(0), Overloaded: func() bool { return overloaded }}, newView(3, 3)
	fail := func() { b.Start(start, v.ByID["t0"], engine, nil, 0, board.Caller{}).End(start, board.Unreachable) }
	choose := func() board.Choice {
		return b.Choose(start, v, engine, board.Criteria{VerifyHost: true}, place.Request{Key: 1})
	}
	fail()
	b.Start(start, v.ByID["t1"], engine, nil, 0, board.Caller{}).FirstByte(start)
	assert.Assert(t, !b.RecordUnresponsive(start, v.ByID["t2"]))
	assert.Equal(t, len(b.Suspicions()), 0)
	overloaded = false
	assert.Assert(t, !choose().NewConnection)
	fail()
	assert.Equal(t, len(b.Suspicions()), 1)
	overloaded = true
	assert.Assert(t, !choose().NewConnection)
}
