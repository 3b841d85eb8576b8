package board_test

import (
	"fmt"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

// dialTime is how long a request waits for a connection that cannot be opened.
const dialTime = 400 * time.Millisecond

// newDomainView returns a view of n failure domains with the same number of targets each.
func newDomainView(n, each int) *roster.View {
	v := newView(n*each, n*each)
	for i, t := range v.Services["s"] {
		t.Domain = fmt.Sprint("d", i%n)
	}
	return v
}

// TestUnreachableDomainGetsFewRequests guards against detecting a lost failure domain target by
// target. One of three domains with ten targets each is cut off for six seconds; without
// detection each of its targets costs a caller 400 ms after every backoff.
func TestUnreachableDomainGetsFewRequests(t *testing.T) {
	const (
		cutAt = 2 * time.Second
		// detectionTime is when the first attempts have failed.
		detectionTime = dialTime + 100*time.Millisecond
		backAt        = 8 * time.Second
		end           = 12 * time.Second
	)
	b, v := &board.Board{Self: addr(0)}, newDomainView(3, 10)
	var open []call
	r := rand.New(rand.NewPCG(3, 4))
	late, served := 0, 0
	for now := start; now < start.Add(end); now = now.Add(10 * time.Millisecond) {
		kept := open[:0]
		for _, c := range open {
			switch {
			case c.unanswered && now.Sub(c.startedAt) >= dialTime:
				c.run.End(now, board.Unreachable)
			case !c.unanswered && now.Sub(c.startedAt) >= 30*time.Millisecond:
				c.run.End(now, board.Served)
			default:
				kept = append(kept, c)
			}
		}
		open = kept
		list := b.Candidates(now, v, engine, board.Criteria{})
		x := v.ByID[list[r.IntN(len(list))].ID]
		isCut := now >= start.Add(cutAt) && now < start.Add(backAt)
		unanswered := isCut && x.Domain == "d0"
		if now >= start.Add(backAt+time.Second+board.MaxDownTime) && x.Domain == "d0" {
			served++
		}
		if unanswered && now > start.Add(cutAt+detectionTime) {
			late++
		}
		open = append(open, call{b.Start(now, x, engine, nil, 0, board.Caller{}), now, unanswered})
	}
	assert.Assert(t, late <= 8, "%d requests to an unreachable domain after it was detected", late)
	assert.Assert(t, served > 10, "%d requests to the domain after it returned", served)
}

// TestTwoDeadTargetsAreNoUnreachableDomain guards against marking a large domain unreachable
// because two of its targets fail in the same second while the others answer.
func TestTwoDeadTargetsAreNoUnreachableDomain(t *testing.T) {
	b, v := &board.Board{Self: addr(0)}, newDomainView(2, 10)
	list := v.Services["s"]
	now := start
	for i := 0; i < len(list); i += 2 {
		o := board.Served
		if i < 4 {
			o = board.Unreachable
		}
		run := b.Start(now, list[i], engine, nil, 0, board.Caller{})
		now = now.Add(20 * time.Millisecond)
		run.End(now, o)
	}
	available := 0
	for _, c := range b.Candidates(now, v, engine, board.Criteria{}) {
		if v.ByID[c.ID].Domain == "d0" {
			available++
		}
	}
	assert.Equal(t, available, 8)
}

// sparseTraffic is a fleet whose entries send one request a second each, so that each entry
// reaches one target of a lost failure domain every few seconds.
type sparseTraffic struct {
	boards []*board.Board
	view   *roster.View
	// isDead reports whether a target does not answer at a given time.
	isDead func(t *roster.Target, now clock.Stamp) bool
	// sent counts the requests to each failure domain by second, unanswered those without an
	// answer.
	sent, unanswered map[string][]int

	r    *rand.Rand
	open []call
}

// call is a request in progress.
type call struct {
	run        *board.Attempt
	startedAt  clock.Stamp
	unanswered bool
}

const (
	fewEntries = 60
	fewDomains = 3
	fewSeconds = 14
	// callTime is how long an answer takes.
	callTime = 30 * time.Millisecond
)

func newSparseTraffic(isDead func(*roster.Target, clock.Stamp) bool) *sparseTraffic {
	f := &sparseTraffic{
		view: newDomainView(fewDomains, 40), isDead: isDead, r: rand.New(rand.NewPCG(5, 6)),
		sent: make(map[string][]int), unanswered: make(map[string][]int),
	}
	for i := range fewEntries {
		f.boards = append(f.boards, &board.Board{Self: addr(i), Domain: fmt.Sprint("d", i%fewDomains)})
	}
	for d := range fewDomains {
		f.sent[fmt.Sprint("d", d)] = make([]int, fewSeconds)
		f.unanswered[fmt.Sprint("d", d)] = make([]int, fewSeconds)
	}
	return f
}

// run simulates fewSeconds seconds of requests, answers and reports; each report goes to one
// random peer.
func (f *sparseTraffic) run() {
	const tick = 10 * time.Millisecond
	for now := start; now < start.Add(fewSeconds*time.Second); now = now.Add(tick) {
		f.end(now)
		for _, b := range f.boards {
			if f.r.IntN(int(time.Second/tick)) == 0 {
				f.send(b, now)
			}
			if f.r.IntN(5) == 0 {
				to := f.boards[f.r.IntN(fewEntries)]
				to.MergeReport(now, &share.Report{From: b.Self, Domain: board.DomainKey(b.Domain), Domains: b.DomainReports(now)})
			}
		}
	}
}

func (f *sparseTraffic) send(b *board.Board, now clock.Stamp) {
	list := b.Candidates(now, f.view, engine, board.Criteria{})
	x := f.view.ByID[list[f.r.IntN(len(list))].ID]
	second := int(now.Sub(start) / time.Second)
	unanswered := f.isDead(x, now)
	f.sent[x.Domain][second]++
	if unanswered {
		f.unanswered[x.Domain][second]++
	}
	f.open = append(f.open, call{b.Start(now, x, engine, nil, 0, board.Caller{}), now, unanswered})
}

func (f *sparseTraffic) end(now clock.Stamp) {
	kept := f.open[:0]
	for _, c := range f.open {
		switch age := now.Sub(c.startedAt); {
		case c.unanswered && age >= dialTime:
			c.run.End(now, board.Unreachable)
		case !c.unanswered && age >= callTime:
			c.run.End(now, board.Served)
		default:
			kept = append(kept, c)
		}
	}
	f.open = kept
}

// TestUnreachableDomainIsDetectedByPeers guards against a large fleet that detects a lost
// failure domain only when the list of targets drops it, because each entry sends too little
// there to detect it alone.
func TestUnreachableDomainIsDetectedByPeers(t *testing.T) {
	const from, to = 4, 9
	f := newSparseTraffic(func(x *roster.Target, now clock.Stamp) bool {
		s := now.Sub(start)
		return x.Domain == "d0" && s >= from*time.Second && s < to*time.Second
	})
	f.run()
	t.Log("requests to the lost domain, by second:", f.sent["d0"])
	late := 0
	for s := from + 2; s < to; s++ {
		late += f.unanswered["d0"][s]
	}
	assert.Assert(t, late <= fewEntries/4, "%d requests to the lost domain two seconds after the loss or later", late)
	assert.Assert(t, f.sent["d0"][fewSeconds-1] >= f.sent["d0"][from-1]/2, "too few requests after the domain returned: %v", f.sent["d0"])
}

// TestDeadTargetsAreNoUnreachableDomain guards against entries that avoid a healthy failure
// domain because a few of its targets are dead.
func TestDeadTargetsAreNoUnreachableDomain(t *testing.T) {
	f := newSparseTraffic(func(x *roster.Target, now clock.Stamp) bool {
		return x.Domain == "d0" && now >= start.Add(4*time.Second) && board.DomainKey(x.ID)%4 == 0
	})
	f.run()
	t.Log("requests to the domain with dead targets, by second:", f.sent["d0"])
	before, after := 0, 0
	for s := range 4 {
		before += f.sent["d0"][s]
		after += f.sent["d0"][s+6]
	}
	assert.Assert(t, 10*after >= 8*before, "%d requests in four seconds before, %d with a quarter of the targets dead", before, after)
}
