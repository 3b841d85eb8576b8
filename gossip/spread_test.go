package gossip

import (
	"container/heap"
	"context"
	"fmt"
	"math/rand/v2"
	"net"
	"slices"
	"sync/atomic"
	"testing"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"google.golang.org/protobuf/proto"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/wire"
)

// Sizes of the simulated fleet.
const (
	agents    = 2700
	entries   = 350
	processes = agents + entries
	// changesPerSecond corresponds to 11,000 changes per day.
	changesPerSecond = 11000.0 / 86400
	// hopDelay is the time from a publication coming into force at one process
	// to it coming into force at a peer that was notified: a message, two
	// fetches and applying it.
	hopDelay = 30 * time.Millisecond
)

// event is a simulated event at one process.
type event struct {
	at   time.Time
	node int
	kind string
	from int
}

type eventHeap []event

func (a eventHeap) Len() int           { return len(a) }
func (a eventHeap) Less(i, j int) bool { return a[i].at.Before(a[j].at) }
func (a eventHeap) Swap(i, j int)      { a[i], a[j] = a[j], a[i] }
func (a *eventHeap) Push(x any)        { *a = append(*a, x.(event)) }
func (a *eventHeap) Pop() any {
	old := *a
	e := old[len(old)-1]
	*a = old[:len(old)-1]
	return e
}

// simulation simulates the spread of one change on a virtual clock, with the
// real choice of neighbours and watchers.
type simulation struct {
	r          *rand.Rand
	events     eventHeap
	neighbours [processes]neighbourSet
	recent     [processes]recentPeers
	learnedAt  [processes]time.Time
	// push enables pushes; lossRate is the fraction of calls that fail.
	push     bool
	lossRate float64

	exchanges, pushes int
}

// run returns the time from when the watchers among the agents have the change
// until half and all of the processes have it.
func (m *simulation) run(t *testing.T) (half, all time.Duration) {
	names := make([]string, agents)
	for i := range names {
		names[i] = fmt.Sprintf("%d", i)
	}
	start := time.Unix(0, 0)
	warm := start.Add(20 * time.Second) // recentPeers is filled by then
	for i := range processes {
		m.neighbours[i].setCandidates(nil, names)
		heap.Push(&m.events, event{at: start.Add(time.Duration(m.r.Int64N(int64(time.Second)))), node: i, kind: "tick"})
	}
	for _, w := range chooseWatchers(names, nil, watcherCount(50)) {
		var i int
		_, err := fmt.Sscan(w, &i)
		assert.NilError(t, err)
		heap.Push(&m.events, event{at: warm, node: i, kind: "learn"})
	}
	var times []time.Duration
	for len(times) < processes {
		e := heap.Pop(&m.events).(event)
		if e.at.After(warm.Add(time.Minute)) {
			t.Fatalf("only %d of %d processes received the change within a minute", len(times), processes)
		}
		switch e.kind {
		case "tick":
			m.tick(e, warm)
		case "learn":
			if m.learnedAt[e.node].IsZero() {
				m.learnedAt[e.node] = e.at
				times = append(times, e.at.Sub(warm))
				m.pushToNeighbours(e)
			}
		}
	}
	return times[processes/2], times[processes-1]
}

// tick simulates a regular exchange, in which the change spreads in either
// direction.
func (m *simulation) tick(e event, warm time.Time) {
	heap.Push(&m.events, event{at: e.at.Add(time.Duration((0.8 + 0.4*m.r.Float64()) * float64(time.Second))), node: e.node, kind: "tick"})
	var peer int
	_, _ = fmt.Sscan(m.neighbours[e.node].next(e.at, m.r), &peer)
	if e.at.After(warm) {
		m.exchanges++
	}
	m.recent[peer].add(e.at, fmt.Sprintf("%d", e.node))
	if m.r.Float64() < m.lossRate {
		return
	}
	switch unaware, peerUnaware := m.learnedAt[e.node].IsZero(), m.learnedAt[peer].IsZero(); {
	case unaware && !peerUnaware:
		heap.Push(&m.events, event{at: e.at.Add(hopDelay), node: e.node, kind: "learn"})
	case !unaware && peerUnaware:
		heap.Push(&m.events, event{at: e.at.Add(hopDelay), node: peer, kind: "learn"})
	}
}

