package agent

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// Notice is something an operator should see; see docs/EVENTS.md.
type Notice struct {
	Kind    NoticeKind
	Subject string
	Reason  chestnutstep.Reason
	Before  string
	After   string
	// Of a request: whose it was, and its estimated work in tokens.
	Workspace string
	Profile   string
	// OfferNumber numbers the offers that this agent took, Age is how long ago this one
	// came.
	OfferNumber uint64
	Age         time.Duration
	// HasTicket says that it carried one.
	HasTicket bool
	Cost      float64
	// Of a run: how long it waited, the time from the call to the answer's
	// start, and the prompt tokens found in the target's cache.
	Wait         time.Duration
	FirstByte    time.Duration
	CachedTokens int64
	// Bytes of KV cache that were moved.
	Bytes int64
	// Count of tickets.
	Count int
}

// NoticeKind names a notice.
type NoticeKind string

// The notices.
const (
	NoticeCold       NoticeKind = "cold"      // the target turned cold
	NoticeDown       NoticeKind = "down"      // the target does not answer
	NoticeUp         NoticeKind = "up"        // the target answers again
	NoticeCrash      NoticeKind = "crash"     // the target died with requests running
	NoticeSuspect    NoticeKind = "suspect"   // a request's content became suspect
	NoticeCondemned  NoticeKind = "condemned" // a request's content was condemned
	NoticeRefused    NoticeKind = "refused"   // an offer was refused
	NoticeAccepted   NoticeKind = "accepted"  // an offer was accepted
	NoticeQueued     NoticeKind = "queued"    // an offer waits
	NoticeSent       NoticeKind = "sent"      // the accept of an offer was written
	NoticeStarted    NoticeKind = "started"   // the target was called
	NoticeWithdrawn  NoticeKind = "withdrawn" // an offer that was taken will not run
	NoticeAbandoned  NoticeKind = "abandoned" // the same, as its entry left; its ticket stays good
	NoticeImported   NoticeKind = "imported"  // a chat's KV cache was imported
	NoticeMinted     NoticeKind = "minted"    // tickets were handed out
	NoticeMoved      NoticeKind = "moved"     // another target runs a request
	NoticeLimits     NoticeKind = "limits"    // a publication changed the limits
	NoticeLeaving    NoticeKind = "leaving"   // the target takes no new work
	NoticeOrder      NoticeKind = "order"     // an order was passed on or refused
	NoticeEnded      NoticeKind = "ended"     // a run ended
	NoticeHandedOver NoticeKind = "handed"    // a chat's KV cache went to another target
)
