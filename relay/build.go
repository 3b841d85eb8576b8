package relay

import (
	"context"
	"net/http"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// originTimeout is how long a request waits for the record of the stream that it takes up: two
	// round trips between failure domains and one repeated datagram.
	originTimeout = 120 * time.Millisecond
	// soleOriginTimeout is the same if the stream can be continued without a record.
	soleOriginTimeout = 30 * time.Millisecond
	// evidenceTimeout is how long it waits for the caches of targets or for the history of the source.
	evidenceTimeout = 250 * time.Millisecond
	// maxListAge is the maximum age of the list of targets by which a service has a single build.
	maxListAge = 2 * time.Second
	// streamLifetimes is the multiple of a route's timeout for which a stream can last, over all
	// attempts of its caller.
	streamLifetimes = 2
)

// resolveBuild binds a request that takes up a stream to the service and build that began it. It
// returns the refusal if they are unknown or have no target.
func (q *request) resolveBuild() *refusal {
	if q.route.Kind != chestnutstep.RouteStream {
		return nil
	}
	if q.callerHeaders.HasInvalidEventID || q.callerHeaders.LastEventID > 0 && !q.route.Resumable {
		return &refusal{http.StatusBadRequest, chestnutstep.ReasonHeader, 0}
	}
	if q.callerHeaders.LastEventID == 0 {
		return nil
	}
	_, isSole := q.soleBuild()
	id, recorded := q.findOrigin(isSole)
	switch {
	case recorded && (q.bindTo(id) || q.confirmTargets() && q.bindTo(id)):
		q.Meters.Resumed.Add(1, "record")
	case recorded && q.confirmTargets():
		q.Meters.Resumed.Add(1, "gone")
		return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonBuild, 0}
	case recorded: // a target of the build may have joined
		q.Meters.Resumed.Add(1, "unknown")
		return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonBuild, busyRetryAfter}
	case isSole && q.bindToSole():
		q.Meters.Resumed.Add(1, "sole")
	case q.findByPrompt():
		q.Meters.Resumed.Add(1, "prompt")
	case q.findByHistory():
		q.Meters.Resumed.Add(1, "history")
	default:
		q.Meters.Resumed.Add(1, "unknown")
		return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonBuild, busyRetryAfter}
	}
	return nil
}

// recordOrigin records that a target begins the stream. A target whose build is unknown leaves no
// record, so that nothing continues the stream.
func (q *request) recordOrigin(t *roster.Target) {
	q.stream.build = t.Build
	if q.Origins != nil && q.route.Resumable && t.Build != "" {
		q.Origins.Record(q.callerHeaders.ID, q.service.Name, t.Build)
	}
}

// findOrigin returns the build that began the stream of the caller's first attempt.
func (q *request) findOrigin(isSole bool) (chestnutstep.BuildID, bool) {
	if q.Origins == nil || q.callerHeaders.Resumes == "" {
		return 0, false
	}
	timeout := originTimeout
	if isSole {
		timeout = soleOriginTimeout
	}
	return q.Origins.Find(q.ctx, q.callerHeaders.Resumes, timeout)
}

// soleBuild returns the build that must have begun the stream, if there is only one. A request without prompt
// parts trusts the source to have kept its history.
func (q *request) soleBuild() (string, bool) {
	now, view := clock.Now(), q.Roster.View()
	if len(q.route.Splits) != 1 || now.Sub(q.Roster.Proof(chestnutstep.TopicTargets)) > maxListAge {
		return "", false
	}
	age := streamLifetimes*q.route.Timeout - time.Until(q.deadline)
	return view.SoleBuild(now, q.service.Name, age, len(q.callerHeaders.Parts) == 0)
}

// confirmTargets brings the list of targets up to date. It returns false if that may lack targets that joined before
// this call: one of them can have begun the stream, through another entry.
func (q *request) confirmTargets() bool {
	if q.ConfirmTargets == nil {
		return true
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), evidenceTimeout)
	defer cancel()
	if !q.ConfirmTargets(ctx) {
		return false
	}
	q.view = q.Roster.View()
	return true
}

// bindToSole binds the request to the only build of its service, if it is the only one by a list of targets that is up to
// date.
func (q *request) bindToSole() bool {
	if !q.confirmTargets() {
		return false
	}
	build, ok := q.soleBuild()
	if ok {
		q.stream.build = build
	}
	return ok
}

// findByHistory binds the request to the only build of its service, by the history of the source.
func (q *request) findByHistory() bool {
	if q.LoadHistory == nil {
		return false
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), evidenceTimeout)
	defer cancel()
	q.LoadHistory(ctx)
	return q.bindToSole()
}

// bindTo binds the request to a build of one of the route's services. It returns false if none of
// them has a target of the build.
func (q *request) bindTo(id chestnutstep.BuildID) bool {
	for _, split := range q.route.Splits {
		service := q.view.Routing.Services[split.Service]
		build, ok := q.view.FindBuild(split.Service, func(build string) bool {
			return chestnutstep.NewBuildID(split.Service, build) == id
		})
		if ok && service != nil {
			q.service, q.stream.build = service, build
			return true
		}
	}
	return false
}
