package order

import (
	"flag"
	"fmt"
	"os"
	"strconv"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"
)

var epoch = time.Unix(1000, 0)

// TestMain fixes the seeds, so that CI gives the same verdict every time.
func TestMain(m *testing.M) {
	flag.Parse()
	for name, value := range map[string]string{
		"rapid.seed": "20261202", "rapid.checks": "3000", "rapid.steps": "60", "rapid.nofailfile": "true",
	} {
		if err := flag.Set(name, value); err != nil {
			panic(err)
		}
	}
	os.Exit(m.Run())
}

// The scripts in testdata/desk play one agent's orders step by step.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/desk", func(t *testing.T, path string) {
		datadriven.RunTest(t, path, func(_ *testing.T, d *datadriven.TestData) string {
			s := &script{now: epoch, fences: map[string]Fence{}}
			s.desk = &Desk{Began: epoch, Uptime: time.Hour, Fenced: d.Cmd == "fenced"}
			var out strings.Builder
			for line := range strings.Lines(d.Input) {
				f := strings.Fields(line)
				fmt.Fprintf(&out, "%s: %s\n", strings.Join(f, " "), s.step(f))
			}
			return out.String()
		})
	})
}

type script struct {
	desk   *Desk
	now    time.Time
	fences map[string]Fence
}

func (s *script) step(f []string) string {
	switch f[0] {
	case "pass":
		d, _ := time.ParseDuration(f[1])
		s.now = s.now.Add(d)
		return "ok"
	case "take":
		version, _ := strconv.ParseUint(f[4], 10, 64)
		j, err := s.desk.Take(s.now, Order{Kind: f[2], Name: f[3], Version: version})
		if err != nil {
			return err.Error()
		}
		s.fences[f[1]] = j.Fence
		return fmt.Sprintf("%s %s, version %d", j.State, j.Fence, j.Fence.Version())
	case "send":
		version, _ := strconv.ParseUint(f[2], 10, 64)
		return say(s.desk.MaySend(s.now, s.fences[f[1]], version))
	}
	return say(s.desk.End(s.now, s.fences[f[1]], Event(f[0])))
}

func say(err error) string {
	if err == nil {
		return "ok"
	}
	kinds := []string{"stale", "busy", "late", "state", "range"}
	for i, is := range []func(error) bool{IsErrStale, IsErrBusy, IsErrLate, IsErrState, IsErrRange} {
		if is(err) {
			return kinds[i] + ": " + err.Error()
		}
	}
	return err.Error()
}

// engine plays an engine behind agents that are killed, frozen and started
// again, and a network that delivers what they sent late and in any order.
type engine struct {
	now     time.Time
	booted  time.Time
	desk    *Desk
	flight  []Job
	sent    []Job
	highest Fence
	did     []Job
}

func (e *engine) restart(*rapid.T) {
	e.desk = &Desk{Began: e.now, Uptime: e.now.Sub(e.booted), Fenced: true}
}

func (e *engine) take(t *rapid.T) {
	kind := rapid.SampledFrom([]string{"load", "role"}).Draw(t, "kind")
	version := rapid.Uint64Range(1, 3).Draw(t, "version")
	j, err := e.desk.Take(e.now, Order{Kind: kind, Name: fmt.Sprint(len(e.sent)), Version: version})
	if err == nil && rapid.Bool().Draw(t, "send at once") {
		e.send(t, j)
	}
}

func (e *engine) send(t *rapid.T, j Job) {
	version := rapid.Uint64Range(0, 3).Draw(t, "in force")
	if e.desk.MaySend(e.now, j.Fence, version) != nil {
		return
	}
	assert.Assert(t, version <= j.Order.Version, "sent an order of an old publication")
	assert.Assert(t, e.now.Sub(j.Changed) <= DefaultPause, "sent after a pause")
	for _, earlier := range e.sent {
		older := earlier.Order.Version <= j.Order.Version
		assert.Assert(t, !older || earlier.Fence < j.Fence, "a later order has a lower number")
	}
	e.sent = append(e.sent, j)
	e.flight = append(e.flight, j)
}

func (e *engine) sendLate(t *rapid.T) {
	for _, j := range e.desk.Jobs() {
		e.send(t, j)
	}
}

func (e *engine) deliver(t *rapid.T) {
	if len(e.flight) == 0 {
		return
	}
	j := rapid.SampledFrom(e.flight).Draw(t, "order")
	event := Refuse
	if j.Fence > e.highest {
		e.highest = j.Fence
		e.did = append(e.did, j)
		event = Finish
	}
	if rapid.Bool().Draw(t, "lost") {
		event = Lose
	}
	_ = e.desk.End(e.now, j.Fence, event)
}

func (e *engine) check(t *rapid.T) {
	for i := 1; i < len(e.did); i++ {
		assert.Assert(t, e.did[i].Order.Version >= e.did[i-1].Order.Version, "an old publication's order was done last")
	}
}

// An agent is killed with an order on its way, and its successor sends another.
// If the old one arrived last, the engine would serve a model that operators had
// replaced, with nothing in the agent's view to show it.
func TestOrdersNeverGoBack(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		e := &engine{now: epoch, booted: epoch.Add(-time.Minute)}
		e.restart(t)
		t.Repeat(map[string]func(*rapid.T){
			"take": e.take, "send late": e.sendLate, "deliver": e.deliver, "restart": e.restart, "": e.check,
			"pass": func(t *rapid.T) {
				e.now = e.now.Add(time.Duration(rapid.IntRange(0, 2000).Draw(t, "ms")) * time.Millisecond)
			},
		})
	})
}

func TestFenceRange(t *testing.T) {
	_, err := fence(1<<half, 1)
	assert.Assert(t, IsErrRange(err))
	f, err := fence(7, 9)
	assert.NilError(t, err)
	assert.Equal(t, f.Version(), uint64(7))
	assert.Equal(t, f.String(), "30064771081")
}
