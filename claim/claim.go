// Package claim keeps places for callers that were refused for lack of capacity and told when to
// return.
//
// The load it handles is a demand of several times what the targets carry, from callers that retry.
// Without claims, new requests take each place that becomes free, and a caller that returns as told is
// refused again. The entry that refuses a request grants a claim, which two entries that a hash of the
// content selects hold in memory. A request that would be refused looks up its claim there.
package claim

import "time"

const (
	// dueSlack is how long before its due time a claim is valid: Retry-After has two decimals, and the
	// time of the datagram to the holder counts as well.
	dueSlack = 15 * time.Millisecond
	// dueGrace is how long after its due time a claim is valid: callers return on a new connection,
	// which can take several round trips at an entry that is busy.
	dueGrace = 150 * time.Millisecond
	// MinWait is the minimum time until a claim is due. Before that, its holders may not have it.
	MinWait = 20 * time.Millisecond
)

// State is what a ledger knows of a claim at some time.
type State uint8

// The states of a claim.
const (
	// Unknown is the state of contents without a claim, and of claims that have expired.
	Unknown State = iota
	// Early means that the claim is not due yet.
	Early
	// Valid means that the request may use the claim now.
	Valid
	// Used means that another request used the claim.
	Used
)

// Answer is the result of a lookup.
type Answer struct {
	State State
	// Wait is the time until the claim is due if it is early.
	Wait time.Duration
}
