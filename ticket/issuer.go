// Package ticket mints and spends the tickets that let a non-idempotent request
// run at most once.
//
// A ticket names the one agent incarnation that can run it. That incarnation
// alone remembers which tickets are spent, so that no two processes ever have
// to agree, and no two clocks are ever compared.
package ticket

import (
	"crypto/hmac"
	"crypto/rand"
	_ "embed" // the chart is part of the program
	"encoding/hex"
	"io"
	"strings"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/chart"
)

//go:embed ticket.chart
var chartText string

// Chart is the life of a ticket. Every change of state goes through it.
var Chart = chart.Must(chartText)

// The events of the chart.
const (
	eventHold    = "hold"
	eventRun     = "run"
	eventRelease = "release"
	eventKnow    = "know"
	eventLose    = "lose"
	eventUnsend  = "unsend"
	eventDrop    = "drop"
	eventReject  = "reject"
)

const (
	// DefaultSlot is the length of a time slot. A shorter one forgets more
	// evenly; a longer one costs fewer maps.
	DefaultSlot = time.Minute
	// DefaultSlots is how many slots stay open: a ticket can be used for nine
	// to ten minutes, longer than any request's time limit and a caller's
	// repeats after a restart of its own.
	DefaultSlots = 10
	// DefaultMost bounds the spent tickets that are remembered: 54 actions a
	// second over ten minutes. At 209 bytes for each they take 7 MB, and 9.4 MB
	// with the longest request ids, a seventh of what a process may use.
	DefaultMost = 1 << 15
	// MaxRequest bounds a request's id in bytes, as it is part of what each
	// spent ticket costs.
	MaxRequest = 128
	// keySize is the size of the HMAC key in bytes, that of the hash's output.
	keySize = 32
	// incarnationSize is the size of a drawn incarnation in bytes: two
	// processes drawing the same one is less likely than one in 10^18 pairs.
	incarnationSize = 8
	// maxHistory bounds what is remembered of closed slots: one bit for each
	// slot, so that a ticket which expired unused within the last 17 hours of
	// one-minute slots can still be told "not run".
	maxHistory = 1024
)

// Issuer implements chestnutstep.Issuer for one agent incarnation. Set the fields
// before the first call. It is not safe for concurrent use.
type Issuer struct {
	// Target is the target beside the agent.
	Target string
	// Incarnation names this process; a new process must have another one. It
	// is drawn at the first call when empty.
	Incarnation string
	// Key signs tickets. It is drawn at the first call when nil and never
	// leaves the process: with it die all tickets that it signed.
	Key []byte
	// Rand is the source of keys and nonces; crypto/rand when nil.
	Rand io.Reader
	// Slot is the length of a time slot; DefaultSlot when 0.
	Slot time.Duration
	// Slots is how many slots stay open; DefaultSlots when 0.
	Slots int
	// Most bounds the spent tickets that are remembered; DefaultMost when 0.
	Most int

	started time.Time
	slot    uint64
	slots   map[uint64]*slot
	ran     map[uint64]bool
	oldest  uint64
	spent   int
	shares  map[string]int
}

var _ chestnutstep.Issuer = (*Issuer)(nil)

// slot is what is remembered of the tickets that were minted in one time slot.
type slot struct {
	spent map[nonce]record
}

// record is one spent ticket.
type record struct {
	state     chestnutstep.TicketState
	request   string
	workspace string
}

func (b *Issuer) start(now time.Time) {
	if b.slots != nil {
		b.advance(now)
		return
	}
	b.defaults()
	b.started = now
	b.slots = map[uint64]*slot{}
	b.ran = map[uint64]bool{}
	b.shares = map[string]int{}
}

func (b *Issuer) defaults() {
	if b.Rand == nil {
		b.Rand = rand.Reader
	}
	if b.Slot <= 0 {
		b.Slot = DefaultSlot
	}
	if b.Slots <= 0 {
		b.Slots = DefaultSlots
	}
	if b.Most <= 0 {
		b.Most = DefaultMost
	}
	if b.Incarnation == "" {
		b.Incarnation = hex.EncodeToString(b.draw(incarnationSize))
	}
	if b.Key == nil {
		b.Key = b.draw(keySize)
	}
}

// draw reads random bytes. An issuer without randomness can't sign anything that
// a caller could not forge, so that the process has to stop.
func (b *Issuer) draw(n int) []byte {
	p := make([]byte, n)
	if _, err := io.ReadFull(b.Rand, p); err != nil {
		panic("ticket: no randomness: " + err.Error())
	}
	return p
}

