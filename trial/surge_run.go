package trial

import (
	"container/heap"
	"fmt"
	"math/rand/v2"
	"net/netip"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

// surgeRun is the state of one RunSurge.
type surgeRun struct {
	eventLoop
	cfg         SurgeConfig
	rand        *rand.Rand
	service     *chestnutstep.Service
	view        *roster.View
	entries     []*board.Board
	addrs       []netip.AddrPort
	targets     map[string]*surgeTarget
	counts      [][2]int // by kind: sent, in time
	smallCounts [2]int
	refused     int
	firstBytes  []time.Duration
}

// surgeRequest is one request of a caller.
type surgeRequest struct {
	id        string
	kind      int
	workspace string
	arrivedAt time.Duration
	hold      time.Duration
	retried   bool
	run       *board.Attempt
	seq       int
}

// surgeTarget runs up to Slots requests and queues the others by urgency.
type surgeTarget struct {
	running int
	waiting surgeQueue
}

// surgeQueue is a heap of requests, ordered by urgency and then by arrival.
type surgeQueue []*surgeRequest

func (q surgeQueue) Len() int { return len(q) }

func (q surgeQueue) Less(i, j int) bool {
	return q[i].kind < q[j].kind || q[i].kind == q[j].kind && q[i].seq < q[j].seq
}

func (q surgeQueue) Swap(i, j int) { q[i], q[j] = q[j], q[i] }

// Push implements heap.Interface.
func (q *surgeQueue) Push(x any) { *q = append(*q, x.(*surgeRequest)) }

// Pop implements heap.Interface.
func (q *surgeQueue) Pop() any {
	last := len(*q) - 1
	r := (*q)[last]
	*q = (*q)[:last]
	return r
}

// newSurge creates the entries and targets.
func newSurge(cfg SurgeConfig) *surgeRun {
	s := &surgeRun{
		cfg: cfg, rand: rand.New(rand.NewPCG(cfg.Seed, 1)), counts: make([][2]int, len(surgeKinds)),
		service: &chestnutstep.Service{Name: serviceName, IsEngine: true, LatencyObjective: surgeKinds[0].objective},
		view: &roster.View{
			Services: make(map[string][]*roster.Target), ByID: make(map[string]*roster.Target), Out: make(map[string]bool),
		},
		targets: make(map[string]*surgeTarget),
	}
	for i := range cfg.Targets {
		x := &roster.Target{Instance: chestnutstep.Instance{ID: fmt.Sprint("t", i), Service: serviceName, Domain: "d", Slots: cfg.Slots}}
		s.view.Services[serviceName] = append(s.view.Services[serviceName], x)
		s.view.ByID[x.ID] = x
		s.targets[x.ID] = &surgeTarget{}
	}
	for i := range cfg.Entries {
		a := netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 1)
		s.addrs = append(s.addrs, a)
		s.entries = append(s.entries, &board.Board{Self: a})
	}
	return s
}

// clock returns the simulated time for boards. It starts above zero because a zero Stamp means
// "never".
func (s *surgeRun) clock() clock.Stamp { return clock.Stamp(time.Hour + s.now) }

// exchangeReports sends one report from every entry to every other entry.
func (s *surgeRun) exchangeReports() {
	for i, from := range s.entries {
		r := &share.Report{From: s.addrs[i], Loads: from.Loads(), Reservations: from.Kept(s.clock())}
		for j, to := range s.entries {
			if j != i {
				to.MergeReport(s.clock(), r)
			}
		}
	}
}

// capacity returns the capacity of all targets in requests per second.
func (s *surgeRun) capacity() float64 {
	mean := 0.0
	for _, k := range surgeKinds {
		mean += k.share * k.hold.Seconds()
	}
	return float64(s.cfg.Targets*s.cfg.Slots) / mean
}

