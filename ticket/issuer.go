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
	eventHold     = "hold"
	eventRun      = "run"
	eventRelease  = "release"
	eventFinished = "know"
	eventLost     = "lose"
	eventUnsent   = "unsend"
	eventDrop     = "drop"
	eventReject   = "reject"
)

const (
	// DefaultSlotLength is the length of a time slot. A shorter one forgets more
	// evenly; a longer one costs fewer maps.
	DefaultSlotLength = time.Minute
	// DefaultOpenSlots is how many slots stay open: a ticket can be used for nine
	// to ten minutes, longer than any request's time limit and a caller's
	// repeats after a restart of its own.
	DefaultOpenSlots = 10
	// DefaultMaxSpent bounds the spent tickets that are remembered: 54 actions a
	// second over ten minutes. At 209 bytes for each they take 7 MB, and 9.4 MB
	// with the longest request ids, a seventh of what a process may use.
	DefaultMaxSpent = 1 << 15
	// MaxRequestID bounds a request's id in bytes, as it is part of what each
	// spent ticket costs.
	MaxRequestID = 128
	// keySize is the size of the HMAC key in bytes, that of the hash's output.
	keySize = 32
	// incarnationSize is the size of a drawn incarnation in bytes: two
	// processes drawing the same one is less likely than one in 10^18 pairs.
	incarnationSize = 8
	// maxClosedSlots bounds what is remembered of closed slots: one bit for each
	// slot, so that a ticket which expired unused within the last 17 hours of
	// one-minute slots can still be told "not run".
	maxClosedSlots = 1024
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
	// SlotLength is the length of a time slot; DefaultSlot when 0.
	SlotLength time.Duration
	// OpenSlots is how many slots stay open; DefaultSlots when 0.
	OpenSlots int
	// MaxSpent bounds the spent tickets that are remembered; DefaultMost when 0.
	MaxSpent int

	startedAt        time.Time
	currentSlot      uint64
	slots            map[uint64]*slot
	slotsWithRuns    map[uint64]bool
	oldestSlot       uint64
	spentCount       int
	spentByWorkspace map[string]int
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

func (b *Issuer) prepare(now time.Time) {
	if b.slots != nil {
		b.advance(now)
		return
	}
	b.setDefaults()
	b.startedAt = now
	b.slots = map[uint64]*slot{}
	b.slotsWithRuns = map[uint64]bool{}
	b.spentByWorkspace = map[string]int{}
}

func (b *Issuer) setDefaults() {
	if b.Rand == nil {
		b.Rand = rand.Reader
	}
	if b.SlotLength <= 0 {
		b.SlotLength = DefaultSlotLength
	}
	if b.OpenSlots <= 0 {
		b.OpenSlots = DefaultOpenSlots
	}
	if b.MaxSpent <= 0 {
		b.MaxSpent = DefaultMaxSpent
	}
	if b.Incarnation == "" {
		b.Incarnation = hex.EncodeToString(b.randomBytes(incarnationSize))
	}
	if b.Key == nil {
		b.Key = b.randomBytes(keySize)
	}
}

// randomBytes reads random bytes. An issuer without randomness can't sign anything that
// a caller could not forge, so that the process has to stop.
func (b *Issuer) randomBytes(n int) []byte {
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
	b.prepare(now)
	if len(workspace) > maxName || len(b.Target) > maxName || len(b.Incarnation) > maxName {
		return nil
	}
	tokens := make([]string, 0, max(n, 0))
	for range n {
		c := claim{
			target: b.Target, incarnation: b.Incarnation, slot: b.currentSlot, workspace: workspace,
			nonce: nonce(b.randomBytes(nonceSize)),
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
	b.prepare(now)
	c, reason := b.verify(token, workspace)
	if reason != "" {
		return b.reject(c, reason)
	}
	r, ok := b.findRecord(c)
	if ok {
		return repeatStatus(r, request)
	}
	if b.isClosed(c.slot) {
		return b.reject(c, chestnutstep.ReasonExpired)
	}
	if len(request) > MaxRequestID {
		return b.reject(c, chestnutstep.ReasonHeader)
	}
	if reason = b.checkCapacity(workspace); reason != "" {
		return b.rejectFull(reason)
	}
	r = record{state: chestnutstep.TicketFresh, request: strings.Clone(request), workspace: c.workspace}
	b.transition(c, &r, eventHold)
	return newStatus(r)
}

// Start marks a held ticket as handed to the target. It is the one step that lets
// an action run, and its chart has no way back to held.
func (b *Issuer) Start(now time.Time, token string) bool {
	b.prepare(now)
	c, r, ok := b.lookup(token)
	if !ok || !b.transition(c, &r, eventRun) {
		return false
	}
	b.slotsWithRuns[c.slot] = true
	return true
}

// Release gives a held ticket back unused: any request of its workspace may
// hold it again. The agent may not say "not run" after it, as an offer that is
// still on its way would make that false: Drop is for that.
func (b *Issuer) Release(now time.Time, token string) {
	b.prepare(now)
	if c, r, ok := b.lookup(token); ok {
		b.transition(c, &r, eventRelease)
	}
}

// Finish ends a running ticket; known says whether the outcome is known.
func (b *Issuer) Finish(now time.Time, token string, known bool) {
	b.prepare(now)
	event := eventLost
	if known {
		event = eventFinished
	}
	if c, r, ok := b.lookup(token); ok {
		b.transition(c, &r, event)
	}
}

// MarkUnsent turns a running ticket into a tombstone. Its owner calls it only when
// no connection to the target came about, so that no byte of the action left
// this process: without it a target that is down would leave every action's
// outcome unknown, and callers would have to ask people.
func (b *Issuer) MarkUnsent(now time.Time, token string) chestnutstep.TicketStatus {
	b.prepare(now)
	c, r, ok := b.lookup(token)
	if !ok {
		return b.reject(c, chestnutstep.ReasonForged)
	}
	b.transition(c, &r, eventUnsent)
	return newStatus(r)
}

// Drop writes a tombstone when the ticket has not run, and says the truth.
func (b *Issuer) Drop(now time.Time, token, workspace string) chestnutstep.TicketStatus {
	b.prepare(now)
	c, reason := b.verify(token, workspace)
	if reason != "" {
		return b.reject(c, reason)
	}
	r, ok := b.findRecord(c)
	if !ok && b.isClosed(c.slot) {
		return b.reject(c, chestnutstep.ReasonExpired)
	}
	if !ok {
		if reason = b.checkCapacity(workspace); reason != "" {
			return b.rejectFull(reason)
		}
		r = record{state: chestnutstep.TicketFresh, workspace: c.workspace}
	}
	b.transition(c, &r, eventDrop)
	return newStatus(r)
}

// verify verifies that this incarnation minted a token for the workspace.
func (b *Issuer) verify(token, workspace string) (claim, chestnutstep.Reason) {
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
	r, ok := b.findRecord(c)
	return c, r, ok
}
