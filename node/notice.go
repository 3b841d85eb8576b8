package node

import (
	"slices"
	"strings"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/agent"
	"chestnutstep.example/chestnutstep/audit"
	"chestnutstep.example/chestnutstep/entry"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/order"
)

// targetEvents maps the notices of an agent about its target's state to log events. They also go to
// the audit trail.
var targetEvents = map[agent.NoticeKind]event.ID{
	agent.NoticeCold:    event.TargetCold,
	agent.NoticeDown:    event.TargetDown,
	agent.NoticeUp:      event.TargetUp,
	agent.NoticeCrash:   event.TargetCrash,
	agent.NoticeLeaving: event.TargetLeaving,
	agent.NoticePaused:  event.TargetAsksPause,
}

// contentEvents maps the notices about the content of a request to log events.
var contentEvents = map[agent.NoticeKind]event.ID{
	agent.NoticeSuspect:   event.ContentSuspect,
	agent.NoticeCondemned: event.ContentCondemned,
}

// offerEvents maps the steps of an offer to log events.
var offerEvents = map[agent.NoticeKind]event.ID{
	agent.NoticeAccepted:  event.OfferTaken,
	agent.NoticeQueued:    event.OfferTaken,
	agent.NoticeSent:      event.AcceptSent,
	agent.NoticeStarted:   event.RunStarted,
	agent.NoticeWithdrawn: event.OfferExpired,
	agent.NoticeAbandoned: event.OfferExpired,
	agent.NoticeEnded:     event.RunEnded,
}

// handleNotice records a notice of the agent in the log, the metrics and the audit trail.
func (n *Agent) handleNotice(m agent.Notice) {
	if id, ok := targetEvents[m.Kind]; ok {
		n.log.Emit(id, event.Target(m.Subject), event.Dur("asked", m.Wait))
		n.auditNotice(audit.KindTarget, m)
	}
	if id, ok := contentEvents[m.Kind]; ok {
		n.log.Emit(id, event.Str("content", m.Subject))
		n.auditNotice(audit.KindCondemned, m)
	}
	if id, ok := offerEvents[m.Kind]; ok {
		n.log.Emit(id, event.Request(m.Subject), event.Int("offer", int64(m.OfferNumber)), event.Reason(m.Reason), event.Dur("after", m.Age))
	}
	switch m.Kind {
	case agent.NoticeCrash:
		n.meters.Agent.Crashes.Add(1)
	case agent.NoticeRefused:
		n.recordRefusedOffer(m, event.OfferRefused)
	case agent.NoticeWithdrawn:
		n.recordRefusedOffer(m, 0)
	case agent.NoticeMoved:
		n.log.Emit(event.RunNoted, event.Request(m.Subject), event.Target(m.After))
	case agent.NoticeAbandoned:
		n.meters.Agent.Offers.Add(1, m.Profile, string(m.Reason))
	case agent.NoticeMinted:
		n.log.Emit(event.TicketsMinted, event.Workspace(m.Workspace), event.Int("count", int64(m.Count)))
		n.meters.Agent.Tickets.Add(int64(m.Count), "fresh")
	case agent.NoticeAccepted:
		n.meters.Agent.Offers.Add(1, m.Profile, "accept")
	case agent.NoticeQueued:
		n.meters.Agent.Offers.Add(1, m.Profile, "wait")
	case agent.NoticeOrder:
		n.recordOrder(m)
	case agent.NoticeHandedOver:
		n.meters.Agent.Moves.Add(1, "export", "ok")
		n.meters.Agent.MovedBytes.Add(m.Bytes, "export")
	case agent.NoticeImported:
		n.meters.Agent.Moves.Add(1, "import", "ok")
		n.meters.Agent.MovedBytes.Add(m.Bytes, "import")
	case agent.NoticeEnded:
		n.recordRun(m)
	}
}

// recordRefusedOffer records an offer that did not run. An offer with a ticket gets a log event of
// its own kind; id 0 writes no log line for others.
func (n *Agent) recordRefusedOffer(m agent.Notice, id event.ID) {
	switch {
	case m.HasTicket && slices.Contains(ticketReasons, m.Reason):
		id = event.TicketRefused
	case m.HasTicket:
		id = event.TicketDropped
	}
	if id != 0 {
		n.log.Emit(id, event.Request(m.Subject), event.Reason(m.Reason), event.Workspace(m.Workspace))
	}
	n.meters.Agent.Offers.Add(1, m.Profile, string(m.Reason))
	if m.HasTicket {
		n.meters.Agent.Tickets.Add(1, string(m.Reason))
	}
}

// ticketReasons are the reasons for refusing an offer because of its ticket.
var ticketReasons = []chestnutstep.Reason{
	chestnutstep.ReasonTicket, chestnutstep.ReasonDead, chestnutstep.ReasonExpired, chestnutstep.ReasonSpent,
	chestnutstep.ReasonForged, chestnutstep.ReasonDropped, chestnutstep.ReasonGone,
}

// recordOrder records an order to the engine.
func (n *Agent) recordOrder(m agent.Notice) {
	id := event.OrderDone
	switch order.Event(m.After) {
	case order.Refused:
		id = event.OrderRefused
	case order.Lost:
		id = event.OrderUnknown
	}
	n.log.Emit(id, event.Str("order", m.Subject), event.Str("fence", m.Before), event.Str("end", m.After))
	kind, _, _ := strings.Cut(m.Subject, " ")
	n.meters.Agent.Orders.Add(1, kind, m.After)
	n.auditNotice(audit.KindOrder, m)
}

