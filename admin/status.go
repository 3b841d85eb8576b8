package admin

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/audit"
)

// Status is the state of a process and of the targets that it has data on, for operators.
// Times are durations or times of the process's own clock.
type Status struct {
	// Process, Role ("entry" or "agent"), Host, Domain and Region identify it.
	Process string    `json:"process"`
	Role    string    `json:"role"`
	Host    string    `json:"host"`
	Domain  string    `json:"domain"`
	Region  string    `json:"region"`
	Started time.Time `json:"started"`
	// Ready reports whether the process accepts work; NotReadyReason is the reason if not.
	Ready          bool   `json:"ready"`
	NotReadyReason string `json:"why,omitempty"`
	// OpenRequests is the number of requests in progress.
	OpenRequests int         `json:"streams"`
	Publication  Publication `json:"publication"`
	// NoPeers reports that no peer answers.
	NoPeers bool `json:"alone,omitempty"`
	// Domains lists targets by failure domain: an agent lists its own target, an entry
	// all targets.
	Domains  []Domain  `json:"domains"`
	Suspects []Suspect `json:"suspects,omitempty"`
	// Changes are the newest records of the audit trail.
	Changes []audit.Record `json:"changes,omitempty"`
}

// Publication is the configuration in force.
type Publication struct {
	Version uint64 `json:"version"`
	// Since is the time at which this process put it in force.
	Since time.Time `json:"since"`
	// RefusedVersion is the last version that was refused, and RefusalReason the reason.
	RefusedVersion uint64 `json:"refused,omitempty"`
	RefusalReason  string `json:"why,omitempty"`
	// PlatformUnresponsive reports that the configuration service did not answer this
	// process's last read. Most processes read from their peers instead.
	PlatformUnresponsive bool `json:"silent,omitempty"`
}

// Domain is a failure domain with its targets.
type Domain struct {
	Name    string   `json:"name"`
	Region  string   `json:"region"`
	Out     bool     `json:"out"`
	Targets []Target `json:"targets"`
}

// Target is the state of a target as reported by the process.
type Target struct {
	Name  string `json:"name"`
	Host  string `json:"host"`
	Model string `json:"model"`
	// State is the state of the target's life cycle, as reported by its agent.
	State string `json:"life,omitempty"`
	// Load is nil if the process has no report of the target.
	Load *chestnutstep.Load `json:"load,omitempty"`
	// Mean is the estimated mean load of the model's targets; set only by agents.
	Mean *chestnutstep.Mean `json:"mean,omitempty"`
	// NoWorkReason is the reason why the target receives no work; empty if it does.
	NoWorkReason string `json:"why,omitempty"`
}

// Suspect is a content that was running when targets crashed.
type Suspect struct {
	// Content is the fingerprint in hex.
	Content        string   `json:"content"`
	Condemned      bool     `json:"condemned"`
	CrashedTargets []string `json:"crashed"`
}

// NoWorkReason returns the reason why a target receives no work, or "" if it can. The load is
// nil if it is unknown; reached reports whether the target answers.
func NoWorkReason(v *chestnutstep.View, t *chestnutstep.Target, l *chestnutstep.Load, reached bool) string {
	if why := outOfServiceReason(v, t); why != "" {
		return why
	}
	if !reached {
		return "it does not answer"
	}
	if l == nil {
		return ""
	}
	return loadReason(l)
}

// outOfServiceReason returns what operators took out of service, the largest unit first, as that
// is the one to put back.
func outOfServiceReason(v *chestnutstep.View, t *chestnutstep.Target) string {
	h := v.Hosts[t.Host]
	if h == nil {
		return "its host " + t.Host + " is not published"
	}
	d := v.DomainByHost[t.Host]
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

func loadReason(l *chestnutstep.Load) string {
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

// TargetsByDomain lists all published targets by failure domain, in the order of the
// publication. The function describe returns the state of each target.
func TargetsByDomain(v *chestnutstep.View, describe func(*chestnutstep.Target) Target) []Domain {
	list := make([]Domain, 0, len(v.Publication.Domains))
	index := make(map[string]int, len(v.Publication.Domains))
	for _, d := range v.Publication.Domains {
		index[d.Name] = len(list)
		list = append(list, Domain{Name: d.Name, Region: d.Region, Out: d.Out})
	}
	for i := range v.Publication.Targets {
		t := &v.Publication.Targets[i]
		d := v.DomainByHost[t.Host]
		if d == nil {
			continue
		}
		domain := &list[index[d.Name]]
		domain.Targets = append(domain.Targets, describe(t))
	}
	return list
}
