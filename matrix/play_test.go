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

// ErrStepNotReached says that the request was over before it came to the step.
type ErrStepNotReached struct {
	Step  Step
	Tries []Attempt
}

// Error names the step.
func (err ErrStepNotReached) Error() string {
	return fmt.Sprintf("step %s never came: %v", err.Step, err.Tries)
}

// scenario is one run of a cell, by the fleet or by the naive version.
type scenario struct {
	cell
	stack    *Stack
	caller   *Caller
	attempts []Attempt
	// awaitAccept keeps the faults back until the entry has read the accept.
	awaitAccept bool
	// timeout is that of each of the caller's tries, tryTime when 0; pause is between them.
	timeout time.Duration
	pause   time.Duration
	// untilFirstAttempt keeps the request at its step until the caller's first try is over.
	untilFirstAttempt bool
	// breaksLinks says that links lost bytes and have to be broken at the end.
	breaksLinks bool
	// heals is done when the caller's first try is over.
	heals []func()
	// domainOut is the failure domain that was taken out.
	domainOut string
	// startedBefore counts each target's executions when the domain was out.
	startedBefore map[string]int
	// followUps is done once the caller has finished.
	followUps []func() error
	// lastOrder is the order that was published last.
	lastOrder chestnutstep.Order
}

const (
	attemptTimeout = 2 * time.Second
	maxTries       = 5
	// stepTimeout bounds the wait for the step, and for the caller to finish.
	stepTimeout = 30 * time.Second
)

func (p *scenario) run() error {
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
	if err := p.runCaller(); err != nil {
		return err
	}
	for _, f := range p.followUps {
		if err := f(); err != nil {
			return err
		}
	}
	return p.check()
}

// runCaller sends the request, stops it at the step, lets the faults happen and
// waits for the caller to finish.
func (p *scenario) runCaller() error {
	at := Step(p.step)
	if at == StepDrain {
		p.faults = append([]string{"leave"}, p.faults...)
		at = StepMiddle
	}
	p.stack.Breakpoint.Set(at)
	if at == StepLost {
		p.stack.EntryRelays[0].Hold(pipe.Down)
	}
	first := make(chan struct{})
	p.caller = &Caller{
		Stack: p.stack, Profile: p.profile, Chat: "c", Name: "n", Large: at == StepBody,
		Timeout: cmp.Or(p.timeout, attemptTimeout), MaxTries: maxTries, Pause: p.pause,
		OnAttempt: func(i int) {
			if i == 0 {
				close(first)
			}
		},
	}
	done := make(chan []Attempt, 1)
	go func() { done <- p.caller.Run() }()
	select {
	case <-p.stack.Breakpoint.Reached():
	case tries := <-done:
		return ErrStepNotReached{Step: at, Tries: tries}
	case <-time.After(stepTimeout):
		return errors.Newf("step %s never came: %v", at, <-done)
	}
	if p.awaitAccept && !p.accepted(at) {
		p.stack.Breakpoint.Release()
		return ErrStepNotReached{Step: at, Tries: <-done}
	}
	if err := p.injectFaults(at, first); err != nil {
		return err
	}
	<-first
	for _, f := range p.heals {
		f()
	}
	n := p.stack.HaltedNode()
	n.AgentRelays[0].Heal()
	if p.breaksLinks {
		n.AgentRelays[0].CloseConnections()
	}
	p.attempts = <-done
	return nil
}

// accepted waits until the entry has read the accept of the target where the
// request stands, if the step comes after it.
func (p *scenario) accepted(at Step) bool {
	if !at.afterAccept() {
		return true
	}
	target := p.stack.Breakpoint.Target()
	return waitFor(func() bool { return p.stack.Breakpoint.IsAccepted(target) }, "the entry reads the accept") == nil
}

// injectFaults lets the faults happen and the request go on.
func (p *scenario) injectFaults(at Step, first <-chan struct{}) error {
	defer p.stack.Breakpoint.Release()
	n := p.stack.HaltedNode()
	if slices.Contains(p.faults, "restart") && !slices.Contains(p.faults, "repeat") {
		p.stack.FailEntryLinks()
	}
	for _, f := range p.faults {
		if err := faults[f](p, n); err != nil {
			return err
		}
	}
	if p.domainOut != "" {
		p.startedBefore = p.countStarted()
	}
	if at == StepLost {
		p.stack.EntryRelays[0].CloseConnections()
		p.stack.EntryRelays[0].Heal()
	}
	if p.untilFirstAttempt {
		<-first
	}
	return nil
}