// recordRun records the end of a run in the metrics, and in the log if operators need to see it.
func (n *Agent) recordRun(m agent.Notice) {
	result := string(m.Reason)
	if result == "" {
		result = "served"
	}
	n.recordRunOutcome(m)
	n.meters.Agent.Runs.Add(1, m.Profile, result)
	n.meters.Agent.Wait.Observe(m.Wait, m.Profile)
	n.meters.Agent.CachedTokens.Add(m.CachedTokens, m.Profile)
	n.meters.Workspaces.Requests.Add(1, m.Workspace, result)
	n.meters.Workspaces.Tokens.Add(int64(m.Cost), m.Workspace)
	n.meters.Workspaces.Wait.Observe(m.Wait, m.Workspace)
	if m.FirstByte > 0 {
		n.meters.Agent.FirstToken.Observe(m.FirstByte, m.Profile)
	}
}

// recordRunOutcome logs runs that need an operator's attention, and counts tickets.
func (n *Agent) recordRunOutcome(m agent.Notice) {
	request, target := event.Request(m.Subject), event.Target(n.agent.Name)
	switch m.Reason {
	case chestnutstep.ReasonCrossed:
		n.log.Emit(event.AnswerCrossed, request, target)
	case chestnutstep.ReasonShort:
		n.log.Emit(event.AnswerShort, request, target)
	}
	switch {
	case m.HasTicket && m.Reason == "":
		n.meters.Agent.Tickets.Add(1, "done")
	case m.HasTicket:
		n.log.Emit(event.TicketUnknown, request, target, event.Reason(m.Reason))
		n.meters.Agent.Tickets.Add(1, "unknown")
	}
}

func (n *Agent) auditNotice(kind audit.Kind, m agent.Notice) {
	n.addAuditRecord(audit.Record{
		Kind: kind, Subject: m.Subject, Cause: string(m.Kind) + " " + string(m.Reason),
		Before: m.Before, After: m.After, Version: n.version(),
	})
}

// handleNotice records the end of a caller's request in the log and the metrics.
func (n *Entry) handleNotice(m entry.Notice) {
	result := "ok"
	if m.Reason != "" {
		result = string(m.Reason)
	}
	id := requestEvent(m)
	n.log.Emit(
		id,
		event.Request(m.Request),
		event.Chat(m.Chat),
		event.Workspace(m.Workspace),
		event.Profile(m.Profile),
		event.Target(m.Target),
		event.Reason(m.Reason),
		event.Str("run", string(m.Run)),
		event.Int("offers", int64(m.Offers)),
		event.Dur("total", m.Total),
	)
	n.recordProgress(m)
	n.meters.Entry.Requests.Add(1, m.Profile, result)
	if m.FirstByte > 0 {
		n.meters.Entry.FirstByte.Observe(m.FirstByte, m.Profile)
	}
	if result == "ok" {
		n.meters.Entry.Answer.Observe(m.Total, m.Profile)
	}
}

// recordProgress records reattachments, retries and hints of a request in the log and the metrics.
func (n *Entry) recordProgress(m entry.Notice) {
	if m.Reattached > 0 {
		n.log.Emit(event.AnswerAttached, event.Request(m.Request), event.Target(m.Target))
		n.meters.Entry.Attached.Add(int64(m.Reattached), m.Profile, "ok")
	}
	if m.RetryDenied {
		n.log.Emit(event.RetryDenied, event.Request(m.Request), event.Profile(m.Profile))
		n.meters.Entry.Retries.Add(1, m.Profile, "denied")
	}
	if m.Retries > 0 {
		n.meters.Entry.Retries.Add(int64(m.Retries), m.Profile, "spent")
	}
	switch m.Hint {
	case "":
	case m.Target:
		n.meters.Entry.Hints.Add(1, m.Profile, "kept")
	default:
		n.meters.Entry.Hints.Add(1, m.Profile, "lost")
	}
}

// onOffer records the outcome of an offer in the log and the metrics.
func (n *Entry) onOffer(o entry.Offer) {
	id := event.OfferAnswered
	if o.Answer == entry.OfferUnresponsive || o.Answer == entry.OfferBroken {
		id = event.OfferFailed
	}
	n.log.Emit(
		id,
		event.Request(o.Request), event.Target(o.Target), event.Int("offer", int64(o.Number)),
		event.Str("answer", string(o.Answer)), event.Reason(o.Reason), event.Dur("after", o.After),
	)
	n.meters.Entry.Offers.Add(1, o.Profile, string(o.Answer))
}

// requestEvent returns the log event for the end of a request.
func requestEvent(m entry.Notice) event.ID {
	switch {
	case m.Reason == "":
		return event.RequestDone
	case m.Reason == chestnutstep.ReasonKey:
		return event.KeyUnknown
	case m.Reason == chestnutstep.ReasonRate:
		return event.RateExceeded
	case m.Reason == chestnutstep.ReasonCanceled:
		return event.RequestCanceled
	case m.FirstByte > 0:
		return event.RequestBroken
	}
	return event.RequestRefused
}
