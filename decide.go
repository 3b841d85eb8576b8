package chestnutstep

import "time"

// RankQuery says what a request wants of a target, for ranking.
type RankQuery struct {
	Workspace string
	Chat      string
	Model     string
	// Region of the entry: targets of the same region rank before others.
	Region string
	// Hint is the target that the caller was last served by; it ranks first
	// while it qualifies. Advice of the caller, never authority.
	Hint string
}

// Ranker orders the targets that may serve a chat.
type Ranker interface {
	// Rank appends at most n targets to dst, best first, and returns it. It
	// allocates nothing when dst has room.
	Rank(dst []*Target, ask RankQuery, n int) []*Target
}

// Work is one request as the decisions at a target see it.
type Work struct {
	ID        string
	Workspace string
	Class     Class
	// Cost is the estimated work in tokens.
	Cost float64
	// Deadline by the agent's own clock.
	Deadline time.Time
	// WaitUntil is the latest moment up to which the request may wait here.
	WaitUntil time.Time
	// HasCachedPrefix says that the chat's prompt prefix is here: waiting may pay.
	HasCachedPrefix bool
	// Exclusive says that the request is a crash suspect: it runs by itself.
	Exclusive bool
}

// Verdict is an answer to an offer.
type Verdict uint8

// The verdicts.
const (
	VerdictRefuse Verdict = iota
	VerdictAccept
	VerdictQueue
)

// Decision is a verdict with its reason and what the caller should know.
type Decision struct {
	Verdict Verdict
	// Reason of a refusal.
	Reason Reason
	// PredictedWait is the predicted wait of a queued request.
	PredictedWait time.Duration
	// RetryAfter is when a refused caller may come back.
	RetryAfter time.Duration
}

// Outcome is how a running request ended.
type Outcome uint8

// The outcomes.
const (
	OutcomeServed    Outcome = iota // whole answer
	OutcomeFailed                   // the target answered badly or not at all
	OutcomeAbandoned                // the caller gave up, or the body never came
)

// QueueUpdate is what became of waiting work.
type QueueUpdate struct {
	// Started lists the requests that run from now on, in order.
	Started []string
	// Dropped lists the requests that are refused after all.
	Dropped []DroppedRequest
}

// DroppedRequest is a waiting request that is refused after all; it never ran.
type DroppedRequest struct {
	ID       string
	Decision Decision
}

// Limits is what a gate needs of the publication in force.
type Limits struct {
	Model Model
	// Weight of the target against others of its model.
	Weight float64
	// IsOnlyTarget says that no other target serves the model: its load is the mean,
	// and the multiple has nothing to compare. False is the safe value.
	IsOnlyTarget bool
	// Out says that operators took the target out of service.
	Out bool
	// Workspaces gives each workspace's weight; 1 where it is missing.
	Workspaces map[string]float64
}

// Mean is what an agent knows of the mean load of its model's targets.
type Mean struct {
	// Load in running and waiting requests for one unit of weight.
	Load float64
	// Targets is how many targets the figure rests on, this one not counted.
	Targets int
	// Age of the oldest sample that the figure rests on.
	Age time.Duration
}

// Load is a target's state as its own gate sees it.
type Load struct {
	Running int
	Waiting int
	Cap     int
	// Cold says that the target has not proven warm since its last start.
	Cold bool
	// Leaving says that the target takes no new work.
	Leaving bool
	// Weight is the share of full load that the target asks for: 0 to 1. It
	// ramps up after a cold start and down while the target leaves.
	Weight float64
}

// Gate decides what a target takes, what waits and what is turned away. It is
// pure: it neither blocks nor reads a clock. Its owner calls it under one lock.
type Gate interface {
	// SetLimits puts the limits of a publication in force.
	SetLimits(now time.Time, l Limits)
	// SetMean takes a new estimate of the mean load.
	SetMean(now time.Time, m Mean)
	// Offer decides on new work. Accepted work counts as running at once.
	Offer(now time.Time, w Work) Decision
	// End says that running or waiting work is over; unknown ids are ignored.
	End(now time.Time, id string, o Outcome)
	// AdvanceQueue returns what became of waiting work. Call it after End, Limit,
	// Measure, Chill and every tick.
	AdvanceQueue(now time.Time) QueueUpdate
	// MarkCold says that the target is cold: it started, restarted, or dropped
	// its connections.
	MarkCold(now time.Time)
	// SetLeaving says that the target takes no new work from now on.
	SetLeaving(now time.Time, leaving bool)
	// Load reports the target's state.
	Load(now time.Time) Load
}

