package agent

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync/atomic"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

const (
	// resumeLimit is how long an engine may go on without a connection. On the
	// same host a connection is made again in milliseconds.
	resumeLimit = 2 * time.Second
	// connectLimit bounds a dial to the target on the same host.
	connectLimit = time.Second
)

// Clients returns the two clients for a target. Reused connections save a
// handshake, but net/http repeats a request by itself when a reused connection
// dies and the request has an Idempotency-Key: a booking would run twice with
// nobody having sent it twice. A client that opens a connection for each
// request has nothing to repeat on.
func Clients() (reuse, single *http.Client) {
	dial := &net.Dialer{Timeout: connectLimit}
	shared := &http.Transport{
		DialContext:         dial.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	fresh := &http.Transport{
		DialContext:        dial.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	stay := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	reuse = &http.Client{Transport: shared, CheckRedirect: stay}
	single = &http.Client{Transport: fresh, CheckRedirect: stay}
	return reuse, single
}

// result is how a call to the target ended.
type result struct {
	outcome chestnutstep.Outcome
	reason  chestnutstep.Reason
	run     chestnutstep.RunStatus
	// unsent says that no byte of the request left this process.
	unsent bool
}

var served = result{outcome: chestnutstep.OutcomeServed, run: chestnutstep.RunYes}

// run calls the target and copies its answer to the log.
func (j *job) run(ctx context.Context) {
	defer j.agent.runs.Done()
	res := j.call(ctx)
	if res.unsent {
		j.agent.unwatch(j)
	}
	if res.outcome == chestnutstep.OutcomeAbandoned && !res.unsent {
		j.stop()
	}
	if res.outcome == chestnutstep.OutcomeFailed {
		// Ask before the job is marked ended: if the target died, this job and
		// all that ran beside it become crash suspects.
		j.agent.health.check(j.agent)
		res.reason = j.crashOrShort(res.reason)
	}
	if res.outcome != chestnutstep.OutcomeServed {
		j.agent.settle(j, &res)
		j.log.Break(res.reason, res.run, 0)
	}
	j.agent.finish(j, res)
}

// crashOrShort tells a dead target from a dropped connection: only the first
// makes a request suspect. Content that this crash condemned is named so: the
// entry then warns the agents to which the caller's repeat would go. Where the
// entry had not heard of an earlier crash here, as its link broke, it would take
// this one for the first and let the content take down another target.
func (j *job) crashOrShort(reason chestnutstep.Reason) chestnutstep.Reason {
	if reason != chestnutstep.ReasonCrashed && reason != chestnutstep.ReasonShort {
		return reason
	}
	j.agent.mu.Lock()
	defer j.agent.mu.Unlock()
	if j.agent.health.crashes == j.crashes {
		return chestnutstep.ReasonShort
	}
	if j.agent.Detector.Check(j.agent.Clock(), j.offer.Fingerprint) == chestnutstep.ContentCondemned {
		return chestnutstep.ReasonCondemned
	}
	return chestnutstep.ReasonCrashed
}

// unwatch ends the watch on a request that never reached the target, before the
// target is found dead: it can't have been the cause.
func (a *Agent) unwatch(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Detector.End(a.Clock(), j.offer.Fingerprint, false)
}

// settle turns "nothing was sent" into a true "not run", for a ticket by its
// tombstone.
func (a *Agent) settle(j *job, res *result) {
	if !res.unsent {
		return
	}
	res.run = chestnutstep.RunNo
	if j.offer.Ticket == "" {
		return
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	res.run = a.Issuer.MarkUnsent(now, j.offer.Ticket).Run
}

func (j *job) call(ctx context.Context) result {
	// Set once the request had a connection: the client sends it again by itself
	// when a reused one breaks, and its error is then that of the last attempt.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	rq, err := j.request(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return result{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonHeader, unsent: true}
	}
	j.fetch(ctx)
	client := j.agent.Reuse
	if j.once() {
		client = j.agent.Single
	}
	// The clock once more, right before the call: a process that slept since
	// the last check must not run what its caller has given up.
	if !j.agent.Clock().Before(j.deadline) {
		return result{outcome: chestnutstep.OutcomeAbandoned, reason: chestnutstep.ReasonTimeout, unsent: true}
	}
	if j.replay(ctx) {
		return served
	}
	rs, err := client.Do(rq)
	if err != nil {
		return j.callError(ctx, err, connected.Load())
	}
	defer rs.Body.Close()
	if !j.own(rs) {
		return result{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonCrossed, run: chestnutstep.RunMaybe}
	}
	j.agent.health.seen(j, rs.Header.Get(chestnutstep.HeaderBootID))
	h := head(rs)
	j.seeHead(h)
	j.log.SetHead(h)
	return j.copy(ctx, rs)
}

// fetch imports the chat's prompt prefix from the target that refused it, if
// that beats rebuilding. Its failure only means that the prefix is rebuilt.
func (j *job) fetch(ctx context.Context) {
	c := chat{j.offer.Workspace, j.offer.Chat}
	if j.offer.Source == "" || j.agent.knows(c) {
		return
	}
	_, _ = j.agent.fetch(ctx, j.offer.Source, c)
}

func (a *Agent) knows(c chat) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.chats.has(c)
}

// request builds what the target gets: path, headers and body as the caller
// sent them, and what the target needs to know of the request.
func (j *job) request(ctx context.Context) (*http.Request, error) {
	at, err := url.Parse(j.agent.URL + j.offer.Path)
	if err != nil {
		return nil, errors.Wrap(err, "path")
	}
	rq, err := http.NewRequestWithContext(ctx, j.offer.Method, at.String(), bytes.NewReader(j.body))
	if err != nil {
		return nil, errors.Wrap(err, "request")
	}
	for _, h := range j.offer.Headers {
		rq.Header.Add(h.Name, h.Value)
	}
	rq.Header.Set(chestnutstep.HeaderRequestID, j.offer.Id)
	rq.Header.Set(chestnutstep.HeaderPriority, strconv.Itoa(int(j.offer.Class)))
	rq.Header.Set(chestnutstep.HeaderChat, j.offer.Chat)
	rq.Header.Set(headerWorkspace, j.offer.Workspace)
	if j.agent.kind() == chestnutstep.KindEngine {
		rq.Header.Set(headerLinger, resumeLimit.String())
	}
	return rq, nil
}

// headerWorkspace tells the target whose chat it is: two workspaces may use
// the same chat name and must never share a prompt cache entry.
const headerWorkspace = "Chestnut-Workspace"

// headerLinger asks an engine to go on for a while after its connection broke,
// so that the stream can be resumed; a cancel is then told in so many words.
const headerLinger = "Linger"

// own says that the answer belongs to this request. Engines repeat its id; a
// plain service may not, but must not repeat another's.
func (j *job) own(rs *http.Response) bool {
	id := rs.Header.Get(chestnutstep.HeaderRequestID)
	if id == "" {
		return j.agent.kind() == chestnutstep.KindService
	}
	return id == j.offer.Id
}

func (j *job) callError(ctx context.Context, err error, connected bool) result {
	if ended, ok := endedBy(ctx); ok {
		return ended
	}
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return result{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonDown, unsent: true}
	}
	return result{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonCrashed, run: chestnutstep.RunMaybe}
}

// endedBy tells a time limit and a cancel from a fault of the target.
func endedBy(ctx context.Context) (result, bool) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return result{outcome: chestnutstep.OutcomeAbandoned, reason: chestnutstep.ReasonTimeout, run: chestnutstep.RunMaybe}, true
	case ctx.Err() != nil:
		return result{outcome: chestnutstep.OutcomeAbandoned, reason: chestnutstep.ReasonCanceled, run: chestnutstep.RunMaybe}, true
	}
	return result{}, false
}
