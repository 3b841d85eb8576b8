package config

import (
	"fmt"
	"math"
	"slices"

	"chestnutstep.example/chestnutstep"
)

// Diff says what a change from one publication to another would do, in one
// line for each effect: targets in and out, the share of each model's load that
// moves to another target, and targets whose cap would lie below the load they
// carry now. Both publications were checked; loads may be empty.
func Diff(old, next *chestnutstep.Publication, loads []chestnutstep.Sample) []string {
	d := diff{old: chestnutstep.NewView(old), next: chestnutstep.NewView(next)}
	d.versions()
	d.domains()
	for _, m := range modelsOf(old, next) {
		d.model(m, loads)
	}
	d.callers()
	return d.lines
}

type diff struct {
	old, next *chestnutstep.View
	lines     []string
}

func (d *diff) say(format string, args ...any) {
	d.lines = append(d.lines, fmt.Sprintf(format, args...))
}

func (d *diff) versions() {
	from, to := d.old.Publication.Version, d.next.Publication.Version
	if to <= from {
		d.say("version %d does not replace version %d: it would be refused", to, from)
		return
	}
	d.say("version %d replaces version %d", to, from)
}

func (d *diff) domains() {
	was := make(map[string]chestnutstep.Domain)
	for _, x := range d.old.Publication.Domains {
		was[x.Name] = x
	}
	for _, x := range d.next.Publication.Domains {
		switch before, ok := was[x.Name]; {
		case !ok:
			d.say("domain %s is new", x.Name)
		case x.Out && !before.Out:
			d.say("domain %s goes out of service", x.Name)
		case !x.Out && before.Out:
			d.say("domain %s returns to service", x.Name)
		}
		delete(was, x.Name)
	}
	for _, x := range d.old.Publication.Domains {
		if _, gone := was[x.Name]; gone {
			d.say("domain %s is removed", x.Name)
		}
	}
}

func modelsOf(old, next *chestnutstep.Publication) []string {
	var list []string
	for _, p := range []*chestnutstep.Publication{old, next} {
		for i := range p.Models {
			list = append(list, p.Models[i].Name)
		}
	}
	slices.Sort(list)
	return slices.Compact(list)
}

// model compares the targets of one model that are in service.
func (d *diff) model(name string, loads []chestnutstep.Sample) {
	was, is := inService(d.old, name), inService(d.next, name)
	for _, t := range is {
		if find(was, t.Name) == nil {
			d.say("model %s: target %s comes into service", name, t.Name)
		}
	}
	for _, t := range was {
		if find(is, t.Name) == nil {
			d.say("model %s: target %s goes out of service", name, t.Name)
		}
	}
	if moved := movedShare(was, is); moved > 0 {
		d.say("model %s: about %.0f%% of its load moves to another target", name, 100*moved)
	}
	if len(was) > 0 && len(is) == 0 {
		d.say("model %s: NO target is left in service", name)
		return
	}
	d.limits(name)
	d.caps(name, was, is, loads)
}

func (d *diff) limits(name string) {
	was, is := d.old.Models[name], d.next.Models[name]
	if was == nil || is == nil || *was == *is {
		return
	}
	d.say("model %s: limits change from multiple %v, floor %d, slots %d, queue %d, cold %d", name,
		was.Multiple, was.Floor, was.Slots, was.Queue, was.Cold)
	d.say("model %s: to multiple %v, floor %d, slots %d, queue %d, cold %d", name,
		is.Multiple, is.Floor, is.Slots, is.Queue, is.Cold)
}

// caps warns of targets that would have to shed or queue at once.
func (d *diff) caps(name string, was, is []*chestnutstep.Target, loads []chestnutstep.Sample) {
	m := d.next.Models[name]
	if m == nil || len(is) == 0 {
		return
	}
	total := 0.0
	for _, s := range loads {
		if t := find(was, s.Target); t != nil {
			total += s.Load * t.Size()
		}
	}
	mean := total / sum(is)
	for _, s := range loads {
		t := find(is, s.Target)
		if t == nil {
			continue
		}
		limit, load := capAt(m, mean, t.Size()), s.Load*t.Size()
		if load > limit {
			d.say("model %s: target %s carries %.0f now, above its cap of %.0f", name, t.Name, load, limit)
		}
	}
	if all := float64(m.Slots * len(is)); total > all {
		d.say("model %s: the load of %.0f is more than its %.0f slots", name, total, all)
	}
}

// capAt is the cap of a target when the mean load for one unit of weight holds.
func capAt(m *chestnutstep.Model, mean, weight float64) float64 {
	if m.Multiple == 0 {
		return float64(m.Slots)
	}
	return min(float64(m.Slots), max(float64(m.Floor), math.Floor(m.Multiple*mean*weight)))
}

func (d *diff) callers() {
	d.names("profile", sortedNames(d.old.Profiles), sortedNames(d.next.Profiles))
	d.names("workspace", sortedNames(d.old.Workspaces), sortedNames(d.next.Workspaces))
}

func (d *diff) names(kind string, was, is []string) {
	for _, n := range is {
		if _, ok := slices.BinarySearch(was, n); !ok {
			d.say("%s %s is new", kind, n)
		}
	}
	for _, n := range was {
		if _, ok := slices.BinarySearch(is, n); !ok {
			d.say("%s %s is removed: its callers are refused", kind, n)
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

func inService(v *chestnutstep.View, model string) []*chestnutstep.Target {
	var list []*chestnutstep.Target
	for _, t := range v.Serving[model] {
		if !v.Out(t) {
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

func find(list []*chestnutstep.Target, name string) *chestnutstep.Target {
	for _, t := range list {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// movedShare is the share of a model's load that changes its target: what the
// targets gain, as weighted rendezvous hashing moves nothing else.
func movedShare(was, is []*chestnutstep.Target) float64 {
	if len(was) == 0 || len(is) == 0 {
		return min(float64(len(was)), 1)
	}
	before, after := sum(was), sum(is)
	moved := 0.0
	for _, t := range is {
		share := 0.0
		if b := find(was, t.Name); b != nil {
			share = b.Size() / before
		}
		moved += max(0, t.Size()/after-share)
	}
	return moved
}

func sum(list []*chestnutstep.Target) float64 {
	total := 0.0
	for _, t := range list {
		total += t.Size()
	}
	return total
}
