// Package agent implements the process that runs next to each target and through which every
// request to the target passes. Its inputs are the publication, the offers of entries and the
// probes of the target; it keeps the target's load, cold start, running requests and tickets. All
// guarantees to callers are enforced here, so stale data at an entry does no harm.
package agent

import (
	"context"
	"net/http"
	"strconv"
	"sync"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/answer"
	"chestnutstep.example/chestnutstep/chart"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/ending"
	"chestnutstep.example/chestnutstep/memory"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/wire"
)

// Defaults of settings that are rarely changed.
const (
	// DefaultLinger is how long a run continues after its last entry has disconnected. A load
	// balancer needs a few seconds to send the caller's retry to another entry; with a much longer
	// value the runs of a failed entry crowd out those of live entries.
	DefaultLinger = 10 * time.Second
	// bodyIdleTimeout is the maximum time between two pieces of the body of an accepted request.
	// Without it, a frozen entry occupies a place at the target until it resumes, and the place
	// counts as load without generating a token.
	bodyIdleTimeout = 2 * time.Second
	// pollInterval is the interval between checks of the queue when no other event triggers one. It
	// bounds how late a request is refused for lateness.
	pollInterval = 50 * time.Millisecond
	// pollsPerTick is the number of polls per call of tick, which handles everything else that
	// depends on time alone. One tick per 250 ms is enough because the shortest limit that tick
	// enforces is bodyIdleTimeout, 2 s. With a tick at every poll, an idle agent used 1.3% of a
	// core.
	pollsPerTick = 5
)

// Agent serves the target on its host. Set the exported fields before calling Run.
type Agent struct {
	// Name is the target's name and URL its base address.
	Name string
	URL  string
	// Incarnation is a new random value for each start of this process.
	Incarnation string
	// View returns the publication in force, or nil before the first one.
	View func() *chestnutstep.View

	Gate     chestnutstep.Gate
	Detector chestnutstep.Detector
	Issuer   chestnutstep.Issuer
	Sampler  chestnutstep.Sampler
	Answers  *answer.Store

	// PooledClient reuses connections and sends requests that can be retried; UnpooledClient opens
	// a connection for each request. See Clients for the reason.
	PooledClient   *http.Client
	UnpooledClient *http.Client
	// Witness returns a witness of the process at an address; it is nil, or checks health at the path.
	Witness func(address, healthPath string) ending.Witness
	// Dial connects to another agent, and Ranker ranks the targets of a chat. Both are needed to
	// move KV caches; nil disables moving them.
	Dial   func(addr string) (wire.AgentClient, error)
	Ranker func(*chestnutstep.View) chestnutstep.Ranker

	Linger time.Duration
	// Bodies accounts for the memory of the bodies of requests that have not ended. The zero value has the default
	// limit.
	Bodies memory.Ledger
	// HostLeaving reports whether the platform lists this host as leaving; nil if the platform
	// provides no such list.
	HostLeaving func() bool
	// HostUptime is the host's uptime at the start of this process. Together with the publication's
	// version it yields fencing numbers that increase without being stored on disk.
	HostUptime time.Duration
	// Clock returns the current time. It defaults to time.Now; tests replace it.
	Clock func() time.Time
	// Notify receives the notices for operators; it must not block.
	Notify func(Notice)

	// mu guards all decisions and jobs. It is held for short times only, never while blocking.
	mu   sync.Mutex
	jobs map[string]*job
	// jobCount is the number of jobs created, including those that the gate refused.
	jobCount uint64
	// movedTo maps a request to the target that runs it, for requests whose callers retry here
	// first, so that a retry through another entry joins the run.
	movedTo recentMap
	// lastRuns maps a request id to the key of the job that last ran under it. The target
	// identifies answers by id alone, and two workspaces can use the same id.
	lastRuns recentMap
	chats    chatCache
	// appliedView is the publication that was applied last and appliedVersion its version. Two
	// operators can publish different content under one version; only the view distinguishes them.
	appliedView    *chestnutstep.View
	appliedVersion uint64
	health         health
	// sendsUnframed is set once the target has sent an answer without length or chunks.
	sendsUnframed atomic.Bool
	// pauses tracks until when the target asked to receive nothing; startedAt is the reference of its
	// times.
	pauses    pause.Tracker
	startedAt time.Time
	// draining is set when this process stops, hostLeaving when its host leaves.
	draining     bool
	hostLeaving  bool
	probeMu      sync.Mutex
	runs         sync.WaitGroup
	exportBudget tokenBucket
	migrator     cacheMigrator
	orderSender  orderSender
	cacheEvents  cacheEventReader
	outOfService bool
	// targetState is the state of the target's chart; only applyEvent changes it.
	targetState string
}

// Run monitors the target and runs the periodic work until ctx ends, and returns ctx.Err(). It must
// be started before the gRPC service is served.
func (a *Agent) Run(ctx context.Context) error {
	a.init()
	go a.migrator.loop(ctx, a)
	go a.orderSender.loop(ctx, a)
	go a.cacheEvents.loop(ctx, a)
	go a.health.loop(ctx, a)
	a.loop(ctx)
	return ctx.Err()
}

// init sets defaults and initializes the state; Run and Service call it before the first offer.
func (a *Agent) init() {
	a.mu.Lock()
	defer a.mu.Unlock()
	if a.jobs != nil {
		return
	}
	a.jobs = make(map[string]*job)
	a.targetState = chart.Target.InitialState()
	a.migrator.wake = make(chan struct{}, 1)
	if a.Clock == nil {
		a.Clock = time.Now
	}
	a.startedAt = a.Clock()
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
	// After its own start the agent has no state of the target. The target can have restarted
	// together with the host, so it counts as cold until the gate finds it warm.
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

// pollQueue starts or refuses the queued work that is due.
func (a *Agent) pollQueue() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	if a.Gate.Load(now).Waiting > 0 {
		a.dispatchQueue(now)
	}
}

// tick handles everything that depends on time alone: a new publication, a new mean, stalled
// bodies, disconnected entries and expired queued work.
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
	a.pauses.Expire(clock.Stamp(now.Sub(a.startedAt)))
	a.removeExpired()
}

// updateHostLeaving marks the target as leaving when its host leaves, and reverts this when the
// host is no longer listed.
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

// dispatchQueue starts or refuses the jobs that the gate has released from its queue.
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

// Drain stops accepting new work for good and returns nil when no job is in progress, or the error
// of ctx when it ends first. A planned stop therefore interrupts no request.
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

// busyJobs returns the number of jobs that are not finished or whose answer is still being read by
// a link.
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

// Load returns the target's current load, for status pages.
func (a *Agent) Load() chestnutstep.Load {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.Gate.Load(a.Clock())
}

// Locker returns the lock that guards Sampler and Detector, for the gossip that updates them.
func (a *Agent) Locker() sync.Locker { return &a.mu }
