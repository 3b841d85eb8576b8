package config

import (
	"fmt"
	"math"
	"slices"

	"chestnutstep.example/chestnutstep"
)

// Diff describes the effects of replacing one publication with another, one line for each
// effect: targets that come into or go out of service, the share of each model's load that
// moves to another target, and targets whose cap would be below their current
// load. Both publications must have passed Check; loads may be empty.
func Diff(old, next *chestnutstep.Publication, loads []chestnutstep.Sample) []string {
	d := diff{old: chestnutstep.NewView(old), next: chestnutstep.NewView(next)}
	d.compareVersions()
	d.compareDomains()
	for _, m := range modelNames(old, next) {
		d.compareModel(m, loads)
	}
	d.compareCallers()
	return d.lines
}

type diff struct {
	old, next *chestnutstep.View
	lines     []string
}

func (d *diff) addLine(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *diff) compareVersions() {
	from, to := d.old.Publication.Version, d.next.Publication.Version
	if to <= from {
		d.addLine("version %d does not replace version %d: it would be refused", to, from)
		return
	}
	d.addLine("version %d replaces version %d", to, from)
}

func (d *diff) compareDomains() {
	before := make(map[string]chestnutstep.Domain)
	for _, x := range d.old.Publication.Domains {
		before[x.Name] = x
	}
	for _, x := range d.next.Publication.Domains {
		switch prev, ok := before[x.Name]; {
		case !ok:
			d.addLine("domain %s is new", x.Name)
		case x.Out && !prev.Out:
			d.addLine("domain %s goes out of service", x.Name)
		case !x.Out && prev.Out:
			d.addLine("domain %s returns to service", x.Name)
		}
		delete(before, x.Name)
	}
	for _, x := range d.old.Publication.Domains {
		if _, gone := before[x.Name]; gone {
			d.addLine("domain %s is removed", x.Name)
		}
	}
}

func modelNames(old, next *chestnutstep.Publication) []string {
	var list []string
	for _, p := range []*chestnutstep.Publication{old, next} {
		for i := range p.Models {
			list = append(list, p.Models[i].Name)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// compareModel compares the targets of one model that are in service.
func (d *diff) compareModel(name string, loads []chestnutstep.Sample) {
	before, after := targetsInService(d.old, name), targetsInService(d.next, name)
	for _, t := range after {
		if findTarget(before, t.Name) == nil {
			d.addLine("model %s: target %s comes into service", name, t.Name)
		}
	}
	for _, t := range before {
		if findTarget(after, t.Name) == nil {
			d.addLine("model %s: target %s goes out of service", name, t.Name)
		}
	}
	if moved := movedShare(before, after); moved > 0 {
		d.addLine("model %s: about %.0f%% of its load moves to another target", name, 100*moved)
	}
	if len(before) > 0 && len(after) == 0 {
		d.addLine("model %s: NO target is left in service", name)
		return
	}
	d.compareLimits(name)
	d.checkCaps(name, before, after, loads)
}

func (d *diff) compareLimits(name string) {
	before, after := d.old.Models[name], d.next.Models[name]
	if before == nil || after == nil || *before == *after {
		return
	}
	d.addLine("model %s: limits change from multiple %v, floor %d, slots %d, queue %d, cold %d", name,
		before.Multiple, before.Floor, before.Slots, before.QueueLimit, before.ColdCap)
	d.addLine("model %s: to multiple %v, floor %d, slots %d, queue %d, cold %d", name,
		after.Multiple, after.Floor, after.Slots, after.QueueLimit, after.ColdCap)
}

// checkCaps reports targets that would have to shed or queue requests immediately.
func (d *diff) checkCaps(name string, before, after []*chestnutstep.Target, loads []chestnutstep.Sample) {
	m := d.next.Models[name]
	if m == nil || len(after) == 0 {
		return
	}
	total := 0.0
	for _, s := range loads {
		if t := findTarget(before, s.Target); t != nil {
			total += s.Load * t.EffectiveWeight()
		}
	}
	mean := total / totalWeight(after)
	for _, s := range loads {
		t := findTarget(after, s.Target)
		if t == nil {
			continue
		}
		limit, load := targetCap(m, mean, t.EffectiveWeight()), s.Load*t.EffectiveWeight()
		if load > limit {
			d.addLine("model %s: target %s carries %.0f now, above its cap of %.0f", name, t.Name, load, limit)
		}
	}
	if capacity := float64(m.Slots * len(after)); total > capacity {
		d.addLine("model %s: the load of %.0f is more than its %.0f slots", name, total, capacity)
	}
}

// targetCap is the cap of a target for the given mean load per unit of weight.
func targetCap(m *chestnutstep.Model, mean, weight float64) float64 {
	if m.Multiple == 0 {
		return float64(m.Slots)
	}
	return min(float64(m.Slots), max(float64(m.Floor), math.Floor(m.Multiple*mean*weight)))
}

func (d *diff) compareCallers() {
	d.compareNames("profile", sortedNames(d.old.Profiles), sortedNames(d.next.Profiles))
	d.compareNames("workspace", sortedNames(d.old.Workspaces), sortedNames(d.next.Workspaces))
}

func (d *diff) compareNames(kind string, before, after []string) {
	for _, n := range after {
		if _, ok := slices.BinarySearch(before, n); !ok {
			d.addLine("%s %s is new", kind, n)
		}
	}
	for _, n := range before {
		if _, ok := slices.BinarySearch(after, n); !ok {
			d.addLine("%s %s is removed: its callers are refused", kind, n)
		}
	}
}

func sortedNames[T any](m map[string]*T) []string {
	list := make([]string, 0, len(m))
	for n := range m {
		list = append(list, n)
	}
	slices.Sort(list)
	return list
}

func targetsInService(v *chestnutstep.View, model string) []*chestnutstep.Target {
	var list []*chestnutstep.Target
	for _, t := range v.TargetsByModel[model] {
		if !v.IsOut(t) {
			list = append(list, t)
		}
	}
	slices.SortFunc(list, func(a, b *chestnutstep.Target) int {
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return list
}

func findTarget(list []*chestnutstep.Target, name string) *chestnutstep.Target {
	for _, t := range list {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// movedShare is the share of a model's load that moves to another target. It equals the
// sum of what the targets gain, as weighted rendezvous hashing moves no other load.
func movedShare(oldTargets, newTargets []*chestnutstep.Target) float64 {
	if len(oldTargets) == 0 || len(newTargets) == 0 {
		return min(float64(len(oldTargets)), 1)
	}
	before, after := totalWeight(oldTargets), totalWeight(newTargets)
	moved := 0.0
	for _, t := range newTargets {
		share := 0.0
		if b := findTarget(oldTargets, t.Name); b != nil {
			share = b.EffectiveWeight() / before
		}
		moved += max(0, t.EffectiveWeight()/after-share)
	}
	return moved
}

func totalWeight(list []*chestnutstep.Target) float64 {
	total := 0.0
	for _, t := range list {
		total += t.EffectiveWeight()
	}
	return total
}
