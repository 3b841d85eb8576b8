// Package chestnutstep holds the plain data types that all parts of the router fleet
// share, and the interfaces of its replaceable parts. The implementations are in the
// packages below; they import this package, never the reverse.
//
// A request crosses two processes: an entry proposes a target, and the agent
// next to that target decides. The agent enforces every guarantee given to callers,
// so a stale, paused or disconnected entry can only make a request slower.
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
	// HeaderRequestID identifies the request. The target's answer repeats it, so that
	// an answer that belongs to another request is detected.
	HeaderRequestID = "Request-Id"
	// HeaderBootID is a random value that a target draws at each start: a different value
	// means that the target restarted and lost its cache.
	HeaderBootID = "Boot-Id"
	// HeaderLeaving is 1 in the answers of a target that is about to stop and takes no new requests.
	HeaderLeaving = "Leaving"
	// HeaderCachedTokens is the length of the prompt prefix found in the cache, in tokens.
	HeaderCachedTokens = "Cached-Tokens"
	// HeaderFencingNumber carries the fencing number of an order.
	HeaderFencingNumber = "Fencing-Number"
	// HeaderPriority is the request's class, for engines that support it.
	HeaderPriority = "Priority"
)

// RunStatus reports whether a request ran at a target, or that this is uncertain.
type RunStatus string

// The values of RunStatus. Only an agent that rules out a later run returns RunNo for a
// non-idempotent request.
const (
	RunNo    RunStatus = "no"
	RunMaybe RunStatus = "maybe"
	RunYes   RunStatus = "yes"
)

// Class is the priority of a request: 0 is the most urgent.
type Class uint8

// The classes that a profile can name, most urgent first.
const (
	ClassUrgent Class = iota
	ClassNormal
	ClassBatch
	// ClassCount is the number of classes.
	ClassCount = 3
)

// Reason is the stable, one-word code of a refusal or a broken answer. It is used
// in problem documents, logs and metrics, and between entry and agent.
type Reason string

// The reasons, grouped by the component that returns them.
const (
	// Refusals of an agent: the request did not run.
	ReasonFull      Reason = "full"      // the target's load has reached its cap, a multiple of the mean load
	ReasonCold      Reason = "cold"      // the cold-start cap is reached
	ReasonLeaving   Reason = "leaving"   // the target is leaving
	ReasonOut       Reason = "out"       // operators took the target out of service
	ReasonLate      Reason = "late"      // the predicted wait exceeds the deadline
	ReasonQueue     Reason = "queue"     // the queue is full
	ReasonShare     Reason = "share"     // the workspace has used up its share of the target
	ReasonCondemned Reason = "condemned" // the content has crashed targets
	ReasonSuspect   Reason = "suspect"   // the content is a crash suspect, must run exclusively, and cannot start yet
	ReasonMoved     Reason = "moved"     // the request is already running at another target
	ReasonTicket    Reason = "ticket"    // the request needs a ticket and has none
	ReasonDead      Reason = "dead"      // the ticket was minted by an earlier incarnation of the agent
	ReasonExpired   Reason = "expired"   // the ticket's time slot has ended
	ReasonSpent     Reason = "spent"     // the ticket was used by another request
	ReasonForged    Reason = "forged"    // the ticket's MAC or workspace does not match
	ReasonDropped   Reason = "dropped"   // the ticket has a tombstone: its request never runs
	ReasonModel     Reason = "model"     // the target does not serve the model
	ReasonVersion   Reason = "version"   // the offer was made under a publication that the agent does not have
	ReasonBuild     Reason = "build"     // no target can continue the stream at the build that began it
	ReasonDown      Reason = "down"      // the target does not answer
	ReasonPaused    Reason = "paused"    // the target asked to receive nothing for some time

	// Reasons of a broken answer: the request might have run.
	ReasonCrashed  Reason = "crashed"  // the target crashed while it ran the request
	ReasonCrossed  Reason = "crossed"  // the target sent the answer of another request
	ReasonShort    Reason = "short"    // the target's answer ended early
	ReasonTimeout  Reason = "timeout"  // the deadline passed
	ReasonCanceled Reason = "canceled" // the caller canceled the request
	ReasonGone     Reason = "gone"     // the requested bytes are no longer stored
	ReasonUnknown  Reason = "unknown"  // no record of the request exists here
	ReasonLink     Reason = "link"     // the link to the agent broke

	// Refusals of an entry.
	ReasonKey     Reason = "key"     // the caller's key is unknown
	ReasonHeader  Reason = "header"  // a header is malformed
	ReasonProfile Reason = "profile" // the profile is unknown
	ReasonLarge   Reason = "large"   // the body is too large
	ReasonRate    Reason = "rate"    // the workspace is over its rate
	ReasonTarget  Reason = "target"  // no target accepted the request
	ReasonBudget  Reason = "budget"  // the retry budget is used up
	ReasonStop    Reason = "stop"    // the process is stopping
	ReasonBusy    Reason = "busy"    // the entry has too many requests in flight
	ReasonMemory  Reason = "memory"  // the entry has no memory for the body
)
