package chestnutstep

import (
	"net/http"
	"time"
)

// PromptPart is a piece of a prompt that targets keep in their cache.
type PromptPart struct {
	ID     uint64
	Tokens int
}

// CallerHeaders is what a caller's headers say, for requests that go to targets without
// an agent.
type CallerHeaders struct {
	ID  string
	Key string
	// Timeout is how long the caller waits; 0 where it does not say.
	Timeout time.Duration
	// Parts of the prompt, in order; the last is the request's or session's own.
	Parts []PromptPart
	// IsResume says that the caller has the events up to Last already.
	IsResume    bool
	LastEventID int64
}

// UrgencyUnset leaves the order of requests to the target.
const UrgencyUnset = -1

// ForwardHeaders is what the fleet says to a target about a request.
type ForwardHeaders struct {
	// Instance is the only one that may run the request.
	Instance  string
	Workspace string
	Timeout   time.Duration
	// FetchFrom is the address of a target to fetch the prompt's cache from.
	FetchFrom string
	// Urgency is 0 for the most urgent, UrgencyUnset for none.
	Urgency     int
	IsResume    bool
	LastEventID int64
}

// TargetHeaders is what a target's headers say.
type TargetHeaders struct {
	// ID of the request that the answer belongs to.
	ID string
	// IsSigned says that the target itself made the answer.
	IsSigned bool
	// NotRun is the target's word that the request did not run and will not.
	NotRun bool
	// Misdirected says that another instance has the address.
	Misdirected bool
}

// HeaderCodec translates headers. It decides nothing.
type HeaderCodec interface {
	CallerHeaders(h http.Header) CallerHeaders
	SetForwardHeaders(h http.Header, s ForwardHeaders)
	TargetHeaders(status int, h http.Header) TargetHeaders
	SetRetryAfter(h http.Header, after time.Duration)
	// Peek reads who asks for what from the first bytes of a request, as far as they hold it.
	Peek(head []byte) (id, key string)
}
