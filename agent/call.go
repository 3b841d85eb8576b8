package agent

import (
	"bytes"
	"context"
	"net"
	"net/http"
	"net/http/httptrace"
	"net/url"
	"strconv"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/head"
	targetlink "chestnutstep.example/chestnutstep/link"
)

const (
	// resumeTimeout is how long an engine keeps generating without a connection. On the same host a
	// connection is restored within milliseconds.
	resumeTimeout = 2 * time.Second
	// connectTimeout is the timeout for connecting to the target on the same host.
	connectTimeout = time.Second
)

// Clients returns the two HTTP clients for a target. The pooled client reuses connections and saves
// handshakes, but net/http retries a request by itself when a reused connection breaks and the
// request has an Idempotency-Key: a booking could run twice although it was sent once. The unpooled
// client opens a connection for each request, so it has no reused connection on which net/http
// would retry.
func Clients() (pooled, unpooled *http.Client) {
	dial := head.Scan((&targetlink.Dialer{Timeout: connectTimeout}).DialContext)
	pooledTransport := &http.Transport{
		DialContext:         dial,
		MaxIdleConnsPerHost: 64,
		IdleConnTimeout:     time.Minute,
		DisableCompression:  true,

		MaxResponseHeaderBytes: chestnutstep.MaxHeadBytes,
	}
	unpooledTransport := &http.Transport{
		DialContext:        dial,
		DisableKeepAlives:  true,
		DisableCompression: true,

		MaxResponseHeaderBytes: chestnutstep.MaxHeadBytes,
	}
	noRedirect := func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }
	pooled = &http.Client{Transport: head.Transport{Base: pooledTransport}, CheckRedirect: noRedirect}
	unpooled = &http.Client{Transport: head.Transport{Base: unpooledTransport}, CheckRedirect: noRedirect}
	return pooled, unpooled
}

// callResult is the result of a call to the target.
type callResult struct {
	outcome chestnutstep.Outcome
	reason  chestnutstep.Reason
	run     chestnutstep.RunStatus
	// unsent is set if no byte of the request left this process.
	unsent bool
}

var servedResult = callResult{outcome: chestnutstep.OutcomeServed, run: chestnutstep.RunYes}

// run calls the target and copies its answer to the job's log.
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
		// Probe before the job is marked as finished: if the target crashed, this job and all
		// others that were running become crash suspects.
		j.agent.health.check(j.agent)
		res.reason = j.classifyFailure(res.reason)
	}
	if res.outcome != chestnutstep.OutcomeServed {
		j.agent.resolveUnsent(j, &res)
		j.log.Break(res.reason, res.run, 0)
	}
	j.agent.finishJob(j, res)
}

// classifyFailure distinguishes a crashed target from a dropped connection; only a crash makes a
// request suspect. If the crash condemned the content, it returns ReasonCondemned, on which the
// entry warns the agents that the caller's retry would reach. An entry that missed an earlier crash
// because its link broke would otherwise take this one for the first, and the content could crash
// another target.
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

// stopCrashTracking ends crash tracking of a request that never reached the target. It must run
// before a probe records the crash of the target, as the request can't be its cause.
func (a *Agent) stopCrashTracking(j *job) {
	a.mu.Lock()
	defer a.mu.Unlock()
	a.Detector.End(a.Clock(), j.offer.Fingerprint, false)
}

// resolveUnsent reports a request of which nothing was sent as "not run"; for a request with a
// ticket the ticket's tombstone makes that final.
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

// usedConn is the last connection of a call.
type usedConn struct {
	mu   sync.Mutex
	conn net.Conn
}

func (c *usedConn) set(conn net.Conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	c.conn = conn
}

func (c *usedConn) get() net.Conn {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.conn
}

func (j *job) call(ctx context.Context) callResult {
	// conn is set once the request had a connection: net/http retries by itself when a reused
	// connection breaks, and then returns the error of its last attempt only.
	var conn usedConn
	trace := &httptrace.ClientTrace{GotConn: func(info httptrace.GotConnInfo) { conn.set(info.Conn) }}
	rq, err := j.newRequest(httptrace.WithClientTrace(ctx, trace))
	if err != nil {
		return callResult{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonHeader, unsent: true}
	}
	j.fetchCache(ctx)
	client := j.agent.PooledClient
	if j.atMostOnce() {
		client = j.agent.UnpooledClient
	}
	// Check the clock again right before the call: the process can have been suspended since the
	// last check, and a request that its caller has given up must not run.
	if !j.agent.Clock().Before(j.deadline) {
		return callResult{outcome: chestnutstep.OutcomeAbandoned, reason: chestnutstep.ReasonTimeout, unsent: true}
	}
	if j.replay(ctx) {
		return servedResult
	}
	defer j.releaseWitness()
	j.prepareWitness()
	rs, err := j.agent.send(client, rq)
	if res, ok := unsentResult(err); ok {
		return res
	}
	if err != nil {
		return j.callError(ctx, err, conn.get() != nil)
	}
	defer rs.Body.Close()
	if !j.isOwnAnswer(rs) {
		return callResult{outcome: chestnutstep.OutcomeFailed, reason: chestnutstep.ReasonCrossed, run: chestnutstep.RunMaybe}
	}
	j.agent.health.observeBoot(j, rs.Header.Get(chestnutstep.HeaderBootID))
	j.watchEnd(rs, conn.get())
	h := answerHead(rs)
	j.recordHead(h)
	j.log.SetHead(h)
	return j.copy(ctx, rs)
}

// fetchCache imports the chat's prompt prefix from the target that refused the request, if that is
// cheaper than rebuilding it. Errors are ignored because the prefix is then rebuilt.
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

// newRequest builds the request to the target: path, headers and body as sent by the caller, plus
// the request's id, priority, chat and workspace.
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

// headerWorkspace names the workspace of the chat for the target: two workspaces can use the same
// chat name and must never share an entry of the prompt cache.
const headerWorkspace = "Chestnut-Workspace"

// headerLinger asks an engine to continue for a while after its connection breaks, so that the
// stream can be resumed. A cancel is therefore sent as an explicit request.
const headerLinger = "Linger"

// isOwnAnswer reports whether the answer belongs to this request. Engines return the request's id;
// a plain service can omit it but must not return a different one.
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

// contextResult returns the result of a call whose context has timed out or was canceled, and false
// if the context is still valid, so that the error is a fault of the target.
func contextResult(ctx context.Context) (callResult, bool) {
	switch {
	case errors.Is(ctx.Err(), context.DeadlineExceeded):
		return callResult{outcome: chestnutstep.OutcomeAbandoned, reason: chestnutstep.ReasonTimeout, run: chestnutstep.RunMaybe}, true
	case ctx.Err() != nil:
		return callResult{outcome: chestnutstep.OutcomeAbandoned, reason: chestnutstep.ReasonCanceled, run: chestnutstep.RunMaybe}, true
	}
	return callResult{}, false
}
