package agent

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// Notice is an event for operators; see docs/EVENTS.md.
type Notice struct {
	Kind    NoticeKind
	Subject string
	Reason  chestnutstep.Reason
	Before  string
	After   string
	// Workspace, Profile and Cost describe a request; Cost is its estimated work in tokens.
	Workspace string
	Profile   string
	// OfferNumber is the number of the offer among those passed to the gate, and Age the time since
	// it arrived.
	OfferNumber uint64
	Age         time.Duration
	// HasTicket reports whether the request has a ticket.
	HasTicket bool
	Cost      float64
	// Wait, FirstByte and CachedTokens describe a run: the time from the offer to the call, the
	// time from the call to the start of the answer, and the prompt tokens found in the target's
	// cache.
	Wait         time.Duration
	FirstByte    time.Duration
	CachedTokens int64
	// Bytes is the size of a moved KV cache.
	Bytes int64
	// Count is the number of minted tickets.
	Count int
}

// NoticeKind names a notice.
type NoticeKind string

// Kinds of notices.
const (
	NoticeCold       NoticeKind = "cold"      // the target turned cold
	NoticeDown       NoticeKind = "down"      // the target doesn't answer
	NoticeUp         NoticeKind = "up"        // the target answers again
	NoticeCrash      NoticeKind = "crash"     // the target crashed
	NoticeSuspect    NoticeKind = "suspect"   // a request's content became suspect
	NoticeCondemned  NoticeKind = "condemned" // a request's content was condemned
	NoticeRefused    NoticeKind = "refused"   // an offer was refused
	NoticeAccepted   NoticeKind = "accepted"  // an offer was accepted
	NoticeQueued     NoticeKind = "queued"    // an offer was queued
	NoticeSent       NoticeKind = "sent"      // the accept of an offer was sent
	NoticeStarted    NoticeKind = "started"   // the target was called
	NoticeWithdrawn  NoticeKind = "withdrawn" // a job was refused before it ran
	NoticeAbandoned  NoticeKind = "abandoned" // a job lost its entry before it ran; its ticket stays valid
	NoticeImported   NoticeKind = "imported"  // a chat's KV cache was imported
	NoticeMinted     NoticeKind = "minted"    // tickets were minted
	NoticeMoved      NoticeKind = "moved"     // another target runs a request
	NoticeLimits     NoticeKind = "limits"    // a new publication was applied
	NoticeLeaving    NoticeKind = "leaving"   // the target accepts no new work
	NoticePaused     NoticeKind = "paused"    // the target asked to receive nothing for some time
	NoticeOrder      NoticeKind = "order"     // an order was sent or refused
	NoticeEnded      NoticeKind = "ended"     // a run ended
	NoticeHandedOver NoticeKind = "handed"    // a chat's KV cache was moved to another target
)
