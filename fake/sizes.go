package fake

import (
	"crypto/sha256"
	"encoding/hex"
	"fmt"
	"time"

	"chestnutstep.example/chestnutstep"
)

// FleetSize gives the dimensions of a synthetic fleet for measurements.
type FleetSize struct {
	Regions, Domains, Targets, Models, Workspaces, Entries int
}

// PlannedSize is the fleet size that the project is designed for.
var PlannedSize = FleetSize{Regions: 4, Domains: 14, Targets: 2700, Models: 5, Workspaces: 560, Entries: 350}

// Publication returns a valid publication of this size. It is deterministic.
func (s FleetSize) Publication(version uint64) *chestnutstep.Publication {
	p := &chestnutstep.Publication{
		Version: version,
		Budget:  chestnutstep.Budget{ReadRate: 200, LoadRate: 2, RetryRatio: 0.1, ExportRate: 100 << 20},
	}
	s.addHosts(p)
	s.addModels(p)
	s.addTargets(p)
	s.addWorkspaces(p)
	return p
}

func (s FleetSize) domain(i int) string { return fmt.Sprintf("domain-%d", i%s.Domains) }

func (s FleetSize) addHosts(p *chestnutstep.Publication) {
	for i := range s.Domains {
		p.Domains = append(p.Domains, chestnutstep.Domain{
			Name: s.domain(i), Region: fmt.Sprintf("region-%d", i%s.Regions),
		})
	}
	for i := range s.Entries {
		p.Hosts = append(p.Hosts, chestnutstep.Host{Name: fmt.Sprintf("door-%d", i), Domain: s.domain(i), HasEntry: true})
	}
	for i := range s.Targets {
		p.Hosts = append(p.Hosts, chestnutstep.Host{Name: fmt.Sprintf("host-%d", i), Domain: s.domain(i)})
	}
}

func (s FleetSize) addModels(p *chestnutstep.Publication) {
	for i := range s.Models {
		name := fmt.Sprintf("model-%d", i)
		p.Models = append(p.Models, chestnutstep.Model{
			Name: name, Kind: chestnutstep.KindEngine, Multiple: 1.25, Floor: 4, Slots: 32, QueueLimit: 64,
			ColdCap: 4, WarmupAnswers: 8, PrefillRate: 8000, CacheBytesPerToken: 32 << 10,
		})
		p.Profiles = append(p.Profiles, chestnutstep.Profile{
			Name: "use-" + name, Model: name, Class: "normal", Timeout: chestnutstep.Duration(time.Minute),
			Patience: chestnutstep.Duration(time.Second), MaxAttempts: 3, ExpectedTokens: 216, MaxBodyBytes: 1 << 20,
		})
	}
}

func (s FleetSize) addTargets(p *chestnutstep.Publication) {
	for i := range s.Targets {
		p.Targets = append(p.Targets, chestnutstep.Target{
			Name: fmt.Sprintf("target-%d", i), Host: fmt.Sprintf("host-%d", i), Model: fmt.Sprintf("model-%d", i%s.Models),
			Agent: fmt.Sprintf("10.%d.%d.%d:7100", i>>16, i>>8&0xff, i&0xff), Weight: 1,
		})
	}
}

func (s FleetSize) addWorkspaces(p *chestnutstep.Publication) {
	for i := range s.Workspaces {
		sum := sha256.Sum256(fmt.Appendf(nil, "key-%d", i))
		p.Workspaces = append(p.Workspaces, chestnutstep.Workspace{
			Name: fmt.Sprintf("workspace-%d", i), Keys: []string{hex.EncodeToString(sum[:])}, Weight: 1, Rate: 100, Burst: 200,
		})
	}
}
