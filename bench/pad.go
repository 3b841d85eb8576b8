package bench

import (
	"fmt"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// What fills a publication up to the planned size.
const (
	PadNone       = "none"
	PadWorkspaces = "workspaces"
	PadAll        = "all" // workspaces, hosts, models and targets
)

// padWorkspaces fills up the workspaces.
func padWorkspaces(p *chestnutstep.Publication) {
	q := fake.PlannedSize.Publication(1)
	p.Workspaces = append(p.Workspaces, q.Workspaces...)
	p.Budget.ReadRate = q.Budget.ReadRate
}

// padTargets fills up targets, hosts and models. The targets are out of service
// and nothing listens at their addresses, so nobody is offered to them;
// processes still try to gossip with them, as with any agent.
//
// It is published once the fleet runs: each process's share of reads is that of
// one among 3,050, and the few that are really there would fetch the parts of
// such a first publication for minutes.
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

// unusedAddress is the i-th loopback address that no fleet ever uses.
func unusedAddress(i int) string {
	return fmt.Sprintf("127.230.%d.%d:17100", i>>8, i&0xff)
}
