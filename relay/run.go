package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cespare/xxhash/v2"
	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
)

const (
	// retryBusy is when to come back after no target could take the request.
	retryBusy = 250 * time.Millisecond
	// leastLeft is the shortest time for which a further target is worth asking.
	leastLeft = 20 * time.Millisecond
)

// run sends the request to targets until one has answered or none is left.
func (q *request) run() {
	for {
		c, refused := q.next()
		if refused != nil {
			q.end(*refused)
			return
		}
		done, err := q.try(&c)
		if done {
			return
		}
		if q.ctx.Err() != nil || !q.again(err) {
			q.end(q.verdict(err))
			return
		}
	}
}

// await lets a request wait at an entry that has just started, until it is known
// what targets hold, and no longer than its prefix is worth.
func (q *request) await() {
	if q.Settled == nil || !q.service.IsEngine {
		return
	}
	t := time.NewTimer(place.Patience(q.want().Shared))
	defer t.Stop()
	select {
	case <-q.Settled:
	case <-t.C:
	case <-q.ctx.Done():
	}
}

// again says whether another target may be tried, and takes it from the budget.
func (q *request) again(err error) bool {
	if !q.tally.Again(q.route.IsIdempotent(), q.route.MaxAttempts) {
		return false
	}
	if time.Until(q.deadline) < leastLeft {
		return false
	}
	if reached(err) && !q.Budgets.Spend(time.Now(), q.service.Name) {
		q.Meters.RetriesDenied.Add(1, q.service.Name)
		q.log(event.RelayBudget, event.Str("service", q.service.Name))
		return false
	}
	return true
}

// reached says whether the target saw the request.
func reached(err error) bool {
	var e link.ErrCall
	return !errors.As(err, &e) || e.Reason != chestnutstep.ReasonDown
}

// try sends the request to one target. Done says that the caller has its final
// answer.
func (q *request) try(c *board.Choice) (done bool, err error) {
	now, t := clock.Now(), c.Target
	q.skip = append(q.skip, t.ID)
	if q.tally.Tries+q.tally.Unreached == 0 {
		q.Budgets.Earn(time.Now(), q.service.Name)
	}
	q.stream.events = 0
	run := q.Board.Start(now, t, q.service, q.ask.Parts, c.Cached(), q.who())
	q.logSend(c)
	q.countTokens(c)
	if c.Fresh {
		q.Meters.Verified.Add(1, q.service.Name)
	}
	ctx, cancel := context.WithCancel(q.ctx)
	defer cancel()
	answer, err := q.Pool.Do(ctx, t.Address, q.call(c))
	if err != nil {
		q.failed(run, t, err)
		return false, err
	}
	told := q.Wire.TargetHeaders(answer.Status, answer.Header)
	if err := q.validate(answer, told); err != nil {
		answer.Close(false)
		q.failed(run, t, err)
		return false, err
	}
	if q.route.Kind == chestnutstep.RouteStream && answer.Status == http.StatusOK {
		err = q.forward(run, answer)
	} else {
		err = q.collect(run, answer)
	}
	if err != nil {
		q.failed(run, t, err)
		return false, err
	}
	run.End(clock.Now(), board.Served)
	q.tally.Add(chestnutstep.RunYes)
	q.Crashes.Served(clock.Now(), q.content)
	q.done(t)
	return true, nil
}

// countTokens counts where the prompt is expected to come from.
func (q *request) countTokens(c *board.Choice) {
	if c.Ask.Tokens == 0 {
		return
	}
	q.Meters.PromptTokens.Add(int64(c.Held), "held")
	q.Meters.PromptTokens.Add(int64(c.Cached()-c.Held), "fetched")
	q.Meters.PromptTokens.Add(int64(max(c.Ask.Tokens-c.Cached(), 0)), "read")
}

// call builds the message for a target.
func (q *request) call(c *board.Choice) *link.Call {
	h := make(http.Header, len(q.r.Header)+4)
	for name, values := range q.r.Header {
		if !chestnutstep.IsHopHeader(name) && !q.named(name) && name != "Content-Length" && name != "Expect" {
			h[name] = values
		}
	}
	s := chestnutstep.ForwardHeaders{
		Instance:    c.ID,
		Timeout:     time.Until(q.deadline),
		FetchFrom:   c.Donor.Address,
		Urgency:     chestnutstep.UrgencyUnset,
		IsResume:    q.ask.IsResume,
		LastEventID: q.ask.LastEventID,
	}
	if q.workspace != nil {
		s.Workspace = q.workspace.Name
	}
	if q.service.IsEngine {
		s.Urgency = q.urgency()
	}
	if q.stream.begun {
		s.IsResume, s.LastEventID = true, q.stream.last
	}
	q.Wire.SetForwardHeaders(h, s)
	return &link.Call{
		Method:   q.r.Method,
		URI:      q.r.RequestURI,
		Host:     q.r.Host,
		Header:   h,
		Body:     q.body,
		HasBody:  q.r.ContentLength != 0,
		Keep:     link.Keep(q.service.MaxConnections, q.Board.Entries()),
		Fresh:    c.Fresh,
		Dial:     q.dialLimit(c),
		OnSilent: q.onSilent(c.Target),
	}
}

const (
	// verifyShare is the part of its objective that a request may wait for a connection which
	// verifies that the target's host is there, and verifyLeast its least time.
	verifyShare = 0.25
	verifyLeast = 250 * time.Millisecond
)

// dialLimit bounds the opening of a connection that verifies a host, in time for another one.
func (q *request) dialLimit(c *board.Choice) time.Duration {
	if !c.Fresh || q.route.LatencyObjective <= 0 {
		return 0
	}
	return max(time.Duration(verifyShare*float64(q.route.LatencyObjective)), verifyLeast)
}

// onSilent returns what is done when a target's host does not acknowledge the request: a request
// that may run once more is given up there and goes to another target.
func (q *request) onSilent(t *roster.Target) func() bool {
	repeat := q.route.IsIdempotent() && q.tally.Tries+1 < q.route.MaxAttempts
	return func() bool {
		q.Meters.Silent.Add(1, q.service.Name)
		known := q.Board.RecordSilence(clock.Now(), t)
		q.log(event.TargetSilent, event.Str("target", t.ID), event.Bool("link", known), event.Bool("again", known && repeat))
		return known && repeat
	}
}

// named says whether the caller's Connection header names a header: such a one
// belongs to the connection.
func (q *request) named(name string) bool {
	for _, line := range q.r.Header["Connection"] {
		for _, one := range splitList(line) {
			if http.CanonicalHeaderKey(one) == name {
				return true
			}
		}
	}
	return false
}

// urgency puts the more urgent routes first at the target.
func (q *request) urgency() int {
	rank := q.route.Rank
	if q.workspace != nil && q.workspace.HasRank {
		rank = q.workspace.Rank
	}
	return min(max(rank, 0), 9)
}

// fingerprint names the content, so that one that crashes targets is known
// again when its caller repeats it under another id or key.
func (q *request) fingerprint() uint64 {
	return crash.Fingerprint(q.who().Workspace, q.r.Method+" "+q.r.RequestURI, q.body)
}

func uniform(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
