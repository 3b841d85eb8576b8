package relay

import (
	"net/http"
	"strconv"
	"strings"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
)

// log emits an event with the id of this request.
func (q *request) log(id event.ID, fields ...event.Field) {
	q.Log.Emit(id, append([]event.Field{event.Str("request", q.callerHeaders.ID)}, fields...)...)
}

// logSend logs that the request is sent, with the reasons for the choice of the target.
func (q *request) logSend(c *board.Choice, number int) {
	q.log(event.RelaySent,
		event.Str("target", c.ID), event.Str("service", q.service.Name), event.Int("try", int64(number)),
		event.Float("running", c.Running), event.Int("own", int64(c.CachedTokens)), event.Int("held", int64(c.ReusableTokens())),
		event.Int("shared", int64(c.Request.Shared)), event.Uint("prefix", c.Request.Key), event.Float("cost", c.Cost),
		event.Int("of", int64(c.Eligible)), event.Bool("cold", c.Cold), event.Str("fetch", c.Donor.Address), event.Bool("fresh", c.NewConnection),
		event.Uint("version", q.view.Routing.Version), event.Dur("listed", clock.Now().Sub(q.Roster.Proof(chestnutstep.TopicTargets))),
		event.Str("build", c.Target.Build), event.Int("after", q.resumePoint()), event.Str("resumes", q.callerHeaders.Resumes))
}

// resumePoint returns the id of the last event that the caller has; 0 if it has none.
func (q *request) resumePoint() int64 {
	last, _ := q.stream.cursor.Last()
	return last
}

// sharedParts returns the ids of the parts of the prompt that other requests can share, as text.
func (q *request) sharedParts() string {
	var list []string
	for _, p := range q.callerHeaders.Parts[:max(len(q.callerHeaders.Parts)-1, 0)] {
		list = append(list, strconv.FormatUint(p.ID, 16))
	}
	return strings.Join(list, " ")
}

// routeKind returns the kind of the request's route for metrics.
func (q *request) routeKind() string {
	if q.route == nil {
		return "none"
	}
	return q.route.Kind.String()
}

// recordDone counts and logs a request that was served.
func (x *attempt) recordDone() {
	x.Meters.Requests.Add(1, x.routeKind(), "ok")
	x.Meters.Answer.Observe(x.servedIn, x.routeKind())
	x.Meters.Tries.Add(1, x.service.Name, "ok")
	x.log(event.RelayDone,
		event.Str("route", x.route.Name), event.Str("target", x.target.ID), event.Int("tries", int64(x.attempts.Sent)),
		event.Dur("took", x.servedIn), event.Int("last", x.resumePoint()), event.Bool("leaving", x.answerHead.IsLeaving),
		event.Str("framing", x.answerHead.framing), event.Int("first", x.stream.firstID), event.Int("after", x.callerHeaders.LastEventID), event.Str("process", x.endState))
}

// logEnd counts and logs an answer of the relay itself, with the state that led to it.
func (q *request) logEnd(f refusal) {
	q.Meters.Requests.Add(1, q.routeKind(), string(f.reason))
	id := event.RelayRefused
	if f.status == http.StatusBadGateway || f.status == http.StatusGatewayTimeout || f.status == 0 {
		id = event.RelayBroken
	}
	run := chestnutstep.RunNo
	if !q.attempts.NotRun() {
		run = chestnutstep.RunMaybe
	}
	fields := []event.Field{
		event.Int("status", int64(f.status)), event.Str("reason", string(f.reason)), event.Str("run", string(run)),
		event.Int("tries", int64(q.attempts.Sent)), event.Dur("took", time.Since(q.startedAt)),
		event.Dur("proof", clock.Now().Sub(q.Roster.VersionConfirmedAt())),
	}
	if q.admission != nil {
		fields = append(fields, event.Str("workspace", q.requester().Workspace), event.Float("taken", q.admission.Taken),
			event.Float("kept", q.admission.Kept), event.Int("yield", int64(q.admission.Yield)), event.Dur("after", f.retryAfter))
		if q.Claims != nil {
			fields = append(fields, event.Bool("claim", q.claim.granted), event.Dur("elapsed", q.claim.elapsed))
		}
	}
	if f.reason == chestnutstep.ReasonBuild {
		fields = append(fields, event.Str("build", q.stream.build), event.Int("after", q.resumePoint()), event.Str("resumes", q.callerHeaders.Resumes))
	}
	if f.reason == chestnutstep.ReasonCondemned {
		fields = append(fields, event.Uint("content", q.content), event.Str("parts", q.sharedParts()))
	}
	if q.route != nil {
		fields = append(fields, event.Str("route", q.route.Name))
	}
	if q.view != nil {
		fields = append(fields, event.Uint("version", q.view.Routing.Version))
	}
	q.log(id, fields...)
}
