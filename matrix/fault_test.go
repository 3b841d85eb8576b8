package matrix

import (
	"context"
	"fmt"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/pipe"
)

// faults maps the fault names of testdata/cells to the functions that inject them. Each function
// gets the node at which the request is stopped.
var faults = map[string]func(*scenario, *Node) error{
	"none":    func(*scenario, *Node) error { return nil },
	"break":   func(_ *scenario, n *Node) error { n.AgentRelays[0].CloseConnections(); return nil },
	"cut":     func(p *scenario, n *Node) error { return p.cut(n, pipe.Up, pipe.Down) },
	"cutup":   func(p *scenario, n *Node) error { return p.cut(n, pipe.Up) },
	"cutdown": func(p *scenario, n *Node) error { return p.cut(n, pipe.Down) },
	"delay":   func(p *scenario, _ *Node) error { p.releaseAfterAttempt = true; return nil },
	"crossed": func(_ *scenario, n *Node) error { n.SetFault(fake.Fault{Crossed: true, Count: 1}); return nil },
	"cold":    (*scenario).cold,
	"crash":   (*scenario).crash,
	"drop":    func(_ *scenario, n *Node) error { n.TargetRelay.CloseConnections(); return nil },
	"leave":   (*scenario).leave,
	"out":     (*scenario).out,
	"kill":    (*scenario).kill,
	"poison":  (*scenario).poison,
	"next":    func(p *scenario, _ *Node) error { return p.publishOrder("second") },
	"stall":   (*scenario).stall,
	"restart": func(p *scenario, _ *Node) error { p.stack.RestartEntries(); return nil },
	"stale":   (*scenario).stale,
	"rival":   (*scenario).conflict,
	"half":    (*scenario).partial,
	"repeat":  (*scenario).repeat,
	"hold":    (*scenario).hold,
}

func (p *scenario) cut(n *Node, directions ...pipe.Direction) error {
	for _, d := range directions {
		n.AgentRelays[0].Blackhole(d)
	}
	p.hasLostBytes = true
	return nil
}

// stall holds all traffic of an agent until the first attempt of the caller has ended, as if its
// host froze, except that the clock of the agent continues.
func (p *scenario) stall(n *Node) error {
	for _, r := range []*pipe.Relay{n.AgentRelays[0], n.AgentRelays[1], n.TargetRelay} {
		r.Hold(pipe.Up)
		r.Hold(pipe.Down)
		p.heals = append(p.heals, r.Heal)
	}
	p.releaseAfterAttempt = true
	return nil
}

func (p *scenario) crash(n *Node) error {
	n.SetFault(fake.Fault{Crash: true})
	n.TargetRelay.CloseConnections()
	return nil
}

// poison makes every engine that runs this request crash.
func (p *scenario) poison(*Node) error {
	for _, n := range p.stack.Nodes {
		n.SetFault(fake.Fault{Poison: `"note":"` + p.caller.Name + `"`})
	}
	return nil
}

// kill kills and restarts the agent. For the naive version it breaks the connections to the
// target instead.
func (p *scenario) kill(n *Node) error {
	if p.stack.Naive {
		n.AgentRelays[0].CloseConnections()
		return nil
	}
	return p.stack.KillAgent(n)
}

// repeat waits until the entry has retried the request on another target because of the previous
// fault. The first run is still stopped at its step and not yet counted.
func (p *scenario) repeat(*Node) error {
	return waitFor(func() bool { return p.caller.countRuns(p.caller.key()) > 0 }, "the entry retries the request")
}

// hold delays the answers of the other targets of the profile until the next attempt of the caller
// has timed out.
func (p *scenario) hold(n *Node) error {
	const holdTime = attemptTimeout + attemptTimeout/4
	for _, other := range p.stack.Nodes {
		if other != n && other.Model == n.Model {
			other.TargetRelay.Hold(pipe.Down)
			time.AfterFunc(holdTime, other.TargetRelay.Heal)
		}
	}
	return nil
}

