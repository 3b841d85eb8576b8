package relay

import (
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"syscall"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/pause"
)

// validate checks whether the head of an answer belongs to this request. The error reports whether
// the target ran the request.
func (x *attempt) validate(a *link.Response, headers chestnutstep.TargetHeaders) error {
	switch {
	case headers.NotRun && x.isOwnAnswer():
		reason := chestnutstep.ReasonFull
		switch _, paused := pause.ParseRetryAfter(headers.RetryAfter); {
		case headers.Misdirected:
			reason = chestnutstep.ReasonDead
		case paused:
			reason = chestnutstep.ReasonPaused
		}
		return link.ErrCall{Run: chestnutstep.RunNo, Reason: reason, Err: errors.Newf("target did not run the request: status %d", a.Status)}
	case headers.ID != x.callerHeaders.ID:
		return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonCrossed, Err: errors.Newf("response belongs to another request: %q", headers.ID)}
	case !headers.IsSigned || a.Header.Get("Content-Encoding") != "":
		return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonShort, Err: errors.Newf("response with status %d is unsigned or has a content encoding", a.Status)}
	case x.stream.started && a.Status != http.StatusOK:
		// Its body would follow the events that the caller has.
		return link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonCrossed, Err: errors.Newf("response with status %d to a stream after event %d", a.Status, x.resumePoint())}
	}
	return nil
}

// recordFailure records an attempt without a usable answer.
func (x *attempt) recordFailure(err error) {
	now := clock.Now()
	var e link.ErrCall
	if !errors.As(err, &e) {
		e = link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonLink, Err: err}
	}
	callerLeft := x.hasCallerLeft()
	x.atTarget.End(now, outcome(e, callerLeft))
	if e.Reason == chestnutstep.ReasonDown || isUnsent(err) {
		x.attempts.Unreached++
	} else {
		x.attempts.Record(e.Run)
		if e.Run != chestnutstep.RunNo {
			x.readBuild = x.target.Build
		}
	}
	if e.Reason == chestnutstep.ReasonDown || e.Reason == chestnutstep.ReasonDead {
		x.Pool.CloseIdle(x.target.Address)
	}
	x.Meters.Tries.Add(1, x.service.Name, string(e.Reason))
	x.log(event.RelayFailed,
		event.Str("target", x.target.ID), event.Str("reason", string(e.Reason)), event.Str("run", string(e.Run)),
		event.Int("status", int64(x.answerHead.status)), event.Str("retry", x.answerHead.RetryAfter), event.Bool("leaving", x.answerHead.IsLeaving),
		event.Str("framing", x.answerHead.framing), event.Int("first", x.stream.firstID), event.Int("after", x.callerHeaders.LastEventID),
		event.Bool("reused", e.Reused), event.Int("last", x.resumePoint()), event.Uint("content", x.content), event.Str("parts", x.sharedParts()), event.Err(e.Err))
	if x.Hedger != nil && (e.Reason == chestnutstep.ReasonFull || e.Reason == chestnutstep.ReasonPaused) {
		x.Hedger.RecordRefused(now, x.service.Name)
	}
	x.recordTargetEnd(e, callerLeft)
}

// recordTargetEnd passes a failure to the CrashTracker if it can mean that the target has ended.
func (x *attempt) recordTargetEnd(e link.ErrCall, callerLeft bool) {
	if x.isEndPlanned(x.target) {
		return
	}
	u := UnfinishedRun{Target: x.target, Suspects: x.suspects(), Events: x.stream.events, CallerLeft: callerLeft}
	switch {
	case e.Reason == chestnutstep.ReasonDown:
		if errors.Is(e.Err, syscall.ECONNREFUSED) {
			x.Crashes.RecordConnRefused(clock.Now(), x.target)
		}
	case callerLeft || e.Unresponsive || e.Reason == chestnutstep.ReasonTimeout:
		x.Crashes.RecordAbandoned(clock.Now(), u)
	case e.PeerClosed:
		x.proof = x.Crashes.RecordBroken(clock.Now(), x.Pool, u)
	}
}

