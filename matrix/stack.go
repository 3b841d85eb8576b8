package matrix

import (
	"context"
	"crypto/sha256"
	"encoding/hex"
	"net"
	"net/http"
	"net/http/httptest"
	"slices"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/agent"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/dial"
	"chestnutstep.example/chestnutstep/entry"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/gate"
	"chestnutstep.example/chestnutstep/pipe"
	"chestnutstep.example/chestnutstep/retry"
	"chestnutstep.example/chestnutstep/route"
	"chestnutstep.example/chestnutstep/ticket"
	"chestnutstep.example/chestnutstep/wire"
)

// Names and sizes of the stack.
const (
	ProfileChat = "chat" // served by the engines
	ProfileBook = "book" // served by the services, at most once per ticket
	// Key is the API key of the only workspace.
	Key = "key"
	// Entries is the number of entries.
	Entries = 2
	// coldLoad is the number of concurrent requests that a cold engine can run, warmAfter
	// the number of requests after which it is warm.
	coldLoad  = 2
	warmAfter = 4
)

// Node is a target with its agent and the relays to both.
type Node struct {
	Name    string
	Model   string
	Domain  string
	Engine  *fake.Engine
	Service *fake.Service
	Agent   *agent.Agent
	// AgentRelays relay the connections of each entry to the agent, TargetRelay those of
	// the agent to its target. In a naive stack AgentRelays lead to TargetRelay directly.
	AgentRelays [Entries]*pipe.Relay
	TargetRelay *pipe.Relay

	hooks        *hooks
	targetServer *httptest.Server
	incarnation  int
	stop         func()
}

// Probes returns the number of requests of the agent to the control API of its target.
func (n *Node) Probes() int64 { return n.hooks.probes.Load() }

// SetFault sets the fault of the fake target.
func (n *Node) SetFault(f fake.Fault) {
	if n.Engine != nil {
		n.Engine.SetFault(f)
		return
	}
	n.Service.SetFault(f)
}

// Executions returns the execution log of the target.
func (n *Node) Executions() []fake.Execution {
	if n.Engine != nil {
		return n.Engine.Journal.Executions()
	}
	return n.Service.Journal.Executions()
}

func (n *Node) handler() http.Handler {
	if n.Engine != nil {
		return n.Engine
	}
	return n.Service
}

// Stack runs two fake engines and two fake services in two failure domains, each with an agent,
// and two entries. Start starts it; Close must be called afterwards.
type Stack struct {
	// Naive replaces entries and agents by a naive proxy.
	Naive bool
	// AcceptDelay delays the accepts of all agents, as a busy machine does.
	AcceptDelay time.Duration
	// JoinDelay additionally delays accepts that join an existing run.
	JoinDelay time.Duration
	// EndDelay delays the end of each answer of an engine after its last byte.
	EndDelay   time.Duration
	Breakpoint Breakpoint
	Nodes      []*Node
	// EntryRelays relay the connections of callers to each entry.
	EntryRelays [Entries]*pipe.Relay

	// Store holds the publication in force in all processes.
	Store config.Store

	// startedAt is the boot time that agents report for their host.
	startedAt time.Time
	mu        sync.Mutex
	pub       chestnutstep.Publication
	views     [Entries + 1]*chestnutstep.View
	entries   [Entries]*httptest.Server
	pools     [Entries]*killablePool
	closers   []func()
}

// agentView is the index in views of the view of the agents. The view of each entry contains the
// addresses of its own relays.
const agentView = Entries

// Start starts all targets, agents, entries and relays.
func (s *Stack) Start() error {
	s.startedAt = time.Now()
	s.pub = publication()
	for _, n := range []*Node{
		{Name: "chat-a", Model: ProfileChat, Domain: "a", Engine: newEngine()},
		{Name: "chat-b", Model: ProfileChat, Domain: "b", Engine: newEngine()},
		{Name: "book-a", Model: ProfileBook, Domain: "a", Service: &fake.Service{}},
		{Name: "book-b", Model: ProfileBook, Domain: "b", Service: &fake.Service{}},
	} {
		if err := s.addNode(n); err != nil {
			return err
		}
	}
	s.Store.OnChange = append(s.Store.OnChange, s.applyChange)
	if err := s.Publish(func(*chestnutstep.Publication) {}); err != nil {
		return err
	}
	for i := range s.EntryRelays {
		s.startEntry(i)
		s.EntryRelays[i] = &pipe.Relay{Backend: s.entries[i].Listener.Addr().String()}
		if err := s.startRelay(s.EntryRelays[i]); err != nil {
			return err
		}
	}
	return nil
}

