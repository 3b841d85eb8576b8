package audit

import (
	"fmt"

	"chestnutstep.example/chestnutstep"
)

// States of a failure domain, host or target in before and after.
const (
	stateIn     = "in"
	stateOut    = "out"
	stateAbsent = "absent"
)

// Changes lists what a publication changes against the one in force before it,
// one record a change: states of failure domains, hosts and targets, and
// limits. Either may be nil: before the first one there is nothing.
func Changes(old, next *chestnutstep.Publication) []Record {
	if old == nil {
		old = &chestnutstep.Publication{}
	}
	if next == nil {
		next = &chestnutstep.Publication{}
	}
	c := changes{version: next.Version, cause: fmt.Sprintf("publication %d", next.Version)}
	c.compare(KindDomain, domains(old), domains(next), stateAbsent)
	c.compare(KindHost, hosts(old), hosts(next), stateAbsent)
	c.compare(KindTarget, targets(old), targets(next), stateAbsent)
	c.compare(KindLimits, limits(old), limits(next), "")
	return c.list
}

// state is what a publication says of one subject.
type state struct {
	subject string
	value   string
}

type changes struct {
	version uint64
	cause   string
	list    []Record
}

func (c *changes) compare(kind Kind, old, next []state, absent string) {
	was := values(old)
	is := values(next)
	for _, s := range next {
		before, ok := was[s.subject]
		if !ok {
			before = absent
		}
		c.note(kind, s.subject, before, s.value)
	}
	for _, s := range old {
		if _, ok := is[s.subject]; !ok {
			c.note(kind, s.subject, s.value, absent)
		}
	}
}

func values(list []state) map[string]string {
	m := make(map[string]string, len(list))
	for _, s := range list {
		m[s.subject] = s.value
	}
	return m
}

func (c *changes) note(kind Kind, subject, before, after string) {
	if before == after {
		return
	}
	c.list = append(c.list, Record{
		Kind: kind, Subject: subject, Cause: c.cause, Before: before, After: after, Version: c.version,
	})
}

func inOut(out bool) string {
	if out {
		return stateOut
	}
	return stateIn
}

func domains(p *chestnutstep.Publication) []state {
	list := make([]state, 0, len(p.Domains))
	for _, d := range p.Domains {
		list = append(list, state{d.Name, inOut(d.Out)})
	}
	return list
}

func hosts(p *chestnutstep.Publication) []state {
	list := make([]state, 0, len(p.Hosts))
	for _, h := range p.Hosts {
		list = append(list, state{h.Name, inOut(h.Out) + " in domain " + h.Domain})
	}
	return list
}

func targets(p *chestnutstep.Publication) []state {
	list := make([]state, 0, len(p.Targets))
	for _, t := range p.Targets {
		v := fmt.Sprintf("%s on host %s, model %s, weight %g", inOut(t.Out), t.Host, t.Model, t.Weight)
		list = append(list, state{t.Name, v})
	}
	return list
}

func limits(p *chestnutstep.Publication) []state {
	var list []state
	for _, m := range p.Models {
		v := fmt.Sprintf("multiple %g, floor %d, slots %d, queue %d, cold %d",
			m.Multiple, m.Floor, m.Slots, m.Queue, m.Cold)
		list = append(list, state{"model " + m.Name, v})
	}
	for _, f := range p.Profiles {
		v := fmt.Sprintf("class %s, timeout %s, patience %s, tries %d",
			f.Class, f.Timeout.Std(), f.Patience.Std(), f.Tries)
		list = append(list, state{"profile " + f.Name, v})
	}
	for _, w := range p.Workspaces {
		v := fmt.Sprintf("weight %g, rate %g, burst %g", w.Weight, w.Rate, w.Burst)
		list = append(list, state{"workspace " + w.Name, v})
	}
	b := p.Budget
	if b == (chestnutstep.Budget{}) {
		return list
	}
	v := fmt.Sprintf("reads %g, loads %g, retries %g, export %d", b.Reads, b.Loads, b.Retries, b.Export)
	return append(list, state{"budget", v})
}
