package gate

import (
	"fmt"
	"maps"
	"runtime"
	"slices"
	"strings"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/script"
)

func TestMain(m *testing.M) { script.Main(m, 100) }

var epoch = time.Unix(0, 0)

// scanArg returns an argument of a script command, or v if it is missing.
func scanArg[T any](t *testing.T, d *datadriven.TestData, key string, v T) T {
	d.MaybeScanArgs(t, key, &v)
	return v
}

func scanTime(t *testing.T, d *datadriven.TestData, key string, unset float64) time.Duration {
	return time.Duration(scanArg(t, d, key, unset) * float64(time.Second))
}

// TestScripts runs the scripts in testdata. Each command accepts at=SECONDS.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata", func(t *testing.T, path string) {
		var g *Gate
		var now time.Time
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			if d.Cmd == "gate" {
				g, now = &Gate{}, epoch
			}
			if d.HasArg("at") {
				now = epoch.Add(scanTime(t, d, "at", 0))
			}
			return runCommand(t, g, now, d)
		})
	})
}

func runCommand(t *testing.T, g *Gate, now time.Time, d *datadriven.TestData) string {
	switch d.Cmd {
	case "gate", "limit":
		g.SetLimits(now, scriptLimits(t, d))
	case "mean":
		g.SetMean(now, chestnutstep.Mean{
			Load:    scanArg(t, d, "load", 0.0),
			Targets: scanArg(t, d, "targets", 8),
			Age:     scanTime(t, d, "age", 0),
		})
	case "offer":
		return scriptOffers(t, g, now, d)
	case "serve":
		return scriptServe(t, g, now, d)
	case "end":
		for _, id := range strings.Fields(d.Input) {
			g.End(now, id, scriptOutcome(t, d))
		}
		return describe(g.AdvanceQueue(now))
	case "next":
		return describe(g.AdvanceQueue(now))
	case "chill":
		g.MarkCold(now)
	case "leave":
		g.SetLeaving(now, true)
		return describe(g.AdvanceQueue(now))
	case "return":
		g.SetLeaving(now, false)
	}
	return fmt.Sprintf("%+v\n", g.Load(now))
}

func scriptLimits(t *testing.T, d *datadriven.TestData) chestnutstep.Limits {
	l := chestnutstep.Limits{Weight: scanArg(t, d, "weight", 1.0), Out: d.HasArg("out")}
	l.Model.Multiple = scanArg(t, d, "multiple", 0.0)
	l.Model.Floor = scanArg(t, d, "floor", 1)
	l.Model.Slots = scanArg(t, d, "slots", 4)
	l.Model.QueueLimit = scanArg(t, d, "queue", 8)
	l.Model.ColdCap = scanArg(t, d, "cold", l.Model.Slots)
	l.Workspaces = map[string]float64{"big": scanArg(t, d, "big", 1.0)}
	return l
}

func scriptOutcome(t *testing.T, d *datadriven.TestData) chestnutstep.Outcome {
	outcomes := map[string]chestnutstep.Outcome{"failed": chestnutstep.OutcomeFailed, "withdraw": chestnutstep.OutcomeAbandoned}
	return outcomes[scanArg(t, d, "as", "served")]
}

// scriptOffers offers the IDs of the input, with the arguments of the command.
func scriptOffers(t *testing.T, g *Gate, now time.Time, d *datadriven.TestData) string {
	var out strings.Builder
	for _, id := range strings.Fields(d.Input) {
		w := chestnutstep.Work{
			ID:              id,
			Workspace:       scanArg(t, d, "ws", "small"),
			Class:           chestnutstep.Class(scanArg(t, d, "class", 1)),
			Cost:            scanArg(t, d, "cost", 100.0),
			Deadline:        now.Add(scanTime(t, d, "limit", 60)),
			WaitUntil:       now.Add(scanTime(t, d, "patience", 0)),
			HasCachedPrefix: d.HasArg("home"),
			Exclusive:       d.HasArg("alone"),
		}
		fmt.Fprintf(&out, "%s: %s\n", id, describeDecision(g.Offer(now, w)))
	}
	return out.String()
}

