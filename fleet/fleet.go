// Package fleet starts a small fleet as separate processes on loopback: the
// emulated platform, engines and plain services, an agent for each back end,
// and entries. The demo, the failure tests with real processes and the load
// benchmark use it. Its inputs are the directory of the two programs and the
// number of processes of each kind. Close kills every process that the fleet
// started.
//
// Each host gets its own address in 127.0.0.0/8, so that ports are the same on
// all hosts, as in production, and two fleets don't collide.
package fleet

import (
	"context"
	"encoding/json"
	"fmt"
	"net"
	"net/http"
	"os"
	"path/filepath"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fake"
)

// Ports, the same on every host. They are below the range that the kernel uses
// for outgoing connections.
const (
	portTarget   = 17200
	portAgent    = 17100
	portAdmin    = 17300
	portEntry    = 17400
	portPeer     = 17500
	portPlatform = 17600
)

// Fleet is a running fleet. Set the exported fields, then call Start.
type Fleet struct {
	// Bin is the directory with the chestnutstep and standin programs.
	Bin string
	// Dir is the directory for settings files and logs of the processes.
	Dir string
	// DomainCount is the number of failure domains, each with EnginesPerDomain
	// engines.
	DomainCount, EnginesPerDomain int
	// ServiceCount and EntryCount are the numbers of plain services and
	// entries, which are distributed over the failure domains.
	ServiceCount, EntryCount int
	// EngineFlags and ServiceFlags are passed to the emulated back ends.
	EngineFlags, ServiceFlags []string
	// KeepSockets keeps the listening sockets of back ends open while they are not running, so that
	// connections are not refused meanwhile.
	KeepSockets bool
	// Naive starts plain proxies instead of entries and no agents, as a
	// baseline for comparisons.
	Naive bool
	// Settings modifies the settings of a process before it starts, if set.
	Settings func(*Settings)
	// Customize modifies the first publication, if set.
	Customize func(*chestnutstep.Publication)

	// Publication is the last publication.
	Publication *chestnutstep.Publication
	// Platform, Targets and Entries are the processes, set by Start.
	Platform      *Process
	Targets       []*Target
	Entries       []*Process
	networkPrefix string
	lastHost      int
	started       []*Process
}

// Target is a back end and its agent.
type Target struct {
	Name    string
	Host    string
	Domain  string
	Kind    string
	Backend *Process
	Agent   *Process
}

// client sends requests to emulated systems and admin addresses. It has a
// timeout, because a test can suspend the process that answers.
var client = &http.Client{Timeout: 5 * time.Second}

// Start starts all processes, publishes the first publication and waits until
// all are ready. The caller must call Close even if Start fails.
func (f *Fleet) Start(ctx context.Context) error {
	if err := f.claimNetwork(); err != nil {
		return err
	}
	if err := f.startPlatform(); err != nil {
		return err
	}
	f.addProcesses()
	for _, t := range f.Targets {
		if err := f.startTarget(t); err != nil {
			return err
		}
	}
	if err := f.Publish(ctx, func(*chestnutstep.Publication) {}); err != nil {
		return err
	}
	if f.Naive {
		return f.startNaive(ctx)
	}
	for _, t := range f.Targets {
		if err := f.StartAgent(t); err != nil {
			return err
		}
	}
	for _, p := range f.Entries {
		if err := f.StartEntry(p); err != nil {
			return err
		}
	}
	return f.WaitReady(ctx)
}

func (f *Fleet) startNaive(ctx context.Context) error {
	for _, p := range f.Entries {
		if err := f.startProxy(ctx, p); err != nil {
			return err
		}
	}
	return nil
}

// StartProxy starts a plain proxy to the same targets, in addition to the
// fleet's entries. The proxy gets a host address of its own.
func (f *Fleet) StartProxy(ctx context.Context) (*Process, error) {
	p := &Process{Name: "pass", Address: fmt.Sprintf("%s:%d", f.nextIP(), portEntry)}
	return p, f.startProxy(ctx, p)
}

func (f *Fleet) startProxy(ctx context.Context, p *Process) error {
	if err := f.start(p, "standin", f.proxyFlags(p)...); err != nil {
		return err
	}
	return WaitFor(ctx, p.Name, func() error {
		c, err := net.Dial("tcp", p.Address)
		if err != nil {
			return err
		}
		return c.Close()
	})
}

func (f *Fleet) proxyFlags(p *Process) []string {
	flags := []string{"pass", "--listen", p.Address}
	for _, t := range f.Targets {
		flags = append(flags, "--"+t.Kind, "http://"+t.Backend.Address)
	}
	return flags
}

// claimNetwork finds a loopback network that no other fleet uses. It tries to
// bind the platform's address, which a running fleet keeps bound.
func (f *Fleet) claimNetwork() error {
	for n := range 200 {
		f.networkPrefix = fmt.Sprintf("127.%d.%d", 20+(os.Getpid()+n)%200, 1+(os.Getpid()/200+n)%250)
		l, err := net.Listen("tcp", fmt.Sprintf("%s.1:%d", f.networkPrefix, portPlatform))
		if err == nil {
			f.lastHost = 1
			return l.Close()
		}
	}
	return errors.New("no free loopback network")
}

func (f *Fleet) nextIP() string {
	f.lastHost++
	return fmt.Sprintf("%s.%d", f.networkPrefix, f.lastHost)
}

