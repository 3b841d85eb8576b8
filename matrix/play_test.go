package matrix

import (
	"cmp"
	"fmt"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/pipe"
)

// ErrStep says that the request was over before it came to the step.
type ErrStep struct {
	Step  Step
	Tries []Attempt
}

// Error names the step.
func (err ErrStep) Error() string { return fmt.Sprintf("step %s never came: %v", err.Step, err.Tries) }

// play is one run of a cell, by the fleet or by the naive version.
type play struct {
	cell
	stack  *Stack
	caller *Caller
	tries  []Attempt
	// awaitAccept keeps the faults back until the entry has read the accept.
	awaitAccept bool
	// limit is that of each of the caller's tries, tryTime when 0; pause is between them.
	limit time.Duration
	pause time.Duration
	// late keeps the request at its step until the caller's first try is over.
	late bool
	// lossy says that links lost bytes and have to be broken at the end.
	lossy bool
	// thaw is done when the caller's first try is over.
	thaw []func()
	// gone is the failure domain that was taken out.
	gone string
	// before counts each target's executions when the domain was out.
	before map[string]int
	// later is done once the caller has finished.
	later []func() error
	// told is the order that was published last.
	told chestnutstep.Order
}

const (
	tryTime = 2 * time.Second
	tries   = 5
	// stepLimit bounds the wait for the step, and for the caller to finish.
	stepLimit = 30 * time.Second
)

func (p *play) run() error {
	if p.profile == profileOrder {
		return p.runOrder()
	}
	if err := p.stack.Start(); err != nil {
		return err
	}
	defer p.stack.Close()
	if slices.Contains(p.faults, "cold") {
		if err := p.warm(); err != nil {
			return err
		}
	}
	if err := p.act(); err != nil {
		return err
	}
	for _, f := range p.later {
		if err := f(); err != nil {
			return err
		}
	}
	return p.judge()
}

// act sends the request, stops it at the step, lets the faults happen and
// waits for the caller to finish.
func (p *play) act() error {
	at := Step(p.step)
	if at == StepDrain {
		p.faults = append([]string{"leave"}, p.faults...)
		at = StepMiddle
	}
	p.stack.Halt.Arm(at)
	if at == StepLost {
		p.stack.Fronts[0].Hold(pipe.Down)
	}
	first := make(chan struct{})
	p.caller = &Caller{
		Stack: p.stack, Profile: p.profile, Chat: "c", Name: "n", Large: at == StepBody,
		Timeout: cmp.Or(p.limit, tryTime), Tries: tries, Pause: p.pause,
		Tried: func(i int) {
			if i == 0 {
				close(first)
			}
		},
	}
	done := make(chan []Attempt, 1)
	go func() { done <- p.caller.Run() }()
	select {
	case <-p.stack.Halt.Reached():
	case tries := <-done:
		return ErrStep{Step: at, Tries: tries}
	case <-time.After(stepLimit):
		return errors.Newf("step %s never came: %v", at, <-done)
	}
	if p.awaitAccept && !p.accepted(at) {
		p.stack.Halt.Release()
		return ErrStep{Step: at, Tries: <-done}
	}
	if err := p.strike(at, first); err != nil {
		return err
	}
	<-first
	for _, f := range p.thaw {
		f()
	}
	n := p.stack.Halted()
	n.Links[0].Heal()
	if p.lossy {
		n.Links[0].CloseConnections()
	}
	p.tries = <-done
	return nil
}

// accepted waits until the entry has read the accept of the target where the
// request stands, if the step comes after it.
func (p *play) accepted(at Step) bool {
	if !at.afterAccept() {
		return true
	}
	target := p.stack.Halt.Target()
	return until(func() bool { return p.stack.Halt.Accepted(target) }, "the entry reads the accept") == nil
}

// strike lets the faults happen and the request go on.
func (p *play) strike(at Step, first <-chan struct{}) error {
	defer p.stack.Halt.Release()
	n := p.stack.Halted()
	if slices.Contains(p.faults, "restart") && !slices.Contains(p.faults, "repeat") {
		p.stack.CondemnEntries()
	}
	for _, f := range p.faults {
		if err := faults[f](p, n); err != nil {
			return err
		}
	}
	if p.gone != "" {
		p.before = p.started()
	}
	if at == StepLost {
		p.stack.Fronts[0].CloseConnections()
		p.stack.Fronts[0].Heal()
	}
	if p.late {
		<-first
	}
	return nil
}