// Close stops everything in reverse order of the start.
func (s *Stack) Close() {
	for i := len(s.closers) - 1; i >= 0; i-- {
		s.closers[i]()
	}
}

func (s *Stack) onClose(f func()) { s.closers = append(s.closers, f) }

func newEngine() *fake.Engine {
	return &fake.Engine{BaseStep: 2 * time.Millisecond, ColdCapacity: coldLoad, WarmupRequests: warmAfter, RestartTime: 50 * time.Millisecond}
}

func publication() chestnutstep.Publication {
	sum := sha256.Sum256([]byte(Key))
	limit := chestnutstep.Duration(10 * time.Second)
	return chestnutstep.Publication{
		Version: 1,
		Domains: []chestnutstep.Domain{{Name: "a", Region: "r"}, {Name: "b", Region: "r"}},
		Hosts:   []chestnutstep.Host{{Name: "a", Domain: "a"}, {Name: "b", Domain: "b"}},
		Models: []chestnutstep.Model{
			{Name: ProfileChat, Kind: chestnutstep.KindEngine, Floor: 8, Slots: 8, QueueLimit: 8, ColdCap: coldLoad, WarmupAnswers: warmAfter, DoneMarker: doneMarker},
			{Name: ProfileBook, Kind: chestnutstep.KindService, Floor: 8, Slots: 8, QueueLimit: 8, ColdCap: 8},
		},
		Profiles: []chestnutstep.Profile{
			{Name: ProfileChat, Model: ProfileChat, Class: "urgent", Timeout: limit, MaxAttempts: 2, ExpectedTokens: 10, MaxBodyBytes: 1 << 20},
			{Name: ProfileBook, Model: ProfileBook, Class: "normal", Timeout: limit, MaxAttempts: 2, ExpectedTokens: 1, MaxBodyBytes: 1 << 20, RequiresTicket: true},
		},
		Workspaces: []chestnutstep.Workspace{{Name: "w", Keys: []string{hex.EncodeToString(sum[:])}}},
		Budget:     chestnutstep.Budget{ReadRate: 100, LoadRate: 1, RetryRatio: 0.1, ExportRate: 1 << 20},
	}
}

func (s *Stack) startRelay(r *pipe.Relay) error {
	if err := r.Start(); err != nil {
		return err
	}
	s.onClose(r.Stop)
	return nil
}

func (s *Stack) addNode(n *Node) error {
	n.hooks = &hooks{breakpoint: &s.Breakpoint, target: n.Name, acceptDelay: s.AcceptDelay, joinDelay: s.JoinDelay, endDelay: s.EndDelay}
	n.targetServer = httptest.NewServer(&hookedTarget{Handler: n.handler(), hooks: n.hooks, isNaive: s.Naive, holdsAnswer: n.Service != nil})
	s.onClose(n.targetServer.Close)
	addr, err := s.startAgent(n)
	if err != nil {
		return err
	}
	for i := range n.AgentRelays {
		n.AgentRelays[i] = &pipe.Relay{Backend: addr}
		if err := s.startRelay(n.AgentRelays[i]); err != nil {
			return err
		}
	}
	s.pub.Targets = append(s.pub.Targets, chestnutstep.Target{Name: n.Name, Host: n.Domain, Model: n.Model, Agent: addr})
	s.Nodes = append(s.Nodes, n)
	return nil
}

