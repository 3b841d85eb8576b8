package ticket

import "chestnutstep.example/chestnutstep"

// newStatus returns the status of a record.
func newStatus(r record) chestnutstep.TicketStatus {
	s := chestnutstep.TicketStatus{State: r.state, RequestID: r.request}
	switch r.state {
	case chestnutstep.TicketDropped:
		s.Reason = chestnutstep.ReasonDropped
		s.Run = chestnutstep.RunNo
	case chestnutstep.TicketDone:
		s.Run = chestnutstep.RunYes
	default:
		s.Run = chestnutstep.RunMaybe
	}
	return s
}

// repeatStatus returns the status for a Hold of a ticket with a record. A request with another id
// gets the state of the ticket's action and not a "not run" of its own: a caller that retries an
// action under a new id would take that as permission to run it again.
func repeatStatus(r record, request string) chestnutstep.TicketStatus {
	s := newStatus(r)
	if r.state != chestnutstep.TicketDropped && r.request != request {
		s.Reason = chestnutstep.ReasonSpent
	}
	return s
}

// reject returns the status of a ticket that can't be used here; nothing is stored.
//
// The records of an ended incarnation are lost, so its tickets are "maybe" for good. A forged or
// damaged token is also "maybe", as its caller may have sent the valid one before. An expired
// ticket is "not run" only if no ticket of its slot ever ran: its own record has been evicted, and
// a closed slot never reopens.
func (b *Issuer) reject(c claim, reason chestnutstep.Reason) chestnutstep.TicketStatus {
	state, _ := Chart.Next(string(chestnutstep.TicketFresh), eventReject)
	s := chestnutstep.TicketStatus{
		State: chestnutstep.TicketState(state), Reason: reason, Run: chestnutstep.RunMaybe,
	}
	if reason == chestnutstep.ReasonExpired && c.slot >= b.oldestSlot && !b.slotsWithRuns[c.slot] {
		s.Run = chestnutstep.RunNo
	}
	return s
}

// rejectFull returns the status of a new ticket that is rejected for lack of capacity. It is
// "maybe" because there is no room for the tombstone that would make "not run" final: an offer
// delayed in transit can still arrive. The ticket stays valid.
func (b *Issuer) rejectFull(reason chestnutstep.Reason) chestnutstep.TicketStatus {
	return chestnutstep.TicketStatus{
		State: chestnutstep.TicketFresh, Reason: reason, Run: chestnutstep.RunMaybe,
	}
}
