package chestnutstep

import "time"

// RankQuery holds the properties of a request by which targets are ranked.
type RankQuery struct {
	Workspace string
	Chat      string
	Model     string
	// Region of the entry: targets of the same region rank before others.
	Region string
	// Hint is the target that served the caller last, as given by the caller. It ranks
	// first as long as it qualifies; it grants no access.
	Hint string
}

// Ranker orders the targets that can serve a chat.
type Ranker interface {
	// Rank appends at most n targets to dst, best first, and returns it. It
	// allocates nothing when dst has enough capacity.
	Rank(dst []*Target, query RankQuery, n int) []*Target
}

// Work describes one request to the gate of a target.
type Work struct {
	ID        string
	Workspace string
	Class     Class
	// Cost is the estimated work in tokens.
	Cost float64
	// Deadline by the agent's own clock.
	Deadline time.Time
	// WaitUntil is the latest time until which the request may wait at this target.
	WaitUntil time.Time
	// HasCachedPrefix reports whether the target has the chat's prompt prefix cached, so
	// that waiting here can be faster than running elsewhere.
	HasCachedPrefix bool
	// Exclusive reports whether the request is a crash suspect, which runs with no other request.
	Exclusive bool
}

// Verdict is the answer to an offer.
type Verdict uint8

// The verdicts.
const (
	VerdictRefuse Verdict = iota
	VerdictAccept
	VerdictQueue
)

// Decision is a verdict with its reason and the times to return to the caller.
type Decision struct {
	Verdict Verdict
	// Reason of a refusal.
	Reason Reason
	// PredictedWait is the predicted wait of a queued request.
	PredictedWait time.Duration
	// RetryAfter is the time after which a refused caller can retry.
	RetryAfter time.Duration
}

// Outcome is how a running request ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed    Outcome = iota // the answer was complete
	OutcomeFailed                   // the target sent a bad answer or none
	OutcomeAbandoned                // the caller canceled, or the body never arrived
)

// QueueUpdate lists the queued requests whose state changed.
type QueueUpdate struct {
	// Started lists the requests that run from now on, in order.
	Started []string
	// Dropped lists the queued requests that are now refused.
	Dropped []DroppedRequest
}

// DroppedRequest is a queued request that was refused later; it never ran.
type DroppedRequest struct {
	ID       string
	Decision Decision
}

// Limits holds the values of the publication in force that a gate uses.
type Limits struct {
	Model Model
	// Weight of the target relative to others of its model.
	Weight float64
	// IsOnlyTarget reports whether no other target serves the model. Its own load is then
	// the mean, so the multiple of the mean is not applied. False is the safe value.
	IsOnlyTarget bool
	// Out reports whether operators took the target out of service.
	Out bool
	// Workspaces holds the weight of each workspace; 1 if missing.
	Workspaces map[string]float64
}

// Mean is an agent's estimate of the mean load of its model's targets.
type Mean struct {
	// Load in running and waiting requests per unit of weight.
	Load float64
	// Targets is the number of targets in the estimate, without this one.
	Targets int
	// Age of the oldest sample in the estimate.
	Age time.Duration
}

// Load is the state of a target as its own gate reports it.
type Load struct {
	Running int
	Waiting int
	Cap     int
	// Cold reports whether the target is not yet warm since its last start.
	Cold bool
	// Leaving reports whether the target takes no new work.
	Leaving bool
	// Weight is the fraction of full load that the target requests, from 0 to 1. It
	// ramps up after a cold start and down while the target leaves.
	Weight float64
}

// Gate decides which requests a target accepts, queues or refuses. It neither blocks
// nor reads a clock. Its owner serializes all calls with one lock.
type Gate interface {
	// SetLimits applies the limits of a publication.
	SetLimits(now time.Time, l Limits)
	// SetMean sets a new estimate of the mean load.
	SetMean(now time.Time, m Mean)
	// Offer decides on a new request. An accepted request counts as running immediately.
	Offer(now time.Time, w Work) Decision
	// End ends a running or queued request; unknown ids are ignored.
	End(now time.Time, id string, o Outcome)
	// AdvanceQueue starts or drops queued requests and returns the changes. It must be
	// called after End, SetLimits, SetMean, MarkCold and every tick.
	AdvanceQueue(now time.Time) QueueUpdate
	// MarkCold records that the target is cold: it started, restarted, or dropped
	// its connections.
	MarkCold(now time.Time)
	// SetLeaving sets whether the target takes no new work from now on.
	SetLeaving(now time.Time, leaving bool)
	// Load returns the target's state.
	Load(now time.Time) Load
}

