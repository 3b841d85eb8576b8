package faults

import (
	"context"
	"encoding/json"
	"fmt"
	"net/http"
	"slices"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/fleet"
)

// call is one request of a script and what became of it.
type call struct {
	caller *fake.Caller
	ask    fake.Request
	action string
	// insist comes back as long as the answer is 503, as Retry-After says.
	insist bool
	res    fake.Result
	tokens atomic.Int64
	done   chan struct{}
}

func (c *call) run(ctx context.Context) {
	defer close(c.done)
	end := time.Now().Add(insistLimit)
	for {
		c.res = c.caller.Do(ctx, c.ask)
		if !c.insist || c.res.Status != http.StatusServiceUnavailable || time.Now().After(end) {
			return
		}
		time.Sleep(c.res.Retry)
	}
}

// insistLimit is generous: a slow machine must not fail a test.
const insistLimit = time.Minute

// stage is the state of one script.
type stage struct {
	t       *testing.T
	ctx     context.Context
	fleet   *fleet.Fleet
	calls   map[string]*call
	tickets map[string]string
	marks   map[string]int
}

// verbs are the commands of the scripts.
var verbs = map[string]func(*stage, *datadriven.TestData) string{
	"fleet":    (*stage).start,
	"chat":     (*stage).chat,
	"ticket":   (*stage).ticket,
	"book":     (*stage).book,
	"repeat":   (*stage).repeat,
	"begun":    (*stage).begun,
	"read":     (*stage).read,
	"end":      (*stage).end,
	"ran":      (*stage).ran,
	"signal":   (*stage).signal,
	"restart":  (*stage).restart,
	"ended":    (*stage).ended,
	"fault":    (*stage).fault,
	"platform": (*stage).platform,
	"domain":   (*stage).domain,
	"mark":     (*stage).mark,
	"fresh":    (*stage).fresh,
	"many":     (*stage).many,
	"sleep":    (*stage).sleep,
}

func play(t *testing.T, path string) {
	s := &stage{t: t, ctx: t.Context(), calls: map[string]*call{}, tickets: map[string]string{}, marks: map[string]int{}}
	defer s.close()
	datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
		verb := verbs[d.Cmd]
		if verb == nil {
			t.Fatalf("%s: unknown command %s", d.Pos, d.Cmd)
		}
		return verb(s, d)
	})
}

func (s *stage) close() {
	if s.fleet == nil {
		return
	}
	s.fleet.Close()
	if s.t.Failed() {
		s.t.Log("settings and logs were in", s.fleet.Dir)
	}
}

func (s *stage) ok(err error) {
	s.t.Helper()
	assert.NilError(s.t, err)
}

// fleet [domains=N] [engines=N] [services=N] [entries=N] [naive] [engine=FLAGS] [service=FLAGS] [drain=D]
func (s *stage) start(d *datadriven.TestData) string {
	f := &fleet.Fleet{Bin: programs, Dir: s.t.TempDir(), Domains: 1, Engines: 1, Entries: 1, Naive: d.HasArg("naive")}
	d.MaybeScanArgs(s.t, "domains", &f.Domains)
	d.MaybeScanArgs(s.t, "engines", &f.Engines)
	d.MaybeScanArgs(s.t, "services", &f.Services)
	d.MaybeScanArgs(s.t, "entries", &f.Entries)
	for _, a := range d.CmdArgs {
		switch a.Key {
		case "engine":
			f.EngineFlags = a.Vals
		case "service":
			f.ServiceFlags = a.Vals
		}
	}
	f.Settings = func(v *fleet.Settings) {
		d.MaybeScanArgs(s.t, "drain", &v.Drain)
		d.MaybeScanArgs(s.t, "linger", &v.Linger)
	}
	s.fleet = f
	s.ok(f.Start(s.ctx))
	return ""
}

// process finds a process: by its name, or "target:CALL" and "agent:CALL" for
// where a call runs.
func (s *stage) process(name string) *fleet.Process {
	for _, p := range s.fleet.Doors {
		if p.Name == name {
			return p
		}
	}
	kind, of, found := strings.Cut(name, ":")
	if found {
		name = s.place(of).Name
	}
	for _, t := range s.fleet.Targets {
		switch {
		case found && t.Name == name && kind == "agent":
			return t.Agent
		case t.Name == name:
			return t.Back
		case t.Agent.Name == name:
			return t.Agent
		}
	}
	s.t.Fatalf("no process %s", name)
	return nil
}

// place is the target that a call runs at.
func (s *stage) place(name string) *fleet.Target {
	for _, t := range s.fleet.Targets {
		all, err := t.Executions(s.ctx)
		s.ok(err)
		for _, e := range all {
			if s.calls[name].is(e) {
				return t
			}
		}
	}
	s.t.Fatalf("call %s runs nowhere", name)
	return nil
}

// is says whether an execution is of this call: an action counts by its name,
// whatever request it came in.
func (c *call) is(e fake.Execution) bool {
	if c.action != "" {
		return e.Action == c.action
	}
	return e.Request == c.ask.ID
}

func (s *stage) entry(d *datadriven.TestData) int {
	n := 1
	d.MaybeScanArgs(s.t, "entry", &n)
	return n - 1
}

func (s *stage) launch(name string, c *call) {
	c.caller = &fake.Caller{Entries: s.fleet.URLs(), Key: fleet.Keys["darkroom"], Client: fake.NewClient()}
	c.done = make(chan struct{})
	c.ask.Seen = func(n int) { c.tokens.Store(int64(n)) }
	s.calls[name] = c
	go c.run(s.ctx)
}

