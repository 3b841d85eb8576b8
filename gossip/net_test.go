package gossip

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"os"
	"slices"
	"strings"
	"sync"
	"testing"
	"time"

	"github.com/cockroachdb/datadriven"
	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/credentials/insecure"
	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/member"
	"chestnutstep.example/chestnutstep/wire"
)

// waitTimeout is how long a script waits for an expected state. It is not a
// limit on speed: the state is usually reached within a fraction of a second.
const waitTimeout = 20 * time.Second

// testFleet is a small fleet on real sockets with a fake platform that can
// misbehave.
type testFleet struct {
	t            *testing.T
	platform     fake.Platform
	srv          *httptest.Server
	publications map[uint64]packed
	readRate     float64

	mu         sync.Mutex
	cut        map[string]bool // by node name
	split      map[string]bool // nodes that can reach only each other
	lag        time.Duration   // added to calls between processes
	nodes      []*process
	refusalLog []string
}

type packed struct {
	root  []byte
	parts map[string][]byte
}

// process is one node and the stamps of the publications that it put in force.
type process struct {
	*Node
	fleet *testFleet
	// name and address outlive the node, which is created again at each start.
	name, address string
	listen        net.Listener
	stop          func()
	stamps        []config.Stamp
}

func newTestFleet(t *testing.T) *testFleet {
	w := &testFleet{t: t, publications: make(map[uint64]packed), cut: make(map[string]bool)}
	w.srv = httptest.NewServer(&w.platform)
	t.Cleanup(w.close)
	return w
}

func (w *testFleet) close() {
	for _, p := range w.nodes {
		p.stop()
	}
	w.srv.Close()
}

// add adds a process with a bound address and doesn't start it.
func (w *testFleet) add(name string) {
	l, err := net.Listen("tcp", loopback())
	assert.NilError(w.t, err)
	p := &process{fleet: w, name: name, address: l.Addr().String(), listen: l, stop: func() {}}
	w.nodes = append(w.nodes, p)
}

// loopback returns an address that only this test run uses. On 127.0.0.1, a
// connection of another program could take the port of a process that is
// stopped for a moment.
func loopback() string {
	pid := os.Getpid()
	return fmt.Sprintf("127.%d.%d.1:0", 64+pid>>8&63, pid&255)
}

func (w *testFleet) find(name string) *process {
	for _, p := range w.nodes {
		if p.name == name {
			return p
		}
	}
	w.t.Fatalf("no process %s", name)
	return nil
}

// launch starts a process that has no state but its settings.
func (p *process) launch(peers []string) {
	var conns []*grpc.ClientConn
	p.Node = &Node{
		Name: p.name, Address: p.address, Peers: peers, Platform: p.fleet.srv.URL,
		Store: new(config.Store), Members: new(member.Tracker), Interval: 20 * time.Millisecond, Seed: 1 + uint64(len(p.name)),
		HTTP: &http.Client{Transport: p},
	}
	p.stamps = nil
	p.Store.OnChange = []func(config.Change){func(c config.Change) { p.recordChange(c) }}
	p.Store.OnRefuse = []func(config.Refusal){func(r config.Refusal) { p.recordRefusal(r) }}
	open := make(map[string]grpc.ClientConnInterface)
	var mu sync.Mutex
	p.Dial = func(address string) (grpc.ClientConnInterface, error) {
		mu.Lock()
		defer mu.Unlock()
		if c := open[address]; c != nil {
			return c, nil
		}
		c, err := grpc.NewClient("passthrough:///"+address, grpc.WithTransportCredentials(insecure.NewCredentials()))
		if err != nil {
			return nil, err
		}
		conns = append(conns, c)
		open[address] = &link{ClientConnInterface: c, from: p, to: address}
		return open[address], nil
	}
	srv := grpc.NewServer()
	wire.RegisterPeerServer(srv, p.Node)
	ctx, cancel := context.WithCancel(context.Background())
	done := make(chan struct{})
	go func() { _ = srv.Serve(p.listen) }()
	go func() { defer close(done); _ = p.Run(ctx) }()
	p.stop = func() {
		p.stop = func() {}
		cancel()
		srv.Stop()
		<-done
		for _, c := range conns {
			_ = c.Close()
		}
	}
}

// recordChange fails the test if a process goes back to an older publication.
func (p *process) recordChange(c config.Change) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	if n := len(p.stamps); n > 0 && p.stamps[n-1].Compare(c.Stamp) >= 0 {
		p.fleet.t.Errorf("%s went back from %s to %s", p.name, p.stamps[n-1], c.Stamp)
	}
	p.stamps = append(p.stamps, c.Stamp)
}

