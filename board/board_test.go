package board_test

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const start = clock.Stamp(time.Hour)

var engine = &chestnutstep.Service{Name: "s", IsEngine: true, ColdRate: 14, ColdStart: 3 * time.Second}

// newView returns a view of the targets t0, t1, ...; those from index warm on are cold for a
// minute.
func newView(n, warm int) *roster.View {
	v := &roster.View{Services: make(map[string][]*roster.Target), ByID: make(map[string]*roster.Target)}
	for i := range n {
		t := &roster.Target{Instance: chestnutstep.Instance{ID: fmt.Sprintf("t%d", i), Service: "s", Domain: "d", Slots: 4, Build: fmt.Sprint(i % 2)}}
		if i >= warm {
			t.ColdUntil = start.Add(time.Minute)
		}
		v.Services["s"] = append(v.Services["s"], t)
		v.ByID[t.ID] = t
	}
	return v
}

func addr(i int) netip.AddrPort {
	return netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000)
}

// newFleet returns n entries that have exchanged one report with each other.
func newFleet(n int) []*board.Board {
	list := make([]*board.Board, n)
	for i := range list {
		list[i] = &board.Board{Self: addr(i)}
	}
	exchangeReports(list, start)
	return list
}

// exchangeReports merges a report of each entry into all others.
func exchangeReports(list []*board.Board, now clock.Stamp) {
	for i, from := range list {
		r := &share.Report{From: addr(i), Loads: from.Loads(), CachedParts: from.CacheChanges(), Replaced: from.ReplacedTargets()}
		for j, to := range list {
			if i != j {
				to.MergeReport(now, r)
			}
		}
	}
}

// ids joins the IDs of candidates.
func ids(list []place.Candidate) string {
	out := ""
	for _, c := range list {
		out += c.ID + " "
	}
	return out
}

// TestColdTargetOverAllEntries guards against a restarted target that is overloaded because
// each entry sends what one target can carry, and all entries together many times that. The
// bound covers all entries: 14 requests a second, times 1.5, plus 5.
func TestColdTargetOverAllEntries(t *testing.T) {
	for _, n := range []int{1, 5, 24, 350} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			entries, v := newFleet(n), newView(1, 0)
			var sent []clock.Stamp
			for now := start; now < start.Add(3*time.Second); now = now.Add(25 * time.Millisecond) {
				if now.Sub(start)%(500*time.Millisecond) == 0 {
					exchangeReports(entries, now)
				}
				for _, b := range entries {
					if len(b.Candidates(now, v, engine, board.Criteria{})) > 0 {
						b.Start(now, v.ByID["t0"], engine, nil, 0, board.Caller{}).End(now, board.Served)
						sent = append(sent, now)
					}
				}
			}
			maxPerSecond := busiestSecond(sent)
			assert.Assert(t, maxPerSecond <= 26, "%d in a second", maxPerSecond)
			assert.Assert(t, len(sent) > 5, "only %d in three seconds: a cold target is never warmed", len(sent))
		})
	}
}

// manyEntries is the planned fleet size, and manyReportGap the time between two reports of the
// same peer at that size, as limited by the byte budget.
const (
	manyEntries   = 350
	manyReportGap = 12 * time.Second
	manyRounds    = int(manyReportGap / (500 * time.Millisecond))
)

// exchangeSomeReports merges a report of each entry into a few others, as in a large fleet:
// each pair exchanges reports once per manyReportGap.
func exchangeSomeReports(list []*board.Board, now clock.Stamp, round int) {
	for i, from := range list {
		r := &share.Report{From: addr(i), Loads: from.Loads()}
		for j := (i*7 + round) % manyRounds; j < len(list); j += manyRounds {
			if i != j {
				list[j].MergeReport(now, r)
			}
		}
	}
}

// TestManyEntriesKeepColdBounds guards against an entry of a large fleet that counts only the
// peers that reported recently. Its part of the cold budget and of the retry budget would be
// eight times too large, and each restarted target would be overloaded at once.
func TestManyEntriesKeepColdBounds(t *testing.T) {
	entries, v := make([]*board.Board, manyEntries), newView(1, 0)
	for i := range entries {
		entries[i] = &board.Board{Self: addr(i)}
	}
	round := 0
	for now := start.Add(-2 * manyReportGap); now < start; now = now.Add(500 * time.Millisecond) {
		exchangeSomeReports(entries, now, round)
		round++
	}
	var sent []clock.Stamp
	for now := start; now < start.Add(3*time.Second); now = now.Add(25 * time.Millisecond) {
		if now.Sub(start)%(500*time.Millisecond) == 0 {
			exchangeSomeReports(entries, now, round)
			round++
		}
		for _, b := range entries {
			if len(b.Candidates(now, v, engine, board.Criteria{})) > 0 {
				b.Start(now, v.ByID["t0"], engine, nil, 0, board.Caller{}).End(now, board.Served)
				sent = append(sent, now)
			}
		}
	}
	assert.Equal(t, entries[0].EntryCount(), manyEntries)
	assert.Assert(t, busiestSecond(sent) <= 26, "%d in a second", busiestSecond(sent))
	assert.Assert(t, len(sent) > 5, "only %d in three seconds: a cold target is never warmed", len(sent))
}