// chat NAME [entry=N] [chat=C] [output=N] [text=T] [timeout=D]
func (s *stage) chat(d *datadriven.TestData) string {
	name := d.CmdArgs[0].Key
	ask := fake.Ask{Prompt: 100, Output: 200, Note: name}
	r := fake.Request{Entry: s.entry(d), Profile: fleet.ProfileChat, Chat: "chat-" + name, ID: "id-" + name}
	d.MaybeScanArgs(s.t, "output", &ask.Output)
	d.MaybeScanArgs(s.t, "text", &ask.Text)
	d.MaybeScanArgs(s.t, "chat", &r.Chat)
	r.Timeout = duration(s.t, d, "timeout")
	r.Body, _ = json.Marshal(ask)
	s.launch(name, &call{ask: r})
	return ""
}

func duration(t *testing.T, d *datadriven.TestData, key string) time.Duration {
	var text string
	d.MaybeScanArgs(t, key, &text)
	if text == "" {
		return 0
	}
	v, err := time.ParseDuration(text)
	assert.NilError(t, err)
	return v
}

// ticket NAME [entry=N]
func (s *stage) ticket(d *datadriven.TestData) string {
	if s.fleet.Naive {
		return ""
	}
	c := &fake.Caller{Entries: s.fleet.URLs(), Key: fleet.Keys["darkroom"]}
	list, err := c.Tickets(s.ctx, s.entry(d), fleet.ProfileBook, 1)
	s.ok(err)
	s.tickets[d.CmdArgs[0].Key] = list[0]
	return ""
}

// book NAME ticket=T [entry=N] [action=A] [timeout=D]
func (s *stage) book(d *datadriven.TestData) string {
	name := d.CmdArgs[0].Key
	c := &call{action: "act-" + name}
	var t string
	d.MaybeScanArgs(s.t, "ticket", &t)
	d.MaybeScanArgs(s.t, "action", &c.action)
	c.ask = fake.Request{
		Entry: s.entry(d), Profile: fleet.ProfileBook, ID: "id-" + name, Ticket: s.tickets[t],
		Path: "/bookings", Timeout: duration(s.t, d, "timeout"),
	}
	c.ask.Body, _ = json.Marshal(fake.Action{Action: c.action})
	s.launch(name, c)
	return ""
}

// repeat NAME of=CALL [entry=N] [id=ID] [insist]
func (s *stage) repeat(d *datadriven.TestData) string {
	var of string
	d.ScanArgs(s.t, "of", &of)
	old := s.calls[of]
	c := &call{ask: old.ask, action: old.action, insist: d.HasArg("insist")}
	d.MaybeScanArgs(s.t, "id", &c.ask.ID)
	c.ask.Entry = s.entry(d)
	s.launch(d.CmdArgs[0].Key, c)
	return ""
}

// executions are those of a call at all targets, in no order between targets.
func (s *stage) executions(name string) ([]fake.Execution, error) {
	var out []fake.Execution
	for _, t := range s.fleet.Targets {
		all, err := t.Executions(s.ctx)
		if err != nil {
			return nil, err
		}
		for _, e := range all {
			if s.calls[name].is(e) {
				out = append(out, e)
			}
		}
	}
	return out, nil
}

// begun CALL waits until a target runs it.
func (s *stage) begun(d *datadriven.TestData) string {
	name := d.CmdArgs[0].Key
	s.ok(fleet.Until(s.ctx, name+" begun", func() error {
		all, err := s.executions(name)
		if err == nil && len(all) == 0 {
			return errors.New("no target ran it")
		}
		return err
	}))
	return ""
}

// read CALL waits until its caller has read a few tokens.
func (s *stage) read(d *datadriven.TestData) string {
	name := d.CmdArgs[0].Key
	s.ok(fleet.Until(s.ctx, name+" read", func() error {
		if n := s.calls[name].tokens.Load(); n < fewTokens {
			return errors.Newf("%d tokens", n)
		}
		return nil
	}))
	return ""
}

// fewTokens is enough to be in the middle of an answer.
const fewTokens = 5

// end CALL [brief] waits for the answer and says what the caller got; brief
// leaves out what may be known or not, depending on who has heard what.
func (s *stage) end(d *datadriven.TestData) string {
	c := s.calls[d.CmdArgs[0].Key]
	select {
	case <-c.done:
	case <-time.After(2 * time.Minute):
		return "no answer in two minutes\n"
	}
	switch c.res.Kind {
	case fake.Refused:
		if d.HasArg("brief") {
			return fmt.Sprintf("refused %d %s\n", c.res.Status, c.res.Code)
		}
		return fmt.Sprintf("refused %d %s, run %s\n", c.res.Status, c.res.Code, c.res.Run)
	case fake.Whole:
		if c.action != "" {
			return fmt.Sprintf("%d %s\n", c.res.Status, strings.TrimSpace(string(c.res.Data)))
		}
		if c.res.Status != http.StatusOK {
			return fmt.Sprintf("status %d\n", c.res.Status)
		}
		return fmt.Sprintf("whole, %d tokens\n", c.res.Tokens)
	}
	return string(c.res.Kind) + "\n"
}

// ran CALL waits until no target runs it any more and says how often it ran.
func (s *stage) ran(d *datadriven.TestData) string {
	var all []fake.Execution
	s.ok(fleet.Until(s.ctx, d.CmdArgs[0].Key+" over", func() error {
		var err error
		all, err = s.executions(d.CmdArgs[0].Key)
		for _, e := range all {
			if e.Ended == 0 {
				return errors.New("still running")
			}
		}
		return err
	}))
	var outcomes []string
	for _, e := range all {
		outcomes = append(outcomes, e.Outcome)
	}
	slices.Sort(outcomes)
	return fmt.Sprintf("%d: %s\n", len(all), strings.Join(outcomes, ", "))
}
