package relay

import (
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
)

const (
	// busyRetryAfter is the Retry-After if no target could accept the request.
	busyRetryAfter = 250 * time.Millisecond
	// minAttemptTime is the remaining time below which no further target is tried.
	minAttemptTime = 20 * time.Millisecond
)

// run sends the request to one target after the other until one has answered or none is left.
func (q *request) run() {
	for {
		c, refused := q.chooseTarget()
		if refused != nil {
			q.answerFinal(*refused)
			return
		}
		done, err := q.attempt(&c)
		if done {
			return
		}
		if q.ctx.Err() != nil || !q.canRetry(err) {
			q.answerFinal(q.finalRefusal(err))
			return
		}
	}
}

// awaitCaches delays a request at an entry that has just started until the list of prefixes cached
// by targets is available. It waits no longer than the time that a cached prefix of this size
// saves.
func (q *request) awaitCaches() {
	if q.CachesKnown == nil || !q.service.IsEngine {
		return
	}
	t := time.NewTimer(place.Patience(q.placement().Shared))
	defer t.Stop()
	select {
	case <-q.CachesKnown:
	case <-t.C:
	case <-q.ctx.Done():
	}
}

// canRetry reports whether the request may be sent to another target, and withdraws the retry from
// the budget. After a target that could not be reached, a retry needs no budget.
func (q *request) canRetry(err error) bool {
	if !q.attempts.CanRetry(q.route.IsIdempotent(), q.route.MaxAttempts) {
		return false
	}
	if time.Until(q.deadline) < minAttemptTime {
		return false
	}
	if hasReachedTarget(err) && !q.Budgets.TryWithdraw(time.Now(), q.service.Name) {
		q.Meters.RetriesDenied.Add(1, q.service.Name)
		q.log(event.RelayBudget, event.Str("service", q.service.Name))
		return false
	}
	return true
}

// hasReachedTarget reports whether the target may have received the request.
func hasReachedTarget(err error) bool {
	var e link.ErrCall
	return !errors.As(err, &e) || e.Reason != chestnutstep.ReasonDown && !isUnsent(err)
}

// attempt sends the request to one target. If done is true, the caller has received its answer.
func (q *request) attempt(c *board.Choice) (done bool, err error) {
	if plan, ok := q.hedgePlan(); ok {
		return q.race(c, plan)
	}
	x := q.start(c, q.attempts.Sent+1)
	defer x.end()
	return x.finish(x.exchange())
}

// countTokens counts the tokens of the prompt by their expected source.
func (q *request) countTokens(c *board.Choice) {
	if c.Request.Tokens == 0 {
		return
	}
	q.Meters.PromptTokens.Add(int64(c.CachedTokens), "held")
	q.Meters.PromptTokens.Add(int64(c.ReusableTokens()-c.CachedTokens), "fetched")
	q.Meters.PromptTokens.Add(int64(max(c.Request.Tokens-c.ReusableTokens(), 0)), "read")
}

// buildCall builds the request to a target.
func (q *request) buildCall(c *board.Choice) *link.Call {
	h := make(http.Header, len(q.r.Header)+4)
	for name, values := range q.r.Header {
		if !chestnutstep.IsHopHeader(name) && !q.isConnectionHeader(name) && name != "Content-Length" && name != "Expect" {
			h[name] = values
		}
	}
	s := chestnutstep.ForwardHeaders{
		Instance:  c.ID,
		Timeout:   time.Until(q.deadline),
		FetchFrom: c.Donor.Address,
		Urgency:   chestnutstep.UrgencyUnset,
	}
	if q.workspace != nil {
		s.Workspace = q.workspace.Name
	}
	if q.service.IsEngine {
		s.Urgency = q.urgency()
	}
	s.LastEventID, s.IsResume = q.stream.cursor.Last()
	q.Codec.SetForwardHeaders(h, s)
	return &link.Call{
		Method:      q.r.Method,
		URI:         q.r.RequestURI,
		Host:        q.r.Host,
		Header:      h,
		Body:        q.body,
		HasBody:     q.r.ContentLength != 0,
		MaxIdle:     link.MaxIdle(q.service.MaxConnections, q.Board.EntryCount()),
		NewConn:     c.NewConnection,
		DialTimeout: q.dialTimeout(c),
	}
}

const (
	// verifyRatio is the part of the latency objective for which a request may wait for a
	// connection that verifies that the target's host is up; minVerifyTimeout is the minimum of
	// that time.
	verifyRatio      = 0.25
	minVerifyTimeout = 250 * time.Millisecond
)

// dialTimeout limits the time to open a connection that verifies a host, so that enough time
// remains for another target; 0 means no limit.
func (q *request) dialTimeout(c *board.Choice) time.Duration {
	if !c.NewConnection || q.route.LatencyObjective <= 0 {
		return 0
	}
	return max(time.Duration(verifyRatio*float64(q.route.LatencyObjective)), minVerifyTimeout)
}

// onUnresponsive is called when the target's host does not acknowledge the request. It reports whether
// the request must be abandoned there and retried on another target, which requires that the request is
// idempotent and has attempts left, and that this entry's own link is known to work.
func (x *attempt) onUnresponsive() bool {
	x.Meters.Silent.Add(1, x.service.Name)
	recorded := x.Board.RecordUnresponsive(clock.Now(), x.target)
	x.log(event.TargetSilent, event.Str("target", x.target.ID), event.Bool("link", recorded), event.Bool("again", recorded && x.canRepeat))
	return recorded && x.canRepeat
}

// isConnectionHeader reports whether the caller's Connection header lists the header name, which
// makes it a hop-by-hop header.
func (q *request) isConnectionHeader(name string) bool {
	for _, line := range q.r.Header["Connection"] {
		for _, token := range splitList(line) {
			if http.CanonicalHeaderKey(token) == name {
				return true
			}
		}
	}
	return false
}

// urgency returns the urgency level for targets: the rank of the workspace or else of the route,
// limited to 0 to 9.
func (q *request) urgency() int {
	rank := q.route.Rank
	if q.workspace != nil && q.workspace.HasRank {
		rank = q.workspace.Rank
	}
	return min(max(rank, 0), 9)
}

// fingerprint returns the fingerprint of the content. It does not include the id and the key, so
// that a deadly content is recognized when its caller retries it with others.
func (q *request) fingerprint() uint64 {
	return crash.Fingerprint(q.requester().Workspace, q.r.Method+" "+q.r.RequestURI, q.body.Segments()...)
}

func hashFraction(id string) float64 { return float64(xxhash.Sum64String(id)>>11) / (1 << 53) }
