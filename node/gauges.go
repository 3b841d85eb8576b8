package node

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/audit"
	"chestnutstep.example/chestnutstep/event"
)

// updateMetrics sets the gauges and records changes of the target's state once per second. That is
// soon enough for readers of the gauges, and a change that is undone within a second is none that an
// operator could act on.
func (n *Agent) updateMetrics(ctx context.Context) {
	tick := time.NewTicker(time.Second)
	defer tick.Stop()
	before := n.agent.Load()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		l := n.agent.Load()
		n.setGauges(l, n.mean())
		n.recordChanges(before, l)
		before = l
	}
}

// mean returns the estimated mean load of the target's model.
func (n *Agent) mean() chestnutstep.Mean {
	lock := n.agent.Locker()
	lock.Lock()
	defer lock.Unlock()
	return n.sampler.Mean(time.Now())
}

func (n *Agent) setGauges(l chestnutstep.Load, m chestnutstep.Mean) {
	g := &n.meters.Agent
	g.Running.Set(float64(l.Running))
	g.Waiting.Set(float64(l.Waiting))
	g.Cap.Set(float64(l.Cap))
	g.Weight.Set(l.Weight)
	g.Mean.Set(m.Load)
	g.MeanAge.Set(m.Age.Seconds())
	cold := 0.0
	if l.Cold {
		cold = 1
	}
	g.Cold.Set(cold)
}

// recordChanges records the changes for which the agent sends no notice: the target has become
// warm, or is leaving or back because of a publication.
func (n *Agent) recordChanges(before, l chestnutstep.Load) {
	if before.Cold && !l.Cold {
		n.recordTransition(event.TargetWarm, "cold", "warm", "whole answers")
	}
	if !before.Leaving && l.Leaving {
		n.recordTransition(event.TargetLeaving, "in", "leaving", "publication, host list or stop")
	}
	if before.Leaving && !l.Leaving {
		n.recordTransition(event.TargetBack, "leaving", "in", "publication or host list")
	}
}

func (n *Agent) recordTransition(id event.ID, before, after, cause string) {
	name := n.agent.Name
	n.log.Emit(id, event.Target(name), event.Version(n.version()))
	n.addAuditRecord(audit.Record{
		Kind: audit.KindTarget, Subject: name, Cause: cause,
		Before: before, After: after, Version: n.version(),
	})
}
