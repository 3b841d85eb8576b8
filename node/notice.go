package node

import (
	"strings"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/agent"
	"chestnutstep.example/chestnutstep/audit"
	"chestnutstep.example/chestnutstep/entry"
	"chestnutstep.example/chestnutstep/event"
)

// targetEvents are the notices of an agent that change the state of its
// target: they go to the log and the audit trail.
var targetEvents = map[agent.NoticeKind]event.ID{
	agent.NoticeCold:    event.TargetCold,
	agent.NoticeDown:    event.TargetDown,
	agent.NoticeUp:      event.TargetUp,
	agent.NoticeCrash:   event.TargetCrash,
	agent.NoticeLeaving: event.TargetLeaving,
}

// contentEvents are about a request's content.
var contentEvents = map[agent.NoticeKind]event.ID{
	agent.NoticeSuspect:   event.ContentSuspect,
	agent.NoticeCondemned: event.ContentCondemned,
}

// notice puts what an agent says into log, metrics and audit trail.
func (n *Agent) notice(m agent.Notice) {
	if id, ok := targetEvents[m.Kind]; ok {
		n.log.Emit(id, event.Target(m.Subject))
		n.record(audit.KindTarget, m)
	}
	if id, ok := contentEvents[m.Kind]; ok {
		n.log.Emit(id, event.Str("content", m.Subject))
		n.record(audit.KindCondemned, m)
	}
	switch m.Kind {
	case agent.NoticeCrash:
		n.meters.Agent.Crashes.Add(1)
	case agent.NoticeRefused:
		n.log.Emit(event.OfferRefused, event.Request(m.Subject), event.Reason(m.Reason))
		n.meters.Agent.Offers.Add(1, m.Profile, string(m.Reason))
	case agent.NoticeAccepted:
		n.meters.Agent.Offers.Add(1, m.Profile, "accept")
	case agent.NoticeQueued:
		n.meters.Agent.Offers.Add(1, m.Profile, "wait")
	case agent.NoticeOrder:
		n.order(m)
	case agent.NoticeHanded:
		n.meters.Agent.Moves.Add(1, "export", "ok")
		n.meters.Agent.Moved.Add(m.Bytes, "export")
	case agent.NoticeImported:
		n.meters.Agent.Moves.Add(1, "import", "ok")
		n.meters.Agent.Moved.Add(m.Bytes, "import")
	case agent.NoticeEnded:
		n.ended(m)
	}
}

// order notes an order to the engine.
func (n *Agent) order(m agent.Notice) {
	n.log.Emit(event.OrderDone, event.Str("order", m.Subject), event.Str("fence", m.Before), event.Str("end", m.After))
	kind, _, _ := strings.Cut(m.Subject, " ")
	n.meters.Agent.Orders.Add(1, kind, m.After)
	n.record(audit.KindOrder, m)
}

// ended counts a run.
func (n *Agent) ended(m agent.Notice) {
	result := string(m.Reason)
	if result == "" {
		result = "served"
	}
	n.meters.Agent.Runs.Add(1, m.Profile, result)
	n.meters.Agent.Wait.Observe(m.Wait, m.Profile)
	n.meters.Agent.Cached.Add(m.Cached, m.Profile)
	n.meters.Workspaces.Requests.Add(1, m.Workspace, result)
	n.meters.Workspaces.Tokens.Add(int64(m.Cost), m.Workspace)
	n.meters.Workspaces.Wait.Observe(m.Wait, m.Workspace)
	if m.First > 0 {
		n.meters.Agent.FirstToken.Observe(m.First, m.Profile)
	}
}

func (n *Agent) record(kind audit.Kind, m agent.Notice) {
	n.trail.Add(audit.Record{
		Kind: kind, Subject: m.Subject, Cause: string(m.Kind) + " " + string(m.Reason),
		Before: m.Before, After: m.After, Version: n.version(),
	})
}

// notice puts how a caller's request ended into log and metrics.
func (n *Entry) notice(m entry.Notice) {
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
	n.meters.Entry.Requests.Add(1, m.Profile, result)
	if m.First > 0 {
		n.meters.Entry.FirstByte.Observe(m.First, m.Profile)
	}
	if result == "ok" {
		n.meters.Entry.Answer.Observe(m.Total, m.Profile)
	}
}

// requestEvent is the log event of how a request ended.
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
	case m.First > 0:
		return event.RequestBroken
	}
	return event.RequestRefused
}
