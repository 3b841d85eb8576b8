package chestnutstep

import (
	"net/http"
	"time"
)

// Part is a piece of a prompt that targets keep in their cache.
type Part struct {
	ID     uint64
	Tokens int
}

// Ask is what a caller's headers say, for requests that go to targets without
// an agent.
type Ask struct {
	ID  string
	Key string
	// Limit is how long the caller waits; 0 where it does not say.
	Limit time.Duration
	// Parts of the prompt, in order; the last is the request's or session's own.
	Parts []Part
	// Resumes says that the caller has the events up to Last already.
	Resumes bool
	Last    int64
}

// UrgencyUnset leaves the order of requests to the target.
const UrgencyUnset = -1

// Send is what the fleet says to a target about a request.
type Send struct {
	// Instance is the only one that may run the request.
	Instance  string
	Workspace string
	Limit     time.Duration
	// Fetch is the address of a target to fetch the prompt's cache from.
	Fetch string
	// Urgency is 0 for the most urgent, UrgencyUnset for none.
	Urgency int
	Resumes bool
	Last    int64
}

// ServerHeaders is what a target's headers say.
type ServerHeaders struct {
	// ID of the request that the answer belongs to.
	ID string
	// Signed says that the target itself made the answer.
	Signed bool
	// NotRun is the target's word that the request did not run and will not.
	NotRun bool
	// Moved says that another instance has the address.
	Moved bool
}

// Wire translates headers. It decides nothing.
type Wire interface {
	Ask(h http.Header) Ask
	Prepare(h http.Header, s Send)
	ServerHeaders(status int, h http.Header) ServerHeaders
	SetRetry(h http.Header, after time.Duration)
	// Peek reads who asks for what from the first bytes of a request, as far as they hold it.
	Peek(head []byte) (id, key string)
}
