// Package relay forwards callers' requests from an entry directly to targets that have no agent. It
// maintains the guarantees of an entry to its callers: a request that is not idempotent is not sent
// again if a target can have run it, an incomplete answer never looks complete, and a refusal
// reports "not run" only if no target can have run the request.
package relay

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/claim"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/cursor"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/gauge"
	"chestnutstep.example/chestnutstep/hedge"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/memory"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/roster"
)

// Relay is the http.Handler for callers' requests. Set the fields before use.
type Relay struct {
	Domain string
	// Regions maps failure domains to regions.
	Regions map[string]string
	// Bounds returns the current limits, which can change while requests are in progress.
	Bounds  func() config.Bounds
	Roster  *roster.Roster
	Board   *board.Board
	Pool    *link.Pool
	Codec   chestnutstep.HeaderCodec
	Budgets *retry.Budgets
	Crashes *CrashTracker
	// Pauses tracks the targets that asked to receive nothing for some time; nil for none. The Board
	// and the CrashTracker must use the same.
	Pauses *pause.Tracker
	// Readings receives the load that targets report in their answers; nil for none. The Board must use
	// the same.
	Readings *gauge.Store
	// Bodies accounts for the memory of callers' bodies; nil for a ledger with the default limit.
	Bodies *memory.Ledger
	Log    *event.Log
	Meters *meter.Relay
	// Hedger decides when a safe request is sent to a second target at the same time; nil for never.
	Hedger *hedge.Hedger
	// Origins records which build began a stream; if it is nil, a stream can be taken up only while
	// its service has a single build.
	Origins chestnutstep.Origins
	// Caches lists the prompt parts that a target holds; nil for none.
	Caches chestnutstep.CacheLister
	// LoadHistory reads the history of the targets into the Roster unless that was done; nil for none.
	LoadHistory func(ctx context.Context)
	// ConfirmTargets waits until the Roster has all targets that had joined before the call, and reports whether it has;
	// nil if it always has.
	ConfirmTargets func(ctx context.Context) bool
	// Claims grants and honours claims of refused callers; nil for none. The Board must use the same.
	Claims *claim.Keeper
	// IsBehind reports whether a peer has a newer configuration than this entry.
	IsBehind func() bool
	// CachesKnown is closed when the entry has the list of prefixes cached by targets, or does not
	// expect it soon. If it is nil, requests don't wait for the list.
	CachesKnown <-chan struct{}
	// Base ends the requests in progress when it ends; nil for never.
	Base context.Context

	draining, refusesNew atomic.Bool
	inFlight             atomic.Int64
	// sharedBytes counts the bytes of all requests' buffers beyond freeBufferBytes of each.
	sharedBytes atomic.Int64
	segments    memory.Segments
	listings    listings
	// holdTime is how long a large body is held, as a moving average.
	holdTime averageDuration
	// defaultBodies is used if Bodies is nil.
	defaultBodies memory.Ledger
	// framings holds the framingState of each service by name.
	framings sync.Map
}

// Drain makes the relay ask callers to close their connections.
func (e *Relay) Drain() { e.draining.Store(true) }

// RefuseNew makes the relay refuse requests that no target has received yet.
func (e *Relay) RefuseNew() { e.refusesNew.Store(true) }

// InFlight returns the number of requests in progress.
func (e *Relay) InFlight() int64 { return e.inFlight.Load() }

// request is the state of one request of a caller.
type request struct {
	*Relay
	w             http.ResponseWriter
	r             *http.Request
	ctx           context.Context
	callerHeaders chestnutstep.CallerHeaders
	view          *roster.View

	route     *chestnutstep.Route
	service   *chestnutstep.Service
	workspace *chestnutstep.WorkspaceAccess
	body      *memory.Body
	// headerMemory is what the ledger accounts for the headers, in bytes.
	headerMemory int64
	// bodyBegun reports whether a part of the body was read.
	bodyBegun    bool
	content      uint64
	startedAt    time.Time
	deadline     time.Time
	attempts     retry.Attempts
	triedTargets []string
	// buffered counts the bytes of this request's buffers. bufferMu guards it, because two attempts can
	// read answers at the same time.
	bufferMu sync.Mutex
	buffered int64
	// failureAnswer is an error response of a target. It is sent to the caller if no other target
	// serves the request.
	failureAnswer *bufferedAnswer
	// readBuild is the build of the last target that may have read the request; empty if there is none.
	readBuild string
	// stream is the part of a stream that was already sent to the caller.
	stream stream
	// allowEnd lets the caller's connection end without a reset, once its stream is whole.
	allowEnd func()
	// callerGone reports whether the caller was found to have closed its connection.
	callerGone bool
	// trials are the fingerprints of the content or parts for which this run is a trial, because they
	// have ended targets; no other request of this entry may run with them meanwhile.
	trials []uint64
	// admission is the state of the targets' places when the request was refused for lack of one;
	// nil otherwise.
	admission *board.Admission
	claim     claimState
}