// started counts the executions at each target.
func (p *play) started() map[string]int {
	m := make(map[string]int)
	for _, n := range p.stack.Nodes {
		m[n.Name] = len(n.Executions())
	}
	return m
}

// warm serves engines until they and their agents count as warm.
func (p *play) warm() error {
	for i := range 200 {
		c := Caller{Stack: p.stack, Profile: ProfileChat, Chat: fmt.Sprint("warm-", i), Name: fmt.Sprint("warm", i), Timeout: tryTime, Tries: 1}
		c.Run()
		if p.warmed() {
			return p.probed()
		}
	}
	return errors.New("the engines never got warm")
}

// probed waits until each agent has read its warm target's report.
func (p *play) probed() error {
	if p.stack.Naive {
		return nil
	}
	for _, n := range p.stack.Nodes {
		seen := n.Probes()
		if err := until(func() bool { return n.Probes() > seen+1 }, "the agent probes"); err != nil {
			return err
		}
	}
	return nil
}

func (p *play) warmed() bool {
	for _, n := range p.stack.Nodes {
		if n.Engine == nil {
			continue
		}
		if len(n.Executions()) < warmAfter || n.Agent != nil && n.Agent.Load().Cold {
			return false
		}
	}
	return true
}

// judge compares what the caller got with what the far end logged.
func (p *play) judge() error {
	if err := until(p.rested, "all runs end"); err != nil {
		return err
	}
	if err := p.judgeTries(); err != nil {
		return err
	}
	if err := p.judgeRuns(); err != nil {
		return err
	}
	return p.judgeDomain()
}

func (p *play) rested() bool {
	for _, n := range p.stack.Nodes {
		if n.hooks.busy.Load() > 0 {
			return false
		}
		for _, e := range n.Executions() {
			if e.Outcome == fake.OutcomeRunning {
				return false
			}
		}
	}
	return true
}

func (p *play) judgeTries() error {
	ran := 0
	for _, a := range p.tries {
		if a.Verdict == Short || a.Verdict == Mistaken {
			return errors.Newf("the caller was given a wrong answer: %v", p.tries)
		}
		if a.Run == chestnutstep.RunNo && a.Ran > ran {
			return errors.Newf("\"not run\" was untrue: %v", p.tries)
		}
		if a.Run == chestnutstep.RunNo && p.profile == ProfileBook && p.caller.ran(a.Key) > 0 {
			return errors.Newf("\"not run\" did not stay true: %v", p.tries)
		}
		ran = a.Ran
	}
	if last := ended(p.tries[len(p.tries)-1]); !slices.Contains(p.wanted, last) {
		return errors.Newf("ended %s, wanted %v: %v", last, p.wanted, p.tries)
	}
	return nil
}

// ended names how the last try left its caller.
func ended(a Attempt) string {
	switch {
	case a.Verdict == Whole:
		return "whole"
	case a.Verdict == Refused && a.Run == chestnutstep.RunNo:
		return "refused"
	default:
		return "unknown"
	}
}

// judgeRuns counts the request's executions, under whatever key.
func (p *play) judgeRuns() error {
	n := 0
	var trace []string
	for _, node := range p.stack.Nodes {
		for _, e := range node.Executions() {
			if strings.HasPrefix(e.Request, p.caller.Name+"-") {
				n++
				trace = append(trace, fmt.Sprintf("%s boot %s order %d to %d: %s", node.Name, e.Boot[:4], e.Started, e.Ended, e.Outcome))
			}
		}
	}
	if n > p.runs {
		return errors.Newf("ran %d times, wanted %d at most: %v; %s", n, p.runs, p.tries, strings.Join(trace, "; "))
	}
	return nil
}

// judgeDomain sends new work and looks where it went.
func (p *play) judgeDomain() error {
	if p.gone == "" {
		return nil
	}
	for i := range 8 {
		c := Caller{Stack: p.stack, Profile: p.profile, Chat: fmt.Sprint("new-", i), Name: fmt.Sprint("new", i), Timeout: tryTime, Tries: 2}
		c.Run()
	}
	for _, n := range p.stack.Nodes {
		if n.Domain != p.gone {
			continue
		}
		for _, e := range n.Executions()[p.before[n.Name]:] {
			if strings.HasPrefix(e.Request, "new") {
				return errors.Newf("new work went to the domain that is out: %v", e)
			}
		}
	}
	return nil
}
