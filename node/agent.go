package node

import (
	"context"
	"io"
	"net"
	"strings"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admin"
	"chestnutstep.example/chestnutstep/agent"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/ending"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/gate"
	"chestnutstep.example/chestnutstep/link"
	"chestnutstep.example/chestnutstep/mean"
	"chestnutstep.example/chestnutstep/route"
	"chestnutstep.example/chestnutstep/ticket"
	"chestnutstep.example/chestnutstep/wire"
)

// Agent is the process that runs next to one target. Its exported fields must be set before Run.
type Agent struct {
	Settings *config.Settings
	// Out receives the log; standard error if unset.
	Out io.Writer

	*base
	agent    *agent.Agent
	detector *crash.Detector
	sampler  *mean.Sampler
	server   *grpc.Server
}

// Run serves until ctx ends, then drains the running requests.
func (n *Agent) Run(ctx context.Context) error {
	// The listening port serves as the lock of the target's slot: a second agent of the same target
	// cannot listen and returns an error.
	l, err := net.Listen("tcp", n.Settings.Listen)
	if err != nil {
		return errors.Wrapf(err, "listen: the slot of %s is taken, or the address is not this host's", n.Settings.Name)
	}
	if err := n.build(); err != nil {
		return err
	}
	n.log.Emit(event.ProcessStart, event.Str("role", string(config.RoleAgent)))
	workCtx, stop := context.WithCancel(context.Background())
	defer stop()
	served := make(chan error, 2)
	startTasks(workCtx,
		n.detectPauses, n.pool.Run, n.runGossip, n.awaitPublication, n.updateMetrics,
		func(ctx context.Context) { _ = n.agent.Run(ctx) },
		func(ctx context.Context) { served <- n.serveAdmin(ctx, n.ready, n.status) },
		func(context.Context) { served <- n.server.Serve(l) },
	)
	select {
	case err := <-served:
		return errors.Wrap(err, "serve")
	case <-ctx.Done():
		return n.stop()
	}
}

// stop rejects new work and waits until the running requests end, so that a planned stop interrupts
// no response.
func (n *Agent) stop() error {
	n.log.Emit(event.ProcessNotReady, event.Str("cause", "leaving"))
	n.log.Emit(event.ProcessDrain, event.Int("running", int64(n.agent.Load().Running)))
	ctx, cancel := context.WithTimeout(context.Background(), n.Settings.DrainTimeout.Std())
	defer cancel()
	err := n.agent.Drain(ctx)
	stopServer(ctx, n.server)
	n.log.Emit(event.ProcessStop, event.Err(err))
	return errors.Wrap(err, "drain")
}

func (n *Agent) build() error {
	var err error
	if n.base, err = newBase(n.Settings, config.RoleAgent, n.Out); err != nil {
		return err
	}
	name := n.Settings.Target.Name
	n.detector = &crash.Detector{Target: name}
	n.sampler = &mean.Sampler{Target: name}
	pooled, unpooled := agent.Clients()
	n.agent = &agent.Agent{
		Name:           name,
		URL:            strings.TrimSuffix(n.Settings.Target.URL, "/"),
		Incarnation:    n.settings.Host + "-" + newIncarnation(),
		View:           n.store.View,
		Gate:           &gate.Gate{},
		Detector:       n.detector,
		Issuer:         &ticket.Issuer{Target: name},
		Sampler:        n.sampler,
		Answers:        &answer.Store{TTL: n.settings.Keep.MaxAge.Std(), MaxBytes: n.settings.Keep.MaxBytes},
		PooledClient:   pooled,
		Witness:        newWitnesses(),
		UnpooledClient: unpooled,
		Linger:         n.settings.Linger.Std(),
		Dial:           n.dial,
		HostUptime:     uptime(),
		Ranker:         newRanker,
		HostLeaving:    func() bool { return n.members.IsLeaving(time.Now(), n.settings.Host) },
		Notify:         n.handleNotice,
	}
	n.server = n.base.newServer()
	wire.RegisterAgentServer(n.server, n.agent.Service())
	n.gossipNode = n.newGossip(name, n.settings.Listen)
	n.gossipNode.Sampler, n.gossipNode.Detector, n.gossipNode.Lock = n.sampler, n.detector, n.agent.Locker()
	n.gossipNode.Weight = func() float64 { return n.agent.Load().Weight }
	n.registerPeerServer(n.server)
	return nil
}

// dial returns a client of another agent, used to move KV cache.
func (n *Agent) dial(addr string) (wire.AgentClient, error) {
	conn, err := n.pool.Conn(addr)
	if err != nil {
		return nil, err
	}
	return wire.NewAgentClient(conn), nil
}

// newRanker returns the ranking of a publication, built for a single use.
func newRanker(v *chestnutstep.View) chestnutstep.Ranker {
	t := &route.Table{View: v}
	t.Build()
	return t
}

func (n *Agent) ready() error {
	if n.store.View() == nil {
		return &ErrNotReady{Cause: "no publication yet"}
	}
	if n.agent.Load().Leaving {
		return &ErrNotReady{Cause: "leaving"}
	}
	return nil
}

// status returns the status page, which contains the agent's own target only.
func (n *Agent) status() admin.Status {
	ready := n.ready()
	load := n.agent.Load()
	s := n.base.baseStatus(ready, int64(load.Running+load.Waiting))
	v := n.store.View()
	if v == nil {
		return s
	}
	t := v.Targets[n.agent.Name]
	if t == nil {
		return s
	}
	m := n.mean()
	s.Domains = ownDomain(v, t, admin.Target{
		Name: t.Name, Host: t.Host, Model: t.Model, State: n.agent.TargetState(), Load: &load, Mean: &m,
		NoWorkReason: admin.NoWorkReason(v, t, &load, true),
	})
	return s
}

func ownDomain(v *chestnutstep.View, t *chestnutstep.Target, target admin.Target) []admin.Domain {
	d := v.DomainByHost[t.Host]
	if d == nil {
		return nil
	}
	return []admin.Domain{{Name: d.Name, Region: d.Region, Out: d.Out, Targets: []admin.Target{target}}}
}

// maxIdleWitnesses is the number of idle connections for witnesses that an agent keeps.
const maxIdleWitnesses = 4

// newWitnesses returns a function that opens witnesses of a target's process.
func newWitnesses() func(address, healthPath string) ending.Witness {
	pool := &link.Pool{}
	return func(address, healthPath string) ending.Witness {
		return pool.Witness(address, healthPath, maxIdleWitnesses)
	}
}