func (p *process) recordRefusal(r config.Refusal) {
	p.fleet.mu.Lock()
	defer p.fleet.mu.Unlock()
	kind := "invalid"
	switch {
	case config.IsErrStale(r.Err):
		kind = "old"
	case config.IsErrConflict(r.Err):
		kind = "clash"
	}
	p.fleet.refusalLog = append(p.fleet.refusalLog, fmt.Sprintf("%s refused %d as %s", p.name, r.Stamp.Version, kind))
}

// link is a connection that fails while its path is cut.
type link struct {
	grpc.ClientConnInterface
	from *process
	to   string
}

func (l *link) Invoke(ctx context.Context, method string, args, reply any, opts ...grpc.CallOption) error {
	if l.from.fleet.isCut(l.from.name, l.to) {
		return errors.New("cut")
	}
	clock.Sleep(ctx, l.from.fleet.delay())
	return l.ClientConnInterface.Invoke(ctx, method, args, reply, opts...)
}

// RoundTrip reads the service unless the process is cut off from it. An answer
// that arrives after the cut, such as that of a waiting watch, is lost as well.
func (p *process) RoundTrip(r *http.Request) (*http.Response, error) {
	if p.fleet.isCut(p.name, "platform") {
		return nil, errors.New("cut")
	}
	res, err := http.DefaultTransport.RoundTrip(r)
	if err == nil && p.fleet.isCut(p.name, "platform") {
		res.Body.Close()
		return nil, errors.New("cut")
	}
	return res, err
}

func (w *testFleet) delay() time.Duration {
	w.mu.Lock()
	defer w.mu.Unlock()
	return w.lag
}

func (w *testFleet) isCut(from, to string) bool {
	w.mu.Lock()
	defer w.mu.Unlock()
	for _, p := range w.nodes {
		if p.address == to {
			to = p.name
		}
	}
	return w.cut[from] || w.cut[to] || w.split[from] != w.split[to]
}

// publication returns a publication with the agents of this fleet. out sets
// whether the domain is out, which distinguishes contents of the same version.
func (w *testFleet) publication(version uint64, out bool) *chestnutstep.Publication {
	p := &chestnutstep.Publication{
		Version: version,
		Domains: []chestnutstep.Domain{{Name: "a", Region: "r", Out: out}},
		Models:  []chestnutstep.Model{{Name: "m", Kind: chestnutstep.KindEngine, Slots: 4, ColdCap: 1}},
		Budget:  chestnutstep.Budget{ReadRate: w.readRate},
	}
	for _, n := range w.nodes {
		p.Hosts = append(p.Hosts, chestnutstep.Host{Name: "h" + n.name, Domain: "a"})
		if !strings.HasPrefix(n.name, "entry") {
			p.Targets = append(p.Targets, chestnutstep.Target{Name: n.name, Host: "h" + n.name, Model: "m", Agent: n.address})
		}
	}
	return p
}

// TestNet runs the scripts in testdata/net on a small fleet and a fake platform
// over real sockets. They cover failures during publishing.
func TestNet(t *testing.T) {
	datadriven.Walk(t, "testdata/net", func(t *testing.T, path string) {
		w := newTestFleet(t)
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			w.t = t
			return w.run(d)
		})
	})
}

