package admin

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/audit"
)

// Status is what a process knows of itself and of what it sees, for operators.
// Times are ages or moments of the process's own clock.
type Status struct {
	// Process, Role ("entry" or "agent"), Host, Domain and Region name it.
	Process string    `json:"process"`
	Role    string    `json:"role"`
	Host    string    `json:"host"`
	Domain  string    `json:"domain"`
	Region  string    `json:"region"`
	Started time.Time `json:"started"`
	// Ready says whether the process takes work; Why says why not.
	Ready bool   `json:"ready"`
	Why   string `json:"why,omitempty"`
	// Streams is the requests in progress.
	Streams     int         `json:"streams"`
	Publication Publication `json:"publication"`
	// Alone says that no peer answers.
	Alone bool `json:"alone,omitempty"`
	// Domains lists the targets that the process knows, by failure domain: an
	// agent its own, an entry all.
	Domains  []Domain  `json:"domains"`
	Suspects []Suspect `json:"suspects,omitempty"`
	// Changes are the newest records of the audit trail.
	Changes []audit.Record `json:"changes,omitempty"`
}

// Publication is the configuration in force.
type Publication struct {
	Version uint64 `json:"version"`
	// Since is when this process put it in force.
	Since time.Time `json:"since"`
	// Refused is the last version that was refused, and why.
	Refused uint64 `json:"refused,omitempty"`
	Why     string `json:"why,omitempty"`
	// Silent says that the configuration service did not answer when this
	// process asked it last; most processes ask their peers instead.
	Silent bool `json:"silent,omitempty"`
}

// Domain is a failure domain with its targets.
type Domain struct {
	Name    string   `json:"name"`
	Region  string   `json:"region"`
	Out     bool     `json:"out"`
	Targets []Target `json:"targets"`
}

// Target is a target as the process sees it.
type Target struct {
	Name  string `json:"name"`
	Host  string `json:"host"`
	Model string `json:"model"`
	// Life is the state of the target's chart, as its agent has it.
	Life string `json:"life,omitempty"`
	// Load is nil where the process has not heard of the target.
	Load *chestnutstep.Load `json:"load,omitempty"`
	// Mean is the estimated mean load of the model's targets; agents only.
	Mean *chestnutstep.Mean `json:"mean,omitempty"`
	// Why says why the target gets nothing; empty when it does.
	Why string `json:"why,omitempty"`
}

// Suspect is a content under which targets crashed.
type Suspect struct {
	// Content is the fingerprint in hex.
	Content   string   `json:"content"`
	Condemned bool     `json:"condemned"`
	Crashed   []string `json:"crashed"`
}

// Why says why a target gets nothing, or "" when it may get work. The load is
// nil when nothing is known of it, reached says whether it answers.
func Why(v *chestnutstep.View, t *chestnutstep.Target, l *chestnutstep.Load, reached bool) string {
	if why := taken(v, t); why != "" {
		return why
	}
	if !reached {
		return "it does not answer"
	}
	if l == nil {
		return ""
	}
	return loaded(l)
}

// taken says what operators took out of service, the widest first: that is
// what they have to put back.
func taken(v *chestnutstep.View, t *chestnutstep.Target) string {
	h := v.Hosts[t.Host]
	if h == nil {
		return "its host " + t.Host + " is not published"
	}
	d := v.Domains[t.Host]
	switch {
	case d == nil:
		return "its failure domain " + h.Domain + " is not published"
	case d.Out:
		return "failure domain " + d.Name + " is out"
	case h.Out:
		return "host " + h.Name + " is out"
	case t.Out:
		return "the target is out"
	}
	return ""
}

func loaded(l *chestnutstep.Load) string {
	switch {
	case l.Leaving:
		return "it is leaving"
	case l.Running < l.Cap:
		return ""
	case l.Cold:
		return "it is cold and at its cold-start cap"
	case l.Cap == 0:
		return "its cap is 0"
	default:
		return "it is at its cap"
	}
}

// Layout lists all published targets by failure domain, in the publication's
// order, with what see knows of each: what an entry shows.
func Layout(v *chestnutstep.View, see func(*chestnutstep.Target) Target) []Domain {
	list := make([]Domain, 0, len(v.Publication.Domains))
	place := make(map[string]int, len(v.Publication.Domains))
	for _, d := range v.Publication.Domains {
		place[d.Name] = len(list)
		list = append(list, Domain{Name: d.Name, Region: d.Region, Out: d.Out})
	}
	for i := range v.Publication.Targets {
		t := &v.Publication.Targets[i]
		d := v.Domains[t.Host]
		if d == nil {
			continue
		}
		at := &list[place[d.Name]]
		at.Targets = append(at.Targets, see(t))
	}
	return list
}
