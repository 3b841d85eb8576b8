// Package relay takes callers' requests and brings them to targets without an
// agent between. Everything that an entry promises its callers there is kept
// here: a request that may not be repeated is sent once, an answer that is not
// whole never looks whole, and "not run" is said only when it is true.
package relay

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/roster"
)

// Relay is the handler of callers' requests. Set the fields before use.
type Relay struct {
	Domain string
	// Regions gives the region of each failure domain.
	Regions map[string]string
	// Bounds in force; they may change while requests run.
	Bounds  func() config.Bounds
	Roster  *roster.Roster
	Board   *board.Board
	Pool    *link.Pool
	Wire    chestnutstep.HeaderCodec
	Budgets *retry.Budgets
	Crashes *CrashTracker
	Log     *event.Log
	Meters  *meter.Relay
	// IsBehind says that a peer knows a newer configuration than this entry.
	IsBehind func() bool
	// CachesKnown is closed once the entry knows what targets hold, or won't learn it
	// soon. With nil nobody waits for it.
	CachesKnown <-chan struct{}

	draining atomic.Bool
	inFlight atomic.Int64
}

// Drain makes the relay ask callers to close their connections.
func (e *Relay) Drain() { e.draining.Store(true) }

// InFlight is how many requests are in progress.
func (e *Relay) InFlight() int64 { return e.inFlight.Load() }

// request is one request of a caller on its way.
type request struct {
	*Relay
	w    http.ResponseWriter
	r    *http.Request
	ctx  context.Context
	ask  chestnutstep.CallerHeaders
	view *roster.View

	route        *chestnutstep.Route
	service      *chestnutstep.Service
	workspace    *chestnutstep.WorkspaceAccess
	body         []byte
	content      uint64
	startedAt    time.Time
	deadline     time.Time
	attempts     retry.Attempts
	triedTargets []string
	// failureAnswer is a target's own answer of failure, kept for the caller in case
	// nothing better comes.
	failureAnswer *bufferedAnswer
	// stream is what the caller has of a stream already.
	stream stream
	// callerGone reports that the caller was found to have closed its connection.
	callerGone bool
	// isTrial says that the content has ended targets and that no other of this entry's requests
	// may run it meanwhile.
	isTrial bool
	// capacity is what was known of the targets' places when none was left; nil before.
	capacity *board.Admission
}

// ServeHTTP answers one request of a caller.
func (e *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	q := &request{Relay: e, w: w, r: r, startedAt: time.Now(), ask: e.Wire.CallerHeaders(r.Header), view: e.Roster.View()}
	if refused := q.accept(); refused != nil {
		q.refuse(*refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	q.ctx = ctx
	q.awaitCaches()
	defer q.endTrial()
	q.run()
}

func (q *request) endTrial() {
	if q.isTrial {
		q.Crashes.EndTrial(q.content)
	}
}

// refusal is an answer of the relay's own.
type refusal struct {
	status int
	reason chestnutstep.Reason
	// retryAfter is when the caller may come back; 0 for no word on it.
	retryAfter time.Duration
}

// Error makes a refusal usable as an error.
func (f refusal) Error() string { return string(f.reason) }

// unreadyRetryAfter is when to come back to an entry that knows no configuration, or
// none that is surely current: another entry is likely to know one.
const unreadyRetryAfter = 200 * time.Millisecond

// accept checks who asks for what, and reads the body.
func (q *request) accept() *refusal {
	if q.view == nil {
		return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonVersion, unreadyRetryAfter}
	}
	c := q.view.Routing
	q.route = c.MatchRoute(q.r.Host, q.r.URL.Path)
	if q.route == nil {
		return q.refuseUnknown(http.StatusNotFound, chestnutstep.ReasonProfile)
	}
	if c.RequiresKey && !q.route.Public {
		if !q.isConfigCurrent() {
			return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonVersion, unreadyRetryAfter}
		}
		q.workspace = c.WorkspaceByKey(q.ask.Key)
		if q.workspace == nil {
			return q.refuseUnknown(http.StatusUnauthorized, chestnutstep.ReasonKey)
		}
	}
	if q.ask.ID == "" {
		return &refusal{http.StatusBadRequest, chestnutstep.ReasonHeader, 0}
	}
	if maxBytes := c.Limits.MaxHeaderBytes; maxBytes > 0 && headerBytes(q.r.Header) > maxBytes {
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, chestnutstep.ReasonLarge, 0}
	}
	q.deadline = q.startedAt.Add(q.route.Timeout)
	if q.ask.Timeout > 0 && q.ask.Timeout < q.route.Timeout {
		q.deadline = q.startedAt.Add(q.ask.Timeout)
	}
	q.service = c.Services[q.pickService()]
	if q.service == nil {
		return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonTarget, unreadyRetryAfter}
	}
	return q.readBody(c.Limits.MaxBodyBytes)
}