// scriptServe offers and ends the same request many times, and prints the decisions that differ
// from the previous one.
func scriptServe(t *testing.T, g *Gate, now time.Time, d *datadriven.TestData) string {
	out, last := "", ""
	for i := range scanArg(t, d, "times", 1) {
		answer := scriptOffers(t, g, now, d)
		if answer != last {
			out += fmt.Sprint(i, " ", answer)
		}
		last = answer
		g.End(now, strings.TrimSpace(d.Input), chestnutstep.OutcomeServed)
	}
	return out
}

func describeDecision(d chestnutstep.Decision) string {
	switch d.Verdict {
	case chestnutstep.VerdictAccept:
		return "accept"
	case chestnutstep.VerdictQueue:
		return "wait " + d.PredictedWait.Round(time.Millisecond).String()
	}
	return fmt.Sprintf("%s, retry %v", d.Reason, d.RetryAfter.Round(time.Millisecond))
}

func describe(n chestnutstep.QueueUpdate) string {
	out := fmt.Sprintf("start %v\n", n.Started)
	for _, x := range n.Dropped {
		out += fmt.Sprintf("drop %s: %s\n", x.ID, describeDecision(x.Decision))
	}
	return out
}

// model tracks the running and waiting requests of a gate from its answers.
type model struct {
	t       *rapid.T
	g       *Gate
	now     time.Time
	limits  chestnutstep.Limits
	running map[string]chestnutstep.Work
	waiting map[string]chestnutstep.Work
	nextID  int
	// limit is the cap in force before the step.
	limit int
}

func (m *model) start(id string, w chestnutstep.Work) {
	_, twice := m.running[id]
	assert.Assert(m.t, !twice, "%s started twice", id)
	assert.Assert(m.t, w.Deadline.After(m.now), "%s started after its deadline", id)
	m.running[id] = w
	assert.Assert(m.t, len(m.running) <= m.limit, "%d running, cap %d", len(m.running), m.limit)
	for _, o := range m.running {
		assert.Assert(m.t, !o.Exclusive || len(m.running) == 1, "other work runs concurrently with a suspect")
	}
}

func (m *model) runNext() {
	m.limit = m.g.Load(m.now).Cap
	if m.g.ramp.Leaving() {
		m.limit, _ = m.g.limit(m.now)
	}
	n := m.g.AdvanceQueue(m.now)
	for _, id := range n.Started {
		w, ok := m.waiting[id]
		assert.Assert(m.t, ok, "%s started but did not wait", id)
		delete(m.waiting, id)
		m.start(id, w)
	}
	for _, x := range n.Dropped {
		_, ok := m.waiting[x.ID]
		assert.Assert(m.t, ok, "%s dropped but did not wait", x.ID)
		delete(m.waiting, x.ID)
	}
}

func (m *model) offer(t *rapid.T) {
	w := chestnutstep.Work{
		ID:              fmt.Sprint("r", m.nextID),
		Workspace:       rapid.SampledFrom([]string{"big", "small", "third"}).Draw(t, "workspace"),
		Class:           chestnutstep.Class(rapid.IntRange(0, 4).Draw(t, "class")),
		Cost:            rapid.Float64Range(-1, 30000).Draw(t, "cost"),
		HasCachedPrefix: rapid.Bool().Draw(t, "home"),
		Exclusive:       rapid.IntRange(0, 9).Draw(t, "alone") == 0,
	}
	m.nextID++
	w.Deadline = m.now.Add(time.Duration(rapid.IntRange(-1, 60).Draw(t, "limit")) * time.Second)
	w.WaitUntil = m.now.Add(time.Duration(rapid.IntRange(0, 60).Draw(t, "patience")) * time.Second)
	m.limit = m.g.Load(m.now).Cap
	switch d := m.g.Offer(m.now, w); d.Verdict {
	case chestnutstep.VerdictAccept:
		m.start(w.ID, w)
	case chestnutstep.VerdictQueue:
		m.waiting[w.ID] = w
	case chestnutstep.VerdictRefuse:
		assert.Assert(t, d.Reason != "" && d.RetryAfter >= minRetryAfter, "%+v", d)
		full := d.Reason == chestnutstep.ReasonFull || d.Reason == chestnutstep.ReasonCold
		assert.Assert(t, !full || w.Class > 0 || len(m.running) >= m.limit || len(m.waiting) > 0, "rejected although slots are free")
	}
}