// ServeHTTP handles one request of a caller.
func (e *Relay) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	e.inFlight.Add(1)
	defer e.inFlight.Add(-1)
	if e.draining.Load() {
		w.Header().Set("Connection", "close")
	}
	out := &answerWriter{ResponseWriter: w}
	defer out.finish()
	q := &request{Relay: e, w: out, r: r, startedAt: time.Now(), callerHeaders: e.Codec.CallerHeaders(r.Header), view: e.Roster.View()}
	if q.callerHeaders.IsResume {
		q.stream.cursor = cursor.After(q.callerHeaders.LastEventID)
	}
	defer q.releaseMemory()
	if refused := q.accept(); refused != nil {
		q.refuseUnread(*refused)
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), q.deadline)
	defer cancel()
	if e.Base != nil {
		defer context.AfterFunc(e.Base, cancel)()
	}
	defer func() { q.release(q.buffered) }()
	q.ctx = ctx
	if refused := q.resolveBuild(); refused != nil {
		q.answerFinal(*refused)
		return
	}
	q.awaitCaches()
	defer func() { q.Crashes.EndTrials(q.trials) }()
	q.run()
}

// refusal is an answer of the relay itself.
type refusal struct {
	status int
	reason chestnutstep.Reason
	// retryAfter is the time after which the caller may retry; 0 omits Retry-After.
	retryAfter time.Duration
}

// Error returns the reason, so that a refusal can be used as an error.
func (f refusal) Error() string { return string(f.reason) }

// unreadyRetryAfter is the Retry-After of an entry that has no configuration, or none that is
// confirmed to be current. Another entry probably has one.
const unreadyRetryAfter = 200 * time.Millisecond

// accept matches the route, authenticates the caller, checks the limits, and reads the body.
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
		q.workspace = c.WorkspaceByKey(q.callerHeaders.Key)
		if q.workspace == nil {
			return q.refuseUnknown(http.StatusUnauthorized, chestnutstep.ReasonKey)
		}
	}
	if q.callerHeaders.ID == "" {
		return &refusal{http.StatusBadRequest, chestnutstep.ReasonHeader, 0}
	}
	size := headerBytes(q.r.Header)
	if maxBytes := c.Limits.MaxHeaderBytes; maxBytes > 0 && size > maxBytes {
		return &refusal{http.StatusRequestHeaderFieldsTooLarge, chestnutstep.ReasonLarge, 0}
	}
	if !q.reserveHeaders(size) {
		return q.refuseMemory()
	}
	q.deadline = q.startedAt.Add(q.route.Timeout)
	if q.callerHeaders.Timeout > 0 && q.callerHeaders.Timeout < q.route.Timeout {
		q.deadline = q.startedAt.Add(q.callerHeaders.Timeout)
	}
	q.service = c.Services[q.pickService()]
	if q.service == nil {
		return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonTarget, unreadyRetryAfter}
	}
	return q.readBody(c.Limits.MaxBodyBytes)
}

// headerBytes returns the size of the headers on the wire.
func headerBytes(h http.Header) int {
	n := 0
	for name, values := range h {
		for _, v := range values {
			n += len(name) + len(v) + len(": \r\n")
		}
	}
	return n
}

// refuseUnknown refuses a key or a route that the configuration does not contain. If a newer
// configuration may contain it, the refusal is temporary.
func (q *request) refuseUnknown(status int, reason chestnutstep.Reason) *refusal {
	if q.IsBehind() || !q.isConfigCurrent() {
		return &refusal{http.StatusServiceUnavailable, chestnutstep.ReasonVersion, unreadyRetryAfter}
	}
	return &refusal{status, reason, 0}
}

// revokeSafetyRatio is the part of MaxRevokeTime for which a confirmed configuration counts as
// current. MaxRevokeTime runs from when the caller sent its request, which is earlier than this
// check, and the recorded time of a confirmation is never too late. The remaining part allows for
// clocks that run at different rates. A smaller ratio makes entries refuse keys sooner after the
// source has become unreachable.
const revokeSafetyRatio = 0.94

// isConfigCurrent reports whether the configuration was confirmed recently enough to decide on
// keys. Otherwise a process that was cut off or suspended could accept a key that was revoked in
// the meantime. The boot clock used here also advances during a suspension.
func (q *request) isConfigCurrent() bool {
	revoke := q.Bounds().MaxRevokeTime
	if revoke <= 0 {
		return true
	}
	limit := time.Duration(revokeSafetyRatio * float64(revoke))
	return clock.Now().Sub(q.Roster.VersionConfirmedAt()) <= limit
}

// pickService selects a service of the route by weight. All attempts of a request use the same one.
func (q *request) pickService() string {
	list := q.route.Splits
	if len(list) == 1 {
		return list[0].Service
	}
	sum := 0.0
	for _, s := range list {
		sum += s.Weight
	}
	at := hashFraction(q.callerHeaders.ID) * sum
	for _, s := range list {
		at -= s.Weight
		if at < 0 {
			return s.Service
		}
	}
	return list[len(list)-1].Service
}
