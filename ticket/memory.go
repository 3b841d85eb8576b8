package ticket

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// advance moves to the slot of now and closes the slots that fall out. A clock
// that went back changes nothing, so that a closed slot never opens again: if
// it did, a ticket whose record is gone could run a second time.
func (b *Issuer) advance(now time.Time) {
	current := uint64(max(now.Sub(b.startedAt), 0) / b.SlotLength)
	if current <= b.currentSlot {
		return
	}
	b.currentSlot = current
	for n := range b.slots {
		if b.isClosed(n) {
			b.evictSlot(n)
		}
	}
	b.trimHistory()
}

// isClosed says that no ticket of the slot may be held any more.
func (b *Issuer) isClosed(n uint64) bool {
	return n+uint64(b.OpenSlots) <= b.currentSlot
}

// evictSlot drops the records of a closed slot, but for those that still wait or
// run: these are bounded by the agent's queue and slots, and their callers'
// repeats can still join them.
func (b *Issuer) evictSlot(n uint64) {
	s := b.slots[n]
	for k, r := range s.spent {
		if r.state != chestnutstep.TicketHeld && r.state != chestnutstep.TicketRunning {
			b.remove(n, k, r)
		}
	}
}

// trimHistory bounds what is remembered of closed slots. Without it a process that
// lives for years would collect one bit for each slot in which it ran.
func (b *Issuer) trimHistory() {
	if b.currentSlot < maxClosedSlots+uint64(b.OpenSlots) {
		return
	}
	oldestSlot := b.currentSlot - maxClosedSlots - uint64(b.OpenSlots)
	if oldestSlot <= b.oldestSlot {
		return
	}
	b.oldestSlot = oldestSlot
	for n := range b.slotsWithRuns {
		if n < oldestSlot {
			delete(b.slotsWithRuns, n)
		}
	}
}

func (b *Issuer) findRecord(c claim) (record, bool) {
	s := b.slots[c.slot]
	if s == nil {
		return record{}, false
	}
	r, ok := s.spent[c.nonce]
	return r, ok
}

// transition changes a record by an event of the chart and stores the outcome. False
// means that the chart has no such move, and nothing has changed.
func (b *Issuer) transition(c claim, r *record, event string) bool {
	to, err := Chart.Next(string(r.state), event)
	if err != nil {
		return false
	}
	r.state = chestnutstep.TicketState(to)
	if r.state == chestnutstep.TicketFresh || (b.isClosed(c.slot) && Chart.Final(to)) {
		b.remove(c.slot, c.nonce, *r)
		return true
	}
	b.store(c, *r)
	return true
}

func (b *Issuer) store(c claim, r record) {
	s := b.slots[c.slot]
	if s == nil {
		s = &slot{spent: map[nonce]record{}}
		b.slots[c.slot] = s
	}
	if _, ok := s.spent[c.nonce]; !ok {
		b.spentCount++
		b.spentByWorkspace[r.workspace]++
	}
	s.spent[c.nonce] = r
}

func (b *Issuer) remove(n uint64, k nonce, r record) {
	s := b.slots[n]
	delete(s.spent, k)
	b.spentCount--
	b.spentByWorkspace[r.workspace]--
	if b.spentByWorkspace[r.workspace] == 0 {
		delete(b.spentByWorkspace, r.workspace)
	}
	if len(s.spent) == 0 {
		delete(b.slots, n)
	}
}

// checkCapacity says whether one more spent ticket may be remembered for a workspace. A
// workspace may take as much as it leaves free: one alone gets half of the
// memory, so that a surge of one can't make the others' actions wait. Where
// there is no room, turning new tickets away is right: forgetting old ones
// would turn the known outcomes of other callers into unknown ones.
func (b *Issuer) checkCapacity(workspace string) chestnutstep.Reason {
	if b.spentCount >= b.MaxSpent {
		return chestnutstep.ReasonQueue
	}
	if b.spentByWorkspace[workspace] >= b.MaxSpent-b.spentCount {
		return chestnutstep.ReasonShare
	}
	return ""
}
