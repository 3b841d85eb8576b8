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

// view has targets t0, t1, ...; those beyond warm stay cold for a minute.
func view(n, warm int) *roster.View {
	v := &roster.View{Services: make(map[string][]*roster.Target), ByID: make(map[string]*roster.Target)}
	for i := range n {
		t := &roster.Target{Instance: chestnutstep.Instance{ID: fmt.Sprintf("t%d", i), Service: "s", Domain: "d", Slots: 4}}
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

// fleet is entries that hear each other.
func fleet(n int) []*board.Board {
	list := make([]*board.Board, n)
	for i := range list {
		list[i] = &board.Board{Self: addr(i)}
	}
	talk(list, start)
	return list
}

// talk lets each entry tell all others.
func talk(list []*board.Board, now clock.Stamp) {
	for i, from := range list {
		r := &share.Report{From: addr(i), Loads: from.Loads(), CachedParts: from.Holds(), Replaced: from.Gone()}
		for j, to := range list {
			if i != j {
				to.MergeReport(now, r)
			}
		}
	}
}

// ids lists candidates.
func ids(list []place.Candidate) string {
	out := ""
	for _, c := range list {
		out += c.ID + " "
	}
	return out
}

// A target restarts while all entries have much to send. Each allows what the target
// carries, and all together many times that: it falls over, again and again, and
// callers see its answers break off. The bound is over all entries: 14 a second,
// half as much again, and 5.
func TestColdTargetOverAllEntries(t *testing.T) {
	for _, n := range []int{1, 5, 24, 350} {
		t.Run(fmt.Sprint(n), func(t *testing.T) {
			entries, v := fleet(n), view(1, 0)
			var sent []clock.Stamp
			for now := start; now < start.Add(3*time.Second); now = now.Add(25 * time.Millisecond) {
				if now.Sub(start)%(500*time.Millisecond) == 0 {
					talk(entries, now)
				}
				for _, b := range entries {
					if len(b.Candidates(now, v, engine, board.Need{})) > 0 {
						b.Start(now, v.ByID["t0"], engine, nil, 0, board.Who{}).End(now, board.Served)
						sent = append(sent, now)
					}
				}
			}
			most := busiestSecond(sent)
			assert.Assert(t, most <= 26, "%d in a second", most)
			assert.Assert(t, len(sent) > 5, "only %d in three seconds: a cold target is never warmed", len(sent))
		})
	}
}

// manyEntries is the planned size, and manyGap how often an entry hears from each of
// that many others within the bytes that it may spend.
const (
	manyEntries = 350
	manyGap     = 12 * time.Second
	manyRounds  = int(manyGap / (500 * time.Millisecond))
)

// mumble lets each entry tell a few others, as many entries do: each pair talks once
// in manyGap.
func mumble(list []*board.Board, now clock.Stamp, round int) {
	for i, from := range list {
		r := &share.Report{From: addr(i), Loads: from.Loads()}
		for j := (i*7 + round) % manyRounds; j < len(list); j += manyRounds {
			if i != j {
				list[j].MergeReport(now, r)
			}
		}
	}
}

// A fleet of the planned size, in which entries hear from each other rarely. One that
// takes the few it heard of late for all would use a part of the budget of cold
// targets, and of repeats, that is eight times too large; each target that restarts
// falls over at once.
func TestManyEntriesKeepColdBounds(t *testing.T) {
	entries, v := make([]*board.Board, manyEntries), view(1, 0)
	for i := range entries {
		entries[i] = &board.Board{Self: addr(i)}
	}
	round := 0
	for now := start.Add(-2 * manyGap); now < start; now = now.Add(500 * time.Millisecond) {
		mumble(entries, now, round)
		round++
	}
	var sent []clock.Stamp
	for now := start; now < start.Add(3*time.Second); now = now.Add(25 * time.Millisecond) {
		if now.Sub(start)%(500*time.Millisecond) == 0 {
			mumble(entries, now, round)
			round++
		}
		for _, b := range entries {
			if len(b.Candidates(now, v, engine, board.Need{})) > 0 {
				b.Start(now, v.ByID["t0"], engine, nil, 0, board.Who{}).End(now, board.Served)
				sent = append(sent, now)
			}
		}
	}
	assert.Equal(t, entries[0].Entries(), manyEntries)
	assert.Assert(t, busiestSecond(sent) <= 26, "%d in a second", busiestSecond(sent))
	assert.Assert(t, len(sent) > 5, "only %d in three seconds: a cold target is never warmed", len(sent))
}

// busiestSecond is the most of what was sent within a second.
func busiestSecond(sent []clock.Stamp) int {
	most := 0
	for i := range sent {
		k := i
		for k < len(sent) && sent[k].Sub(sent[i]) < time.Second {
			k++
		}
		most = max(most, k-i)
	}
	return most
}

// An entry that hears nobody does not know how many others send.
func TestColdTargetAlone(t *testing.T) {
	b, v := &board.Board{Self: addr(1)}, view(1, 0)
	sent := 0
	for now := start; now < start.Add(time.Second); now = now.Add(5 * time.Millisecond) {
		if len(b.Candidates(now, v, engine, board.Need{})) > 0 {
			b.Start(now, v.ByID["t0"], engine, nil, 0, board.Who{}).End(now, board.Served)
			sent++
		}
	}
	assert.Assert(t, sent >= 1 && sent <= 4, "%d", sent)
}

// What one entry sends, the others see within a round of datagrams, and forget when
// it falls silent: otherwise all send to the target that looks idle, or none to one
// that a dead entry kept busy.
func TestLoadsOfPeers(t *testing.T) {
	entries, v := fleet(3), view(2, 2)
	var runs []*board.Run
	for range 5 {
		runs = append(runs, entries[0].Start(start, v.ByID["t0"], engine, nil, 0, board.Who{}))
	}
	talk(entries, start)
	running := func(b *board.Board, now clock.Stamp) float64 {
		return b.Candidates(now, v, engine, board.Need{})[0].Running
	}
	assert.Equal(t, running(entries[1], start), 5.0)
	for _, r := range runs[:2] {
		r.End(start, board.Served)
	}
	talk(entries, start.Add(100*time.Millisecond))
	assert.Equal(t, running(entries[1], start.Add(100*time.Millisecond)), 3.0)
	assert.Equal(t, running(entries[1], start.Add(3*time.Second)), 0.0)
	assert.Assert(t, entries[1].Entries() >= 3, "budgets are still divided: those who fell silent may send")
}

func parts(ids ...uint64) []chestnutstep.PromptPart {
	var list []chestnutstep.PromptPart
	for _, id := range ids {
		list = append(list, chestnutstep.PromptPart{ID: id, Tokens: 1000})
	}
	return list
}

// A prefix is fetched only from a target that has read it. One that is still reading
// has nothing to give: whoever fetches there reads it a second time. A target that
// restarted has nothing either.
func TestHolds(t *testing.T) {
	entries, v := fleet(2), view(2, 2)
	a, b := entries[0], entries[1]
	ask := parts(1, 2, 99)
	run := a.Start(start, v.ByID["t0"], engine, ask, 0, board.Who{})
	talk(entries, start)
	held := func(x *board.Board) int {
		return x.Candidates(start, v, engine, board.Need{Parts: ask})[0].Held
	}
	assert.Equal(t, held(b), 2000, "the request's own part is nobody else's")
	assert.Equal(t, b.Donor(start, v, engine, ask).Held, 0)
	run.First(start)
	talk(entries, start)
	assert.Equal(t, b.Donor(start, v, engine, ask).ID, "t0")
	run.End(start, board.Served)

	v = view(2, 2)
	v.ByID["t0"].StartedMs = 7
	assert.Equal(t, held(b), 0)
	assert.Equal(t, b.Donor(start, v, engine, ask).Held, 0)

	lost := a.Start(start, v.ByID["t1"], engine, parts(5, 6), 0, board.Who{})
	lost.End(start, board.Canceled)
	assert.Equal(t, a.Candidates(start, v, engine, board.Need{Parts: parts(5, 6)})[1].Held, 0, "it was never read")
}

// All entries have lost their memory, and targets say what they hold. Most of it
// belongs to single requests: peers are told only of what is asked for again.
func TestListedHoldsAreToldWhenAsked(t *testing.T) {
	b, v := &board.Board{Self: addr(1)}, view(1, 1)
	b.Hold(start, &v.ByID["t0"].Instance, parts(1, 2, 3))
	assert.Equal(t, len(b.Holds()), 0)
	assert.Equal(t, b.Donor(start, v, engine, parts(1, 2)).Held, 2000)
	b.Start(start, v.ByID["t0"], engine, parts(1, 9), 0, board.Who{})
	told := b.Holds()
	assert.Assert(t, len(told) > 0)
	for _, h := range told {
		assert.Equal(t, h.Part, uint32(1))
	}
}

// A target can't be reached: it rests, longer after each failure, and is tried when
// nothing else is left. One whose address another instance answers is told to all.
func TestHealth(t *testing.T) {
	entries, v := fleet(2), view(2, 2)
	a, b := entries[0], entries[1]
	a.Start(start, v.ByID["t0"], engine, nil, 0, board.Who{}).End(start, board.Unreached)
	assert.Equal(t, ids(a.Candidates(start, v, engine, board.Need{})), "t1 ")
	assert.Equal(t, ids(a.Candidates(start, v, engine, board.Need{Suspects: true})), "t0 t1 ")
	assert.Equal(t, ids(a.Candidates(start.Add(time.Second), v, engine, board.Need{})), "t0 t1 ")

	b.Candidates(start, v, engine, board.Need{})
	a.Start(start, v.ByID["t1"], engine, nil, 0, board.Who{}).End(start, board.Replaced)
	talk(entries, start)
	assert.Equal(t, ids(b.Candidates(start.Add(time.Second), v, engine, board.Need{})), "t0 ")
}

// A target fails part of its requests while its health check is good. Callers see
// errors for as long as it gets its share.
func TestFailingTarget(t *testing.T) {
	b, v := &board.Board{Self: addr(1)}, view(2, 2)
	for range 12 {
		b.Start(start, v.ByID["t0"], engine, nil, 0, board.Who{}).End(start, board.Failed)
		b.Start(start, v.ByID["t1"], engine, nil, 0, board.Who{}).End(start, board.Served)
	}
	list := b.Candidates(start, v, engine, board.Need{})
	assert.Assert(t, list[0].Failing > 0.5)
	assert.Equal(t, list[1].Failing, 0.0)
	choice, ok := place.Pick(list, place.Donor{}, place.Ask{Key: 1})
	assert.Assert(t, ok)
	assert.Equal(t, list[choice.Index].ID, "t1")
	// It is tried again after a while.
	b.Start(start, v.ByID["t0"], engine, nil, 0, board.Who{}).End(start.Add(20*time.Second), board.Canceled)
	assert.Equal(t, b.Candidates(start.Add(20*time.Second), v, engine, board.Need{})[0].Failing, 0.0)
}

// A fleet is made smaller. For minutes the entries that fell silent may still send;
// after that the rest share the whole budget.
func TestSmallerFleet(t *testing.T) {
	entries, v := fleet(24), view(1, 1)
	b := entries[0]
	assert.Equal(t, b.Entries(), 24)
	b.Candidates(start.Add(time.Minute), v, engine, board.Need{})
	assert.Equal(t, b.Entries(), 24)
	b.Candidates(start.Add(10*time.Minute), v, engine, board.Need{})
	assert.Assert(t, b.Entries() < 24)
}

// An installation allows little beyond a cold target's rate: fewer entries send there.
func TestColdBoundsOfOperators(t *testing.T) {
	entries, v := fleet(24), view(1, 0)
	slow := *engine
	slow.ColdRate = 4
	sent := 0
	for _, b := range entries {
		b.Cold = func() (float64, float64) { return 1.2, 2 }
		if len(b.Candidates(start, v, &slow, board.Need{})) > 0 {
			sent++
		}
	}
	assert.Assert(t, sent >= 1 && sent <= 3, "%d at one moment", sent)
}
