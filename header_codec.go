package chestnutstep

import (
	"net/http"
	"time"
)

// PromptPart identifies one part of a prompt that targets can cache, and its length in tokens.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// CallerHeaders holds the values parsed from the headers of a caller's request, for
// requests that go to targets without an agent.
type CallerHeaders struct {
	ID  string
	Key string
	// Timeout is how long the caller waits; 0 if the caller sets none.
	Timeout time.Duration
	// Parts of the prompt, in order; the last one is specific to the request or session.
	Parts []PromptPart
	// IsResume reports whether the caller has already received the events up to LastEventID.
	IsResume    bool
	LastEventID int64
	// HasInvalidEventID reports whether the caller names a last event that is no number of an event.
	HasInvalidEventID bool
	// Resumes is the ID of the caller's attempt that received the first event of the stream; empty
	// if the caller names none.
	Resumes string
}

// UrgencyUnset leaves the order of requests to the target.
const UrgencyUnset = -1

// ForwardHeaders holds the values set in the headers of a request sent to a target.
type ForwardHeaders struct {
	// Instance is the ID of the only instance that may run the request.
	Instance  string
	Workspace string
	Timeout   time.Duration
	// FetchFrom is the address of a target from which the prompt's cache can be fetched.
	FetchFrom string
	// Urgency is 0 for the most urgent requests and UrgencyUnset if unset.
	Urgency     int
	IsResume    bool
	LastEventID int64
}

// TargetHeaders holds the values parsed from the headers of a target's answer.
type TargetHeaders struct {
	// ID of the request that the answer belongs to.
	ID string
	// IsSigned reports whether the target itself made the answer.
	IsSigned bool
	// NotRun reports that the request did not run at the target and never will.
	NotRun bool
	// Misdirected reports that another instance now has the address.
	Misdirected bool
	// RetryAfter is the Retry-After of a 503 as the target sent it; empty if there is none.
	RetryAfter string
	// IsLeaving reports that the target is about to stop and takes no new requests.
	IsLeaving bool
	// Load is the load that the target reports about itself; zero if it reports none or the report is
	// invalid.
	Load TargetLoad
	// HasInvalidLoad reports whether the target reports a load that is invalid.
	HasInvalidLoad bool
}

// TargetLoad is the load that a target reports about itself in an answer.
type TargetLoad struct {
	// Running is the number of requests that run, Waiting of those that wait for a slot.
	Running, Waiting int
	// Slots is the number of requests that can run concurrently; 0 if there is no valid report.
	Slots int
	// Slowdown is how long work takes at the target now relative to its usual speed: 1 is usual, 2
	// twice as long. 0 if the target does not report it.
	Slowdown float64
}

const (
	// maxReportedSlots is the largest number of slots in a valid load report: 32 times the 128 slots of
	// the largest engines.
	maxReportedSlots = 4096
	// maxRunningRatio limits the requests that run, as a multiple of the slots. Some can be counted
	// until their answer has been sent, when their slot is already in use again.
	maxRunningRatio = 2
	// maxWaitingRatio limits the requests that wait, as a multiple of the slots. Targets queue 4 for each
	// slot; behind 64, even work of 15 ms would begin after the longest wait of its callers, 600 ms.
	maxWaitingRatio = 64
	// minSlowdown and maxSlowdown limit the slowdown. Targets report 1 to 2.5.
	minSlowdown, maxSlowdown = 0.1, 100.0
)

// IsPlausible reports whether a target can have the load. A slowdown of 0 is not reported. Without slots,
// the bounds of the largest target hold.
func (l *TargetLoad) IsPlausible() bool {
	slots := l.Slots
	if slots <= 0 {
		slots = maxReportedSlots
	}
	return slots <= maxReportedSlots &&
		l.Running >= 0 && l.Running <= maxRunningRatio*slots &&
		l.Waiting >= 0 && l.Waiting <= maxWaitingRatio*slots &&
		(l.Slowdown == 0 || l.Slowdown >= minSlowdown && l.Slowdown <= maxSlowdown)
}

// HeaderCodec translates between HTTP headers and their parsed values. It makes no decisions.
type HeaderCodec interface {
	// CallerHeaders parses the headers of a caller's request.
	CallerHeaders(h http.Header) CallerHeaders
	// SetForwardHeaders replaces a caller's headers with those for a target.
	SetForwardHeaders(h http.Header, s ForwardHeaders)
	// TargetHeaders parses the status and headers of a target's answer.
	TargetHeaders(status int, h http.Header) TargetHeaders
	// SetRetryAfter sets the time after which a refused caller can retry.
	SetRetryAfter(h http.Header, after time.Duration)
	// Peek reads the request's id and key from its first bytes, as far as head contains them.
	Peek(head []byte) (id, key string)
}