func (m *simulation) pushToNeighbours(e event) {
	if !m.push {
		return
	}
	m.neighbours[e.node].fill(m.r)
	list := append(slices.Clone(m.neighbours[e.node].current), m.recent[e.node].list(e.at)...)
	slices.Sort(list)
	for _, a := range slices.Compact(list) {
		m.pushes++
		if m.r.Float64() < m.lossRate {
			continue
		}
		var peer int
		_, _ = fmt.Sscan(a, &peer)
		heap.Push(&m.events, event{at: e.at.Add(hopDelay), node: peer, kind: "learn"})
	}
}

// TestSpreadTime guards against a change that takes too long to reach 3,050
// processes: at most 15 seconds, and 2 seconds with pushes, even when 20% of
// the calls fail. With regular exchanges only, it takes several rounds, during
// which a domain that was taken out still receives requests.
func TestSpreadTime(t *testing.T) {
	for _, c := range []struct {
		push     bool
		lossRate float64
		limit    time.Duration
	}{
		{false, 0, 15 * time.Second},
		{false, 0.2, 15 * time.Second},
		{true, 0, 2 * time.Second},
		{true, 0.2, 2 * time.Second},
	} {
		m := simulation{r: rand.New(rand.NewPCG(7, 7)), push: c.push, lossRate: c.lossRate}
		half, all := m.run(t)
		t.Logf("push %v, %2.0f%% of calls lost: half after %v, all after %v; %.1f pushes a process",
			c.push, 100*c.lossRate, half.Round(time.Millisecond), all.Round(time.Millisecond), float64(m.pushes)/processes)
		assert.Assert(t, all < c.limit)
	}
}

// countingConn counts the bytes of a connection in both directions.
type countingConn struct {
	net.Conn
	in, out *atomic.Int64
}

func (c countingConn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	c.in.Add(int64(n))
	return n, err
}

func (c countingConn) Write(b []byte) (int, error) {
	n, err := c.Conn.Write(b)
	c.out.Add(int64(n))
	return n, err
}

type stubSampler struct {
	chestnutstep.Sampler
	samples []chestnutstep.Sample
}

func (s *stubSampler) Merge(time.Time, []chestnutstep.Sample)       {}
func (s *stubSampler) Samples(time.Time, int) []chestnutstep.Sample { return s.samples }
func (s *stubSampler) SetLocal(time.Time, chestnutstep.Sample)      {}
func (s *stubSampler) Mean(time.Time) (m chestnutstep.Mean)         { return m }

// TestControlBytes guards against gossip traffic beyond the limit per process.
// It measures real messages on real connections with the default interval: the
// traffic has to stay far below 26 KB per second, both idle and with 11,000
// changes per day.
func TestControlBytes(t *testing.T) {
	root, parts := config.Pack(bigFleet(1))
	node := func(name string) *Node {
		s := new(stubSampler)
		for i := range maxSamples {
			s.samples = append(s.samples, chestnutstep.Sample{Target: fmt.Sprintf("target-%04d", i), Model: "model-a", Load: 8.25, SeenAt: time.Now()})
		}
		n := &Node{Name: name, Store: new(config.Store), Sampler: s, Address: "10.0.0.1:7000"}
		assert.NilError(t, n.Store.Apply(time.Now(), root, parts))
		return n
	}
	var in, out atomic.Int64
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	srv := grpc.NewServer()
	wire.RegisterPeerServer(srv, node("b"))
	go func() { _ = srv.Serve(l) }()
	defer srv.Stop()
	conn, err := grpc.NewClient("passthrough:///"+l.Addr().String(), grpc.WithTransportCredentials(insecure.NewCredentials()),
		grpc.WithContextDialer(func(ctx context.Context, a string) (net.Conn, error) {
			c, err := new(net.Dialer).DialContext(ctx, "tcp", a)
			return countingConn{c, &in, &out}, err
		}))
	assert.NilError(t, err)
	defer conn.Close()
	a := node("a")
	a.init()
	a.Dial = func(string) (grpc.ClientConnInterface, error) { return conn, nil }
	measure := func(name string, n int, call func()) float64 {
		call() // the first call opens the connection
		before := in.Load() + out.Load()
		for range n {
			call()
		}
		each := float64(in.Load()+out.Load()-before) / float64(n)
		t.Logf("%s: %.0f bytes, both ways", name, each)
		return each
	}
	regular := measure("regular exchange", 100, func() { a.exchange(t.Context(), "b", a.message(time.Now())) })
	brief := measure("push", 100, func() { a.exchange(t.Context(), "b", a.shortMessage(time.Now())) })
	r, err := config.ParseRoot(root)
	assert.NilError(t, err)
	fetch := measure("fetch of the root", 20, func() { _, err = a.fetch(t.Context(), "b", &wire.FetchRequest{Version: 1}) })
	fetch += measure("fetch of one part", 20, func() {
		_, err = a.fetch(t.Context(), "b", &wire.FetchRequest{Hashes: r.Parts[len(r.Parts)-1:]})
	})
	assert.NilError(t, err)
	// Each process begins one exchange per second and answers one. A change
	// costs about 17 pushes begun and answered (see TestSpreadTime), and the
	// fetch, which the process serves to one other process on average.
	idle := 2 * regular
	withChanges := idle + changesPerSecond*(2*17*brief+2*fetch)
	t.Logf("%d parts of %d bytes; message of %d bytes; at rest %.0f bytes a second, with 11,000 changes a day %.0f",
		len(parts), total(parts), proto.Size(a.message(time.Now())), idle, withChanges)
	assert.Assert(t, withChanges < 26000/2)
}

