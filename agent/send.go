package agent

import (
	"net/http"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/wire"
)

// send sends a caller's request to the target, unless the target asked for a pause, and records what the
// answer says about the target. All calls but probes and cancels go through it, sendControl or
// sendResume: a probe shows whether the target lives, and a cancel relieves it. The error is a
// pause.ErrPaused if nothing was sent.
func (a *Agent) send(client *http.Client, rq *http.Request) (*http.Response, error) {
	i := a.instance()
	if err := a.pauses.Acquire(a.stamp(), i); err != nil {
		return nil, err
	}
	rs, err := client.Do(rq)
	a.pauses.Release(a.stamp(), i, err == nil)
	if err == nil {
		a.recordTargetState(rq, rs)
	}
	return rs, err
}

// sendControl is like send, for a call that no caller waits for: it does not count among the unanswered
// requests after a pause, so that it keeps no request away.
func (a *Agent) sendControl(client *http.Client, rq *http.Request) (*http.Response, error) {
	i := a.instance()
	if s := a.pauses.State(a.stamp(), i); s.Blocked() {
		return nil, pause.ErrPaused{Target: i.ID, State: s}
	}
	return a.sendAlways(client, rq)
}

// sendResume is like sendControl, but goes to a target that announced its leaving as well: what it is
// running goes on.
func (a *Agent) sendResume(client *http.Client, rq *http.Request) (*http.Response, error) {
	i := a.instance()
	if s := a.pauses.State(a.stamp(), i); s.Reason == chestnutstep.ReasonPaused {
		return nil, pause.ErrPaused{Target: i.ID, State: s}
	}
	return a.sendAlways(client, rq)
}

func (a *Agent) sendAlways(client *http.Client, rq *http.Request) (*http.Response, error) {
	rs, err := client.Do(rq)
	if err == nil {
		a.recordTargetState(rq, rs)
	}
	return rs, err
}

// recordTargetState records what the head of an answer says about the target.
func (a *Agent) recordTargetState(rq *http.Request, rs *http.Response) {
	if id := rs.Header.Get(chestnutstep.HeaderRequestID); id != "" && id != rq.Header.Get(chestnutstep.HeaderRequestID) {
		return // the answer belongs to another request
	}
	i := a.instance()
	if boot := rs.Header.Get(chestnutstep.HeaderBootID); boot != "" {
		i = a.instanceWith(boot)
	}
	if rs.Header.Get(chestnutstep.HeaderLeaving) == "1" && a.pauses.Leave(a.stamp(), i) {
		a.Notify(Notice{Kind: NoticeLeaving, Subject: a.Name})
	}
	if rs.StatusCode != http.StatusServiceUnavailable {
		return
	}
	d, ok := pause.ParseRetryAfter(rs.Header.Get("Retry-After"))
	if ok && a.pauses.Start(a.stamp(), i, d) {
		a.Notify(Notice{Kind: NoticePaused, Subject: a.Name, Wait: d})
	}
}

// instance returns the key of the target's present start.
func (a *Agent) instance() pause.Instance { return a.instanceWith(a.bootID()) }

func (a *Agent) instanceWith(bootID string) pause.Instance {
	return pause.Instance{ID: a.Name + " " + bootID}
}

// stamp returns the time since this agent started, by its clock.
func (a *Agent) stamp() clock.Stamp { return clock.Stamp(a.Clock().Sub(a.startedAt)) }

// checkPause refuses an offer while the target must not receive requests. The caller must hold the
// lock.
func (a *Agent) checkPause(now time.Time, o *wire.Offer) *wire.Refuse {
	at := clock.Stamp(now.Sub(a.startedAt))
	s := a.pauses.State(at, a.instanceWith(a.health.bootID))
	if !s.Blocked() {
		return nil
	}
	r := refusal(s.Reason, chestnutstep.RunNo)
	if s.Until != 0 {
		r.Retry = int64(pause.RetryAfter(o.Id, s.Remaining(at)))
	}
	return r
}

// unsentResult returns the result of a call that was not sent because of a pause, and false for any
// other error.
func unsentResult(err error) (callResult, bool) {
	var e pause.ErrPaused
	if !errors.As(err, &e) {
		return callResult{}, false
	}
	return callResult{outcome: chestnutstep.OutcomeAbandoned, reason: e.State.Reason, run: chestnutstep.RunNo, unsent: true}, true
}