func (m *model) end(t *rapid.T) {
	all := slices.Concat(slices.Sorted(maps.Keys(m.running)), slices.Sorted(maps.Keys(m.waiting)))
	if len(all) == 0 {
		return
	}
	id := rapid.SampledFrom(all).Draw(t, "id")
	m.g.End(m.now, id, chestnutstep.Outcome(rapid.IntRange(0, 2).Draw(t, "outcome")))
	delete(m.running, id)
	delete(m.waiting, id)
}

func (m *model) measure(t *rapid.T) {
	m.g.SetMean(m.now, chestnutstep.Mean{
		Load:    rapid.Float64Range(0, 20).Draw(t, "load"),
		Targets: rapid.IntRange(0, 9).Draw(t, "targets"),
	})
}

func (m *model) changeLimits(t *rapid.T) {
	m.limits.Model.Multiple = rapid.SampledFrom([]float64{0, 1.1, 1.25, 2}).Draw(t, "multiple")
	m.limits.Model.Slots = rapid.IntRange(1, 20).Draw(t, "slots")
	m.limits.Model.QueueLimit = rapid.IntRange(0, 6).Draw(t, "queue")
	m.limits.Model.ColdCap = rapid.IntRange(0, 3).Draw(t, "cold")
	m.limits.Out = rapid.IntRange(0, 9).Draw(t, "out") == 0
	m.g.SetLimits(m.now, m.limits)
}

func (m *model) check(t *rapid.T) {
	l := m.g.Load(m.now)
	assert.Equal(t, l.Running, len(m.running))
	assert.Equal(t, l.Waiting, len(m.waiting)+len(m.g.dropped))
}

// TestRunningNeverExceedsCap guards against accepting offers of entries with outdated state at
// a target that is cold, leaving or full, which would crash a cold target repeatedly. After any
// sequence of calls, running requests stay within the current cap, and every waiting request is
// either started or rejected.
func TestRunningNeverExceedsCap(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		m := &model{t: t, g: &Gate{}, now: epoch, running: map[string]chestnutstep.Work{}, waiting: map[string]chestnutstep.Work{}}
		m.limits.Workspaces = map[string]float64{"big": 3, "third": 0.5}
		step := func(act func(t *rapid.T)) func(t *rapid.T) {
			return func(t *rapid.T) {
				act(t)
				m.runNext()
				m.check(t)
			}
		}
		t.Repeat(map[string]func(*rapid.T){
			"offer":   step(m.offer),
			"offer2":  step(m.offer),
			"end":     step(m.end),
			"measure": step(m.measure),
			"limit":   step(m.changeLimits),
			"chill":   step(func(*rapid.T) { m.g.MarkCold(m.now) }),
			"leave":   step(func(t *rapid.T) { m.g.SetLeaving(m.now, rapid.Bool().Draw(t, "leaving")) }),
			"tick": step(func(t *rapid.T) {
				m.now = m.now.Add(time.Duration(rapid.IntRange(1, 9000).Draw(t, "ms")) * time.Millisecond)
			}),
		})
	})
}