// headerBytes is the size of headers on the wire.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// refuseUnknown refuses a key or a route that the configuration does not hold, unless
// a newer one may hold it.
func (q *request) refuseUnknown(status int, reason chestnutstep.Reason) *refusal {
	if q.IsBehind() || !q.isConfigCurrent() {
		return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonVersion, unreadyRetryAfter}
	}
	return &refusal{status, reason, 0}
}

// revokeSafetyRatio is the part of the bound on keys up to which the configuration counts as
// current. The bound runs from when a caller sent its request, which is before it is
// checked here, and a proof is never later than it says: the rest is for clocks that
// don't run alike. Each part less refuses keys sooner
// after the source has fallen silent.
const revokeSafetyRatio = 0.94

// isConfigCurrent says whether the configuration is surely new enough to decide on keys.
// A process that was cut off or suspended would otherwise let in a key that was
// taken away meanwhile. The boot clock goes on during a suspension.
func (q *request) isConfigCurrent() bool {
	revoke := q.Bounds().MaxRevokeTime
	if revoke <= 0 {
		return true
	}
	limit := time.Duration(revokeSafetyRatio * float64(revoke))
	return clock.Now().Sub(q.Roster.VersionConfirmedAt()) <= limit
}

// pickService picks a service of the route by its weights, the same one for all tries.
func (q *request) pickService() string {
	list := q.route.Splits
	if len(list) == 1 {
		return list[0].Service
	}
	sum := 0.0
	for _, s := range list {
		sum += s.Weight
	}
	at := hashFraction(q.ask.ID) * sum
	for _, s := range list {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return list[len(list)-1].Service
}

func (q *request) readBody(maxBytes int64) *refusal {
	if maxBytes <= 0 {
		maxBytes = defaultMaxBodyBytes
	}
	if q.r.ContentLength > maxBytes {
		return &refusal{http.StatusRequestEntityTooLarge, chestnutstep.ReasonLarge, 0}
	}
	body, err := readAll(q.r, maxBytes)
	if err != nil {
		return &refusal{http.StatusBadRequest, chestnutstep.ReasonShort, 0}
	}
	if int64(len(body)) > maxBytes {
		return &refusal{http.StatusRequestEntityTooLarge, chestnutstep.ReasonLarge, 0}
	}
	q.body = body
	q.content = q.fingerprint()
	return nil
}

// readAll reads a body; one whose length is not said up to a byte beyond most. Where the
// length is said, as it mostly is, nothing is copied on the way.
func readAll(r *http.Request, maxBytes int64) ([]byte, error) {
	if r.ContentLength < 0 {
		return io.ReadAll(io.LimitReader(r.Body, maxBytes+1))
	}
	body := make([]byte, r.ContentLength)
	_, err := io.ReadFull(r.Body, body)
	return body, err
}

// defaultMaxBodyBytes bounds a body in bytes where the configuration does not.
const defaultMaxBodyBytes = 4 << 20