// Mint returns n fresh tickets for a workspace. It stores nothing: a flood of
// mints costs the time of its HMACs and no memory. It returns none for names
// that don't fit a token.
func (b *Issuer) Mint(now time.Time, workspace string, n int) []string {
	b.start(now)
	if len(workspace) > maxName || len(b.Target) > maxName || len(b.Incarnation) > maxName {
		return nil
	}
	tokens := make([]string, 0, max(n, 0))
	for range n {
		c := claim{
			target: b.Target, incarnation: b.Incarnation, slot: b.slot, workspace: workspace,
			nonce: nonce(b.draw(nonceSize)),
		}
		tokens = append(tokens, c.token(b.Key))
	}
	return tokens
}

// Hold binds a ticket to a request. A repeat of the same request finds the
// state that it is in; another request finds ReasonSpent.
//
// RunNo is only said where it is final. A held ticket answers RunMaybe, as it
// may run the moment after.
func (b *Issuer) Hold(now time.Time, token, workspace, request string) chestnutstep.TicketStatus {
	b.start(now)
	c, reason := b.check(token, workspace)
	if reason != "" {
		return b.reject(c, reason)
	}
	r, ok := b.find(c)
	if ok {
		return repeat(r, request)
	}
	if b.closed(c.slot) {
		return b.reject(c, chestnutstep.ReasonExpired)
	}
	if len(request) > MaxRequest {
		return b.reject(c, chestnutstep.ReasonHeader)
	}
	if reason = b.room(workspace); reason != "" {
		return b.busy(reason)
	}
	r = record{state: chestnutstep.TicketFresh, request: strings.Clone(request), workspace: c.workspace}
	b.move(c, &r, eventHold)
	return stub(r)
}

// Start marks a held ticket as handed to the target. It is the one step that lets
// an action run, and its chart has no way back to held.
func (b *Issuer) Start(now time.Time, token string) bool {
	b.start(now)
	c, r, ok := b.lookup(token)
	if !ok || !b.move(c, &r, eventRun) {
		return false
	}
	b.ran[c.slot] = true
	return true
}

// Release gives a held ticket back unused: any request of its workspace may
// hold it again. The agent may not say "not run" after it, as an offer that is
// still on its way would make that false: Drop is for that.
func (b *Issuer) Release(now time.Time, token string) {
	b.start(now)
	if c, r, ok := b.lookup(token); ok {
		b.move(c, &r, eventRelease)
	}
}

// Finish ends a running ticket; known says whether the outcome is known.
func (b *Issuer) Finish(now time.Time, token string, known bool) {
	b.start(now)
	event := eventLose
	if known {
		event = eventKnow
	}
	if c, r, ok := b.lookup(token); ok {
		b.move(c, &r, event)
	}
}

// MarkUnsent turns a running ticket into a tombstone. Its owner calls it only when
// no connection to the target came about, so that no byte of the action left
// this process: without it a target that is down would leave every action's
// outcome unknown, and callers would have to ask people.
func (b *Issuer) MarkUnsent(now time.Time, token string) chestnutstep.TicketStatus {
	b.start(now)
	c, r, ok := b.lookup(token)
	if !ok {
		return b.reject(c, chestnutstep.ReasonForged)
	}
	b.move(c, &r, eventUnsend)
	return stub(r)
}

// Drop writes a tombstone when the ticket has not run, and says the truth.
func (b *Issuer) Drop(now time.Time, token, workspace string) chestnutstep.TicketStatus {
	b.start(now)
	c, reason := b.check(token, workspace)
	if reason != "" {
		return b.reject(c, reason)
	}
	r, ok := b.find(c)
	if !ok && b.closed(c.slot) {
		return b.reject(c, chestnutstep.ReasonExpired)
	}
	if !ok {
		if reason = b.room(workspace); reason != "" {
			return b.busy(reason)
		}
		r = record{state: chestnutstep.TicketFresh, workspace: c.workspace}
	}
	b.move(c, &r, eventDrop)
	return stub(r)
}

// check verifies that this incarnation minted a token for the workspace.
func (b *Issuer) check(token, workspace string) (claim, chestnutstep.Reason) {
	c, body, mac, ok := parse(token)
	if !ok || c.target != b.Target {
		return c, chestnutstep.ReasonForged
	}
	if c.incarnation != b.Incarnation {
		return c, chestnutstep.ReasonDead
	}
	if !hmac.Equal(mac, sign(b.Key, body)) || c.workspace != workspace {
		return c, chestnutstep.ReasonForged
	}
	return c, ""
}

// lookup finds the record of a token that was held before.
func (b *Issuer) lookup(token string) (claim, record, bool) {
	c, body, mac, ok := parse(token)
	if !ok || c.incarnation != b.Incarnation || !hmac.Equal(mac, sign(b.Key, body)) {
		return claim{}, record{}, false
	}
	r, ok := b.find(c)
	return c, r, ok
}