// startAgent starts a new incarnation of an agent and returns its address. Each incarnation has
// its own relay to the target, so that a killed one can't send further requests.
func (s *Stack) startAgent(n *Node) (string, error) {
	n.TargetRelay = &pipe.Relay{Backend: n.targetServer.Listener.Addr().String()}
	if err := s.startRelay(n.TargetRelay); err != nil {
		return "", err
	}
	if s.Naive {
		return n.TargetRelay.Addr(), nil
	}
	l, err := net.Listen("tcp", "127.0.0.1:0")
	if err != nil {
		return "", err
	}
	n.incarnation++
	pooled, unpooled := agent.Clients()
	n.Agent = &agent.Agent{
		Name: n.Name, URL: "http://" + n.TargetRelay.Addr(), Incarnation: strconv.Itoa(n.incarnation), HostUptime: time.Since(s.startedAt),
		View: func() *chestnutstep.View { return s.View(agentView) },
		Gate: &gate.Gate{}, Detector: &crash.Detector{Target: n.Name}, Issuer: &ticket.Issuer{Target: n.Name},
		Answers: &answer.Store{}, PooledClient: pooled, UnpooledClient: unpooled,
	}
	srv := grpc.NewServer(grpc.StreamInterceptor(n.hooks.stream), grpc.UnaryInterceptor(n.hooks.unary))
	wire.RegisterAgentServer(srv, n.Agent.Service())
	ctx, cancel := context.WithCancel(context.Background())
	a := n.Agent
	go func() { _ = a.Run(ctx) }()
	go func() { _ = srv.Serve(l) }()
	n.stop = func() { cancel(); l.Close(); go srv.Stop() }
	s.onClose(n.stop)
	return l.Addr().String(), nil
}

// KillAgent stops an agent without a drain and starts a new one without state. The connections to
// the agent and from it to its target break, as after the kill of a process.
func (s *Stack) KillAgent(n *Node) error {
	n.TargetRelay.Stop()
	n.stop()
	addr, err := s.startAgent(n)
	if err != nil {
		return err
	}
	for _, l := range n.AgentRelays {
		l.SetBackend(addr)
		l.CloseConnections()
	}
	return nil
}

// startEntry starts an entry, or restarts it without state.
func (s *Stack) startEntry(i int) {
	s.entries[i] = httptest.NewServer(s.newEntry(i))
	s.onClose(s.entries[i].Close)
}

func (s *Stack) newEntry(i int) http.Handler {
	if s.Naive {
		return s.newNaive(i)
	}
	s.pools[i] = &killablePool{Pool: dial.Pool{Credentials: insecure.NewCredentials()}, accept: s.markAccepted}
	return &entry.Entry{
		Name: "e", Region: "r", Hosts: noHosts{},
		View: func() *chestnutstep.View { return s.View(i) },
		Ranker: func(v *chestnutstep.View) chestnutstep.Ranker {
			t := &route.Table{View: v}
			t.Build()
			return t
		},
		Links:       s.pools[i],
		RetryBudget: &retry.TokenBucket{}, FailoverBudget: retry.NewStepBudget(),
		EntryCount: func() int { return Entries }, Clock: time.Now, Notify: func(entry.Notice) {}, OnOffer: func(entry.Offer) {},
	}
}

func (s *Stack) newNaive(i int) http.Handler {
	n := &naiveProxy{breakpoint: &s.Breakpoint, targets: make(map[string][]address)}
	for _, d := range s.Nodes {
		n.targets[d.Model] = append(n.targets[d.Model], address{d.Name, "http://" + d.AgentRelays[i].Addr()})
	}
	return n
}

// FailEntryLinks makes new calls fail in entries that are about to restart. All faults of a step
// must take effect at the same time: an entry must not react to the first fault before it restarts.
func (s *Stack) FailEntryLinks() {
	for _, p := range s.pools {
		if p != nil {
			p.dead.Store(true)
		}
	}
}

// RestartEntries kills all entries and restarts them behind the same addresses. The connections of
// a killed entry break without a message to the other side.
func (s *Stack) RestartEntries() {
	for i, f := range s.EntryRelays {
		if p := s.pools[i]; p != nil {
			p.dead.Store(true)
		}
		for _, n := range s.Nodes {
			n.AgentRelays[i].CloseConnections()
		}
		f.CloseConnections()
		s.startEntry(i)
		f.SetBackend(s.entries[i].Listener.Addr().String())
	}
}

// killablePool is the connection pool of an entry. Once dead is set, all new calls fail.
type killablePool struct {
	dial.Pool
	dead atomic.Bool
	// accept is called with the address of the agent after each accept that the entry has read.
	accept func(addr string)
}

