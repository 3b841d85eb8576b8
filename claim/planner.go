package claim

import (
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// grantRatio is the part of the places that become free that claims may take. The rest remains for
	// new requests.
	grantRatio = 0.5
	// momentGrantRatio is the same while a place is likely without a claim. The queues of targets are
	// longest then, and with 0.5 a tenth of the returns with a claim were late.
	momentGrantRatio = 0.15
	// likelyRatio is the part of the time in which places must be free in a shortage for one to count as
	// likely. In the simulation a lasting shortage is mostly below 0.02, one of moments above 0.03.
	likelyRatio = 0.03
	// refusalTime is the time constant of the number of recent refusals.
	refusalTime = time.Second
	// creditTime is the time for which unused due times remain available: refusals come in bursts.
	creditTime = 500 * time.Millisecond
	// patienceRatio is the part of their remaining time that callers wait as told.
	patienceRatio = 1.0 / 3
	// startFactor is the multiple of the mean time at a place, and startRatio the part of the objective,
	// that a returning caller needs to be served: it comes when all places are taken. With 1 and 0.5,
	// more than a third of the returning callers was late.
	startFactor = 3
	startRatio  = 0.8
	// minReleased is the number of released places per second below which an entry knows too little to
	// promise anything.
	minReleased = 0.5
	// maxRetryAfter limits the Retry-After of refusals without a claim.
	maxRetryAfter = 30 * time.Second
)

// Shortage describes a refusal for lack of capacity, and the places of its service.
type Shortage struct {
	ID string
	// Workspace sent the request; WithinShare reports whether it and its rank are within their shares.
	Workspace   string
	WithinShare bool
	// Remaining is the time until the caller's deadline, Objective that from the caller's first attempt
	// to the first byte; 0 for none.
	Remaining, Objective time.Duration
	// Elapsed is the time for which the caller has been waiting since its first attempt.
	Elapsed time.Duration
	// Hold is how long a request uses a place of the service on average, Released the number of places
	// per second that requests of this entry release: its part of all that become free.
	Hold     time.Duration
	Released float64
	// Free is the part of the recent time in which places were free between refusals.
	Free float64
}

// latestStart returns the wait after which a request can still be admitted and be in time for its
// objective; negative if it is late.
func latestStart(objective, elapsed, hold time.Duration) time.Duration {
	return objective - elapsed - min(startFactor*hold, time.Duration(startRatio*float64(objective)))
}

// MayHaveClaim reports whether a caller can return with a claim that is valid now, given the time since its
// first attempt. It saves most lookups: callers without a claim return later.
func MayHaveClaim(elapsed, objective time.Duration) bool {
	return elapsed >= MinWait && (objective <= 0 || elapsed <= objective)
}

// isLikely reports whether a caller that returns soon is likely to find a place without a claim: the shortage
// is one of moments.
func (s *Shortage) isLikely() bool { return s.Free >= likelyRatio }

// grantRatio returns the part of the places that become free that claims may take.
func (s *Shortage) grantRatio() float64 {
	if s.isLikely() {
		return momentGrantRatio
	}
	return grantRatio
}

// latestDue returns the latest wait after which the caller still returns as told and is served within
// its objective, or before its deadline if it has none. A caller that would be late in any case gets
// no claim: its place serves another one in time.
func (s *Shortage) latestDue() time.Duration {
	limit := min(time.Duration(patienceRatio*float64(s.Remaining)), s.Remaining-s.Hold)
	if s.Objective > 0 {
		limit = min(limit, latestStart(s.Objective, s.Elapsed, s.Hold))
	}
	return limit
}

// Plan is what a refused caller is told.
type Plan struct {
	// Granted reports whether the caller gets a claim that is due after Wait. Without a claim, Wait is
	// the time after which the backlog is cleared, and not less than the remaining time; 0 if a place is likely
	// soon, or nothing is known.
	Granted bool
	Wait    time.Duration
}

// Planner decides which refused requests of one service get a claim at this entry. The zero value is
// ready to use. It is not safe for concurrent use.
type Planner struct {
	// next is the start of the next interval in which a claim can be due.
	next clock.Stamp
	// grants counts the claims of the last moments.
	grants decayingSum
	parts  parts
	// refusals counts the refusals of the last moments, and likely reports whether a place was likely
	// without a claim at the last one.
	refusals decayingSum
	likely   bool
	// backlog is the number of requests that were refused without a claim, less those for which
	// places have become free since.
	backlog   float64
	backlogAt clock.Stamp
}

// Plan decides on the claim of a refused request.
func (p *Planner) Plan(now clock.Stamp, s Shortage) Plan {
	p.parts.refuse(now, s.Workspace)
	p.refusals.add(now, refusalTime)
	p.likely = s.isLikely()
	p.backlog = max(p.backlog-s.Released*now.Sub(p.backlogAt).Seconds(), 0)
	p.backlogAt = now
	if s.Released < minReleased {
		return Plan{}
	}
	if s.WithinShare && p.parts.mayGrant(now, s.Workspace) {
		if wait, ok := p.assign(now, &s); ok {
			p.grants.add(now, grantTime)
			p.parts.grant(now, s.Workspace)
			return Plan{true, wait}
		}
	}
	p.backlog++
	if p.likely {
		return Plan{}
	}
	return Plan{false, max(seconds(p.backlog/s.Released), s.Remaining, MinWait)}
}

// assign returns the wait until the next due time, if the caller can keep it. Due times are one
// interval apart on average, and spread by the request's id.
func (p *Planner) assign(now clock.Stamp, s *Shortage) (time.Duration, bool) {
	interval := seconds(1 / (s.Released * s.grantRatio()))
	p.next = max(p.next, now.Add(-creditTime))
	start := max(p.next.Sub(now), MinWait)
	room := s.latestDue() - start
	if room < 0 {
		return 0, false
	}
	p.next = p.next.Add(interval)
	return start + time.Duration(hashFraction(s.ID)*float64(min(interval, room))), true
}

func seconds(s float64) time.Duration {
	return time.Duration(min(s, maxRetryAfter.Seconds()) * float64(time.Second))
}

// hashFraction returns a number from 0 to 1 that depends on the id alone.
func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