// TestRetryAfterIsSpread guards against rejecting hundreds of requests in one second with the
// same retry delay: their callers would return together and be rejected again while the target
// serves at full capacity.
func TestRetryAfterIsSpread(t *testing.T) {
	g := &Gate{}
	g.SetLimits(epoch, chestnutstep.Limits{Model: chestnutstep.Model{Slots: 1, ColdCap: 1}})
	first := chestnutstep.Work{ID: "first", Cost: 1, Deadline: epoch.Add(time.Minute)}
	g.Offer(epoch, first)
	g.End(epoch.Add(2*time.Second), "first", chestnutstep.OutcomeServed)
	g.Offer(epoch, first)
	const callers, buckets = 1000, 10
	var retries [2 * buckets]int
	for i := range callers {
		d := g.Offer(epoch, chestnutstep.Work{ID: fmt.Sprint("c", i), Deadline: epoch.Add(time.Minute)})
		assert.Equal(t, d.Reason, chestnutstep.ReasonFull)
		assert.Assert(t, d.RetryAfter >= 2*time.Second && d.RetryAfter < 4*time.Second, "%v", d.RetryAfter)
		retries[d.RetryAfter*buckets/(2*time.Second)]++
	}
	for _, n := range retries[buckets:] {
		assert.Assert(t, n < callers/buckets*3/2, "%d of %d retry together", n, callers)
	}
}

// TestSuspectsUseAtMostATenth guards against a caller that repeatedly sends content under
// suspicion of crashing targets. Each copy waits for the target to empty and runs exclusively;
// if the next could follow at once, the target would be closed for all others.
func TestSuspectsUseAtMostATenth(t *testing.T) {
	g := &Gate{}
	g.SetLimits(epoch, chestnutstep.Limits{Model: chestnutstep.Model{Slots: 4, ColdCap: 4}})
	const seconds = 3000
	ends := map[int][]string{}
	closed := 0
	for s := range seconds {
		now := epoch.Add(time.Duration(s) * time.Second)
		for _, id := range ends[s] {
			g.End(now, id, chestnutstep.OutcomeServed)
		}
		for _, id := range g.AdvanceQueue(now).Started {
			ends[s+5] = append(ends[s+5], id)
		}
		suspect := chestnutstep.Work{ID: fmt.Sprint("s", s), Exclusive: true, Deadline: now.Add(time.Minute)}
		if g.Offer(now, suspect).Verdict == chestnutstep.VerdictAccept {
			ends[s+5] = append(ends[s+5], suspect.ID)
		}
		work := chestnutstep.Work{ID: fmt.Sprint("w", s), Deadline: now.Add(time.Minute)}
		if g.Offer(now, work).Verdict == chestnutstep.VerdictAccept {
			ends[s+3] = append(ends[s+3], work.ID)
		} else {
			closed++
		}
	}
	assert.Assert(t, closed > 0 && closed < seconds/9, "closed for %d of %d seconds", closed, seconds)
}

// BenchmarkMemory reports the memory of a gate with work in every slot and place.
func BenchmarkMemory(b *testing.B) {
	for range b.N {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		gates := make([]*Gate, 100)
		for i := range gates {
			gates[i] = busyGate(64, 128)
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		b.ReportMetric(float64(after.HeapAlloc-before.HeapAlloc)/float64(len(gates)), "B/gate")
		runtime.KeepAlive(gates)
	}
}

// busyGate returns a gate with 64 slots and the given numbers of running and waiting requests,
// from twenty workspaces.
func busyGate(running, waiting int) *Gate {
	g := &Gate{}
	g.SetLimits(epoch, chestnutstep.Limits{Model: chestnutstep.Model{Slots: 64, ColdCap: 64, QueueLimit: 2 * waiting}})
	for i := range running + waiting {
		g.Offer(epoch, chestnutstep.Work{
			ID: fmt.Sprint("w", i), Workspace: fmt.Sprint("ws", i%20), Cost: 100,
			Deadline: epoch.Add(time.Hour), WaitUntil: epoch.Add(time.Hour),
		})
	}
	return g
}

func BenchmarkOffer(b *testing.B) {
	for _, c := range []struct {
		name             string
		running, waiting int
	}{{"accept", 63, 0}, {"wait=256", 64, 256}} {
		b.Run(c.name, func(b *testing.B) {
			g := busyGate(c.running, c.waiting)
			w := chestnutstep.Work{ID: "one", Cost: 100, Deadline: epoch.Add(time.Hour), WaitUntil: epoch.Add(time.Hour)}
			b.ReportAllocs()
			for range b.N {
				g.Offer(epoch, w)
				g.End(epoch, w.ID, chestnutstep.OutcomeServed)
				g.AdvanceQueue(epoch)
			}
		})
	}
}
