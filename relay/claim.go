package relay

import (
	"time"

	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/claim"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
)

// minRetryWait is the shortest Retry-After: it has two decimals.
const minRetryWait = 10 * time.Millisecond

// claimState is what is known of a request's claim. It only matters before the first send.
type claimState struct {
	// prepared is set once elapsed, the time since the caller's first attempt, is known.
	prepared bool
	elapsed  time.Duration
	// searched is set once the claim was looked up; answer is the result.
	searched bool
	answer   claim.Answer
	// granted is set if the refusal comes with a claim.
	granted bool
}

// prepareClaim sets the criteria that depend on whether the caller was here before.
func (q *request) prepareClaim(now clock.Stamp, criteria *board.Criteria) {
	if q.Claims == nil || criteria.Caller == nil {
		return
	}
	if !q.claim.prepared {
		q.claim.prepared = true
		q.claim.elapsed = q.Claims.Elapsed(now, q.limitKey(), time.Until(q.deadline))
	}
	criteria.Claimed = q.claim.answer.State == claim.Valid
	criteria.Late = q.route.LatencyObjective > 0 && q.claim.elapsed > q.route.LatencyObjective
}

// limitKey returns the key under which the time limits of callers are compared.
func (q *request) limitKey() string { return q.requester().Workspace + " " + q.route.Name }

// findClaim looks up the claim of a request that would be refused, and reports whether it may be used now.
func (q *request) findClaim() bool {
	if q.Claims == nil || q.claim.searched || !q.claim.prepared || !claim.MayHaveClaim(q.claim.elapsed, q.route.LatencyObjective) {
		return false
	}
	q.claim.searched = true
	q.claim.answer = q.Claims.Find(q.ctx, q.content)
	q.Meters.ClaimLookups.Add(1, claimResults[q.claim.answer.State])
	return q.claim.answer.State == claim.Valid
}

// claimResults names the results of lookups in metrics.
var claimResults = map[claim.State]string{claim.Unknown: "unknown", claim.Early: "early", claim.Valid: "valid", claim.Used: "used"}

// recordClaim logs and counts a claim that a request has used.
func (q *request) recordClaim(admitted bool) {
	result := "honoured"
	if !admitted {
		result = "full"
	}
	q.Meters.Claims.Add(1, q.service.Name, result)
	q.log(event.ClaimUsed, event.Str("service", q.service.Name), event.Uint("content", q.content), event.Bool("admitted", admitted), event.Dur("elapsed", q.claim.elapsed))
}

// retryAfterFull returns when a caller that was refused for lack of a place should return.
func (q *request) retryAfterFull(a board.Admission) time.Duration {
	usual := admit.RetryAfter(q.callerHeaders.ID, q.route.LatencyObjective)
	if q.Claims == nil || !q.claim.prepared {
		return usual
	}
	if q.claim.answer.State == claim.Early {
		return max(q.claim.answer.Wait, minRetryWait)
	}
	plan := q.Claims.Refuse(clock.Now(), q.service.Name, q.content, claim.Shortage{
		ID: q.callerHeaders.ID, Workspace: q.requester().Workspace, WithinShare: a.Yield == admit.YieldNone,
		Remaining: time.Until(q.deadline), Objective: q.route.LatencyObjective, Elapsed: q.claim.elapsed,
		Hold: a.Hold, Released: a.Released, Free: a.Free,
	})
	q.claim.granted = plan.Granted
	switch {
	case plan.Granted:
		q.Meters.Claims.Add(1, q.service.Name, "granted")
	case plan.Wait > 0:
		q.Meters.Claims.Add(1, q.service.Name, "none")
	default:
		return usual
	}
	return max(plan.Wait, minRetryWait)
}