// Sample is the load of one target as measured by its own agent.
type Sample struct {
	Target string
	Model  string
	// Load in running and waiting requests per unit of weight.
	Load float64
	// SeenAt is the time of the measurement by the receiver's clock.
	SeenAt time.Time
}

// Sampler estimates the mean load of a model from samples that agents exchange.
type Sampler interface {
	// SetLocal sets this target's load.
	SetLocal(now time.Time, s Sample)
	// Merge adds samples from a peer.
	Merge(now time.Time, s []Sample)
	// Samples returns at most n samples to pass on to peers, this target's first.
	Samples(now time.Time, n int) []Sample
	// Mean estimates the mean over all targets of the model, including this one.
	Mean(now time.Time) Mean
}

// RetryBudget limits retries. Each entry has its own.
type RetryBudget interface {
	// Deposit records a first offer, which adds to the budget.
	Deposit(now time.Time)
	// TryWithdraw takes one retry from the budget; false means that none is left.
	TryWithdraw(now time.Time) bool
}

// ContentState is the crash state of a request's content.
type ContentState uint8

// The content states.
const (
	ContentClear     ContentState = iota
	ContentSuspect                // was running when a target crashed; must run exclusively
	ContentCondemned              // crashed a target while running exclusively, or crashed two targets
)

// String returns the name of the state in logs.
func (j ContentState) String() string { return [...]string{"clear", "suspect", "condemned"}[j] }

// Suspicion is a content fingerprint that was running when targets crashed.
type Suspicion struct {
	Fingerprint uint64
	// CrashedTargets lists the targets, at most two.
	CrashedTargets []string
	// Cleared reports whether the content has since run to its end.
	Cleared bool
	// SeenAt is the time at which it was seen, by the receiver's clock.
	SeenAt time.Time
}

// Detector keeps the crash suspicions of one process. An agent records crashes of its
// own target, an entry those that broken answers reveal; both merge the suspicions of others.
type Detector interface {
	// Check returns the crash state of a content.
	Check(now time.Time, fingerprint uint64) ContentState
	// Start and End bracket a run of the content at this target.
	Start(now time.Time, fingerprint uint64)
	End(now time.Time, fingerprint uint64, served bool)
	// Crash records a crash of the target: the content that was running becomes suspect.
	// It returns the fingerprints whose state changed.
	Crash(now time.Time) []Suspicion
	// Merge adds suspicions of other processes.
	Merge(now time.Time, s []Suspicion)
	// Suspicions returns at most n suspicions to pass on to other processes.
	Suspicions(now time.Time, n int) []Suspicion
}

// TicketStatus is the state of a ticket at its agent.
type TicketStatus struct {
	// State of the ticket.
	State TicketState
	// Reason why the ticket can't be used.
	Reason Reason
	// Run reports whether the ticket's request ran.
	Run RunStatus
	// RequestID is the id of the request that spent the ticket.
	RequestID string
}

// TicketState is a state in the life cycle of a ticket.
type TicketState string

// The states of a ticket.
const (
	TicketFresh   TicketState = "fresh"   // minted, not yet used
	TicketHeld    TicketState = "held"    // its request was offered and has not run yet
	TicketRunning TicketState = "running" // its request was sent to the target
	TicketDone    TicketState = "done"    // its request ran, the outcome is known
	TicketUnknown TicketState = "unknown" // its request might have run, the outcome is unknown
	TicketDropped TicketState = "dropped" // tombstone: its request did not run and never will
	TicketInvalid TicketState = "invalid" // forged, expired or minted by an earlier incarnation
)

// Issuer mints and spends the tickets of one agent incarnation. It neither blocks nor
// reads a clock. Its owner serializes all calls with one lock.
type Issuer interface {
	// Mint returns n fresh tickets for a workspace.
	Mint(now time.Time, workspace string, n int) []string
	// Hold binds a ticket to a request. Holding it again for the same request returns the
	// current state; for another request it returns ReasonSpent.
	Hold(now time.Time, token, workspace, request string) TicketStatus
	// Start marks a held ticket as sent to the target. If it returns false, the request must
	// not run. The owner calls it immediately before it sends the request.
	Start(now time.Time, token string) bool
	// Release returns a held ticket unused: it can be held again.
	Release(now time.Time, token string)
	// Finish ends a running ticket; known reports whether the outcome is known.
	Finish(now time.Time, token string, known bool)
	// MarkUnsent ends a running ticket whose request never left the agent because the
	// connection was refused. It writes a tombstone, as the request did not run and never will.
	MarkUnsent(now time.Time, token string) TicketStatus
	// Drop writes a tombstone if the ticket's request has not run, and returns the ticket's state.
	Drop(now time.Time, token, workspace string) TicketStatus
}
