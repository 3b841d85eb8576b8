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

// faults are what happens at a step, by the name in testdata/cells. Each is
// told the node where the request stands.
var faults = map[string]func(*play, *Node) error{
	"none":    func(*play, *Node) error { return nil },
	"break":   func(_ *play, n *Node) error { n.Links[0].CloseConnections(); return nil },
	"cut":     func(p *play, n *Node) error { return p.cut(n, pipe.Up, pipe.Down) },
	"cutup":   func(p *play, n *Node) error { return p.cut(n, pipe.Up) },
	"cutdown": func(p *play, n *Node) error { return p.cut(n, pipe.Down) },
	"delay":   func(p *play, _ *Node) error { p.late = true; return nil },
	"crossed": func(_ *play, n *Node) error { n.Misbehave(fake.Fault{Crossed: true, Count: 1}); return nil },
	"cold":    (*play).cold,
	"crash":   (*play).crash,
	"drop":    func(_ *play, n *Node) error { n.Back.CloseConnections(); return nil },
	"leave":   (*play).leave,
	"out":     (*play).out,
	"kill":    (*play).kill,
	"poison":  (*play).poison,
	"next":    func(p *play, _ *Node) error { return p.tell("second") },
	"stall":   (*play).stall,
	"restart": func(p *play, _ *Node) error { p.stack.RestartEntries(); return nil },
	"stale":   (*play).stale,
	"rival":   (*play).rival,
	"half":    (*play).half,
	"repeat":  (*play).repeat,
	"hold":    (*play).hold,
}

func (p *play) cut(n *Node, ways ...pipe.Direction) error {
	for _, w := range ways {
		n.Links[0].Blackhole(w)
	}
	p.lossy = true
	return nil
}

// stall lets all of an agent's sockets stand still until the caller's first
// try is over, as those of a host that freezes. Its clock goes on.
func (p *play) stall(n *Node) error {
	for _, r := range []*pipe.Relay{n.Links[0], n.Links[1], n.Back} {
		r.Hold(pipe.Up)
		r.Hold(pipe.Down)
		p.thaw = append(p.thaw, r.Heal)
	}
	p.late = true
	return nil
}

func (p *play) crash(n *Node) error {
	n.Misbehave(fake.Fault{Crash: true})
	n.Back.CloseConnections()
	return nil
}

// poison makes every engine crash that runs this request.
func (p *play) poison(*Node) error {
	for _, n := range p.stack.Nodes {
		n.Misbehave(fake.Fault{Poison: `"note":"` + p.caller.Name + `"`})
	}
	return nil
}

// kill ends the agent, or the naive version's process, and starts it anew.
func (p *play) kill(n *Node) error {
	if p.stack.Naive {
		n.Links[0].CloseConnections()
		return nil
	}
	return p.stack.KillAgent(n)
}

// repeat waits until the entry has sent the request to another target, in answer
// to the fault before. The first run stands still and does not count yet.
func (p *play) repeat(*Node) error {
	return until(func() bool { return p.caller.ran(p.caller.key()) > 0 }, "the entry repeats the request")
}

// hold keeps back what the other targets of the profile answer until the caller's next try has passed.
func (p *play) hold(n *Node) error {
	const whole = tryTime + tryTime/4
	for _, other := range p.stack.Nodes {
		if other != n && other.Model == n.Model {
			other.Back.Hold(pipe.Down)
			time.AfterFunc(whole, other.Back.Heal)
		}
	}
	return nil
}

// leave begins a planned stop. The naive version knows none: its process ends.
func (p *play) leave(n *Node) error {
	if p.stack.Naive {
		n.Links[0].CloseConnections()
		return nil
	}
	go func() { _ = n.Agent.Drain(context.Background()) }()
	return until(func() bool { return n.Agent.Load().Leaving }, "the agent leaves")
}

func (p *play) out(n *Node) error {
	p.gone = n.Domain
	return p.stack.Publish(p.takeOut)
}

func (p *play) takeOut(pub *chestnutstep.Publication) {
	for i := range pub.Domains {
		pub.Domains[i].Out = pub.Domains[i].Name == p.gone
	}
}

// stale offers an older publication, as a service does that was restored from
// an old copy.
func (p *play) stale(*Node) error {
	root, parts := config.Pack(p.stack.Next(-1, func(*chestnutstep.Publication) {}))
	err := p.stack.Store.Apply(time.Now(), root, parts)
	if !config.IsErrStale(err) {
		return errors.Newf("an older publication was not refused: %v", err)
	}
	return nil
}

// rival lets two operators publish the same version with different contents.
func (p *play) rival(n *Node) error {
	p.gone = n.Domain
	first := p.stack.Next(1, p.takeOut)
	second := p.stack.Next(1, func(pub *chestnutstep.Publication) { pub.Workspaces[0].Weight = 2 })
	clash := 0
	for _, pub := range []*chestnutstep.Publication{first, second, first} {
		root, parts := config.Pack(pub)
		if config.IsErrConflict(p.stack.Store.Apply(time.Now(), root, parts)) {
			clash++
		}
	}
	if clash == 0 {
		return errors.New("neither publication was refused")
	}
	if !p.stack.Store.View().IsOut(p.stack.Store.View().Targets[n.Name]) {
		p.gone = ""
	}
	return nil
}

// half gives a process the root of a publication without the part that changed.
func (p *play) half(n *Node) error {
	p.gone = n.Domain
	root, parts := config.Pack(p.stack.Next(1, p.takeOut))
	before := p.stack.Store.View()
	if err := p.stack.Store.Apply(time.Now(), root, nil); !config.IsErrPart(err) {
		return errors.Newf("half a publication: %v", err)
	}
	if p.stack.Store.View() != before {
		return errors.New("half a publication is in force")
	}
	p.later = append(p.later, func() error { return p.stack.Store.Apply(time.Now(), root, parts) })
	return nil
}

// cold makes the engine lose its cache and warmth without a word. Once its
// agent had a chance to see it, more work comes than a cold engine carries.
func (p *play) cold(n *Node) error {
	n.Misbehave(fake.Fault{Cold: true})
	p.later = append(p.later, func() error { return p.flood(n) })
	return nil
}

// floodSize is more than a cold engine carries and less than a warm one does.
const floodSize = 3 * coldLoad

func (p *play) flood(n *Node) error {
	if !p.stack.Naive {
		_ = until(func() bool { return n.Agent.Load().Cold }, "the agent sees the cold")
	}
	var all sync.WaitGroup
	for i := range floodSize {
		c := *p.caller
		c.Name, c.Tried = fmt.Sprint("flood-", i), nil
		all.Go(func() { c.Run() })
	}
	all.Wait()
	for _, e := range n.Executions() {
		if e.Outcome == fake.OutcomeCrashed {
			return errors.New("the cold engine fell over")
		}
	}
	return nil
}

// untilLimit bounds the wait for a condition; it decides nothing by itself.
const untilLimit = 5 * time.Second

func until(ok func() bool, what string) error {
	for end := time.Now().Add(untilLimit); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		if ok() {
			return nil
		}
	}
	return errors.Newf("never: %s", what)
}
