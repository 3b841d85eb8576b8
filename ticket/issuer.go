// Package ticket mints and checks the tickets that make a non-idempotent request run at most once.
// A ticket names the only agent incarnation that can run it. Only that incarnation records which
// tickets are spent, so no two processes ever have to agree and no two clocks are compared.
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

// Chart is the state chart of a ticket. Every change of state goes through it.
var Chart = chart.MustParse(chartText)

// Events of the chart.
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
	// DefaultSlotLength is the default length of a time slot. Shorter slots spread the eviction of
	// records more evenly; longer ones need fewer maps.
	DefaultSlotLength = time.Minute
	// DefaultOpenSlots is the default number of open slots. A ticket can be used for nine to ten
	// minutes, which exceeds the time limit of any request plus a caller's retries after its own
	// restart.
	DefaultOpenSlots = 10
	// DefaultMaxSpent is the default maximum number of recorded spent tickets: 54 actions per
	// second over ten minutes. At 209 bytes each they take 7 MB, and 9.4 MB with the longest
	// request ids, a seventh of the memory limit of a process.
	DefaultMaxSpent = 1 << 15
	// MaxRequestID is the maximum length of a request's id in bytes. The id is stored with each
	// spent ticket.
	MaxRequestID = 128
	// keySize is the size of the HMAC key in bytes, equal to the output size of the hash.
	keySize = 32
	// incarnationSize is the size of a random incarnation in bytes: the probability that two
	// processes draw the same one is below 1 in 10^18.
	incarnationSize = 8
	// maxClosedSlots bounds the history of closed slots, which has one bit per slot: whether any
	// ticket of the slot ran. With one-minute slots, a ticket that expired unused within the last
	// 17 hours can therefore still be reported as "not run".
	maxClosedSlots = 1024
)

// Issuer implements chestnutstep.Issuer for one agent incarnation. Set the fields before the first
// call. It is not safe for concurrent use.
type Issuer struct {
	// Target is the name of the agent's target.
	Target string
	// Incarnation identifies this process; a new process must have a different one. If empty, it is
	// drawn at random at the first call.
	Incarnation string
	// Key signs tickets. If nil, it is drawn at random at the first call. It never leaves the
	// process, so the tickets signed with it become invalid when the process ends.
	Key []byte
	// Rand is the source of keys and nonces; crypto/rand if nil.
	Rand io.Reader
	// SlotLength is the length of a time slot; DefaultSlotLength if 0.
	SlotLength time.Duration
	// OpenSlots is the number of open slots; DefaultOpenSlots if 0.
	OpenSlots int
	// MaxSpent is the maximum number of recorded spent tickets; DefaultMaxSpent if 0.
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

// slot holds the records of the spent tickets that were minted in one time slot.
type slot struct {
	spent map[nonce]record
}

// record is the record of one spent ticket.
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

// randomBytes returns n random bytes. It panics if the source fails, because without randomness a
// caller could forge any ticket.
func (b *Issuer) randomBytes(n int) []byte {
	p := make([]byte, n)
	if _, err := io.ReadFull(b.Rand, p); err != nil {
		panic("ticket: random source failed: " + err.Error())
	}
	return p
}

// Mint returns n new tickets for a workspace. It stores nothing, so many calls cost only the time
// of the HMACs and no memory. It returns none if a name is too long for a token.
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

// Hold binds a ticket to a request. A retry of the same request gets the ticket's present state;
// another request gets ReasonSpent.
//
// RunNo is returned only where it is final. A held ticket yields RunMaybe, as it can run at any
// moment.
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

// Start marks a held ticket as sent to the target and reports whether the action can run. It is the
// only step that lets an action run, and the chart has no transition back to held.
func (b *Issuer) Start(now time.Time, token string) bool {
	b.prepare(now)
	c, r, ok := b.lookup(token)
	if !ok || !b.transition(c, &r, eventRun) {
		return false
	}
	b.slotsWithRuns[c.slot] = true
	return true
}

// Release returns a held ticket unused: any request of its workspace can hold it again. The agent
// must not report "not run" afterwards, because an offer still in transit could make that false;
// use Drop for that.
func (b *Issuer) Release(now time.Time, token string) {
	b.prepare(now)
	if c, r, ok := b.lookup(token); ok {
		b.transition(c, &r, eventRelease)
	}
}

// Finish ends a running ticket; known reports whether the outcome is known.
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

// MarkUnsent writes a tombstone for a running ticket. It must be called only if no connection to
// the target was established, so that no byte of the action left this process. Without it, every
// action on a target that is down would have an unknown outcome, and callers would have to resolve
// it manually.
func (b *Issuer) MarkUnsent(now time.Time, token string) chestnutstep.TicketStatus {
	b.prepare(now)
	c, r, ok := b.lookup(token)
	if !ok {
		return b.reject(c, chestnutstep.ReasonForged)
	}
	b.transition(c, &r, eventUnsent)
	return newStatus(r)
}

// Drop writes a tombstone if the ticket has not run, and returns the ticket's status.
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

// verify checks that this incarnation minted the token for the workspace. It returns the reason if
// not.
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

// lookup returns the record of a token that was held before.
func (b *Issuer) lookup(token string) (claim, record, bool) {
	c, body, mac, ok := parse(token)
	if !ok || c.incarnation != b.Incarnation || !hmac.Equal(mac, sign(b.Key, body)) {
		return claim{}, record{}, false
	}
	r, ok := b.findRecord(c)
	return c, r, ok
}
