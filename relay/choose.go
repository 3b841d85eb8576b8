package relay

import (
	"net/http"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/place"
)

// chooseTarget selects the target for the next attempt, or returns the refusal for the caller.
func (q *request) chooseTarget() (board.Choice, *refusal) {
	now := clock.Now()
	if q.hasCallerLeft() || q.isCallerConnClosed() {
		q.callerGone = true
		return board.Choice{}, &refusal{0, chestnutstep.ReasonCanceled, 0}
	}
	if q.ctx.Err() != nil {
		f := q.finalRefusal(q.ctx.Err())
		return board.Choice{}, &f
	}
	if q.refusesNew.Load() && q.attempts.NotRun() {
		return board.Choice{}, &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonStop, unreadyRetryAfter}
	}
	// The view may have changed while an earlier attempt ran.
	if v := q.Roster.View(); v != nil {
		q.view = v
	}
	if q.workspace != nil && !q.isConfigCurrent() {
		return board.Choice{}, &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonVersion, unreadyRetryAfter}
	}
	if wait := q.quarantineWait(now); wait > 0 {
		return board.Choice{}, &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonCondemned, wait}
	}
	if q.stream.started && (q.stream.build == "" || !q.stream.cursor.CanContinue()) {
		return board.Choice{}, &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonBuild, 0}
	}
	criteria := q.criteria()
	if requester := q.requester(); q.attempts.Sent == 0 {
		criteria.Caller = &requester
		q.prepareClaim(now, &criteria)
	}
	c := q.choose(now, criteria)
	if !c.Admission.Admitted && q.findClaim() {
		criteria.Claimed = true
		c = q.Board.Choose(clock.Now(), q.view, q.service, criteria, q.placement())
		q.recordClaim(c.Admission.Admitted)
	}
	switch {
	case !c.Admission.Admitted:
		return c, q.refuseFull(c.Admission)
	case c.Target == nil && c.PausedUntil > now:
		return c, q.refusePaused(now, c.PausedUntil)
	case c.Target == nil && criteria.Build != "":
		return c, &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonBuild, busyRetryAfter}
	case c.Target == nil:
		return c, &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonTarget, busyRetryAfter}
	}
	return c, nil
}

// choose selects a target. A stream that can be taken up goes to the build that may have read its prompt in an
// earlier attempt, if that has a target left: targets that have read a prompt show which build began its stream.
func (q *request) choose(now clock.Stamp, criteria board.Criteria) board.Choice {
	if q.route.Resumable && criteria.Build == "" && q.readBuild != "" {
		preferred := criteria
		preferred.Build = q.readBuild
		if c := q.Board.Choose(now, q.view, q.service, preferred, q.placement()); c.Target != nil {
			return c
		}
	}
	return q.Board.Choose(now, q.view, q.service, criteria, q.placement())
}

// criteria returns which targets can take the next attempt.
func (q *request) criteria() board.Criteria {
	return board.Criteria{
		Build: q.stream.build,
		Parts: q.callerHeaders.Parts, Domain: q.Domain, Skip: q.triedTargets, DomainAllowed: q.allowsDomain, CapFactor: q.Bounds().CapFactor,
		VerifyHost: !q.route.IsIdempotent() || q.attempts.Sent > 0,
	}
}

// quarantineWait returns how long the content, or a part of its prompt, is refused because of targets
// that ended while running it. If it requires a trial run, it starts the trial.
func (q *request) quarantineWait(now clock.Stamp) (wait time.Duration) {
	if len(q.trials) > 0 {
		return q.Crashes.RemainingWait(now, q.suspects())
	}
	wait, q.trials = q.Crashes.Admit(now, q.suspects())
	return wait
}

// suspects returns the fingerprints by which the request is quarantined: its content, and the parts
// of its prompt that other requests can share.
func (q *request) suspects() []uint64 {
	parts := q.callerHeaders.Parts
	list := make([]uint64, 0, len(parts)+1)
	list = append(list, q.content)
	for _, p := range parts[:max(len(parts)-1, 0)] {
		list = append(list, crash.PartFingerprint(q.service.Name, p.ID))
	}
	return list
}

// refuseFull returns the refusal for a request for which no target has a free place. Its
// Retry-After is the time after which a retry can still be served within the objective, or with claims
// the time that the caller was promised or after which the backlog is cleared.
func (q *request) refuseFull(admission board.Admission) *refusal {
	q.admission = &admission
	if q.Hedger != nil {
		q.Hedger.RecordRefused(clock.Now(), q.service.Name)
	}
	q.Meters.Refused.Add(1, q.requester().Workspace, string(admission.Reason))
	return &refusal{http.StatusServiceUnavailable, admission.Reason, q.retryAfterFull(admission)}
}

// allowsDomain reports whether the request may be sent to targets of a failure domain. If both the
// route and the workspace restrict regions, both restrictions apply.
func (q *request) allowsDomain(domain string) bool {
	region := q.Regions[domain]
	if len(q.route.AllowedRegions) > 0 && !slices.Contains(q.route.AllowedRegions, region) {
		return false
	}
	return q.workspace == nil || len(q.workspace.AllowedRegions) == 0 || slices.Contains(q.workspace.AllowedRegions, region)
}

// placement returns the placement request: the routing key and the sizes of the prompt and its
// shared prefix in tokens.
func (q *request) placement() place.Request {
	r := place.Request{Key: xxhash.Sum64String(q.callerHeaders.ID)}
	for _, p := range q.callerHeaders.Parts {
		r.Tokens += p.Tokens
	}
	if n := len(q.callerHeaders.Parts); n > 1 {
		r.Key = q.callerHeaders.Parts[n-2].ID
		r.Shared = r.Tokens - q.callerHeaders.Parts[n-1].Tokens
	}
	return r
}

// requester returns the workspace, urgency and latency objective by which places at targets are
// shared.
func (q *request) requester() board.Caller {
	c := board.Caller{Urgency: q.urgency(), Objective: q.route.LatencyObjective}
	if q.workspace != nil {
		c.Workspace = q.workspace.Name
	}
	return c
}
