package claim

import (
	"fmt"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/crash"
)

const start = clock.Stamp(time.Hour)

// TestClaimIsUsedOnceWhenDue guards against early, repeated and late returns that go before new requests, and
// against an early one that loses its claim.
func TestClaimIsUsedOnceWhenDue(t *testing.T) {
	var l Ledger
	assert.Assert(t, l.Add(start, 1, 100*time.Millisecond, true))
	assert.Assert(t, !l.Add(start, 1, time.Millisecond, true), "a repeat changed the due time")
	early := l.Take(start.Add(50*time.Millisecond), 1, LookupID{"a", 1})
	assert.Equal(t, early, Answer{Early, 50 * time.Millisecond})
	due := start.Add(100 * time.Millisecond)
	assert.Equal(t, l.Take(due, 1, LookupID{"a", 2}).State, Valid)
	assert.Equal(t, l.Take(due, 1, LookupID{"a", 2}).State, Valid, "a repeated datagram")
	assert.Equal(t, l.Take(due, 1, LookupID{"b", 2}).State, Used)
	l.Add(start, 2, 100*time.Millisecond, true)
	assert.Equal(t, l.Take(due.Add(dueGrace+1), 2, LookupID{"a", 3}).State, Unknown)
	l.sweep(due.Add(time.Second))
	assert.Equal(t, l.Expired(), int64(1))
}

// TestCopiedContentHasNoClaim guards against a workspace that uses the claim of another one by sending the
// same content.
func TestCopiedContentHasNoClaim(t *testing.T) {
	var l Ledger
	l.Add(start, crash.Fingerprint("a", "POST /x", []byte("body")), 0, true)
	assert.Equal(t, l.Take(start, crash.Fingerprint("b", "POST /x", []byte("body")), LookupID{"a", 1}).State, Unknown)
}

// TestFullLedgerKeepsItsClaims guards against claims that take more and more memory, and against callers that
// lose theirs to later ones.
func TestFullLedgerKeepsItsClaims(t *testing.T) {
	var l Ledger
	for i := range 2 * maxHeld {
		assert.Equal(t, l.Add(start, uint64(i+1), time.Second, true), i < maxHeld)
	}
	assert.Equal(t, l.Take(start.Add(time.Second), 1, LookupID{"a", 1}).State, Valid)
	later := start.Add(2 * time.Second)
	assert.Assert(t, l.Add(later, 1, time.Second, true), "expired claims take no room")
}

// TestPlanCanBeKept guards against due times that callers don't wait for, that are too late to be served in
// time, or that come all at once.
func TestPlanCanBeKept(t *testing.T) {
	var p Planner
	dues := make(map[time.Duration]int)
	granted := 0
	for i := range 5000 {
		now := start.Add(time.Duration(i) * time.Millisecond)
		s := shortage(fmt.Sprint("w", i%24))
		s.ID = fmt.Sprint(i)
		plan := p.Plan(now, s)
		if !plan.Granted {
			assert.Assert(t, plan.Wait >= s.Remaining, "a refusal without a claim promises %s", plan.Wait)
			continue
		}
		granted++
		assert.Assert(t, plan.Wait >= MinWait && plan.Wait <= s.Objective-startFactor*s.Hold, "due after %s", plan.Wait)
		dues[now.Add(plan.Wait).Sub(start)/(100*time.Millisecond)]++
	}
	s := shortage("w")
	horizon := creditTime + s.latestDue() // claims can be granted that long before they are due
	assert.Assert(t, float64(granted) <= grantRatio*20*(5+horizon.Seconds())+1, "%d claims", granted)
	assert.Assert(t, granted >= 40, "%d claims", granted)
	for at, n := range dues {
		assert.Assert(t, n <= 7, "%d claims due within 100 ms at %s", n, at*100*time.Millisecond)
	}
}