func total(parts map[string][]byte) int {
	n := 0
	for _, raw := range parts {
		n += len(raw)
	}
	return n
}

// bigFleet returns a publication of the simulated size.
func bigFleet(version uint64) *chestnutstep.Publication {
	p := &chestnutstep.Publication{Version: version, Budget: chestnutstep.Budget{ReadRate: 50}}
	for _, d := range []string{"a", "b", "c"} {
		p.Domains = append(p.Domains, chestnutstep.Domain{Name: d, Region: "r"})
	}
	p.Models = []chestnutstep.Model{{Name: "model-a", Kind: chestnutstep.KindEngine, Multiple: 1.25, Floor: 2, Slots: 16, QueueLimit: 8, ColdCap: 2}}
	for i := range processes {
		h := chestnutstep.Host{Name: fmt.Sprintf("host-%04d", i), Domain: p.Domains[i%3].Name}
		p.Hosts = append(p.Hosts, h)
		if i < agents {
			p.Targets = append(p.Targets, chestnutstep.Target{
				Name: fmt.Sprintf("target-%04d", i), Host: h.Name, Model: "model-a", Agent: fmt.Sprintf("10.0.%d.%d:7000", i/250, i%250),
			})
		}
	}
	return p
}

// TestPlanStaysWithinBudget guards against an overloaded service: the reads of
// all processes together must stay within the published budget, whether or not
// processes consider themselves isolated.
func TestPlanStaysWithinBudget(t *testing.T) {
	for _, reads := range []float64{0.5, 1, 5, 50, 400, 2000} {
		for _, nodes := range []int{1, 7, 300, processes} {
			for _, isolated := range []bool{false, true} {
				w := min(watcherCount(reads), nodes)
				common := makePlan(planInput{ReadRate: reads, Nodes: nodes, IsIsolated: isolated})
				watching := makePlan(planInput{ReadRate: reads, Nodes: nodes, IsWatcher: true, IsIsolated: isolated, HostListBytes: 120 << 10})
				sum := float64(w)*watching.Rate + float64(nodes-w)*common.Rate
				assert.Assert(t, sum <= reads*1.0001, "reads %v, nodes %d: %v", reads, nodes, sum)
				if nodes == processes && reads == 50 {
					t.Logf("50 reads, 3,050 processes, isolated %v: watcher %.2f a second, hosts each %v; others a direct read each %v; sum %.1f",
						isolated, watching.Rate, watching.HostsInterval.Round(time.Millisecond), common.ReadInterval.Round(time.Second), sum)
				}
			}
		}
	}
	unknown := makePlan(planInput{})
	assert.Assert(t, unknown.Rate*processes < 2000)
}
