// Package entry implements the stateless process between callers and agents. It authenticates the
// caller, selects the profile, ranks targets for the chat, offers the request to them in that order
// and streams the answer back. It keeps no state on which a caller depends: any other entry can
// take over.
package entry

import (
	"context"
	"io"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/guard"
	"chestnutstep.example/chestnutstep/memory"
)

// Links provides connections to agents.
type Links interface {
	// Conn returns a connection to an agent's address. The connection is established at its first
	// use and closed when idle.
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Hosts records how hosts respond to this entry's offers.
type Hosts interface {
	// RecordFailure records that a host did not answer, RecordSuccess that it did, and
	// RecordRefusal that its agent reported that it is leaving.
	RecordFailure(now time.Time, host string)
	RecordSuccess(now time.Time, host string)
	RecordRefusal(now time.Time, host string)
}

// Entry serves callers. Set the exported fields before its first request.
type Entry struct {
	// Name is the name of this process, and Region the region in which it runs.
	Name   string
	Region string
	// View returns the publication in force, or nil before the first one.
	View func() *chestnutstep.View
	// Ranker returns the ranking for a publication.
	Ranker func(*chestnutstep.View) chestnutstep.Ranker
	Links  Links
	Hosts  Hosts
	// RetryBudget limits retries of requests that may have run; FailoverBudget limits offers to
	// further targets after a refusal.
	RetryBudget    chestnutstep.RetryBudget
	FailoverBudget chestnutstep.RetryBudget
	// Detector keeps the crash suspicions; nil disables crash detection. Locker returns the lock
	// that guards it.
	Detector chestnutstep.Detector
	// EntryCount returns the number of entries that share the callers, for rate limits.
	EntryCount func() int
	// Bodies accounts for the memory of callers' bodies. The zero value has the default limit.
	Bodies memory.Ledger
	// MaxOpen is the maximum number of requests in progress; 0 means no limit. Without a limit, a
	// surge of requests can exhaust the memory of the process and end all answers in progress.
	MaxOpen int64
	// Clock returns the current time: time.Now, except in tests.
	Clock func() time.Time
	// Notify is called at the end of each request, and OnOffer with the result of each of its
	// offers. They must not block.
	Notify  func(Notice)
	OnOffer func(Offer)

	limiter    rateLimiter
	budgetMu   sync.Mutex
	detectorMu sync.Mutex
	draining   atomic.Bool
	openCount  atomic.Int64
}

// Notice describes how a caller's request ended; see docs/EVENTS.md.
type Notice struct {
	Request   string
	Workspace string
	Profile   string
	Chat      string
	Target    string
	Reason    chestnutstep.Reason
	Run       chestnutstep.RunStatus
	Status    int
	// Offers is the number of offers made, and Hint the target that the caller requested.
	Offers int
	Hint   string
	// Retries is the number of retries of the request after it may have run, RetryDenied reports
	// that the retry budget was exhausted, and Reattached is the number of links that were
	// reconnected.
	Retries     int
	RetryDenied bool
	Reattached  int
	// FirstByte is the time to the first byte, zero if none was received.
	FirstByte time.Duration
	Total     time.Duration
	// CachedTokens is the prompt prefix found in the target's cache, in tokens.
	CachedTokens int64
}

// Offer describes the result of one offer to an agent; see docs/EVENTS.md.
type Offer struct {
	Request string
	Profile string
	Target  string
	// Number is the number of the offer within the request, from 1.
	Number int
	Answer OfferAnswer
	// Reason is the reason of a refusal.
	Reason chestnutstep.Reason
	// After is the time until the answer, or until the offer was given up.
	After time.Duration
}

// OfferAnswer is the kind of answer to an offer.
type OfferAnswer string

// Kinds of answers to an offer.
const (
	OfferAccepted     OfferAnswer = "accept"
	OfferRefused      OfferAnswer = "refuse"
	OfferUnresponsive OfferAnswer = "silent" // no answer in time
	OfferBroken       OfferAnswer = "broken" // the link could not be opened, or broke
)

// OpenCount returns the number of requests in progress.
func (e *Entry) OpenCount() int64 { return e.openCount.Load() }

// Locker returns the lock that guards Detector, for the gossip that updates it.
func (e *Entry) Locker() sync.Locker { return &e.detectorMu }

// isCondemned reports whether the content has crashed too many targets. The entry consults its own
// records instead of waiting for gossip: the caller can retry the same content at once under
// another id and crash a third target.
func (e *Entry) isCondemned(fingerprint uint64) bool {
	if e.Detector == nil {
		return false
	}
	e.detectorMu.Lock()
	defer e.detectorMu.Unlock()
	return e.Detector.Check(e.Clock(), fingerprint) == chestnutstep.ContentCondemned
}

// recordCrash records the targets that crashed while running the content.
func (e *Entry) recordCrash(fingerprint uint64, crashed []string) {
	if e.Detector == nil {
		return
	}
	e.detectorMu.Lock()
	defer e.detectorMu.Unlock()
	now := e.Clock()
	e.Detector.Merge(now, []chestnutstep.Suspicion{{Fingerprint: fingerprint, CrashedTargets: crashed, SeenAt: now}})
}

// IsReady reports whether the load balancer should send callers to this entry.
func (e *Entry) IsReady() bool { return !e.draining.Load() && e.View() != nil }

// StartDrain makes IsReady return false. New requests are still served: the load balancer takes a
// moment to notice, and refusing callers meanwhile has no benefit.
func (e *Entry) StartDrain() { e.draining.Store(true) }

// WaitIdle returns nil when no request is in progress, or the error of ctx when it ends first.
func (e *Entry) WaitIdle(ctx context.Context) error {
	tick := time.NewTicker(idlePollInterval)
	defer tick.Stop()
	for e.OpenCount() > 0 {
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
	return nil
}

const idlePollInterval = 50 * time.Millisecond

// ticketsPath is the only path that the entry serves itself.
const ticketsPath = "/chestnut/tickets"

// ServeHTTP serves one request of a caller.
func (e *Entry) ServeHTTP(w http.ResponseWriter, r *http.Request) {
	open := e.openCount.Add(1)
	defer e.openCount.Add(-1)
	if e.MaxOpen > 0 && open > e.MaxOpen {
		e.writeRefusal(w, &ErrRefused{Reason: chestnutstep.ReasonBusy, Run: chestnutstep.RunMaybe, RetryAfter: time.Second}, Notice{})
		return
	}
	if r.URL.Path == ticketsPath {
		e.serveTickets(w, r)
		return
	}
	e.serve(w, r)
}

// unreadRefusal returns the refusal of a request that could not be read. A request with a ticket
// can be a retry of an action that is running, so only the ticket's agent can report that it has
// not run.
func unreadRefusal(r *http.Request, err error) *ErrRefused {
	ref := *asRefused(err)
	if r.Header.Get(chestnutstep.HeaderTicket) != "" && ref.Run == chestnutstep.RunNo {
		ref.Run = chestnutstep.RunMaybe
	}
	return &ref
}

const (
	// discardTimeout and maxDiscardBytes limit what is read of the body of a request that was refused.
	discardTimeout  = 10 * time.Second
	maxDiscardBytes = 8 << 20
)

// refuseUnread refuses a request whose body may not have been read, and discards what is still to come of it: a
// connection that is closed with unread bytes is reset, and the caller would lose the refusal.
func (e *Entry) refuseUnread(w http.ResponseWriter, r *http.Request, err error) {
	rc := http.NewResponseController(w)
	isSending := r.ContentLength != 0 && rc.EnableFullDuplex() == nil
	e.writeRefusal(w, unreadRefusal(r, err), Notice{})
	if !isSending || rc.Flush() != nil {
		return
	}
	_ = rc.SetReadDeadline(time.Now().Add(discardTimeout)) // fails only on a closed connection
	_, _ = io.CopyN(io.Discard, r.Body, maxDiscardBytes)   // the caller may have left
	_ = rc.SetReadDeadline(time.Time{})
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	start := e.Clock()
	a, err := e.readRequest(w, r)
	if err != nil {
		e.refuseUnread(w, r, err)
		return
	}
	defer a.body.Release()
	ctx, cancel := context.WithDeadline(r.Context(), a.deadline)
	defer cancel()
	allowEnd := guard.End(r)
	out := &output{w: w, request: a, clock: e.Clock}
	k := &dispatcher{entry: e, request: a, output: out}
	err = k.run(ctx)
	n := k.newNotice(start, err)
	if err != nil && out.started {
		e.Notify(n)
		out.abort(err)
		return
	}
	allowEnd()
	if err == nil {
		e.Notify(n)
		return
	}
	e.writeRefusal(w, err, n)
}
