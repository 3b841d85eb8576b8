package ticket

import "chestnutstep.example/chestnutstep"

// newStatus tells what a record says.
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

// repeatStatus answers a Hold that finds a record. A request with another id hears
// what became of the ticket's action rather than a "not run" of its own: a
// caller that repeats an action under a new id would take that for leave to
// run it again.
func repeatStatus(r record, request string) chestnutstep.TicketStatus {
	s := newStatus(r)
	if r.state != chestnutstep.TicketDropped && r.request != request {
		s.Reason = chestnutstep.ReasonSpent
	}
	return s
}

// reject answers for a ticket that can't be used here; nothing is stored.
//
// A dead incarnation took its memory with it, so that the answer is "maybe" for
// ever. A forged or torn token also answers "maybe": its caller may have sent
// the right one before. An expired ticket is "not run" only when no ticket of
// its slot ever ran: its own record is gone, and a closed slot never reopens.
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

// rejectFull turns a fresh ticket away for want of memory. It says "maybe", as there
// is no room for the tombstone that would make "not run" true for ever: an
// offer that was delayed on its way may still come. The ticket stays good.
func (b *Issuer) rejectFull(reason chestnutstep.Reason) chestnutstep.TicketStatus {
	return chestnutstep.TicketStatus{
		State: chestnutstep.TicketFresh, Reason: reason, Run: chestnutstep.RunMaybe,
	}
}