// countStarted counts the executions at each target.
func (p *scenario) countStarted() map[string]int {
	m := make(map[string]int)
	for _, n := range p.stack.Nodes {
		m[n.Name] = len(n.Executions())
	}
	return m
}

// warm serves engines until they and their agents count as warm.
func (p *scenario) warm() error {
	for i := range 200 {
		c := Caller{Stack: p.stack, Profile: ProfileChat, Chat: fmt.Sprint("warm-", i), Name: fmt.Sprint("warm", i), Timeout: attemptTimeout, MaxTries: 1}
		c.Run()
		if p.isWarm() {
			return p.awaitProbes()
		}
	}
	return errors.New("the engines never got warm")
}

// awaitProbes waits until each agent has read its warm target's report.
func (p *scenario) awaitProbes() error {
	if p.stack.Naive {
		return nil
	}
	for _, n := range p.stack.Nodes {
		seen := n.Probes()
		if err := waitFor(func() bool { return n.Probes() > seen+1 }, "the agent probes"); err != nil {
			return err
		}
	}
	return nil
}

func (p *scenario) isWarm() bool {
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

// check compares what the caller got with what the far end logged.
func (p *scenario) check() error {
	if err := waitFor(p.isIdle, "all runs end"); err != nil {
		return err
	}
	if err := p.checkAttempts(); err != nil {
		return err
	}
	if err := p.checkRuns(); err != nil {
		return err
	}
	return p.checkDomain()
}

func (p *scenario) isIdle() bool {
	for _, n := range p.stack.Nodes {
		if n.hooks.inFlight.Load() > 0 {
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

func (p *scenario) checkAttempts() error {
	ran := 0
	for _, a := range p.attempts {
		if a.Kind == Truncated || a.Kind == Misdelivered {
			return errors.Newf("the caller was given a wrong answer: %v", p.attempts)
		}
		if a.Run == chestnutstep.RunNo && a.Runs > ran {
			return errors.Newf("\"not run\" was untrue: %v", p.attempts)
		}
		if a.Run == chestnutstep.RunNo && p.profile == ProfileBook && p.caller.countRuns(a.Key) > 0 {
			return errors.Newf("\"not run\" did not stay true: %v", p.attempts)
		}
		ran = a.Runs
	}
	if last := endOf(p.attempts[len(p.attempts)-1]); !slices.Contains(p.expected, last) {
		return errors.Newf("ended %s, wanted %v: %v", last, p.expected, p.attempts)
	}
	return nil
}

// endOf names how the last try left its caller.
func endOf(a Attempt) string {
	switch {
	case a.Kind == Complete:
		return "whole"
	case a.Kind == Refused && a.Run == chestnutstep.RunNo:
		return "refused"
	default:
		return "unknown"
	}
}

// checkRuns counts the request's executions, under whatever key.
func (p *scenario) checkRuns() error {
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
		return errors.Newf("ran %d times, wanted %d at most: %v; %s", n, p.runs, p.attempts, strings.Join(trace, "; "))
	}
	return nil
}

// checkDomain sends new work and looks where it went.
func (p *scenario) checkDomain() error {
	if p.domainOut == "" {
		return nil
	}
	for i := range 8 {
		c := Caller{Stack: p.stack, Profile: p.profile, Chat: fmt.Sprint("new-", i), Name: fmt.Sprint("new", i), Timeout: attemptTimeout, MaxTries: 2}
		c.Run()
	}
	for _, n := range p.stack.Nodes {
		if n.Domain != p.domainOut {
			continue
		}
		for _, e := range n.Executions()[p.startedBefore[n.Name]:] {
			if strings.HasPrefix(e.Request, "new") {
				return errors.Newf("new work went to the domain that is out: %v", e)
			}
		}
	}
	return nil
}
