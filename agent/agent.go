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
	// bodyStall is how long an accepted request may go without a piece of its
	// body. A frozen entry would otherwise hold a place at the target for as
	// long as it sleeps, seen as load that never generates a token.
	bodyStall = 2 * time.Second
	// tickEvery is how often waiting work is looked at when nothing else
	// happens; it bounds how late a refusal for lateness may come.
	tickEvery = 50 * time.Millisecond
	// ticksEach is how many of these pass between two looks at everything else
	// that time alone changes. It is a quarter of a second: the shortest limit
	// there is a body's two seconds, and at every tick an idle agent spent 1.3%
	// of a core.
	ticksEach = 5
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

	// Reuse is the client of requests that may be sent again; Single opens a
	// connection for each request. See Clients for why there are two.
	Reuse  *http.Client
	Single *http.Client
	// Dial reaches another agent and Ranker the next target of a chat, both to
	// move KV cache; nil switches it off.
	Dial   func(addr string) (wire.AgentClient, error)
	Ranker func(*chestnutstep.View) chestnutstep.Ranker

	Linger time.Duration
	// Leaving says whether the platform's list shows this host as leaving; nil
	// if nobody knows.
	Leaving func() bool
	// Uptime is the host's at this process's start: with the publication's
	// version it makes fencing numbers that rise without a disk.
	Uptime time.Duration
	// Clock is time.Now, but for tests.
	Clock func() time.Time
	// Notify is told of what operators should see; it must not block.
	Notify func(Notice)

	// mu guards the decisions and all jobs: they are short and never block.
	mu   sync.Mutex
	jobs map[string]*job
	// taken counts the offers that became jobs.
	taken uint64
	// moved notes where requests run for which this agent would be asked next, so
	// that a repeat through another entry finds the run.
	moved notes
	// ran notes the job that was the last to run under an id: the target tells
	// answers apart by their id alone, and two workspaces may use the same.
	ran   notes
	chats chatCache
	// view is the publication that was applied last, version its version. Two
	// operators may publish different content under one version; the view tells
	// them apart.
	view    *chestnutstep.View
	version uint64
	health  health
	// leaving is this process's own stop, away that of its host.
	leaving bool
	away    bool
	probing sync.Mutex
	runs    sync.WaitGroup
	exports bucket
	mover   mover
	sender  sender
	events  cacheLog
	out     bool
	// life is the state of the target's chart; it changes only by turn.
	life string
}

// Run watches the target and the clock until ctx ends. It must run before the
// gRPC service is served.
func (a *Agent) Run(ctx context.Context) error {
	a.init()
	go a.mover.loop(ctx, a)
	go a.sender.loop(ctx, a)
	go a.events.loop(ctx, a)
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
	a.life = chart.Target.Start()
	a.mover.wake = make(chan struct{}, 1)
	if a.Clock == nil {
		a.Clock = time.Now
	}
	a.sender.permits.Target = a.Name
	a.sender.desk.Began = a.Clock()
	a.sender.desk.Uptime = a.Uptime
	if a.Linger == 0 {
		a.Linger = DefaultLinger
	}
	if a.Notify == nil {
		a.Notify = func(Notice) {}
	}
	a.refresh(a.Clock())
	// An agent that starts knows nothing of its target: it may have restarted
	// with the host, so it counts as cold until it proves warm.
	a.Gate.MarkCold(a.Clock())
}

func (a *Agent) loop(ctx context.Context) {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for n := 1; ; n++ {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if n%ticksEach == 0 {
			a.tick()
			continue
		}
		a.hurry()
	}
}

// hurry starts or refuses waiting work whose time has come.
func (a *Agent) hurry() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	if a.Gate.Load(now).Waiting > 0 {
		a.advance(now)
	}
}

// tick applies what time alone changes: a new publication, a new mean, stalled
// bodies, vanished entries and waiting work that is too late.
func (a *Agent) tick() {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	a.refresh(now)
	a.exchangeLoad(now)
	a.followHost(now)
	for _, j := range a.jobs {
		a.expire(now, j)
	}
	a.advance(now)
	a.Answers.Sweep(now)
	a.forget()
}

// followHost leaves with the host, and comes back if the list was wrong.
func (a *Agent) followHost(now time.Time) {
	if a.Leaving == nil || a.leaving {
		return
	}
	if away := a.Leaving(); away != a.away {
		a.away = away
		a.turn(awayEvent(away))
		a.Gate.SetLeaving(now, away)
		a.Notify(Notice{Kind: NoticeLeaving, Subject: a.Name, After: strconv.FormatBool(away)})
	}
}

func awayEvent(away bool) string {
	if away {
		return eventLeave
	}
	return eventStay
}

// advance starts or drops what the gate decided on waiting work.
func (a *Agent) advance(now time.Time) {
	next := a.Gate.AdvanceQueue(now)
	for _, id := range next.Started {
		if j := a.jobs[id]; j != nil {
			a.place(now, j)
		}
	}
	for _, d := range next.Dropped {
		if j := a.jobs[d.ID]; j != nil {
			a.refuse(now, j, d.Decision)
		}
	}
}

// Leave stops new work for good and returns when nothing runs any more or ctx
// ends: a planned stop cuts no request in progress.
func (a *Agent) Leave(ctx context.Context) error {
	a.mu.Lock()
	a.leaving = true
	a.turn(eventLeave)
	a.Gate.SetLeaving(a.Clock(), true)
	a.mu.Unlock()
	a.Notify(Notice{Kind: NoticeLeaving, Subject: a.Name})
	return a.idle(ctx)
}

func (a *Agent) idle(ctx context.Context) error {
	tick := time.NewTicker(tickEvery)
	defer tick.Stop()
	for {
		if a.busy() == 0 {
			return nil
		}
		select {
		case <-ctx.Done():
			return ctx.Err()
		case <-tick.C:
		}
	}
}

// busy counts the jobs that are not over, or whose answer a link still reads.
func (a *Agent) busy() int {
	a.mu.Lock()
	defer a.mu.Unlock()
	n := 0
	for _, j := range a.jobs {
		if j.state != over || j.links > 0 {
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

// Lock returns the lock that guards Sampler and Detector, for the gossip that
// feeds them.
func (a *Agent) Lock() sync.Locker { return &a.mu }
