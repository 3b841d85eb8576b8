package ticket

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// advance moves to the slot of now and closes the slots that fall out. A clock
// that went back changes nothing, so that a closed slot never opens again: if
// it did, a ticket whose record is gone could run a second time.
func (b *Issuer) advance(now time.Time) {
	at := uint64(max(now.Sub(b.started), 0) / b.Slot)
	if at <= b.slot {
		return
	}
	b.slot = at
	for n := range b.slots {
		if b.closed(n) {
			b.forget(n)
		}
	}
	b.trim()
}

// closed says that no ticket of the slot may be held any more.
func (b *Issuer) closed(n uint64) bool {
	return n+uint64(b.Slots) <= b.slot
}

// forget drops the records of a closed slot, but for those that still wait or
// run: these are bounded by the agent's queue and slots, and their callers'
// repeats can still join them.
func (b *Issuer) forget(n uint64) {
	s := b.slots[n]
	for k, r := range s.spent {
		if r.state != chestnutstep.TicketHeld && r.state != chestnutstep.TicketRunning {
			b.remove(n, k, r)
		}
	}
}

// trim bounds what is remembered of closed slots. Without it a process that
// lives for years would collect one bit for each slot in which it ran.
func (b *Issuer) trim() {
	if b.slot < maxHistory+uint64(b.Slots) {
		return
	}
	oldest := b.slot - maxHistory - uint64(b.Slots)
	if oldest <= b.oldest {
		return
	}
	b.oldest = oldest
	for n := range b.ran {
		if n < oldest {
			delete(b.ran, n)
		}
	}
}

func (b *Issuer) find(c claim) (record, bool) {
	s := b.slots[c.slot]
	if s == nil {
		return record{}, false
	}
	r, ok := s.spent[c.nonce]
	return r, ok
}

// move changes a record by an event of the chart and stores the outcome. False
// means that the chart has no such move, and nothing has changed.
func (b *Issuer) move(c claim, r *record, event string) bool {
	to, err := Chart.Next(string(r.state), event)
	if err != nil {
		return false
	}
	r.state = chestnutstep.TicketState(to)
	if r.state == chestnutstep.TicketFresh || (b.closed(c.slot) && Chart.Final(to)) {
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
		b.spent++
		b.shares[r.workspace]++
	}
	s.spent[c.nonce] = r
}

func (b *Issuer) remove(n uint64, k nonce, r record) {
	s := b.slots[n]
	delete(s.spent, k)
	b.spent--
	b.shares[r.workspace]--
	if b.shares[r.workspace] == 0 {
		delete(b.shares, r.workspace)
	}
	if len(s.spent) == 0 {
		delete(b.slots, n)
	}
}

// room says whether one more spent ticket may be remembered for a workspace. A
// workspace may take as much as it leaves free: one alone gets half of the
// memory, so that a surge of one can't make the others' actions wait. Where
// there is no room, turning new tickets away is right: forgetting old ones
// would turn the known outcomes of other callers into unknown ones.
func (b *Issuer) room(workspace string) chestnutstep.Reason {
	if b.spent >= b.Most {
		return chestnutstep.ReasonQueue
	}
	if b.shares[workspace] >= b.Most-b.spent {
		return chestnutstep.ReasonShare
	}
	return ""
}
