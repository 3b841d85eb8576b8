package ticket

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// advance moves to the slot of now and closes the slots that are no longer open. A clock that went
// back changes nothing, so a closed slot never reopens: otherwise a ticket whose record has been
// evicted could run a second time.
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

// isClosed reports whether tickets of the slot can no longer be held.
func (b *Issuer) isClosed(n uint64) bool {
	return n+uint64(b.OpenSlots) <= b.currentSlot
}

// evictSlot removes the records of a closed slot, except those that are held or running. Their
// number is bounded by the agent's queue and slots, and retries of their callers can still join
// them.
func (b *Issuer) evictSlot(n uint64) {
	s := b.slots[n]
	for k, r := range s.spent {
		if r.state != chestnutstep.TicketHeld && r.state != chestnutstep.TicketRunning {
			b.remove(n, k, r)
		}
	}
}

// trimHistory bounds the history of closed slots. Without it, a process that runs for years would
// keep one bit for each slot in which a ticket ran.
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

// transition applies an event of the chart to a record and stores the result. It returns false if
// the chart has no such transition; the record is then unchanged.
func (b *Issuer) transition(c claim, r *record, event string) bool {
	to, err := Chart.Next(string(r.state), event)
	if err != nil {
		return false
	}
	r.state = chestnutstep.TicketState(to)
	if r.state == chestnutstep.TicketFresh || (b.isClosed(c.slot) && Chart.IsFinal(to)) {
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

// checkCapacity returns "" if one more spent ticket can be recorded for a workspace, or else the
// reason to reject it. A workspace can use as much as it leaves free, so a single one gets at most
// half of the capacity and its surge can't block the actions of others. At capacity new tickets are
// rejected, because evicting old records would turn the known outcomes of other callers into
// unknown ones.
func (b *Issuer) checkCapacity(workspace string) chestnutstep.Reason {
	if b.spentCount >= b.MaxSpent {
		return chestnutstep.ReasonQueue
	}
	if b.spentByWorkspace[workspace] >= b.MaxSpent-b.spentCount {
		return chestnutstep.ReasonShare
	}
	return ""
}