// domainName returns the name of the n-th failure domain.
func domainName(n int) string {
	return "domain-" + string(rune('a'+n))
}

// addProcesses assigns targets and entries to hosts and failure domains.
func (f *Fleet) addProcesses() {
	for d := range f.DomainCount {
		for i := range f.EnginesPerDomain {
			f.addTarget(fmt.Sprintf("engine-%c%d", 'a'+d, i+1), domainName(d), chestnutstep.KindEngine)
		}
	}
	for i := range f.ServiceCount {
		f.addTarget(fmt.Sprintf("service-%d", i+1), domainName(i%f.DomainCount), chestnutstep.KindService)
	}
	for i := range f.EntryCount {
		ip := f.nextIP()
		f.Entries = append(f.Entries, &Process{
			Name:    fmt.Sprintf("entry-%d", i+1),
			Domain:  domainName(i % f.DomainCount),
			IP:      ip,
			Address: fmt.Sprintf("%s:%d", ip, portEntry),
			Admin:   fmt.Sprintf("%s:%d", ip, portAdmin),
		})
	}
}

func (f *Fleet) addTarget(name, domain, kind string) {
	ip := f.nextIP()
	f.Targets = append(f.Targets, &Target{
		Name: name, Host: "host-" + name, Domain: domain, Kind: kind,
		Backend: &Process{Name: name, IP: ip, Address: fmt.Sprintf("%s:%d", ip, portTarget)},
		Agent:   &Process{Name: "agent-" + name, Domain: domain, IP: ip, Address: fmt.Sprintf("%s:%d", ip, portAgent), Admin: fmt.Sprintf("%s:%d", ip, portAdmin)},
	})
}

func (f *Fleet) startPlatform() error {
	f.Platform = &Process{Name: "platform", Address: fmt.Sprintf("%s.1:%d", f.networkPrefix, portPlatform)}
	return f.start(f.Platform, "standin", "platform", "--listen", f.Platform.Address)
}

// ReplaceBackend kills the back end of a target and starts it again at once at its address.
func (f *Fleet) ReplaceBackend(t *Target) error {
	t.Backend.Kill()
	return f.startTarget(t)
}

func (f *Fleet) startTarget(t *Target) error {
	flags := f.EngineFlags
	if t.Kind == chestnutstep.KindService {
		flags = f.ServiceFlags
	}
	if f.KeepSockets && t.Backend.listener == nil {
		if err := t.Backend.listen(); err != nil {
			return err
		}
	}
	if f.KeepSockets {
		flags = append([]string{"--inherit"}, flags...)
	}
	return f.start(t.Backend, "standin", append([]string{t.Kind, "--listen", t.Backend.Address}, flags...)...)
}

// StartAgent starts the agent of a target, or restarts it after it ended.
func (f *Fleet) StartAgent(t *Target) error {
	s := &Settings{
		Name:   t.Name,
		Host:   t.Host,
		Domain: t.Domain,
		Listen: t.Agent.Address,
		Target: &TargetSettings{Name: t.Name, URL: "http://" + t.Backend.Address, Kind: t.Kind},
	}
	return f.startWith(t.Agent, "agent", s)
}

// StartEntry starts an entry, or restarts it after it ended.
func (f *Fleet) StartEntry(p *Process) error {
	if f.Naive {
		return f.start(p, "standin", f.proxyFlags(p)...)
	}
	s := &Settings{
		Name:   p.Name,
		Host:   "host-" + p.Name,
		Domain: p.Domain,
		Listen: p.Address,
		Peer:   fmt.Sprintf("%s:%d", p.IP, portPeer),
	}
	return f.startWith(p, "entry", s)
}

func (f *Fleet) startWith(p *Process, role string, s *Settings) error {
	s.Region = region
	s.Admin = p.Admin
	s.Platform = "http://" + f.Platform.Address
	for _, t := range f.Targets[:min(maxPeers, len(f.Targets))] {
		s.Peers = append(s.Peers, t.Agent.Address)
	}
	if f.Settings != nil {
		f.Settings(s)
	}
	raw, err := json.MarshalIndent(s, "", "  ")
	if err != nil {
		return errors.Wrap(err, "marshal settings")
	}
	path := filepath.Join(f.Dir, p.Name+".json")
	if err := os.WriteFile(path, raw, 0o600); err != nil {
		return errors.Wrap(err, "write settings")
	}
	return f.start(p, "chestnutstep", role, "--settings", path)
}

// Close kills every process that the fleet started and waits for their end.
func (f *Fleet) Close() {
	for _, p := range f.started {
		p.Kill()
		if p.listener != nil {
			p.listener.Close()
		}
	}
}

// URLs returns the base URLs of the entries.
func (f *Fleet) URLs() []string {
	var out []string
	for _, p := range f.Entries {
		out = append(out, "http://"+p.Address)
	}
	return out
}

// Target returns the target with the name, or nil.
func (f *Fleet) Target(name string) *Target {
	for _, t := range f.Targets {
		if t.Name == name {
			return t
		}
	}
	return nil
}

// Executions returns the requests that the back end itself logged as executed.
func (t *Target) Executions(ctx context.Context) ([]fake.Execution, error) {
	var out []fake.Execution
	return out, get(ctx, t.Backend.Address, "/control/log", &out)
}