// leave starts to drain the agent. The naive version has no drain: its connections break.
func (p *scenario) leave(n *Node) error {
	if p.stack.Naive {
		n.AgentRelays[0].CloseConnections()
		return nil
	}
	go func() { _ = n.Agent.Drain(context.Background()) }()
	return waitFor(func() bool { return n.Agent.Load().Leaving }, "the agent is leaving")
}

func (p *scenario) out(n *Node) error {
	p.domainOut = n.Domain
	return p.stack.Publish(p.takeOut)
}

func (p *scenario) takeOut(pub *chestnutstep.Publication) {
	for i := range pub.Domains {
		pub.Domains[i].Out = pub.Domains[i].Name == p.domainOut
	}
}

// stale applies an older publication, as served by a control plane restored from an old backup.
func (p *scenario) stale(*Node) error {
	root, parts := config.Pack(p.stack.NextPublication(-1, func(*chestnutstep.Publication) {}))
	err := p.stack.Store.Apply(time.Now(), root, parts)
	if !config.IsErrStale(err) {
		return errors.Newf("older publication was not refused: %v", err)
	}
	return nil
}

// conflict applies two publications with the same version and different contents.
func (p *scenario) conflict(n *Node) error {
	p.domainOut = n.Domain
	first := p.stack.NextPublication(1, p.takeOut)
	second := p.stack.NextPublication(1, func(pub *chestnutstep.Publication) { pub.Workspaces[0].Weight = 2 })
	conflicts := 0
	for _, pub := range []*chestnutstep.Publication{first, second, first} {
		root, parts := config.Pack(pub)
		if config.IsErrConflict(p.stack.Store.Apply(time.Now(), root, parts)) {
			conflicts++
		}
	}
	if conflicts == 0 {
		return errors.New("neither publication was refused")
	}
	if !p.stack.Store.View().IsOut(p.stack.Store.View().Targets[n.Name]) {
		p.domainOut = ""
	}
	return nil
}

// partial gives a process the root of a publication without the part that changed.
func (p *scenario) partial(n *Node) error {
	p.domainOut = n.Domain
	root, parts := config.Pack(p.stack.NextPublication(1, p.takeOut))
	before := p.stack.Store.View()
	if err := p.stack.Store.Apply(time.Now(), root, nil); !config.IsErrPart(err) {
		return errors.Newf("root without the changed part: want a missing-part error, got %v", err)
	}
	if p.stack.Store.View() != before {
		return errors.New("root without the changed part came into force")
	}
	p.followUps = append(p.followUps, func() error { return p.stack.Store.Apply(time.Now(), root, parts) })
	return nil
}

// cold clears the cache of the engine and makes it cold again without a restart. After the agent
// has had time to detect this, flood sends more requests than a cold engine can run at once.
func (p *scenario) cold(n *Node) error {
	n.SetFault(fake.Fault{Cold: true})
	p.followUps = append(p.followUps, func() error { return p.flood(n) })
	return nil
}

// floodSize is a number of requests that exceeds the capacity of a cold engine but not of a warm one.
const floodSize = 3 * coldLoad

func (p *scenario) flood(n *Node) error {
	if !p.stack.Naive {
		_ = waitFor(func() bool { return n.Agent.Load().Cold }, "the agent marks its target as cold")
	}
	var all sync.WaitGroup
	for i := range floodSize {
		c := *p.caller
		c.Name, c.OnAttempt = fmt.Sprint("flood-", i), nil
		all.Go(func() { c.Run() })
	}
	all.Wait()
	for _, e := range n.Executions() {
		if e.Outcome == fake.OutcomeCrashed {
			return errors.New("cold engine crashed under load")
		}
	}
	return nil
}

// waitTimeout is the maximum time that waitFor waits for a condition. No expected result depends on it.
const waitTimeout = 5 * time.Second

// waitFor polls ok until it returns true. After waitTimeout it returns an error that names the condition.
func waitFor(ok func() bool, condition string) error {
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return errors.Newf("condition not met in time: %s", condition)
}