// arrive generates a request and schedules the next arrival.
func (s *surgeRun) arrive() {
	s.after(time.Duration(s.rand.ExpFloat64()/(s.capacity()*s.cfg.Offered)*float64(time.Second)), s.arrive)
	r := &surgeRequest{id: fmt.Sprint("r", s.seq), seq: s.seq, arrivedAt: s.now, workspace: s.workspace()}
	u := s.rand.Float64()
	for u >= surgeKinds[r.kind].share && r.kind < len(surgeKinds)-1 {
		u -= surgeKinds[r.kind].share
		r.kind++
	}
	r.hold = time.Duration(s.rand.ExpFloat64() * float64(surgeKinds[r.kind].hold))
	s.count(r, 0)
	s.send(r)
}

func (s *surgeRun) workspace() string {
	hotRatio := s.cfg.HotRatio
	if hotRatio == 0 {
		hotRatio = 1.0 / surgeWorkspaces
	}
	if s.rand.Float64() < hotRatio {
		return "w0"
	}
	return fmt.Sprint("w", 1+s.rand.IntN(surgeWorkspaces-1))
}

// send sends a request to a random entry. A refused caller retries once, after the delay from admit.RetryAfter.
func (s *surgeRun) send(r *surgeRequest) {
	e := s.entries[s.rand.IntN(len(s.entries))]
	objective := surgeKinds[r.kind].objective
	caller := board.Caller{Workspace: r.workspace, Urgency: r.kind, Objective: objective}
	var criteria board.Criteria
	if s.cfg.Admit {
		criteria.Caller = &caller
	}
	c := e.Choose(s.clock(), s.view, s.service, criteria, place.Request{Key: uint64(r.seq)})
	if !c.Admission.Admitted {
		s.refuse(r)
		return
	}
	g := s.targets[c.ID]
	r.run = e.Start(s.clock(), c.Target, s.service, nil, 0, caller)
	if len(g.waiting) >= maxQueueFactor*s.cfg.Slots {
		r.run.End(s.clock(), board.Refused)
		s.refuse(r)
		return
	}
	heap.Push(&g.waiting, r)
	s.begin(g)
	s.after(r.arrivedAt+surgeKinds[r.kind].timeout-s.now, func() { s.expire(g, r) })
}

// refuse schedules a retry at the first refusal of a request and counts the second one.
func (s *surgeRun) refuse(r *surgeRequest) {
	if r.retried {
		if r.arrivedAt >= s.cfg.Warmup {
			s.refused++
		}
		return
	}
	r.retried = true
	s.after(admit.RetryAfter(r.id, surgeKinds[r.kind].objective), func() { s.send(r) })
}

// begin starts queued requests while the target has free slots.
func (s *surgeRun) begin(g *surgeTarget) {
	for g.running < s.cfg.Slots && len(g.waiting) > 0 {
		r := heap.Pop(&g.waiting).(*surgeRequest)
		g.running++
		s.after(surgePrefill, func() { s.first(r) })
		s.after(surgePrefill+r.hold, func() { s.end(g, r) })
	}
}

// first records the first byte of an answer.
func (s *surgeRun) first(r *surgeRequest) {
	r.run.FirstByte(s.clock())
	elapsed := s.now - r.arrivedAt
	s.firstBytes = append(s.firstBytes, elapsed)
	if elapsed <= surgeKinds[r.kind].objective {
		s.count(r, 1)
	}
}

// count counts a request as sent (index 0) or as in time (index 1).
func (s *surgeRun) count(r *surgeRequest, index int) {
	if r.arrivedAt < s.cfg.Warmup {
		return
	}
	s.counts[r.kind][index]++
	if r.workspace != "w0" {
		s.smallCounts[index]++
	}
}

func (s *surgeRun) end(g *surgeTarget, r *surgeRequest) {
	g.running--
	r.run.End(s.clock(), board.Served)
	s.begin(g)
}

// expire cancels a request that is still queued at its time limit.
func (s *surgeRun) expire(g *surgeTarget, r *surgeRequest) {
	i := slices.Index(g.waiting, r)
	if i < 0 {
		return
	}
	heap.Remove(&g.waiting, i)
	r.run.End(s.clock(), board.Canceled)
}
