// Package agent is the one process beside each target. Every request to the
// target passes through it, so it alone knows the target's load, cold start,
// running requests and tickets, and it keeps every promise to callers here:
// what an entry believes may be stale without harm.
package agent

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/chart"
	"chestnutstep.example/chestnutstep/wire"
)

// Defaults of the settings that few operators touch.
const (
	// DefaultLinger is how long a run goes on after its entry vanished. A
	// balancer needs a few seconds to send the caller's repeat to another
	// entry; much longer and a dead entry's runs crowd out live ones.
	DefaultLinger = 10 * time.Second
	// bodyIdleTimeout is how long an accepted request may go without a piece of its
	// body. A frozen entry would otherwise hold a place at the target for as
	// long as it sleeps, seen as load that never generates a token.
	bodyIdleTimeout = 2 * time.Second
	// pollInterval is how often waiting work is looked at when nothing else
	// happens; it bounds how late a refusal for lateness may come.
	pollInterval = 50 * time.Millisecond
	// pollsPerTick is how many of these pass between two looks at everything else
	// that time alone changes. It is a quarter of a second: the shortest limit
	// there is a body's two seconds, and at every tick an idle agent spent 1.3%
	// of a core.
	pollsPerTick = 5
)

// Agent serves the target beside it. Set the exported fields before Run.
type Agent struct {
	// Name of the target; URL is where it listens.
	Name string
	URL  string
	// Incarnation is drawn anew at each start of this process.
	Incarnation string
	// View returns the publication in force, or nil before the first one.
	View func() *chestnutstep.View

	Gate     chestnutstep.Gate
	Detector chestnutstep.Detector
	Issuer   chestnutstep.Issuer
	Sampler  chestnutstep.Sampler
	Answers  *answer.Store

	// PooledClient is the client of requests that may be sent again; Single opens a
	// connection for each request. See Clients for why there are two.
	PooledClient   *http.Client
	UnpooledClient *http.Client
	// Dial reaches another agent and Ranker the next target of a chat, both to
	// move KV cache; nil switches it off.
	Dial   func(addr string) (wire.AgentClient, error)
	Ranker func(*chestnutstep.View) chestnutstep.Ranker

	Linger time.Duration
	// HostLeaving says whether the platform's list shows this host as leaving; nil
	// if nobody knows.
	HostLeaving func() bool
	// HostUptime is the host's at this process's start: with the publication's
	// version it makes fencing numbers that rise without a disk.
	HostUptime time.Duration
	// Clock is time.Now, but for tests.
	Clock func() time.Time
	// Notify is told of what operators should see; it must not block.
	Notify func(Notice)

	// mu guards the decisions and all jobs: they are short and never block.
	mu   sync.Mutex
	jobs map[string]*job
	// jobCount counts the offers that became jobs.
	jobCount uint64
	// movedTo notes where requests run for which this agent would be asked next, so
	// that a repeat through another entry finds the run.
	movedTo recentMap
	// lastRuns notes the job that was the last to run under an id: the target tells
	// answers apart by their id alone, and two workspaces may use the same.
	lastRuns recentMap
	chats    chatCache
	// appliedView is the publication that was applied last, version its version. Two
	// operators may publish different content under one version; the view tells
	// them apart.
	appliedView    *chestnutstep.View
	appliedVersion uint64
	health         health
	// draining is this process's own stop, away that of its host.
	draining     bool
	hostLeaving  bool
	probeMu      sync.Mutex
	runs         sync.WaitGroup
	exportBudget tokenBucket
	migrator     cacheMigrator
	orderSender  orderSender
	cacheEvents  cacheEventReader
	outOfService bool
	// targetState is the state of the target's chart; it changes only by turn.
	targetState string
}

// Run watches the target and the clock until ctx ends. It must run before the
// gRPC service is served.
func (a *Agent) Run(ctx context.Context) error {
	a.init()
	go a.migrator.loop(ctx, a)
	go a.orderSender.loop(ctx, a)
	go a.cacheEvents.loop(ctx, a)
	go a.health.loop(ctx, a)
	a.loop(ctx)
	return ctx.Err()
}

