package config

import (
	"fmt"
	"testing"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 100) }

// fleet returns a valid publication: one engine model, n targets spread over
// three domains, each on its own host, and ws workspaces.
func fleet(version uint64, n, ws int) *chestnutstep.Publication {
	p := &chestnutstep.Publication{
		Version: version,
		Models: []chestnutstep.Model{{
			Name: "m", Kind: chestnutstep.KindEngine, Multiple: 1.25, Floor: 2, Slots: 16, QueueLimit: 8, ColdCap: 2,
		}},
		Profiles: []chestnutstep.Profile{{
			Name: "chat", Model: "m", Class: "normal", Timeout: chestnutstep.Duration(time.Minute), MaxAttempts: 4, MaxBodyBytes: 1 << 20,
		}},
		Budget: chestnutstep.Budget{ReadRate: 50, RetryRatio: 0.1},
	}
	for _, d := range []string{"a", "b", "c"} {
		p.Domains = append(p.Domains, chestnutstep.Domain{Name: d, Region: "r"})
	}
	for i := range n {
		d := p.Domains[i%3].Name
		h := fmt.Sprintf("%s%04d", d, i)
		p.Hosts = append(p.Hosts, chestnutstep.Host{Name: h, Domain: d})
		p.Targets = append(p.Targets, chestnutstep.Target{
			Name: "t" + h, Host: h, Model: "m", Agent: fmt.Sprintf("10.%d.%d.1:7000", i/250, i%250),
		})
	}
	for i := range ws {
		name := fmt.Sprintf("w%03d", i)
		key := Hash([]byte(name)) + Hash([]byte("key"+name))
		p.Workspaces = append(p.Workspaces, chestnutstep.Workspace{Name: name, Keys: []string{key}})
	}
	return p
}
