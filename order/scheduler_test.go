package order

import (
	"fmt"
	"strconv"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 3000) }

// TestScripts runs the scripts in testdata/desk against one agent's scheduler.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/desk", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			p := &scriptRunner{now: script.Epoch, fences: map[string]Fence{}}
			p.scheduler = &Scheduler{StartedAt: script.Epoch, HostUptime: time.Hour, Fenced: d.Cmd == "fenced"}
			return script.RunLines(d.Input, &p.now, p.runCommand)
		})
	})
}

type scriptRunner struct {
	scheduler *Scheduler
	now       time.Time
	fences    map[string]Fence
}

func (p *scriptRunner) runCommand(f []string) string {
	switch f[0] {
	case "take":
		version, _ := strconv.ParseUint(f[4], 10, 64)
		j, err := p.scheduler.Submit(p.now, Order{Kind: f[2], Name: f[3], Version: version})
		if err != nil {
			return err.Error()
		}
		p.fences[f[1]] = j.Fence
		return fmt.Sprintf("%s %s, version %d", j.State, j.Fence, j.Fence.Version())
	case "restart":
		p.scheduler.EngineRestarted(p.now)
		return "ok"
	case "ready":
		return strconv.FormatBool(p.scheduler.IsReady(p.now))
	case "send":
		version, _ := strconv.ParseUint(f[2], 10, 64)
		return describe(p.scheduler.BeginSend(p.now, p.fences[f[1]], version))
	}
	return describe(p.scheduler.Complete(p.now, p.fences[f[1]], Event(f[0])))
}

func describe(err error) string {
	kinds := []string{"stale", "busy", "late", "state", "range"}
	for i, is := range []func(error) bool{IsErrStale, IsErrBusy, IsErrLate, IsErrState, IsErrRange} {
		if is(err) {
			return kinds[i] + ": " + err.Error()
		}
	}
	return "ok"
}

// engine simulates an engine whose agents are killed, suspended and restarted, and a network that
// delivers their orders late and in any order.
type engine struct {
	now       time.Time
	booted    time.Time
	scheduler *Scheduler
	inFlight  []Job
	sent      []Job
	lastDone  Job
}

// restart starts a new agent. Systems report the uptime in seconds, rounded up or down.
func (e *engine) restart(t *rapid.T) {
	round := time.Duration(rapid.IntRange(0, 1).Draw(t, "round")) * (time.Second - 1)
	up := (e.now.Sub(e.booted) + round).Truncate(time.Second)
	e.scheduler = &Scheduler{StartedAt: e.now, HostUptime: up, Fenced: true}
}

func (e *engine) submit(t *rapid.T) {
	kind := rapid.SampledFrom([]string{"load", "role"}).Draw(t, "kind")
	version := rapid.Uint64Range(1, 3).Draw(t, "version")
	j, err := e.scheduler.Submit(e.now, Order{Kind: kind, Name: fmt.Sprint(len(e.sent)), Version: version})
	if err == nil && rapid.Bool().Draw(t, "send at once") {
		e.send(t, j)
	}
}

func (e *engine) send(t *rapid.T, j Job) {
	version := rapid.Uint64Range(0, 3).Draw(t, "in force")
	if e.scheduler.BeginSend(e.now, j.Fence, version) != nil {
		return
	}
	assert.Assert(t, version <= j.Order.Version, "sent an order of an old publication")
	assert.Assert(t, e.now.Sub(j.ChangedAt) <= DefaultMaxDelay, "sent after a pause")
	for _, earlier := range e.sent {
		older := earlier.Order.Version <= j.Order.Version
		assert.Assert(t, !older || earlier.Fence < j.Fence, "a later order has a lower number")
	}
	e.sent = append(e.sent, j)
	e.inFlight = append(e.inFlight, j)
}

func (e *engine) sendLate(t *rapid.T) {
	for _, j := range e.scheduler.Jobs() {
		e.send(t, j)
	}
}

func (e *engine) deliver(t *rapid.T) {
	if len(e.inFlight) == 0 {
		return
	}
	j := rapid.SampledFrom(e.inFlight).Draw(t, "order")
	event := Refused
	if j.Fence > e.lastDone.Fence {
		assert.Assert(t, j.Order.Version >= e.lastDone.Order.Version, "an old publication's order was applied last")
		e.lastDone, event = j, Finished
	}
	if rapid.Bool().Draw(t, "lost") {
		event = Lost
	}
	_ = e.scheduler.Complete(e.now, j.Fence, event)
}

// TestOrdersNeverGoBack guards against an old order that is applied last. An agent is killed with
// an order in transit, and its next incarnation sends another. If the old one arrived last, the
// engine would serve a model that operators had replaced, and the agent's state would not show it.
func TestOrdersNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{now: script.Epoch, booted: script.Epoch.Add(-time.Minute)}
		e.restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"take": e.submit, "send late": e.sendLate, "deliver": e.deliver, "restart": e.restart,
			"pass": func(t *rapid.T) {
				e.now = e.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

// TestFenceRange guards against a version that doesn't fit and is truncated, which would make a new order
// appear old.
func TestFenceRange(t *testing.T) {
	_, err := newFence(1<<halfBits, 1)
	assert.Assert(t, IsErrRange(err))
	f, err := newFence(7, 9)
	assert.NilError(t, err)
	assert.Equal(t, f.Version(), uint64(7))
	assert.Equal(t, f.String(), "30064771081")
}
