package relay

import (
	"net/http"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/ending"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/roster"
)

// send sends the request to the chosen target, unless that must not receive it by now.
func (x *attempt) send(witness ending.Witness) (*link.Response, error) {
	c := x.choice
	instance := pause.InstanceOf(&c.Target.Instance)
	acquired := false
	call := x.buildCall(c)
	call.OnUnresponsive = x.onUnresponsive
	if witness != nil {
		call.OnConn = witness.Attach
	}
	call.Allow = func() error {
		err := x.Pauses.Acquire(clock.Now(), instance)
		acquired = err == nil
		return err
	}
	answer, err := x.Pool.Do(x.ctx, c.Target.Address, call)
	if acquired {
		x.Pauses.Release(clock.Now(), instance, err == nil)
	}
	return answer, err
}

// isUnsent reports whether a request was not sent, because its target must not receive it.
func isUnsent(err error) bool {
	var e pause.ErrPaused
	return errors.As(err, &e)
}

// isOwnAnswer reports whether the head of the answer belongs to this request. Only a rejection can lack
// the id.
func (x *attempt) isOwnAnswer() bool {
	h := x.answerHead
	return h.ID == x.callerHeaders.ID || h.NotRun && h.ID == ""
}

// RecordAnswer records what a target said about itself in the head of an answer, which must belong to
// the request with the given id. An answer of another instance at the target's address says nothing.
func (e *Relay) RecordAnswer(t *roster.Target, id string, h chestnutstep.TargetHeaders) {
	if h.Misdirected {
		return
	}
	e.recordLoad(t, id, h)
	if h.IsLeaving {
		e.recordLeaving(t, id)
	}
	if h.RetryAfter == "" {
		return
	}
	d, ok := pause.ParseRetryAfter(h.RetryAfter)
	if !ok {
		e.Meters.Pauses.Add(1, t.Service, "invalid")
		return
	}
	if !e.Board.StartPause(clock.Now(), t, d) {
		e.Meters.Pauses.Add(1, t.Service, "extended")
		return
	}
	e.Meters.Pauses.Add(1, t.Service, "started")
	e.Log.Emit(event.TargetPaused, event.Str("target", t.ID), event.Str("service", t.Service), event.Dur("asked", d), event.Str("request", id))
}

func (e *Relay) recordLeaving(t *roster.Target, id string) {
	if !e.Board.RecordLeaving(clock.Now(), t) {
		return
	}
	e.Pool.CloseIdle(t.Address)
	e.Meters.Pauses.Add(1, t.Service, "leaving")
	e.Log.Emit(event.TargetAnnouncedLeaving, event.Str("target", t.ID), event.Str("service", t.Service), event.Str("request", id))
}

// isEndPlanned reports whether the end of a target is no sign of a crash: the target is leaving, or has
// already been replaced.
func (q *request) isEndPlanned(t *roster.Target) bool {
	listed := q.Roster.View().ByID[t.ID]
	return listed == nil || listed.Leaving || listed.StartedMs != t.StartedMs || q.Pauses.IsLeaving(clock.Now(), pause.InstanceOf(&t.Instance))
}

// refusePaused refuses a request for which every target asked for a pause.
func (q *request) refusePaused(now, until clock.Stamp) *refusal {
	return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonPaused, pause.RetryAfter(q.callerHeaders.ID, until.Sub(now))}
}

// refuseAfterPause refuses a request that its last target rejected with a pause. The caller can return
// soon if another target can take the request.
func (q *request) refuseAfterPause() refusal {
	now := clock.Now()
	if until := q.Board.PausedUntil(now, q.view, q.service, q.criteria()); until > now {
		return *q.refusePaused(now, until)
	}
	return refusal{http.StatusServiceUnavailable, chestnutstep.ReasonPaused, busyRetryAfter}
}
