package chestnutstep

import (
	"crypto/sha256"
	"encoding/hex"
)

// View is a publication with the indexes that requests need. It is built once for
// each publication and immutable, so all requests that started under it read it
// without a lock.
type View struct {
	Publication *Publication
	// Targets by name.
	Targets map[string]*Target
	// Models by name.
	Models map[string]*Model
	// TargetsByModel lists the targets of each model, in service or not.
	TargetsByModel map[string][]*Target
	// Profiles by name.
	Profiles map[string]*Profile
	// Workspaces by name.
	Workspaces map[string]*Workspace
	// DomainByHost holds the failure domain of each host, by the host's name.
	DomainByHost map[string]*Domain
	// Hosts by name.
	Hosts map[string]*Host

	keys map[[sha256.Size]byte]*Workspace
}

// NewView builds the indexes of a publication that has passed the checks.
func NewView(p *Publication) *View {
	v := &View{
		Publication:    p,
		Targets:        make(map[string]*Target, len(p.Targets)),
		Models:         make(map[string]*Model, len(p.Models)),
		TargetsByModel: make(map[string][]*Target, len(p.Models)),
		Profiles:       make(map[string]*Profile, len(p.Profiles)),
		Workspaces:     make(map[string]*Workspace, len(p.Workspaces)),
		DomainByHost:   make(map[string]*Domain, len(p.Hosts)),
		Hosts:          make(map[string]*Host, len(p.Hosts)),
		keys:           make(map[[sha256.Size]byte]*Workspace, len(p.Workspaces)),
	}
	v.addHosts(p)
	v.addTargets(p)
	v.addCallers(p)
	return v
}

func (v *View) addHosts(p *Publication) {
	domains := make(map[string]*Domain, len(p.Domains))
	for i := range p.Domains {
		domains[p.Domains[i].Name] = &p.Domains[i]
	}
	for i := range p.Hosts {
		h := &p.Hosts[i]
		v.Hosts[h.Name] = h
		v.DomainByHost[h.Name] = domains[h.Domain]
	}
}

func (v *View) addTargets(p *Publication) {
	for i := range p.Models {
		v.Models[p.Models[i].Name] = &p.Models[i]
	}
	for i := range p.Targets {
		t := &p.Targets[i]
		v.Targets[t.Name] = t
		v.TargetsByModel[t.Model] = append(v.TargetsByModel[t.Model], t)
	}
}

func (v *View) addCallers(p *Publication) {
	for i := range p.Profiles {
		v.Profiles[p.Profiles[i].Name] = &p.Profiles[i]
	}
	for i := range p.Workspaces {
		ws := &p.Workspaces[i]
		v.Workspaces[ws.Name] = ws
		for _, key := range ws.Keys {
			v.addKey(key, ws)
		}
	}
}

func (v *View) addKey(key string, ws *Workspace) {
	raw, err := hex.DecodeString(key)
	if err != nil || len(raw) != sha256.Size {
		return
	}
	v.keys[[sha256.Size]byte(raw)] = ws
}

// Authenticate returns the workspace that a caller's key belongs to, or nil. The
// publication contains only hashes, so reading it reveals no keys.
func (v *View) Authenticate(key string) *Workspace {
	return v.keys[sha256.Sum256([]byte(key))]
}

// IsOut reports whether operators took the target, its host or its failure domain
// out of service.
func (v *View) IsOut(t *Target) bool {
	if t.Out {
		return true
	}
	if h := v.Hosts[t.Host]; h == nil || h.Out {
		return true
	}
	d := v.DomainByHost[t.Host]
	return d == nil || d.Out
}

// EffectiveWeight returns the target's weight, or 1 if the publication sets none. Dividing
// by the Weight field itself yields an infinite load for such a target.
func (t *Target) EffectiveWeight() float64 {
	if t.Weight > 0 {
		return t.Weight
	}
	return 1
}

// Region returns the region of a host, or "" if the host is unknown.
func (v *View) Region(host string) string {
	if d := v.DomainByHost[host]; d != nil {
		return d.Region
	}
	return ""
}
