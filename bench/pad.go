package bench

import (
	"fmt"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// Kinds of padding that extend a publication to the planned size.
const (
	PadNone       = "none"
	PadWorkspaces = "workspaces"
	PadAll        = "all" // workspaces, hosts, models and targets
)

// padWorkspaces adds the workspaces of the planned size and sets its read rate.
func padWorkspaces(p *chestnutstep.Publication) {
	q := fake.PlannedSize.Publication(1)
	p.Workspaces = append(p.Workspaces, q.Workspaces...)
	p.Budget.ReadRate = q.Budget.ReadRate
}

// padTargets adds the domains, hosts, models, profiles and targets of the planned
// size. The targets are out of service, so they receive no offers, and nothing
// listens at their addresses; processes still try to gossip with them as with any
// agent.
//
// It must be published after the start of the fleet: each process limits its reads to
// its share of the budget among 3,050 processes, and the few real processes would
// need minutes to fetch the parts of a first publication of this size.
func padTargets(p *chestnutstep.Publication) {
	q := fake.PlannedSize.Publication(1)
	for i := range q.Hosts {
		q.Hosts[i].Out = true
	}
	for i := range q.Targets {
		q.Targets[i].Out = true
		q.Targets[i].Agent = unusedAddress(i)
	}
	p.Domains = append(p.Domains, q.Domains...)
	p.Hosts = append(p.Hosts, q.Hosts...)
	p.Models = append(p.Models, q.Models...)
	p.Profiles = append(p.Profiles, q.Profiles...)
	p.Targets = append(p.Targets, q.Targets...)
}

// unusedAddress returns the i-th address of a loopback range that no fleet uses.
func unusedAddress(i int) string {
	return fmt.Sprintf("127.230.%d.%d:17100", i>>8, i&0xff)
}
