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

// ErrStepNotReached is returned if a request ended before it reached the step, or if the entry did
// not read its accept in time.
type ErrStepNotReached struct {
	Step  Step
	Tries []Attempt
}

// Error returns the step and the attempts.
func (err ErrStepNotReached) Error() string {
	return fmt.Sprintf("step %s was not reached: %v", err.Step, err.Tries)
}

// scenario is one run of a cell with the fleet or the naive version.
type scenario struct {
	cell
	stack    *Stack
	caller   *Caller
	attempts []Attempt
	// awaitAccept delays the faults until the entry has read the accept.
	awaitAccept bool
	// timeout is the time limit of each attempt of the caller, attemptTimeout if 0; pause is
	// the time between attempts, defaultPause if 0.
	timeout time.Duration
	pause   time.Duration
	// releaseAfterAttempt keeps the request stopped until the first attempt of the caller has ended.
	releaseAfterAttempt bool
	// hasLostBytes is true if links have lost bytes and must be closed after the fault.
	hasLostBytes bool
	// heals holds functions to call when the first attempt of the caller has ended.
	heals []func()
	// domainOut is the failure domain that was taken out of service.
	domainOut string
	// startedBefore holds the number of executions of each target when the domain was taken out.
	startedBefore map[string]int
	// followUps holds functions to call after the caller has finished.
	followUps []func() error
	// lastOrder is the order published last.
	lastOrder chestnutstep.Order
}

const (
	attemptTimeout = 2 * time.Second
	maxTries       = 5
	// stepTimeout is the maximum wait for a request or an order to reach its step.
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

// runCaller sends the request, stops it at the step, injects the faults and waits for the caller
// to finish.
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
		return errors.Newf("step %s was not reached: %v", at, <-done)
	}
	if p.awaitAccept && !p.waitAccepted(at) {
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
	if p.hasLostBytes {
		n.AgentRelays[0].CloseConnections()
	}
	p.attempts = <-done
	return nil
}

// waitAccepted waits until the entry has read the accept for the stopped request and reports whether
// it has. It returns true at once for steps before the accept.
func (p *scenario) waitAccepted(at Step) bool {
	if !at.afterAccept() {
		return true
	}
	target := p.stack.Breakpoint.Target()
	return waitFor(func() bool { return p.stack.Breakpoint.IsAccepted(target) }, "the entry reads the accept") == nil
}

// injectFaults injects the faults and releases the request.
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
	if p.releaseAfterAttempt {
		<-first
	}
	return nil
}

// countStarted returns the number of executions of each target, by name.
func (p *scenario) countStarted() map[string]int {
	m := make(map[string]int)
	for _, n := range p.stack.Nodes {
		m[n.Name] = len(n.Executions())
	}
	return m
}

// warm sends requests until all engines are warm and their agents have detected it.
func (p *scenario) warm() error {
	for i := range 200 {
		c := Caller{Stack: p.stack, Profile: ProfileChat, Chat: fmt.Sprint("warm-", i), Name: fmt.Sprint("warm", i), Timeout: attemptTimeout, MaxTries: 1}
		c.Run()
		if p.isWarm() {
			return p.awaitProbes()
		}
	}
	return errors.New("engines did not become warm")
}

// awaitProbes waits until each agent has probed its warm target.
func (p *scenario) awaitProbes() error {
	if p.stack.Naive {
		return nil
	}
	for _, n := range p.stack.Nodes {
		seen := n.Probes()
		if err := waitFor(func() bool { return n.Probes() > seen+1 }, "the agent probes its target"); err != nil {
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

// check compares the attempts of the caller with the logs of the targets.
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
			return errors.Newf("caller received a truncated or misdelivered answer: %v", p.attempts)
		}
		if a.Run == chestnutstep.RunNo && a.Runs > ran {
			return errors.Newf("run status \"no\" was reported for a request that ran: %v", p.attempts)
		}
		if a.Run == chestnutstep.RunNo && p.profile == ProfileBook && p.caller.countRuns(a.Key) > 0 {
			return errors.Newf("request ran after run status \"no\" was reported: %v", p.attempts)
		}
		ran = a.Runs
	}
	if last := endOf(p.attempts[len(p.attempts)-1]); !slices.Contains(p.expected, last) {
		return errors.Newf("last attempt ended as %s, want one of %v: %v", last, p.expected, p.attempts)
	}
	return nil
}

// endOf returns the result of an attempt as named in the column wanted of testdata/cells.
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

// checkRuns checks the number of executions of the request under all its keys.
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
		return errors.Newf("request ran %d times, want at most %d: %v; %s", n, p.runs, p.attempts, strings.Join(trace, "; "))
	}
	return nil
}

// checkDomain sends new requests and checks that none ran in the domain that is out of service.
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
				return errors.Newf("new request ran in the domain that is out of service: %v", e)
			}
		}
	}
	return nil
}