// busiestSecond returns the largest number of requests sent within one second.
func busiestSecond(sent []clock.Stamp) int {
	maxCount := 0
	for i := range sent {
		k := i
		for k < len(sent) && sent[k].Sub(sent[i]) < time.Second {
			k++
		}
		maxCount = max(maxCount, k-i)
	}
	return maxCount
}

// TestColdTargetOfIsolatedEntry guards against an entry without peer reports that uses the
// whole cold budget although other entries can be sending.
func TestColdTargetOfIsolatedEntry(t *testing.T) {
	b, v := &board.Board{Self: addr(1)}, newView(1, 0)
	sent := 0
	for now := start; now < start.Add(time.Second); now = now.Add(5 * time.Millisecond) {
		if len(b.Candidates(now, v, engine, board.Criteria{})) > 0 {
			b.Start(now, v.ByID["t0"], engine, nil, 0, board.Caller{}).End(now, board.Served)
			sent++
		}
	}
	assert.Assert(t, sent >= 1 && sent <= 4, "%d", sent)
}

// TestLoadsOfPeers guards against loads of peers that are missed or kept too long: without them
// all entries send to the target that looks idle; if they do not expire, a dead entry keeps a
// target looking busy.
func TestLoadsOfPeers(t *testing.T) {
	entries, v := newFleet(3), newView(2, 2)
	var runs []*board.Attempt
	for range 5 {
		runs = append(runs, entries[0].Start(start, v.ByID["t0"], engine, nil, 0, board.Caller{}))
	}
	exchangeReports(entries, start)
	running := func(b *board.Board, now clock.Stamp) float64 {
		return b.Candidates(now, v, engine, board.Criteria{})[0].Running
	}
	assert.Equal(t, running(entries[1], start), 5.0)
	for _, r := range runs[:2] {
		r.End(start, board.Served)
	}
	exchangeReports(entries, start.Add(100*time.Millisecond))
	assert.Equal(t, running(entries[1], start.Add(100*time.Millisecond)), 3.0)
	assert.Equal(t, running(entries[1], start.Add(3*time.Second)), 0.0)
	assert.Assert(t, entries[1].EntryCount() >= 3, "entries that stopped reporting can still send and count in budgets")
}

func parts(ids ...uint64) []chestnutstep.PromptPart {
	var list []chestnutstep.PromptPart
	for _, id := range ids {
		list = append(list, chestnutstep.PromptPart{ID: id, Tokens: 1000})
	}
	return list
}

// TestCachedParts guards against fetching a prefix from a target that has not finished reading
// it, so that the prefix is read a second time, or from a restarted target, whose cache is
// empty.
func TestCachedParts(t *testing.T) {
	entries, v := newFleet(2), newView(2, 2)
	a, b := entries[0], entries[1]
	requested := parts(1, 2, 99)
	run := a.Start(start, v.ByID["t0"], engine, requested, 0, board.Caller{})
	exchangeReports(entries, start)
	cached := func(x *board.Board) int {
		return x.Candidates(start, v, engine, board.Criteria{Parts: requested})[0].CachedTokens
	}
	assert.Equal(t, cached(b), 2000, "the last part belongs to this request only")
	assert.Equal(t, b.Donor(start, v, engine, requested).CachedTokens, 0)
	run.FirstByte(start)
	exchangeReports(entries, start)
	assert.Equal(t, b.Donor(start, v, engine, requested).ID, "t0")
	run.End(start, board.Served)

	v = newView(2, 2)
	v.ByID["t0"].StartedMs = 7
	assert.Equal(t, cached(b), 0)
	assert.Equal(t, b.Donor(start, v, engine, requested).CachedTokens, 0)

	canceled := a.Start(start, v.ByID["t1"], engine, parts(5, 6), 0, board.Caller{})
	canceled.End(start, board.Canceled)
	assert.Equal(t, a.Candidates(start, v, engine, board.Criteria{Parts: parts(5, 6)})[1].CachedTokens, 0, "the target did not finish reading it")
}