func (w *testFleet) run(d *datadriven.TestData) string {
	names := keys(d)
	switch d.Cmd {
	case "fleet":
		d.ScanArgs(w.t, "reads", &w.readRate)
		for _, name := range strings.Fields(d.Input) {
			w.add(name)
		}
	case "start":
		peers := []string{}
		if d.HasArg("peers") {
			var peer string
			d.ScanArgs(w.t, "peers", &peer)
			peers = append(peers, w.find(peer).address)
		}
		for _, name := range names {
			w.find(name).launch(peers)
		}
	case "stop":
		for _, name := range names {
			p := w.find(name)
			p.stop()
			l, err := net.Listen("tcp", p.address)
			assert.NilError(w.t, err)
			p.listen = l
		}
	case "publish":
		w.publish(d)
	case "mode":
		m := fake.Mode{Down: d.HasArg("down")}
		d.MaybeScanArgs(w.t, "stale", &m.Stale)
		w.platform.SetMode(m)
	case "cut", "heal":
		w.mu.Lock()
		for _, name := range names {
			w.cut[name] = d.Cmd == "cut"
		}
		w.mu.Unlock()
	case "split":
		w.mu.Lock()
		w.split = make(map[string]bool)
		for _, name := range names {
			w.split[name] = true
		}
		w.mu.Unlock()
	case "lag":
		var by string
		d.ScanArgs(w.t, "by", &by)
		lag, err := time.ParseDuration(by)
		assert.NilError(w.t, err)
		w.mu.Lock()
		w.lag = lag
		w.mu.Unlock()
	case "leave":
		for _, name := range names {
			w.platform.SetHost(name, fake.HostLeaving)
		}
	case "hosts":
		for _, name := range names {
			w.platform.SetHost(name, fake.HostLive)
		}
	case "await":
		return w.await(d, names)
	case "refused":
		return w.awaitRefused(d, names)
	case "reads":
		var limit int64
		d.ScanArgs(w.t, "most", &limit)
		c := w.platform.Calls()
		w.t.Logf("the service counted %d reads, %d watches, %d lists", c.Read, c.Watch, c.Hosts)
		return fmt.Sprintf("within: %v\n", c.Read <= limit)
	case "held":
		return w.held(names)
	case "refusals":
		return w.refusals()
	}
	return ""
}

// held lists the versions that each process has put in force since it started.
func (w *testFleet) held(names []string) string {
	w.mu.Lock()
	defer w.mu.Unlock()
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%s held", name)
		for _, st := range w.find(name).stamps {
			fmt.Fprintf(&b, " %d", st.Version)
		}
		b.WriteByte('\n')
	}
	return b.String()
}

// awaitRefused waits until the processes have refused a version.
func (w *testFleet) awaitRefused(d *datadriven.TestData, names []string) string {
	var version uint64
	d.ScanArgs(w.t, "version", &version)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		all := w.refusals()
		missing := slices.DeleteFunc(slices.Clone(names), func(name string) bool {
			return strings.Contains(all, fmt.Sprintf("%s refused %d ", name, version))
		})
		if len(missing) == 0 {
			return ""
		}
	}
	return "not refused by all:\n" + w.refusals()
}

// refusals lists the refusals, sorted.
func (w *testFleet) refusals() string {
	w.mu.Lock()
	defer w.mu.Unlock()
	slices.Sort(w.refusalLog)
	return strings.Join(w.refusalLog, "\n") + "\n"
}

// keys returns the arguments without a value.
func keys(d *datadriven.TestData) []string {
	var list []string
	for _, a := range d.CmdArgs {
		if len(a.Vals) == 0 {
			list = append(list, a.Key)
		}
	}
	return list
}

// publish puts the parts and then the root on the platform; "rootonly" and
// "partsonly" omit the others.
func (w *testFleet) publish(d *datadriven.TestData) {
	var version uint64
	d.ScanArgs(w.t, "version", &version)
	p := w.publication(version, d.HasArg("out"))
	if d.HasArg("invalid") {
		p.Models[0].Slots = 0
	}
	root, parts := config.Pack(p)
	for hash, raw := range parts {
		if !d.HasArg("rootonly") {
			w.platform.Put(config.PartPrefix+hash, raw)
		}
	}
	if !d.HasArg("partsonly") {
		w.platform.Put(config.RootName, root)
	}
}

// await waits until the processes hold a version, or consider a host to be
// leaving.
func (w *testFleet) await(d *datadriven.TestData, names []string) string {
	var version uint64
	var host string
	d.MaybeScanArgs(w.t, "version", &version)
	d.MaybeScanArgs(w.t, "leaving", &host)
	for end := time.Now().Add(waitTimeout); time.Now().Before(end); time.Sleep(5 * time.Millisecond) {
		pending := 0
		for _, name := range names {
			p := w.find(name)
			if version > 0 && p.Store.Stamp().Version != version {
				pending++
			}
			if host != "" && !p.Members.IsLeaving(time.Now(), host) {
				pending++
			}
		}
		if pending == 0 && w.haveSameStamp(names) {
			return ""
		}
	}
	var b strings.Builder
	for _, name := range names {
		fmt.Fprintf(&b, "%s holds %s\n", name, w.find(name).Store.Stamp())
	}
	return b.String()
}

func (w *testFleet) haveSameStamp(names []string) bool {
	for _, name := range names {
		if w.find(name).Store.Stamp() != w.find(names[0]).Store.Stamp() {
			return false
		}
	}
	return true
}
