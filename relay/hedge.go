package relay

import (
	"context"
	"net/http"
	"runtime/debug"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/hedge"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/roster"
)

// result is the result of the exchange of an attempt.
type result struct {
	attempt *attempt
	err     error
}

// race is a request that is sent to a second target if the first has not answered in time.
type race struct {
	*request
	plan          hedge.Plan
	first, second *attempt
	results       chan result
	// taken and budget are, for the log, the part of the other targets' places that was taken, and the
	// hedges that were left.
	taken, budget float64
}

// run exchanges the request and reports the result. A panic, which would end the process here and only the
// request in the handler's goroutine, is the failure of the attempt.
func (x *attempt) run(results chan<- result) {
	got := result{attempt: x}
	defer func() {
		if v := recover(); v != nil {
			got.err = link.ErrCall{Run: chestnutstep.RunMaybe, Reason: chestnutstep.ReasonLink, Err: errors.Newf("panic: %v\n%s", v, debug.Stack())}
		}
		results <- got
	}()
	got.err = x.exchange()
}

// isHedgeable reports whether the request can be sent to a second target at the same time. An engine would
// read its prompt in vain.
func (q *request) isHedgeable() bool {
	return q.Hedger != nil && q.route.Kind == chestnutstep.RouteSafe && q.route.MaxAttempts >= 2 && !q.service.IsEngine
}

// hedgePlan returns when the next attempt may be hedged, and false if it may not.
func (q *request) hedgePlan() (hedge.Plan, bool) {
	if !q.isHedgeable() || q.attempts.Sent+2 > q.route.MaxAttempts {
		return hedge.Plan{}, false
	}
	return q.Hedger.Plan(clock.Now(), q.service.Name, q.route.Name)
}

// race sends the request to one target and, if that has not answered after the delay, to a second one.
// If done is true, the caller has received its answer.
func (q *request) race(c *board.Choice, plan hedge.Plan) (done bool, err error) {
	r := &race{request: q, plan: plan, results: make(chan result, 2)}
	r.first = q.start(c, q.attempts.Sent+1)
	defer r.first.end()
	go r.first.run(r.results)
	if got := r.awaitFirst(); got != nil {
		return got.attempt.finish(got.err)
	}
	defer r.second.end()
	return r.decide()
}

// awaitFirst waits until the first attempt has a result, and returns it, or until the second one has
// begun. A denied hedge is considered again while the first attempt works.
func (r *race) awaitFirst() *result {
	denial := hedge.Allowed
	next := time.NewTimer(r.plan.Delay)
	defer next.Stop()
	for {
		select {
		case got := <-r.results:
			if denial != hedge.Allowed {
				r.Meters.HedgesDenied.Add(1, r.service.Name, string(denial))
			}
			return &got
		case <-next.C:
		}
		if denial = r.startSecond(); denial == hedge.Allowed {
			return nil
		}
		next.Reset(r.plan.Again(clock.Now().Sub(r.first.sentAt)))
	}
}

// decide waits for the first complete and valid answer of both attempts.
func (r *race) decide() (done bool, err error) {
	got := <-r.results
	loser := r.other(got.attempt)
	if got.err == nil {
		r.win(got.attempt, loser)
		return true, nil
	}
	got.attempt.fail(got.err)
	last := <-r.results
	if last.err != nil {
		r.logHedge("none")
		_, err = last.attempt.finish(last.err)
		r.awaitProof(got.attempt.proof)
		return false, err
	}
	r.logHedge(r.name(last.attempt))
	last.attempt.deliverNow()
	last.attempt.serve()
	r.awaitProof(got.attempt.proof) // the loss of the other target must not count after the content was cleared
	last.attempt.clear()
	last.attempt.recordDone()
	return true, nil
}

// deliverNow sends a complete answer to the caller at once, as the handler returns only when the other attempt
// has ended and its target was probed.
func (x *attempt) deliverNow() {
	x.deliver()
	_ = http.NewResponseController(x.w).Flush() // fails if the caller has left
}

// win sends the answer of an attempt to the caller and cancels the other one.
func (r *race) win(x, loser *attempt) {
	loser.cancel()
	x.deliverNow()
	x.serve()
	got := <-r.results
	switch {
	case got.err == nil || loser.isCanceled(got.err):
		loser.lose(got.err)
	default: // failed before it was canceled
		loser.fail(got.err)
		r.awaitProof(loser.proof) // as in decide
	}
	x.clear()
	x.recordDone()
	r.logHedge(r.name(x))
}