// TestListedPartsAreReportedWhenRequested guards against reports that grow after all entries
// restart and targets list their caches: most listed parts belong to single requests, so peers
// receive only those that another request uses.
func TestListedPartsAreReportedWhenRequested(t *testing.T) {
	b, v := &board.Board{Self: addr(1)}, newView(1, 1)
	b.RecordCache(start, &v.ByID["t0"].Instance, parts(1, 2, 3))
	assert.Equal(t, len(b.CacheChanges()), 0)
	assert.Equal(t, b.Donor(start, v, engine, parts(1, 2)).CachedTokens, 2000)
	b.Start(start, v.ByID["t0"], engine, parts(1, 9), 0, board.Caller{})
	changes := b.CacheChanges()
	assert.Assert(t, len(changes) > 0)
	for _, h := range changes {
		assert.Equal(t, h.Part, uint32(1))
	}
}

// TestHealth guards against targets that get requests while they are unreachable: they are
// skipped with a growing backoff and used only if no other is left. A target whose address
// belongs to another instance is reported to all peers.
func TestHealth(t *testing.T) {
	entries, v := newFleet(2), newView(2, 2)
	a, b := entries[0], entries[1]
	a.Start(start, v.ByID["t0"], engine, nil, 0, board.Caller{}).End(start, board.Unreachable)
	assert.Equal(t, ids(a.Candidates(start, v, engine, board.Criteria{})), "t1 ")
	assert.Equal(t, ids(a.Candidates(start, v, engine, board.Criteria{IncludeDown: true})), "t0 t1 ")
	assert.Equal(t, ids(a.Candidates(start.Add(time.Second), v, engine, board.Criteria{})), "t0 t1 ")

	b.Candidates(start, v, engine, board.Criteria{})
	a.Start(start, v.ByID["t1"], engine, nil, 0, board.Caller{}).End(start, board.Replaced)
	exchangeReports(entries, start)
	assert.Equal(t, ids(b.Candidates(start.Add(time.Second), v, engine, board.Criteria{})), "t0 ")
}

// TestFailingTarget guards against a target that fails part of its requests while its health
// check passes: callers would get errors for as long as it receives its usual share.
func TestFailingTarget(t *testing.T) {
	b, v := &board.Board{Self: addr(1)}, newView(2, 2)
	for range 12 {
		b.Start(start, v.ByID["t0"], engine, nil, 0, board.Caller{}).End(start, board.Failed)
		b.Start(start, v.ByID["t1"], engine, nil, 0, board.Caller{}).End(start, board.Served)
	}
	list := b.Candidates(start, v, engine, board.Criteria{})
	assert.Assert(t, list[0].FailureRatio > 0.5)
	assert.Equal(t, list[1].FailureRatio, 0.0)
	choice, ok := place.Pick(list, place.Donor{}, place.Request{Key: 1})
	assert.Assert(t, ok)
	assert.Equal(t, list[choice.Index].ID, "t1")
	// The failure ratio decays, so that the target is used again.
	b.Start(start, v.ByID["t0"], engine, nil, 0, board.Caller{}).End(start.Add(20*time.Second), board.Canceled)
	assert.Equal(t, b.Candidates(start.Add(20*time.Second), v, engine, board.Criteria{})[0].FailureRatio, 0.0)
}

// TestSmallerFleet guards against a fleet that was made smaller and never gets its whole budget
// back. For a few minutes the missing entries still count, as they can still be sending.
func TestSmallerFleet(t *testing.T) {
	entries, v := newFleet(24), newView(1, 1)
	b := entries[0]
	assert.Equal(t, b.EntryCount(), 24)
	b.Candidates(start.Add(time.Minute), v, engine, board.Criteria{})
	assert.Equal(t, b.EntryCount(), 24)
	b.Candidates(start.Add(10*time.Minute), v, engine, board.Criteria{})
	assert.Assert(t, b.EntryCount() < 24)
}

// TestColdBoundsOfOperators guards against ignoring tight configured bounds for cold targets:
// they must reduce the number of entries that send there.
func TestColdBoundsOfOperators(t *testing.T) {
	entries, v := newFleet(24), newView(1, 0)
	slow := *engine
	slow.ColdRate = 4
	sent := 0
	for _, b := range entries {
		b.ColdBounds = func() (float64, float64) { return 1.2, 2 }
		if len(b.Candidates(start, v, &slow, board.Criteria{})) > 0 {
			sent++
		}
	}
	assert.Assert(t, sent >= 1 && sent <= 3, "%d at one moment", sent)
}
