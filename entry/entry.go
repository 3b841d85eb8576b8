// Package entry is the stateless process between callers and agents. It
// authenticates the caller, picks the profile, ranks targets for the chat,
// offers the request down that ranking and streams the answer back. It keeps
// nothing that a caller could miss: any other entry can take over.
package entry

import (
	"context"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"

	"chestnutstep.example/chestnutstep"
)

// Links opens connections to agents.
type Links interface {
	// Conn returns a connection to an agent's address; it connects when first
	// used and closes when idle.
	Conn(addr string) (grpc.ClientConnInterface, error)
}

// Hosts takes what an entry learns of hosts from its own offers.
type Hosts interface {
	// RecordFailure says that a host did not answer; Answer that it did; Refuse that
	// its agent said it is leaving.
	RecordFailure(now time.Time, host string)
	RecordSuccess(now time.Time, host string)
	RecordRefusal(now time.Time, host string)
}

// Entry serves callers. Set the exported fields before its first request.
type Entry struct {
	// Name of this process, Region it stands in.
	Name   string
	Region string
	// View returns the publication in force, or nil before the first one.
	View func() *chestnutstep.View
	// Ranker returns the ranking of a publication.
	Ranker func(*chestnutstep.View) chestnutstep.Ranker
	Links  Links
	Hosts  Hosts
	// RetryBudget is the budget for what may have run; Steps for offers down the
	// ranking after a refusal.
	RetryBudget    chestnutstep.RetryBudget
	FailoverBudget chestnutstep.RetryBudget
	// Detector keeps the crash suspicions; nil switches them off. Lock guards it.
	Detector chestnutstep.Detector
	// EntryCount returns how many entries share the callers, for rate limits.
	EntryCount func() int
	// MaxOpen bounds the requests in progress; 0 is no bound. Beyond it a surge
	// would take this process's memory, and with it all answers in progress.
	MaxOpen int64
	// Clock is time.Now, but for tests.
	Clock func() time.Time
	// Notify is called with how each request ended, OnOffer with what became of
	// each of its offers. They must not block.
	Notify  func(Notice)
	OnOffer func(Offer)

	limiter    rateLimiter
	budgetMu   sync.Mutex
	detectorMu sync.Mutex
	draining   atomic.Bool
	openCount  atomic.Int64
}

// Notice is how a caller's request ended; see docs/EVENTS.md.
type Notice struct {
	Request   string
	Workspace string
	Profile   string
	Chat      string
	Target    string
	Reason    chestnutstep.Reason
	Run       chestnutstep.RunStatus
	Status    int
	// Offers is how many agents were asked, Hint what the caller hoped for.
	Offers int
	Hint   string
	// Retries counts repeats of what may have run, Denied says that the budget
	// for them was spent. Attached counts links taken up again.
	Retries     int
	RetryDenied bool
	Reattached  int
	// FirstByte is the time to the first byte; zero if none came.
	FirstByte time.Duration
	Total     time.Duration
	// CachedTokens is the prompt prefix found in the target's cache, in tokens.
	CachedTokens int64
}

// Offer is what became of one offer to an agent; see docs/EVENTS.md.
type Offer struct {
	Request string
	Profile string
	Target  string
	// Number counts the offers of the request from 1.
	Number int
	Answer OfferAnswer
	// Reason of a refusal.
	Reason chestnutstep.Reason
	// After is how long the answer took, or after how long the offer was given up.
	After time.Duration
}

// OfferAnswer says what became of an offer.
type OfferAnswer string

// The answers.
const (
	OfferAccepted     OfferAnswer = "accept"
	OfferRefused      OfferAnswer = "refuse"
	OfferUnresponsive OfferAnswer = "silent" // no answer in time
	OfferBroken       OfferAnswer = "broken" // the link could not be opened, or broke
)

// OpenCount is how many requests are in progress.
func (e *Entry) OpenCount() int64 { return e.openCount.Load() }

// Locker guards Detector, for the gossip that feeds it.
func (e *Entry) Locker() sync.Locker { return &e.detectorMu }

// isCondemned says that content has crashed targets. An entry that saw it must not
// wait for gossip to tell it so: its caller sends the same again at once, under
// another name, and a third target would go down.
func (e *Entry) isCondemned(fingerprint uint64) bool {
	if e.Detector == nil {
		return false
	}
	e.detectorMu.Lock()
	defer e.detectorMu.Unlock()
	return e.Detector.Check(e.Clock(), fingerprint) == chestnutstep.ContentCondemned
}

// recordCrash notes the targets that died while they ran the content.
func (e *Entry) recordCrash(fingerprint uint64, crashed []string) {
	if e.Detector == nil {
		return
	}
	e.detectorMu.Lock()
	defer e.detectorMu.Unlock()
	now := e.Clock()
	e.Detector.Merge(now, []chestnutstep.Suspicion{{Fingerprint: fingerprint, CrashedTargets: crashed, SeenAt: now}})
}

// IsReady says whether the balancer should send callers here.
func (e *Entry) IsReady() bool { return !e.draining.Load() && e.View() != nil }

// StartDrain makes Ready false. New requests are still served: the balancer needs
// a moment to see it, and a refused caller gains nothing.
func (e *Entry) StartDrain() { e.draining.Store(true) }

// WaitIdle returns when no request is in progress or ctx ends.
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

// ticketsPath is the one path that an entry answers itself.
const ticketsPath = "/chestnut/tickets"

// ServeHTTP serves one caller's request.
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

// unreadRefusal is the refusal of a request that could not be read. One with a ticket
// may be a repeat of an action that runs: only the ticket's agent may say that
// it has not.
func unreadRefusal(r *http.Request, err error) *ErrRefused {
	ref := *asRefused(err)
	if r.Header.Get(chestnutstep.HeaderTicket) != "" && ref.Run == chestnutstep.RunNo {
		ref.Run = chestnutstep.RunMaybe
	}
	return &ref
}

func (e *Entry) serve(w http.ResponseWriter, r *http.Request) {
	start := e.Clock()
	a, err := e.readRequest(w, r)
	if err != nil {
		e.writeRefusal(w, unreadRefusal(r, err), Notice{})
		return
	}
	ctx, cancel := context.WithDeadline(r.Context(), a.deadline)
	defer cancel()
	out := &output{w: w, request: a, clock: e.Clock}
	k := &dispatcher{entry: e, request: a, output: out}
	err = k.run(ctx)
	n := k.newNotice(start, err)
	if err == nil {
		e.Notify(n)
		return
	}
	if out.started {
		e.Notify(n)
		out.abort(err)
		return
	}
	e.writeRefusal(w, err, n)
}
