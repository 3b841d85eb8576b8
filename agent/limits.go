package agent

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/order"
)

// applyPublication applies the limits of a new publication.
func (a *Agent) applyPublication(now time.Time) {
	v := a.View()
	if v == nil || v == a.appliedView {
		return
	}
	a.appliedView = v
	a.orderSender.permits.Configure(now, targetNames(v), v.Publication.Budget.LoadRate, order.DefaultPermitServers)
	t := v.Targets[a.Name]
	if t == nil {
		// Operators removed the target, so it accepts no new work.
		a.appliedVersion = v.Publication.Version
		a.outOfService = true
		a.applyEvent(eventOut)
		a.Gate.SetLimits(now, chestnutstep.Limits{Out: true})
		return
	}
	before := a.appliedVersion
	a.appliedVersion = v.Publication.Version
	a.Gate.SetLimits(now, newLimits(v, t))
	if out := v.IsOut(t); out != a.outOfService {
		a.outOfService = out
		a.applyEvent(serviceEvent(out))
		a.migrator.notify(out)
	}
	a.Notify(Notice{Kind: NoticeLimits, Subject: a.Name, Before: formatUint(before), After: formatUint(a.appliedVersion)})
}

func serviceEvent(out bool) string {
	if out {
		return eventOut
	}
	return eventBack
}

func newLimits(v *chestnutstep.View, t *chestnutstep.Target) chestnutstep.Limits {
	l := chestnutstep.Limits{Weight: t.EffectiveWeight(), Out: v.IsOut(t), IsOnlyTarget: hasSingleTarget(v, t.Model)}
	if m := v.Models[t.Model]; m != nil {
		l.Model = *m
	}
	l.Workspaces = make(map[string]float64, len(v.Workspaces))
	for name, ws := range v.Workspaces {
		l.Workspaces[name] = ws.Weight
	}
	return l
}

// hasSingleTarget reports whether at most one target in service serves the model.
func hasSingleTarget(v *chestnutstep.View, model string) bool {
	n := 0
	for _, t := range v.TargetsByModel[model] {
		if !v.IsOut(t) {
			n++
		}
	}
	return n <= 1
}

// exchangeLoad passes this target's load to the sampler and the sampler's mean to the gate.
func (a *Agent) exchangeLoad(now time.Time) {
	v := a.View()
	if a.Sampler == nil || v == nil || v.Targets[a.Name] == nil {
		return
	}
	t := v.Targets[a.Name]
	if a.rejectReason() == "" {
		a.Sampler.SetLocal(now, a.sample(now, t))
	}
	a.Gate.SetMean(now, a.Sampler.Mean(now))
}

// sample returns the target's load in requests per unit of weight.
func (a *Agent) sample(now time.Time, t *chestnutstep.Target) chestnutstep.Sample {
	load := a.Gate.Load(now)
	return chestnutstep.Sample{
		Target: a.Name,
		Model:  t.Model,
		Load:   float64(load.Running+load.Waiting) / t.EffectiveWeight(),
		SeenAt: now,
	}
}

// model returns the publication's entry of the model that the target serves, or nil.
func (a *Agent) model() *chestnutstep.Model {
	v := a.View()
	if v == nil || v.Targets[a.Name] == nil {
		return nil
	}
	return v.Models[v.Targets[a.Name].Model]
}

// modelKind returns the kind of the model that this target serves, or "".
func (a *Agent) modelKind() string {
	m := a.model()
	if m == nil {
		return ""
	}
	return m.Kind
}