// awaitProof waits until a probe has found whether the target of a broken connection has ended, for
// up to proofTimeout. The content must not be retried before that. probeDone is nil if no connection broke.
func (q *request) awaitProof(probeDone <-chan struct{}) {
	if probeDone == nil {
		return
	}
	limit := time.NewTimer(proofTimeout)
	defer limit.Stop()
	select {
	case <-probeDone:
	case <-limit.C:
	case <-q.ctx.Done():
	}
}

// outcome converts a failure to its meaning for the target's health.
func outcome(e link.ErrCall, callerLeft bool) board.Outcome {
	switch {
	case callerLeft:
		return board.Canceled
	case e.Reason == chestnutstep.ReasonFull:
		return board.Refused
	case isUnsent(e):
		return board.Unsent
	case e.Reason == chestnutstep.ReasonPaused:
		return board.Paused
	case e.Unresponsive, e.Reason == chestnutstep.ReasonDown && isTimeout(e.Err):
		return board.Unreachable
	case e.Reason == chestnutstep.ReasonDown:
		return board.ConnRefused
	case e.Reason == chestnutstep.ReasonDead:
		return board.Replaced
	case e.Reason == chestnutstep.ReasonLink && !e.Reused:
		return board.Broken
	default:
		return board.Failed
	}
}

// isTimeout reports whether err is a network timeout.
func isTimeout(err error) bool {
	var e net.Error
	return errors.As(err, &e) && e.Timeout()
}

// finalRefusal returns the final answer after the last attempt failed.
func (q *request) finalRefusal(err error) refusal {
	if q.attempts.NotRun() {
		reason := chestnutstep.ReasonTarget
		var e link.ErrCall
		if errors.As(err, &e) {
			reason = e.Reason
		}
		if reason == chestnutstep.ReasonPaused {
			return q.refuseAfterPause()
		}
		return refusal{http.StatusServiceUnavailable, reason, busyRetryAfter}
	}
	if q.ctx.Err() != nil {
		return refusal{http.StatusGatewayTimeout, chestnutstep.ReasonTimeout, 0}
	}
	var e link.ErrCall
	if errors.As(err, &e) {
		return refusal{http.StatusBadGateway, e.Reason, 0}
	}
	return refusal{http.StatusBadGateway, chestnutstep.ReasonLink, 0}
}

// answerFinal sends the final answer that is true after all attempts.
func (q *request) answerFinal(f refusal) {
	switch {
	case q.hasCallerLeft():
		q.Meters.Requests.Add(1, q.routeKind(), string(chestnutstep.ReasonCanceled))
		q.log(event.RelayCanceled, event.Int("tries", int64(q.attempts.Sent)))
	case q.stream.started:
		q.logEnd(refusal{0, f.reason, 0})
		panic(http.ErrAbortHandler) // an incomplete stream must not look complete
	case q.failureAnswer != nil:
		q.failureAnswer.write(q.w)
		q.logEnd(refusal{q.failureAnswer.status, f.reason, 0})
	case !q.attempts.NotRun() && f.status == http.StatusServiceUnavailable:
		q.refuse(refusal{http.StatusBadGateway, f.reason, 0})
	default:
		q.refuse(f)
	}
}

// refuse sends an answer of the relay itself.
func (q *request) refuse(f refusal) {
	if f.retryAfter > 0 {
		q.Codec.SetRetryAfter(q.w.Header(), f.retryAfter)
	}
	text := string(f.reason) + "\n"
	q.w.Header().Set("Content-Type", "text/plain")
	q.w.Header().Set("Content-Length", strconv.Itoa(len(text))) // else an answer that is flushed has no end yet
	q.w.WriteHeader(f.status)
	_, _ = io.WriteString(q.w, text)
	q.logEnd(f)
}

func splitList(line string) []string {
	list := strings.Split(line, ",")
	for i := range list {
		list[i] = strings.TrimSpace(list[i])
	}
	return list
}