// TestPlanInMoments guards against callers that are told that no place is likely, and return too late to be in
// time, although places are free every few hundred milliseconds; and against claims that take most places then.
func TestPlanInMoments(t *testing.T) {
	for free, wanted := range map[float64]bool{0: false, likelyRatio / 2: false, likelyRatio: true, 1: true} {
		var p Planner
		granted := 0
		for i := range 5000 {
			s := shortage(fmt.Sprint("w", i%24))
			s.ID, s.Free = fmt.Sprint(i), free
			plan := p.Plan(start.Add(time.Duration(i)*time.Millisecond), s)
			granted += toInt(plan.Granted)
			switch {
			case plan.Granted:
				assert.Assert(t, plan.Wait <= s.Objective-startFactor*s.Hold, "due after %s", plan.Wait)
			case wanted:
				assert.Equal(t, plan.Wait, time.Duration(0), "free %.2f: not the usual time", free)
			default:
				assert.Assert(t, plan.Wait >= s.Remaining, "free %.2f: a refusal without a claim promises %s", free, plan.Wait)
			}
		}
		if wanted {
			assert.Assert(t, float64(granted) <= momentGrantRatio*20*6+1, "%d claims", granted)
		}
	}
}

// TestLateRequestsYieldWithoutClaims guards against late requests that take the places of those in time while
// no claims are granted, and against refusals of late ones once the shortage is over.
func TestLateRequestsYieldWithoutClaims(t *testing.T) {
	var p Planner
	s := shortage("w")
	s.WithinShare = false
	assert.Assert(t, !p.Plan(start, s).Granted)
	late := Asker{Workspace: "w", Late: true}
	assert.Equal(t, p.Reserve(start, late, 50, 21), lateReserve)
	assert.Equal(t, p.Reserve(start, Asker{Workspace: "w"}, 50, 21), 0.0)
	assert.Equal(t, p.Reserve(start.Add(5*time.Second), late, 50, 21), 0.0)
}

// TestNoClaim guards against claims for those over their share, who would be late, or at an entry that does not
// know how fast places become free.
func TestNoClaim(t *testing.T) {
	for name, change := range map[string]func(s *Shortage){
		"share":    func(s *Shortage) { s.WithinShare = false },
		"returned": func(s *Shortage) { s.Elapsed = 250 * time.Millisecond },
		"deadline": func(s *Shortage) { s.Remaining = 50 * time.Millisecond },
		"fresh":    func(s *Shortage) { s.Released = 0 },
	} {
		var p Planner
		s := shortage("w")
		change(&s)
		assert.Assert(t, !p.Plan(start, s).Granted, name)
		assert.Equal(t, p.Reserve(start, Asker{}, 50, 21), 0.0, "reserved without a claim")
	}
}

// TestHotWorkspaceGetsItsPartOfClaims guards against a workspace whose refusals take nearly all claims, and that
// competes with returning callers for places.
func TestHotWorkspaceGetsItsPartOfClaims(t *testing.T) {
	var p Planner
	hot, all := 0, 0
	now := start
	for i := range 20000 {
		now = start.Add(time.Duration(i) * time.Millisecond)
		name := "hot"
		if i%4 == 0 {
			name = fmt.Sprint("w", i/4%23)
		}
		s := shortage(name)
		s.ID = fmt.Sprint(i)
		if p.Plan(now, s).Granted {
			all++
			hot += toInt(name == "hot")
		}
	}
	assert.Assert(t, float64(hot) < 0.15*float64(all), "%d of %d", hot, all)
	assert.Assert(t, p.Reserve(now, Asker{Workspace: "hot"}, 50, 21) > p.Reserve(now, Asker{Workspace: "w1"}, 50, 21))
	assert.Equal(t, p.Reserve(now.Add(2*time.Second), Asker{Workspace: "hot"}, 50, 21), 0.0, "reserved without recent claims")
}

// TestElapsed guards against a caller that returns and is taken for a new one.
func TestElapsed(t *testing.T) {
	var l Limits
	assert.Equal(t, l.Elapsed(start, "w r", time.Second), time.Duration(0))
	assert.Equal(t, l.Elapsed(start, "w r", 800*time.Millisecond), 200*time.Millisecond)
	later := start.Add(3 * limitTTL)
	l.Elapsed(later, "w r", 500*time.Millisecond)
	later = later.Add(limitTTL + 1)
	assert.Equal(t, l.Elapsed(later, "w r", 400*time.Millisecond), 100*time.Millisecond)
}
