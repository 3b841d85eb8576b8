package faults

import (
	"encoding/json"
	"fmt"
	"maps"
	"slices"
	"strings"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/fleet"
)

// signal implements the command "signal KIND PROCESS...": it kills, stops, suspends
// (freeze) or resumes (thaw) processes.
func (s *scenario) signal(d *datadriven.TestData) string {
	for _, a := range d.CmdArgs[1:] {
		p := s.process(a.Key)
		switch d.CmdArgs[0].Key {
		case "kill":
			p.Kill()
		case "stop":
			p.Stop()
		case "freeze":
			p.Suspend()
		case "thaw":
			p.Resume()
		}
	}
	return ""
}

// restart implements the command "restart PROCESS...": it waits until entries and
// agents have exited, starts them again and waits until they are ready.
func (s *scenario) restart(d *datadriven.TestData) string {
	for _, a := range d.CmdArgs {
		p := s.process(a.Key)
		<-p.Done()
		s.noError(s.startProcess(p))
	}
	for _, a := range d.CmdArgs {
		s.noError(s.process(a.Key).WaitReady(s.ctx))
	}
	return ""
}

// replace implements the command "replace TARGET|target:CALL": it kills a back end with SIGKILL and starts it
// again at once at its address.
func (s *scenario) replace(d *datadriven.TestData) string {
	p := s.process(d.CmdArgs[0].Key)
	for _, t := range s.fleet.Targets {
		if t.Backend == p {
			s.noError(s.fleet.ReplaceBackend(t))
		}
	}
	return ""
}

func (s *scenario) startProcess(p *fleet.Process) error {
	for _, t := range s.fleet.Targets {
		if t.Agent == p {
			return s.fleet.StartAgent(t)
		}
	}
	return s.fleet.StartEntry(p)
}

// awaitExit implements the command "ended PROCESS": it waits until the process has
// exited and prints its exit status.
func (s *scenario) awaitExit(d *datadriven.TestData) string {
	p := s.process(d.CmdArgs[0].Key)
	select {
	case <-p.Done():
	case <-time.After(time.Minute):
		return "still running after a minute\n"
	}
	if err := p.Err(); err != nil {
		return err.Error() + "\n"
	}
	return "by itself\n"
}

// fault implements the command "fault TARGET...": it sets the fault in the input, a
// JSON fake.Fault, at targets.
func (s *scenario) fault(d *datadriven.TestData) string {
	var f fake.Fault
	assert.NilError(s.t, json.Unmarshal([]byte(d.Input), &f))
	for _, a := range d.CmdArgs {
		s.noError(s.fleet.Target(a.Key).SetFault(s.ctx, f))
	}
	return ""
}

// platform implements the command "platform": it sets the platform mode in the input,
// a JSON fake.Mode.
func (s *scenario) platform(d *datadriven.TestData) string {
	var m fake.Mode
	assert.NilError(s.t, json.Unmarshal([]byte(d.Input), &m))
	s.noError(s.fleet.SetPlatformMode(s.ctx, m))
	return ""
}

// domain implements the command "domain out|back NAME": it publishes that a failure
// domain is out of service or back, and waits until all processes have applied the
// publication.
func (s *scenario) domain(d *datadriven.TestData) string {
	s.noError(s.fleet.SetDomainOut(s.ctx, d.CmdArgs[1].Key, d.CmdArgs[0].Key == "out"))
	if s.fleet.Naive {
		return ""
	}
	_, err := s.fleet.WaitPublished(s.ctx)
	s.noError(err)
	return ""
}

// count returns the number of executions so far at the targets of a failure domain.
func (s *scenario) count(domain string) int {
	n := 0
	for _, t := range s.fleet.Targets {
		if t.Domain == domain {
			all, err := t.Executions(s.ctx)
			s.noError(err)
			n += len(all)
		}
	}
	return n
}

// mark implements the command "mark DOMAIN": it stores the number of executions at the
// targets of a failure domain.
func (s *scenario) mark(d *datadriven.TestData) string {
	s.marks[d.CmdArgs[0].Key] = s.count(d.CmdArgs[0].Key)
	return ""
}

// startedSinceMark implements the command "fresh DOMAIN [some]": it prints the number
// of executions since mark, or with some whether there were any.
func (s *scenario) startedSinceMark(d *datadriven.TestData) string {
	name := d.CmdArgs[0].Key
	n := s.count(name) - s.marks[name]
	if d.HasArg("some") {
		return fmt.Sprintln(n > 0)
	}
	return fmt.Sprintln(n)
}

// runMany implements the command "many PREFIX [n=N] [entry=N]": it sends N chat
// requests, one after another, and prints the number of results of each kind.
func (s *scenario) runMany(d *datadriven.TestData) string {
	n := 1
	d.MaybeScanArgs(s.t, "n", &n)
	kinds := map[string]int{}
	for i := range n {
		body, _ := json.Marshal(fake.ChatRequest{Prompt: 20, Output: 3, Note: fmt.Sprint(d.CmdArgs[0].Key, i)})
		c := &call{request: fake.Request{
			Entry: s.entry(d), Profile: fleet.ProfileChat, Body: body,
			Chat: fmt.Sprint(d.CmdArgs[0].Key, i), IdempotencyKey: fmt.Sprint("id-", d.CmdArgs[0].Key, i),
		}}
		s.launch(fmt.Sprint(d.CmdArgs[0].Key, i), c)
		<-c.done
		kinds[strings.TrimSpace(fmt.Sprintf("%s %s", c.res.Kind, c.res.Code))]++
	}
	var out []string
	for _, k := range slices.Sorted(maps.Keys(kinds)) {
		out = append(out, fmt.Sprintf("%d %s", kinds[k], k))
	}
	return strings.Join(out, ", ") + "\n"
}

// sleep implements the command "sleep D". Scripts use it only where the passing of
// time is part of the fault.
func (s *scenario) sleep(d *datadriven.TestData) string {
	v, err := time.ParseDuration(d.CmdArgs[0].Key)
	s.noError(err)
	time.Sleep(v)
	return ""
}
