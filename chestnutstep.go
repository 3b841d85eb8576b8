// Package chestnutstep holds the plain data that all parts of the router fleet
// share, and the interfaces of what varies. Implementations live in the
// packages below; they depend on this package and never the other way round.
//
// A request crosses two processes: an entry proposes a target, and the agent
// beside that target decides. Every promise to callers is kept by the agent,
// so that a stale, paused or cut-off entry can only make a request slower.
package chestnutstep

// Names of the HTTP headers between callers and entries.
const (
	HeaderProfile        = "Chestnut-Profile"
	HeaderChat           = "Chestnut-Chat"
	HeaderHint           = "Chestnut-Hint"
	HeaderTimeout        = "Chestnut-Timeout"
	HeaderTicket         = "Chestnut-Ticket"
	HeaderRun            = "Chestnut-Run"
	HeaderIdempotencyKey = "Idempotency-Key"
)

// Names of the HTTP headers between an agent and its target.
const (
	// HeaderRequestID names the request; a target's answer repeats it, so that
	// an answer which belongs to another request is noticed.
	HeaderRequestID = "Request-Id"
	// HeaderBootID is drawn anew by a target at each start: another value means
	// that the target restarted and lost what it had cached.
	HeaderBootID = "Boot-Id"
	// HeaderCachedTokens is the prompt prefix that was found in the cache, in tokens.
	HeaderCachedTokens = "Cached-Tokens"
	// HeaderFencingNumber carries the fencing number of an order.
	HeaderFencingNumber = "Fencing-Number"
	// HeaderPriority is the request's class, for engines that honour it.
	HeaderPriority = "Priority"
)

// RunStatus says what is known about whether a request ran at a target.
type RunStatus string

// The values of Run. Only an agent that rules out a later run says RunNo for a
// non-idempotent request.
const (
	RunNo    RunStatus = "no"
	RunMaybe RunStatus = "maybe"
	RunYes   RunStatus = "yes"
)

// Class is a priority: 0 is the most urgent.
type Class uint8

// The classes that a profile may name, most urgent first.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBatch
	// ClassCount is how many there are.
	ClassCount = 3
)

// Reason is the stable, one-word code of a refusal or a broken answer. It
// stands in problem documents, logs, metrics and between entry and agent.
type Reason string

// The reasons, grouped by who gives them.
const (
	// Refusals of an agent: nothing has run.
	ReasonFull      Reason = "full"      // the cap of multiple times the mean is reached
	ReasonCold      Reason = "cold"      // the cold-start cap is reached
	ReasonLeaving   Reason = "leaving"   // the target is leaving
	ReasonOut       Reason = "out"       // operators took the target out of service
	ReasonLate      Reason = "late"      // the predicted wait exceeds the time limit
	ReasonQueue     Reason = "queue"     // the queue is at its bound
	ReasonShare     Reason = "share"     // the workspace has used its share of the target
	ReasonCondemned Reason = "condemned" // the content crashed targets before
	ReasonSuspect   Reason = "suspect"   // a suspect runs alone, and it is not its turn
	ReasonMoved     Reason = "moved"     // the request is known to run at another target
	ReasonTicket    Reason = "ticket"    // a ticket is missing
	ReasonDead      Reason = "dead"      // the ticket belongs to an incarnation that is gone
	ReasonExpired   Reason = "expired"   // the ticket's time slot is closed
	ReasonSpent     Reason = "spent"     // the ticket was used by another request
	ReasonForged    Reason = "forged"    // the ticket's MAC or workspace does not match
	ReasonDropped   Reason = "dropped"   // the ticket carries a tombstone: it never runs
	ReasonModel     Reason = "model"     // the target does not serve the model
	ReasonVersion   Reason = "version"   // the offer rests on an unknown publication
	ReasonDown      Reason = "down"      // the target does not answer

	// Reasons of a broken answer: it may have run.
	ReasonCrashed  Reason = "crashed"  // the target died while it ran the request
	ReasonCrossed  Reason = "crossed"  // the target answered another request
	ReasonShort    Reason = "short"    // the target's answer ended early
	ReasonTimeout  Reason = "timeout"  // the time limit passed
	ReasonCanceled Reason = "canceled" // the caller gave up
	ReasonGone     Reason = "gone"     // the bytes asked for are no longer kept
	ReasonUnknown  Reason = "unknown"  // the request is not known here
	ReasonLink     Reason = "link"     // the link to the agent broke

	// Reasons of an entry.
	ReasonKey     Reason = "key"     // the caller's key is unknown
	ReasonHeader  Reason = "header"  // a header is malformed
	ReasonProfile Reason = "profile" // the profile is unknown
	ReasonLarge   Reason = "large"   // the body is too large
	ReasonRate    Reason = "rate"    // the workspace is over its rate
	ReasonTarget  Reason = "target"  // no target would take the request
	ReasonBudget  Reason = "budget"  // the retry budget is spent
	ReasonStop    Reason = "stop"    // the process is stopping
	ReasonBusy    Reason = "busy"    // the entry has too many requests in progress
)