// Conn implements entry.Links.
func (m *killablePool) Conn(addr string) (grpc.ClientConnInterface, error) {
	if m.dead.Load() {
		return nil, net.ErrClosed
	}
	conn, err := m.Pool.Conn(addr)
	if err != nil {
		return nil, err
	}
	return &watchedConn{ClientConnInterface: conn, accept: func() { m.accept(addr) }}, nil
}

// watchedConn calls accept for each accept received over its streams.
type watchedConn struct {
	grpc.ClientConnInterface
	accept func()
}

// NewStream implements grpc.ClientConnInterface.
func (c *watchedConn) NewStream(ctx context.Context, desc *grpc.StreamDesc, method string, opts ...grpc.CallOption) (grpc.ClientStream, error) {
	st, err := c.ClientConnInterface.NewStream(ctx, desc, method, opts...)
	if err != nil {
		return nil, err
	}
	return &watchedStream{ClientStream: st, accept: c.accept}, nil
}

type watchedStream struct {
	grpc.ClientStream
	accept func()
}

// RecvMsg implements grpc.ClientStream.
func (s *watchedStream) RecvMsg(m any) error {
	err := s.ClientStream.RecvMsg(m)
	if down, ok := m.(*wire.Down); ok && err == nil && down.GetAccept() != nil {
		s.accept()
	}
	return err
}

// markAccepted records at the breakpoint that an entry has read the accept of the agent behind the
// relay with this address.
func (s *Stack) markAccepted(addr string) {
	for _, n := range s.Nodes {
		for _, l := range n.AgentRelays {
			if l.Addr() == addr {
				s.Breakpoint.MarkAccepted(n.Name)
			}
		}
	}
}

// Publish applies a changed copy of the publication with the next version.
func (s *Stack) Publish(change func(*chestnutstep.Publication)) error {
	p := s.NextPublication(1, change)
	root, parts := config.Pack(p)
	return s.Store.Apply(time.Now(), root, parts)
}

// NextPublication returns a changed copy of the publication in force. versions is added to its version.
func (s *Stack) NextPublication(versions int, change func(*chestnutstep.Publication)) *chestnutstep.Publication {
	s.mu.Lock()
	defer s.mu.Unlock()
	p := clone(s.pub)
	p.Version = uint64(int(p.Version) + versions)
	change(&p)
	return &p
}

// applyChange builds the views of all processes from a new publication.
func (s *Stack) applyChange(c config.Change) {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pub = clone(*c.To.Publication)
	s.views[agentView] = c.To
	for i := range Entries {
		p := clone(s.pub)
		for t := range p.Targets {
			p.Targets[t].Agent = s.node(p.Targets[t].Name).AgentRelays[i].Addr()
		}
		s.views[i] = chestnutstep.NewView(&p)
	}
}

// clone copies p and the slices that changes modify.
func clone(p chestnutstep.Publication) chestnutstep.Publication {
	p.Domains = slices.Clone(p.Domains)
	p.Targets = slices.Clone(p.Targets)
	p.Workspaces = slices.Clone(p.Workspaces)
	return p
}

// View returns the view of entry i, or that of the agents if i is Entries.
func (s *Stack) View(i int) *chestnutstep.View {
	s.mu.Lock()
	defer s.mu.Unlock()
	return s.views[i]
}

// node returns the node with the given target name, or nil.
func (s *Stack) node(name string) *Node {
	for _, n := range s.Nodes {
		if n.Name == name {
			return n
		}
	}
	return nil
}

// HaltedNode returns the node whose request is stopped.
func (s *Stack) HaltedNode() *Node { return s.node(s.Breakpoint.Target()) }

// noHosts implements entry.Hosts and ignores all records, so that earlier failures of a host have
// no effect on a cell.
type noHosts struct{}

// RecordRefusal implements entry.Hosts.
func (noHosts) RecordRefusal(time.Time, string) {}

// RecordFailure implements entry.Hosts.
func (noHosts) RecordFailure(time.Time, string) {}

// RecordSuccess implements entry.Hosts.
func (noHosts) RecordSuccess(time.Time, string) {}
