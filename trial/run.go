package trial

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/mean"
	"chestnutstep.example/chestnutstep/route"
)

// samples is what one exchange between agents carries.
const samples = 16

// trial is one run.
type trial struct {
	loop
	cfg     Config
	rand    *rand.Rand
	view    *chestnutstep.View
	table   *route.Table
	targets []*target
	byName  map[string]*target
	hints   map[string]string
	direct  *direct
	load    []*request

	tallies []tally
	ratios  []float64
	periods []*period
	offers  int
	overCap int
	over    int
	rule    int
	starts  int
	means   []float64
	// last and lastZero sum what ran in the last minute, and in domain 0.
	last, lastZero int
	crashes        int
	late           int
}

// Run plays the load and returns what callers got. The same configuration
// always gives the same result.
func Run(cfg Config) Result {
	t := &trial{
		cfg:     cfg,
		rand:    rand.New(rand.NewPCG(cfg.Seed, 1<<32)),
		byName:  make(map[string]*target),
		hints:   make(map[string]string),
		load:    record(cfg),
		tallies: make([]tally, len(cfg.Streams)),
	}
	t.build()
	t.schedule()
	t.runUntil(cfg.For + drain)
	return t.result()
}

// drain is how long the last requests may take to end.
const drain = time.Minute

func (t *trial) build() {
	p := &chestnutstep.Publication{Models: []chestnutstep.Model{t.cfg.Model}}
	for i := range max(1, t.cfg.Domains) {
		p.Domains = append(p.Domains, chestnutstep.Domain{Name: fmt.Sprint("d", i)})
	}
	for i := range t.cfg.Targets {
		host := fmt.Sprint("h", i)
		p.Hosts = append(p.Hosts, chestnutstep.Host{Name: host, Domain: fmt.Sprint("d", i%max(1, t.cfg.Domains))})
		p.Targets = append(p.Targets, chestnutstep.Target{Name: fmt.Sprint("t", i), Host: host, Model: t.cfg.Model.Name})
	}
	t.view = chestnutstep.NewView(p)
	for i := range p.Targets {
		t.addTarget(&p.Targets[i], i)
	}
	t.rebuild()
	if t.cfg.Entries > 0 {
		t.direct = newDirect(t)
	}
}

func (t *trial) addTarget(self *chestnutstep.Target, i int) {
	g := &target{
		trial:   t,
		self:    self,
		domain:  i % max(1, t.cfg.Domains),
		gate:    t.cfg.newGate(),
		mean:    &mean.Sampler{Model: t.cfg.Model.Name, Target: self.Name},
		moved:   make(map[string]*target),
		waiting: make(map[string]*request),
		slow:    1,
	}
	g.cache.most = t.cfg.Cache
	g.cache.clear()
	g.gate.SetLimits(t.time(), chestnutstep.Limits{Model: t.cfg.Model, Workspaces: t.cfg.Weights, IsOnlyTarget: t.cfg.Targets == 1})
	t.targets = append(t.targets, g)
	t.byName[self.Name] = g
}

// rebuild is what entries do when the host list changes.
func (t *trial) rebuild() {
	t.table = &route.Table{View: t.view, Skip: func(x *chestnutstep.Target) bool { return t.byName[x.Name].away }}
	t.table.Build()
	if t.direct != nil {
		t.direct.look()
	}
}

func (t *trial) schedule() {
	for _, r := range t.load {
		t.after(r.came, func() { t.arrive(r) })
	}
	t.every(time.Second, t.exchange)
	t.every(time.Second, t.look)
	if t.cfg.Restart > 0 {
		t.every(t.cfg.Restart, func() { t.targets[t.rand.IntN(len(t.targets))].restart() })
	}
	if t.cfg.Slow > 0 {
		t.after(t.cfg.For/3, func() {
			t.targets[0].advance()
			t.targets[0].slow = t.cfg.Slow
			t.targets[0].replan()
		})
	}
	if t.cfg.Leave > 0 {
		t.after(t.cfg.Leave, t.leave)
		t.after(t.cfg.Return, t.comeBack)
	}
}

// exchange is the agents' gossip of one second.
func (t *trial) exchange() {
	now := t.time()
	t.means = append(t.means, t.trueMean())
	for _, g := range t.targets {
		l := g.gate.Load(now)
		g.mean.SetLocal(now, chestnutstep.Sample{Load: float64(l.Running + l.Waiting)})
	}
	for _, g := range t.targets {
		peer := t.targets[t.rand.IntN(len(t.targets))]
		if g.down || peer.down || g.away || peer.away {
			continue
		}
		told, heard := g.mean.Samples(now, samples), peer.mean.Samples(now, samples)
		peer.mean.Merge(now, told)
		g.mean.Merge(now, heard)
	}
	for _, g := range t.targets {
		m := g.mean.Mean(now)
		m.Load *= max(0, 1+t.cfg.MeanError*t.rand.NormFloat64())
		g.gate.SetMean(now, m)
		g.next()
	}
}

// look notes how uneven the loads are.
func (t *trial) look() {
	if t.now > t.cfg.For {
		return
	}
	sum, n, most, zero := 0, 0, 0, 0
	for _, g := range t.targets {
		if g.down || g.away {
			continue
		}
		n++
		sum += len(g.running)
		most = max(most, len(g.running))
		if g.domain == 0 {
			zero += len(g.running)
		}
	}
	if t.now > t.cfg.For-time.Minute {
		t.last += sum
		t.lastZero += zero
	}
	if sum == 0 {
		return
	}
	ratio := float64(most) * float64(n) / float64(sum)
	s := t.period()
	s.largest = max(s.largest, ratio)
	if t.now >= t.cfg.Warm {
		t.ratios = append(t.ratios, ratio)
	}
}

// trueMean is the mean of running and waiting work over targets in service.
func (t *trial) trueMean() float64 {
	sum, n := 0, 0
	for _, g := range t.targets {
		if !g.down && !g.away {
			sum += len(g.running) + len(g.waiting)
			n++
		}
	}
	return float64(sum) / float64(max(1, n))
}

// highest is the highest true mean of the last Stale seconds.
func (t *trial) highest() float64 {
	return max(t.trueMean(), slices.Max(t.means[max(0, len(t.means)-Stale):]))
}

func (t *trial) leave() {
	for _, g := range t.targets {
		if g.domain == 0 {
			g.gate.SetLeaving(t.time(), true)
			g.next()
			t.after(time.Second, g.next)
			t.after(2*time.Second, g.next)
		}
	}
	t.after(t.cfg.Lag, func() { t.tellEntries(true) })
}

func (t *trial) comeBack() {
	for _, g := range t.targets {
		if g.domain == 0 {
			if !t.cfg.WarmReturn {
				g.cache.clear()
				g.started = t.now
				g.gate.MarkCold(t.time())
				if t.direct != nil {
					t.direct.births[g.self.Name]++
				}
			}
			g.gate.SetLeaving(t.time(), false)
		}
	}
	t.after(t.cfg.Lag, func() { t.tellEntries(false) })
}

func (t *trial) tellEntries(away bool) {
	for _, g := range t.targets {
		if g.domain == 0 {
			g.away = away
		}
	}
	t.rebuild()
}