// init prepares the maps; Run and Service call it before the first offer.
func (a *Agent) init() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.jobs != nil {
		return
	}
	a.jobs = make(map[string]*job)
	a.targetState = chart.Target.Start()
	a.migrator.wake = make(chan struct{}, 1)
	if a.Clock == nil {
		a.Clock = time.Now
	}
	a.orderSender.permits.Target = a.Name
	a.orderSender.scheduler.StartedAt = a.Clock()
	a.orderSender.scheduler.HostUptime = a.HostUptime
	if a.Linger == 0 {
		a.Linger = DefaultLinger
	}
	if a.Notify == nil {
		a.Notify = func(Notice) {}
	}
	a.applyPublication(a.Clock())
	// An agent that starts knows nothing of its target: it may have restarted
	// with the host, so it counts as cold until it proves warm.
	a.Gate.MarkCold(a.Clock())
}

func (a *Agent) loop(ctx context.Context) {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if n%pollsPerTick == 0 {
			a.tick()
			continue
		}
		a.pollQueue()
	}
}

// pollQueue starts or refuses waiting work whose time has come.
func (a *Agent) pollQueue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	if a.Gate.Load(now).Waiting > 0 {
		a.dispatchQueue(now)
	}
}

// tick applies what time alone changes: a new publication, a new mean, stalled
// bodies, vanished entries and waiting work that is too late.
func (a *Agent) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	a.applyPublication(now)
	a.exchangeLoad(now)
	a.updateHostLeaving(now)
	for _, j := range a.jobs {
		a.expireJob(now, j)
	}
	a.dispatchQueue(now)
	a.Answers.Sweep(now)
	a.removeExpired()
}

// updateHostLeaving leaves with the host, and comes back if the list was wrong.
func (a *Agent) updateHostLeaving(now time.Time) {
	if a.HostLeaving == nil || a.draining {
		return
	}
	if leaving := a.HostLeaving(); leaving != a.hostLeaving {
		a.hostLeaving = leaving
		a.applyEvent(hostLeavingEvent(leaving))
		a.Gate.SetLeaving(now, leaving)
		a.Notify(Notice{Kind: NoticeLeaving, Subject: a.Name, After: strconv.FormatBool(leaving)})
	}
}

func hostLeavingEvent(leaving bool) string {
	if leaving {
		return eventLeave
	}
	return eventStay
}

// dispatchQueue starts or drops what the gate decided on waiting work.
func (a *Agent) dispatchQueue(now time.Time) {
	next := a.Gate.AdvanceQueue(now)
	for _, id := range next.Started {
		if j := a.jobs[id]; j != nil {
			a.acceptJob(now, j)
		}
	}
	for _, d := range next.Dropped {
		if j := a.jobs[d.ID]; j != nil {
			a.refuseJob(now, j, d.Decision)
		}
	}
}

// Drain stops new work for good and returns when nothing runs any more or ctx
// ends: a planned stop cuts no request in progress.
func (a *Agent) Drain(ctx context.Context) error {
	a.mu.Lock()
	a.draining = true
	a.applyEvent(eventLeave)
	a.Gate.SetLeaving(a.Clock(), true)
	a.mu.Unlock()
	a.Notify(Notice{Kind: NoticeLeaving, Subject: a.Name})
	return a.waitIdle(ctx)
}

func (a *Agent) waitIdle(ctx context.Context) error {
	tick := time.NewTicker(pollInterval)
	defer tick.Stop()
	for {
		if a.busyJobs() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// busyJobs counts the jobs that are not over, or whose answer a link still reads.
func (a *Agent) busyJobs() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, j := range a.jobs {
		if j.state != jobFinished || j.linkCount > 0 {
			n++
		}
	}
	return n
}

// Load reports the target's state, for status pages.
func (a *Agent) Load() chestnutstep.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Gate.Load(a.Clock())
}

// Locker returns the lock that guards Sampler and Detector, for the gossip that
// feeds them.
func (a *Agent) Locker() sync.Locker { return &a.mu }
