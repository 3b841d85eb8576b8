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
	// resumeTimeout is how long an engine may go on without a connection. On the
	// same host a connection is made again in milliseconds.
	resumeTimeout = 2 * time.Second
	// connectTimeout bounds a dial to the target on the same host.
	connectTimeout = time.Second
)

// Clients returns the two clients for a target. Reused connections save a
// handshake, but net/http repeats a request by itself when a reused connection
// dies and the request has an Idempotency-Key: a booking would run twice with
// nobody having sent it twice. A client that opens a connection for each
// request has nothing to repeat on.
func Clients() (pooled, unpooled *http.Client) {
	dial := &net.Dialer{Timeout: connectTimeout}
	pooledTransport := &http.Transport{
		DialContext:         dial.DialContext,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,
	}
	unpooledTransport := &http.Transport{
		DialContext:        dial.DialContext,
		DisableKeepAlives:  true,
		DisableCompression: true,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	pooled = &http.Client{Transport: pooledTransport, CheckRedirect: noRedirect}
	unpooled = &http.Client{Transport: unpooledTransport, CheckRedirect: noRedirect}
	return pooled, unpooled
}

// callResult is how a call to the target ended.
type callResult struct {
	outcome chestnutstep.Outcome
	reason  chestnutstep.Reason
	run     chestnutstep.RunStatus
	// unsent says that no byte of the request left this process.
	unsent bool
}

var servedResult = callResult{outcome: chestnutstep.OutcomeServed, run: chestnutstep.RunYes}

// run calls the target and copies its answer to the log.
func (j *job) run(ctx context.Context) {
	defer j.agent.runs.Done()
	res := j.call(ctx)
	if res.unsent {
		j.agent.stopCrashTracking(j)
	}
	if res.outcome == chestnutstep.OutcomeAbandoned && !res.unsent {
		j.cancelOnTarget()
	}
	if res.outcome == chestnutstep.OutcomeFailed {
		// Ask before the job is marked ended: if the target died, this job and
		// all that ran beside it become crash suspects.
		j.agent.health.check(j.agent)
		res.reason = j.classifyFailure(res.reason)
	}
	if res.outcome != chestnutstep.OutcomeServed {
		j.agent.resolveUnsent(j, &res)
		j.log.Break(res.reason, res.run, 0)
	}
	j.agent.finishJob(j, res)
}

// classifyFailure tells a dead target from a dropped connection: only the first
// makes a request suspect. Content that this crash condemned is named so: the
// entry then warns the agents to which the caller's repeat would go. Where the
// entry had not heard of an earlier crash here, as its link broke, it would take
// this one for the first and let the content take down another target.
func (j *job) classifyFailure(reason chestnutstep.Reason) chestnutstep.Reason {
	if reason != chestnutstep.ReasonCrashed && reason != chestnutstep.ReasonShort {
		return reason
	}
	j.agent.mu.Lock()
	defer j.agent.mu.Unlock()
	if j.agent.health.crashCount == j.crashesAtStart {
		return chestnutstep.ReasonShort
	}
	if j.agent.Detector.Check(j.agent.Clock(), j.offer.Fingerprint) == chestnutstep.ContentCondemned {
		return chestnutstep.ReasonCondemned
	}
	return chestnutstep.ReasonCrashed
}

// stopCrashTracking ends the watch on a request that never reached the target, before the
// target is found dead: it can't have been the cause.
func (a *Agent) stopCrashTracking(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Detector.End(a.Clock(), j.offer.Fingerprint, false)
}

// resolveUnsent turns "nothing was sent" into a true "not run", for a ticket by its
// tombstone.
func (a *Agent) resolveUnsent(j *job, res *callResult) {
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

func (j *job) call(ctx context.Context) callResult {
	// Set once the request had a connection: the client sends it again by itself
	// when a reused one breaks, and its error is then that of the last attempt.
	var connected atomic.Bool
	trace := &httptrace.ClientTrace{GotConn: func(httptrace.GotConnInfo) { connected.Store(true) }}
	rq, err := j.newRequest(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return callResult{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonHeader, unsent: true}
	}
	j.fetchCache(ctx)
	client := j.agent.PooledClient
	if j.atMostOnce() {
		client = j.agent.UnpooledClient
	}
	// The clock once more, right before the call: a process that slept since
	// the last check must not run what its caller has given up.
	if !j.agent.Clock().Before(j.deadline) {
		return callResult{outcome: chestnutstep.OutcomeAbandoned, reason: chestnutstep.ReasonTimeout, unsent: true}
	}
	if j.replay(ctx) {
		return servedResult
	}
	rs, err := client.Do(rq)
	if err != nil {
		return j.callError(ctx, err, connected.Load())
	}
	defer rs.Body.Close()
	if !j.isOwnAnswer(rs) {
		return callResult{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonCrossed, run: chestnutstep.RunMaybe}
	}
	j.agent.health.observeBoot(j, rs.Header.Get(chestnutstep.HeaderBootID))
	h := answerHead(rs)
	j.recordHead(h)
	j.log.SetHead(h)
	return j.copy(ctx, rs)
}

// fetchCache imports the chat's prompt prefix from the target that refused it, if
// that beats rebuilding. Its failure only means that the prefix is rebuilt.
func (j *job) fetchCache(ctx context.Context) {
	c := chatKey{j.offer.Workspace, j.offer.Chat}
	if j.offer.Source == "" || j.agent.hasChat(c) {
		return
	}
	_, _ = j.agent.importCache(ctx, j.offer.Source, c)
}

func (a *Agent) hasChat(c chatKey) bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.chats.has(c)
}

// newRequest builds what the target gets: path, headers and body as the caller
// sent them, and what the target needs to know of the request.
func (j *job) newRequest(ctx context.Context) (*http.Request, error) {
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
	if j.agent.modelKind() == chestnutstep.KindEngine {
		rq.Header.Set(headerLinger, resumeTimeout.String())
	}
	return rq, nil
}

// headerWorkspace tells the target whose chat it is: two workspaces may use
// the same chat name and must never share a prompt cache entry.
const headerWorkspace = "Chestnut-Workspace"

// headerLinger asks an engine to go on for a while after its connection broke,
// so that the stream can be resumed; a cancel is then told in so many words.
const headerLinger = "Linger"

// isOwnAnswer says that the answer belongs to this request. Engines repeat its id; a
// plain service may not, but must not repeat another's.
func (j *job) isOwnAnswer(rs *http.Response) bool {
	id := rs.Header.Get(chestnutstep.HeaderRequestID)
	if id == "" {
		return j.agent.modelKind() == chestnutstep.KindService
	}
	return id == j.offer.Id
}

func (j *job) callError(ctx context.Context, err error, connected bool) callResult {
	if ended, ok := contextResult(ctx); ok {
		return ended
	}
	var op *net.OpError
	if !connected && errors.As(err, &op) && op.Op == "dial" {
		return callResult{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonDown, unsent: true}
	}
	return callResult{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonCrashed, run: chestnutstep.RunMaybe}
}

// contextResult tells a time limit and a cancel from a fault of the target.
func contextResult(ctx context.Context) (callResult, bool) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return callResult{outcome: chestnutstep.OutcomeAbandoned, reason: chestnutstep.ReasonTimeout, run: chestnutstep.RunMaybe}, true
	case ctx.Err() != nil:
		return callResult{outcome: chestnutstep.OutcomeAbandoned, reason: chestnutstep.ReasonCanceled, run: chestnutstep.RunMaybe}, true
	}
	return callResult{}, false
}
