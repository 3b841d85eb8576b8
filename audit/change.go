package audit

import (
	"fmt"

	"chestnutstep.example/chestnutstep"
)

// States of a failure domain, host or target in Before and After.
const (
	stateIn     = "in"
	stateOut    = "out"
	stateAbsent = "absent"
)

// Changes lists the changes from one publication to the next, one record per change: states
// of failure domains, hosts and targets, and limits. Either publication can be nil, which
// is an empty one.
func Changes(old, next *chestnutstep.Publication) []Record {
	if old == nil {
		old = &chestnutstep.Publication{}
	}
	if next == nil {
		next = &chestnutstep.Publication{}
	}
	c := changeList{version: next.Version, cause: fmt.Sprintf("publication %d", next.Version)}
	c.compare(KindDomain, domainStates(old), domainStates(next), stateAbsent)
	c.compare(KindHost, hostStates(old), hostStates(next), stateAbsent)
	c.compare(KindTarget, targetStates(old), targetStates(next), stateAbsent)
	c.compare(KindLimits, limitStates(old), limitStates(next), "")
	return c.list
}

// subjectState is the state of one subject in a publication.
type subjectState struct {
	subject string
	value   string
}

type changeList struct {
	version uint64
	cause   string
	list    []Record
}

func (c *changeList) compare(kind Kind, old, next []subjectState, absent string) {
	oldValues := valuesBySubject(old)
	newValues := valuesBySubject(next)
	for _, s := range next {
		before, ok := oldValues[s.subject]
		if !ok {
			before = absent
		}
		c.add(kind, s.subject, before, s.value)
	}
	for _, s := range old {
		if _, ok := newValues[s.subject]; !ok {
			c.add(kind, s.subject, s.value, absent)
		}
	}
}

func valuesBySubject(list []subjectState) map[string]string {
	m := make(map[string]string, len(list))
	for _, s := range list {
		m[s.subject] = s.value
	}
	return m
}

func (c *changeList) add(kind Kind, subject, before, after string) {
	if before == after {
		return
	}
	c.list = append(c.list, Record{
		Kind: kind, Subject: subject, Cause: c.cause, Before: before, After: after, Version: c.version,
	})
}

func serviceState(out bool) string {
	if out {
		return stateOut
	}
	return stateIn
}

func domainStates(p *chestnutstep.Publication) []subjectState {
	list := make([]subjectState, 0, len(p.Domains))
	for _, d := range p.Domains {
		list = append(list, subjectState{d.Name, serviceState(d.Out)})
	}
	return list
}

func hostStates(p *chestnutstep.Publication) []subjectState {
	list := make([]subjectState, 0, len(p.Hosts))
	for _, h := range p.Hosts {
		list = append(list, subjectState{h.Name, serviceState(h.Out) + " in domain " + h.Domain})
	}
	return list
}

func targetStates(p *chestnutstep.Publication) []subjectState {
	list := make([]subjectState, 0, len(p.Targets))
	for _, t := range p.Targets {
		v := fmt.Sprintf("%s on host %s, model %s, weight %g", serviceState(t.Out), t.Host, t.Model, t.Weight)
		list = append(list, subjectState{t.Name, v})
	}
	return list
}

func limitStates(p *chestnutstep.Publication) []subjectState {
	var list []subjectState
	for _, m := range p.Models {
		v := fmt.Sprintf("multiple %g, floor %d, slots %d, queue %d, cold %d",
			m.Multiple, m.Floor, m.Slots, m.QueueLimit, m.ColdCap)
		list = append(list, subjectState{"model " + m.Name, v})
	}
	for _, f := range p.Profiles {
		v := fmt.Sprintf("class %s, timeout %s, patience %s, tries %d",
			f.Class, f.Timeout.Std(), f.Patience.Std(), f.MaxAttempts)
		list = append(list, subjectState{"profile " + f.Name, v})
	}
	for _, w := range p.Workspaces {
		v := fmt.Sprintf("weight %g, rate %g, burst %g", w.Weight, w.Rate, w.Burst)
		list = append(list, subjectState{"workspace " + w.Name, v})
	}
	b := p.Budget
	if b == (chestnutstep.Budget{}) {
		return list
	}
	v := fmt.Sprintf("reads %g, loads %g, retries %g, export %d", b.ReadRate, b.LoadRate, b.RetryRatio, b.ExportRate)
	return append(list, subjectState{"budget", v})
}