// Sample is one target's load as its own agent saw it.
type Sample struct {
	Target string
	Model  string
	// Load in running and waiting requests for one unit of weight.
	Load float64
	// SeenAt is when, by the receiver's clock.
	SeenAt time.Time
}

// Sampler estimates the mean load of a model from what agents tell each other.
type Sampler interface {
	// SetLocal sets this target's load.
	SetLocal(now time.Time, s Sample)
	// Merge takes samples from a peer.
	Merge(now time.Time, s []Sample)
	// Samples returns at most n samples worth passing on, this target's first.
	Samples(now time.Time, n int) []Sample
	// Mean estimates the mean over all targets of the model, this one included.
	Mean(now time.Time) Mean
}

// RetryBudget is a budget for repeats, kept by each entry for itself.
type RetryBudget interface {
	// Deposit counts a first offer.
	Deposit(now time.Time)
	// TryWithdraw takes one repeat from the budget; false means that none is left.
	TryWithdraw(now time.Time) bool
}

// ContentState is what is known of a request's content.
type ContentState uint8

// The judgements.
const (
	ContentClear     ContentState = iota
	ContentSuspect                // was running when a target crashed: runs alone
	ContentCondemned              // crashed a target while it ran alone, or two targets
)

// String returns the judgement's name in logs.
func (j ContentState) String() string { return [...]string{"clear", "suspect", "condemned"}[j] }

// Suspicion is a content fingerprint that was running when targets crashed.
type Suspicion struct {
	Fingerprint uint64
	// CrashedTargets lists the targets, at most two.
	CrashedTargets []string
	// Cleared says that it ran to its end since.
	Cleared bool
	// SeenAt is when, by the receiver's clock.
	SeenAt time.Time
}

// Detector keeps the crash suspicions of one process: an agent's are of its own
// target and what it was told, an entry's of the breaks that it saw and what it
// was told.
type Detector interface {
	Check(now time.Time, fingerprint uint64) ContentState
	// Start and End bracket a run of the content at this target.
	Start(now time.Time, fingerprint uint64)
	End(now time.Time, fingerprint uint64, served bool)
	// Crash says that the target died; what was running becomes suspect. It
	// returns the fingerprints whose judgement changed.
	Crash(now time.Time) []Suspicion
	Merge(now time.Time, s []Suspicion)
	Suspicions(now time.Time, n int) []Suspicion
}

// TicketStatus is what an agent knows of a ticket.
type TicketStatus struct {
	// State of the ticket.
	State TicketState
	// Reason when the ticket can't be used.
	Reason Reason
	// Run is the true answer to whether the ticketed request ran.
	Run RunStatus
	// RequestID is the id of the request that spent the ticket.
	RequestID string
}

// TicketState is a state of the ticket's chart.
type TicketState string

// The states of a ticket.
const (
	TicketFresh   TicketState = "fresh"   // minted, not seen again
	TicketHeld    TicketState = "held"    // offered, waiting to run; has not run
	TicketRunning TicketState = "running" // handed to the target
	TicketDone    TicketState = "done"    // ran, outcome known
	TicketUnknown TicketState = "unknown" // ran perhaps, outcome unknown
	TicketDropped TicketState = "dropped" // tombstone: never ran, never will
	TicketInvalid TicketState = "invalid" // forged, expired or of a dead incarnation
)

// Issuer mints and spends the tickets of one agent incarnation. It is pure: its
// owner calls it under one lock.
type Issuer interface {
	// Mint returns n fresh tickets for a workspace.
	Mint(now time.Time, workspace string, n int) []string
	// Hold binds a ticket to a request. A repeat of the same request finds the
	// state it is in; another request finds ReasonSpent.
	Hold(now time.Time, token, workspace, request string) TicketStatus
	// Start marks a held ticket as handed to the target. False means that it must
	// not run: the owner asks right before it calls the target.
	Start(now time.Time, token string) bool
	// Release gives a held ticket back unused: it may be held again.
	Release(now time.Time, token string)
	// Finish ends a running ticket; known says whether the outcome is known.
	Finish(now time.Time, token string, known bool)
	// MarkUnsent ends a running ticket whose request never left the agent, as its
	// connection was refused: a tombstone, as nothing ran and nothing will.
	MarkUnsent(now time.Time, token string) TicketStatus
	// Drop writes a tombstone when the ticket has not run, and says the truth.
	Drop(now time.Time, token, workspace string) TicketStatus
}