// isCanceled reports whether the error of an attempt that was canceled is the cancellation, and not its own.
func (x *attempt) isCanceled(err error) bool {
	var e link.ErrCall
	if !errors.As(err, &e) {
		return false
	}
	switch e.Reason {
	case chestnutstep.ReasonCanceled:
		return true
	case chestnutstep.ReasonTimeout:
		return x.ctx.Err() != nil
	case chestnutstep.ReasonDown: // the connection was being opened
		return errors.Is(e.Err, context.Canceled)
	}
	return false
}

// lose records an attempt that was canceled because the other one has won. If its answer was complete
// by then, err is nil and it counts as one.
func (x *attempt) lose(err error) {
	outcome, run := board.Outraced, chestnutstep.RunMaybe
	if err == nil {
		outcome, run = board.Served, chestnutstep.RunYes
		x.dropAnswer(x.answer)
	}
	now := clock.Now()
	x.atTarget.End(now, outcome)
	x.attempts.Record(run)
	x.observe(now)
	x.Meters.Tries.Add(1, x.service.Name, "outraced")
}

// observe records the time that the attempt took if it was not a hedge.
func (x *attempt) observe(now clock.Stamp) {
	if x.isHedgeable() && !x.isHedge {
		x.Hedger.Observe(now, x.route.Name, now.Sub(x.sentAt))
	}
}

func (r *race) other(x *attempt) *attempt {
	if x == r.first {
		return r.second
	}
	return r.first
}

func (r *race) name(x *attempt) string {
	if x == r.first {
		return "first"
	}
	return "second"
}

// startSecond sends the request to a second target, unless that is denied.
func (r *race) startSecond() hedge.Denial {
	if r.ctx.Err() != nil || r.isCallerConnClosed() {
		return hedge.CallerLeft
	}
	now := clock.Now()
	c, denial := r.chooseSecond(now)
	if denial != hedge.Allowed {
		return denial
	}
	r.Meters.Hedges.Add(1, r.service.Name)
	r.second = r.start(&c, r.attempts.Sent+2)
	r.second.isHedge = true
	go r.second.run(r.results)
	return hedge.Allowed
}

// chooseSecond selects the second target and withdraws the hedge from both budgets.
func (r *race) chooseSecond(now clock.Stamp) (board.Choice, hedge.Denial) {
	c := r.choiceOfSecond(now, r.Roster.View())
	s := hedge.Situation{
		Overloaded: r.Board.IsOverloaded(),
		Suspect:    r.Crashes.IsSuspect(now, r.suspects()),
		Stale:      r.workspace != nil && !r.isConfigCurrent(),
		Remaining:  time.Until(r.deadline),
		Short:      r.Hedger.IsShort(now, r.service.Name),
		Taken:      c.Taken,
		HasTarget:  c.Target != nil && c.Target.Build == r.first.target.Build,
		Running:    c.Running,
		Slots:      c.Slots,
	}
	if denial := hedge.Decide(r.plan, s); denial != hedge.Allowed {
		return c, denial
	}
	left, ok := r.Hedger.Take(r.service.Name)
	if !ok {
		return c, hedge.OutOfBudget
	}
	if !r.Budgets.TryWithdraw(time.Now(), r.service.Name) {
		r.Hedger.Refund(r.service.Name)
		return c, hedge.OutOfRetries
	}
	r.taken, r.budget = c.Taken, left
	return c, hedge.Allowed
}

func (r *race) choiceOfSecond(now clock.Stamp, v *roster.View) board.Choice {
	criteria := r.criteria()
	criteria.Build, criteria.Spare = r.first.target.Build, true
	return r.Board.Choose(now, v, r.service, criteria, r.placement())
}

// logHedge counts and logs the end of a race.
func (r *race) logHedge(won string) {
	if won == "second" {
		r.Meters.HedgesWon.Add(1, r.service.Name)
	}
	r.log(event.RelayHedged,
		event.Str("route", r.route.Name), event.Str("service", r.service.Name), event.Str("target", r.first.target.ID), event.Str("second", r.second.target.ID),
		event.Dur("delay", r.plan.Delay), event.Float("quantile", r.plan.Quantile), event.Float("taken", r.taken),
		event.Float("budget", r.budget), event.Str("won", won), event.Dur("took", clock.Now().Sub(r.first.sentAt)))
}
