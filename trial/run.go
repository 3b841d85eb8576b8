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

// maxSamples is the maximum number of samples that an agent sends in one exchange.
const maxSamples = 16

// trial is the state of one simulation run.
type trial struct {
	eventLoop
	cfg      Config
	rand     *rand.Rand
	view     *chestnutstep.View
	table    *route.Table
	targets  []*target
	byName   map[string]*target
	hints    map[string]string
	direct   *directFleet
	requests []*request

	tallies      []tally
	maxToMeans   []float64
	periods      []*period
	offers       int
	overCap      int
	overTrueMean int
	overRule     int
	starts       int
	means        []float64
	// lastRunning and lastRunningDomain0 sum the running requests sampled in the last minute,
	// on all targets and on those of domain 0.
	lastRunning, lastRunningDomain0 int
	crashes                         int
	startsAfterLeave                int
}

// Run simulates cfg and returns its measurements. The same configuration always gives the same
// result.
func Run(cfg Config) Result {
	t := &trial{
		cfg:      cfg,
		rand:     rand.New(rand.NewPCG(cfg.Seed, 1<<32)),
		byName:   make(map[string]*target),
		hints:    make(map[string]string),
		requests: generateRequests(cfg),
		tallies:  make([]tally, len(cfg.Streams)),
	}
	t.build()
	t.schedule()
	t.runUntil(cfg.Duration + drain)
	return t.result()
}

// drain is the simulated time after the load for the last requests to end.
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
		trial:      t,
		self:       self,
		domain:     i % max(1, t.cfg.Domains),
		gate:       t.cfg.newGate(),
		mean:       &mean.Sampler{Model: t.cfg.Model.Name, Target: self.Name},
		movedTo:    make(map[string]*target),
		waiting:    make(map[string]*request),
		slowFactor: 1,
	}
	g.cache.capacity = t.cfg.CacheChats
	g.cache.clear()
	g.gate.SetLimits(t.time(), chestnutstep.Limits{Model: t.cfg.Model, Workspaces: t.cfg.Weights, IsOnlyTarget: t.cfg.Targets == 1})
	t.targets = append(t.targets, g)
	t.byName[self.Name] = g
}

// rebuild rebuilds the routing table of the entries after a change of the targets in service.
func (t *trial) rebuild() {
	t.table = &route.Table{View: t.view, Skip: func(x *chestnutstep.Target) bool { return t.byName[x.Name].isOut }}
	t.table.Build()
	if t.direct != nil {
		t.direct.updateView()
	}
}

func (t *trial) schedule() {
	for _, r := range t.requests {
		t.after(r.arrivedAt, func() { t.arrive(r) })
	}
	t.every(time.Second, t.exchange)
	t.every(time.Second, t.sampleLoads)
	if t.cfg.RestartInterval > 0 {
		t.every(t.cfg.RestartInterval, func() { t.targets[t.rand.IntN(len(t.targets))].restart() })
	}
	if t.cfg.SlowFactor > 0 {
		t.after(t.cfg.Duration/3, func() {
			t.targets[0].advance()
			t.targets[0].slowFactor = t.cfg.SlowFactor
			t.targets[0].replan()
		})
	}
	if t.cfg.LeaveAt > 0 {
		t.after(t.cfg.LeaveAt, t.leaveDomain)
		t.after(t.cfg.ReturnAt, t.returnDomain)
	}
}

// exchange simulates one round of gossip between agents, which exchange load samples with a
// random peer, and gives each gate its estimate of the mean.
func (t *trial) exchange() {
	now := t.time()
	t.means = append(t.means, t.trueMean())
	for _, g := range t.targets {
		l := g.gate.Load(now)
		g.mean.SetLocal(now, chestnutstep.Sample{Load: float64(l.Running + l.Waiting)})
	}
	for _, g := range t.targets {
		peer := t.targets[t.rand.IntN(len(t.targets))]
		if g.down || peer.down || g.isOut || peer.isOut {
			continue
		}
		sent, received := g.mean.Samples(now, maxSamples), peer.mean.Samples(now, maxSamples)
		peer.mean.Merge(now, sent)
		g.mean.Merge(now, received)
	}
	for _, g := range t.targets {
		m := g.mean.Mean(now)
		m.Load *= max(0, 1+t.cfg.MeanError*t.rand.NormFloat64())
		g.gate.SetMean(now, m)
		g.next()
	}
}

// sampleLoads records the ratio of the highest load to the mean load over targets in service.
func (t *trial) sampleLoads() {
	if t.now > t.cfg.Duration {
		return
	}
	sum, n, largest, inDomain0 := 0, 0, 0, 0
	for _, g := range t.targets {
		if g.down || g.isOut {
			continue
		}
		n++
		sum += len(g.running)
		largest = max(largest, len(g.running))
		if g.domain == 0 {
			inDomain0 += len(g.running)
		}
	}
	if t.now > t.cfg.Duration-time.Minute {
		t.lastRunning += sum
		t.lastRunningDomain0 += inDomain0
	}
	if sum == 0 {
		return
	}
	ratio := float64(largest) * float64(n) / float64(sum)
	s := t.period()
	s.maxToMean = max(s.maxToMean, ratio)
	if t.now >= t.cfg.Warmup {
		t.maxToMeans = append(t.maxToMeans, ratio)
	}
}

// trueMean returns the mean number of running and waiting requests over targets in service.
func (t *trial) trueMean() float64 {
	sum, n := 0, 0
	for _, g := range t.targets {
		if !g.down && !g.isOut {
			sum += len(g.running) + len(g.waiting)
			n++
		}
	}
	return float64(sum) / float64(max(1, n))
}

// highestMean returns the highest true mean of the last MeanHistory seconds.
func (t *trial) highestMean() float64 {
	return max(t.trueMean(), slices.Max(t.means[max(0, len(t.means)-MeanHistory):]))
}

func (t *trial) leaveDomain() {
	for _, g := range t.targets {
		if g.domain == 0 {
			g.gate.SetLeaving(t.time(), true)
			g.next()
			t.after(time.Second, g.next)
			t.after(2*time.Second, g.next)
		}
	}
	t.after(t.cfg.NoticeDelay, func() { t.setDomainOut(true) })
}

func (t *trial) returnDomain() {
	for _, g := range t.targets {
		if g.domain == 0 {
			if !t.cfg.WarmReturn {
				g.cache.clear()
				g.startedAt = t.now
				g.gate.MarkCold(t.time())
				if t.direct != nil {
					t.direct.startCounts[g.self.Name]++
				}
			}
			g.gate.SetLeaving(t.time(), false)
		}
	}
	t.after(t.cfg.NoticeDelay, func() { t.setDomainOut(false) })
}

func (t *trial) setDomainOut(out bool) {
	for _, g := range t.targets {
		if g.domain == 0 {
			g.isOut = out
		}
	}
	t.rebuild()
}
