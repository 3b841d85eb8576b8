// Package order decides on orders to an engine, such as loading a model, an
// adapter or a version, or changing its role; and on the fleet's use of the
// weight store, which all loads share.
//
// Orders go only through the agent beside the target, one at a time.
package order

import (
	_ "embed" // the chart is part of the program
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/chart"
)

//go:embed order.chart
var chartText string

// Chart is the life of an order. Every change of state goes through it.
var Chart = chart.Must(chartText)

// State is a state of the chart.
type State string

// The states of an order.
const (
	Pending State = "taken"
	Sent    State = "sent"
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown"
	Stale   State = "stale"
)

// Event is an event of the chart by which an owner ends a sent order.
type Event string

// The events. The first two are the desk's own.
const (
	eventSend   Event = "send"
	eventExpire Event = "lapse"

	Finished Event = "finish" // the engine did it
	Refused  Event = "refuse" // the engine refused or failed
	Lost     Event = "lose"   // no answer came
)

const (
	// DefaultMaxDelay is how long an order may lie between taking and sending. In
	// a process that runs it takes microseconds; a second means that the
	// process was frozen.
	DefaultMaxDelay = time.Second
	// DefaultQuietPeriod is how long a target that ignores fencing numbers is left
	// alone after the agent's start and after a lost answer. It is the time
	// limit of a call to an engine: what was on its way has then arrived,
	// unless the engine itself was frozen, which nothing here can rule out.
	DefaultQuietPeriod = 30 * time.Second
	// uptimeTolerance is how far two lives of an agent may differ in what they take the
	// host's uptime to be: systems tell it in whole seconds, rounded either way.
	// A new life keeps this distance before its first order.
	uptimeTolerance = 2 * time.Second
	// maxJobs bounds the orders that are remembered for repeats and status.
	maxJobs = 64
)

// Order is what the engine should do, and on whose word.
type Order struct {
	Kind    string
	Name    string
	Version uint64
}

// Job is an order with its fencing number and state.
type Job struct {
	Order Order
	Fence Fence
	State State
	// ChangedAt is when the state changed last.
	ChangedAt time.Time
}

// Scheduler decides when an order may be sent. Set the fields before the first call.
// It is not safe for concurrent use.
//
// Proved for targets that check fencing numbers: no order is done after one
// with a higher number, whatever pauses, restarts and repeats there are. For
// targets that ignore them it is proved that this agent sends orders in their
// order, one at a time, none after a pause. It is not proved that an order of a
// killed predecessor, or one whose answer was lost, arrives before the next.
type Scheduler struct {
	// StartedAt is when the agent started, by its own monotonic clock.
	StartedAt time.Time
	// HostUptime is the host's uptime at Began, to the second.
	HostUptime time.Duration
	// Fenced says that the target checks fencing numbers.
	Fenced bool
	// MaxDelay is how long an order may lie before it is sent; DefaultPause when 0.
	MaxDelay time.Duration
	// QuietPeriod is how long a target that ignores fencing numbers is left alone;
	// DefaultQuiet when 0.
	QuietPeriod time.Duration

	jobs          []Job
	newestVersion uint64
	lastTicks     uint64
}

// Submit accepts an order and gives it a fencing number. A repeat of an order
// that is under way or done finds that one. An order of a higher version takes
// the place of one that was not sent yet.
func (s *Scheduler) Submit(now time.Time, o Order) (Job, error) {
	if o.Version < s.newestVersion {
		return Job{}, ErrStale{Version: o.Version, Newest: s.newestVersion}
	}
	if j := s.findActive(o); j != nil {
		return *j, nil
	}
	if err := s.ensureIdle(now, o); err != nil {
		return Job{}, err
	}
	f, err := s.nextFence(now, o.Version)
	if err != nil {
		return Job{}, err
	}
	s.newestVersion = o.Version
	j := Job{Order: o, Fence: f, State: Pending, ChangedAt: now}
	s.jobs = append(s.jobs, j)
	s.jobs = s.jobs[max(0, len(s.jobs)-maxJobs):]
	return j, nil
}

// IsReady says whether the desk takes a new order now: none is under way, and the
// target need not be left alone. Ask it before a permit to load is spent.
func (s *Scheduler) IsReady(now time.Time) bool {
	if s.quietRemaining(now) > 0 {
		return false
	}
	for _, j := range s.jobs {
		if j.State == Sent {
			return false
		}
	}
	return true
}

// EngineRestarted notes that the engine restarted and has forgotten what it was told: an
// order that was done is then sent again, under a number of its own. The old
// number would be sent after newer ones.
func (s *Scheduler) EngineRestarted(now time.Time) {
	for i := range s.jobs {
		if s.jobs[i].State == Sent {
			s.transition(now, &s.jobs[i], Lost)
		}
	}
	s.jobs = slices.DeleteFunc(s.jobs, func(j Job) bool { return j.State == Done })
}

// findActive finds the last order of the kind if it is equal and was not given up. One
// whose outcome is unknown is tried again, under a higher number. Older ones do
// not count: a role that was changed there and back is changed again.
func (s *Scheduler) findActive(o Order) *Job {
	for i := len(s.jobs) - 1; i >= 0; i-- {
		j := &s.jobs[i]
		if j.Order.Kind != o.Kind {
			continue
		}
		active := j.State == Pending || j.State == Sent || j.State == Done
		if j.Order == o && active {
			return j
		}
		return nil
	}
	return nil
}

// ensureIdle makes sure that no other order is under way.
func (s *Scheduler) ensureIdle(now time.Time, o Order) error {
	if wait := s.quietRemaining(now); wait > 0 {
		return ErrBusy{Order: o, RetryAfter: wait}
	}
	for i := range s.jobs {
		j := &s.jobs[i]
		switch {
		case j.State == Sent:
			return ErrBusy{Order: j.Order, RetryAfter: s.maxDelay()}
		case j.State == Pending && (o.Version > j.Order.Version || now.Sub(j.ChangedAt) > s.maxDelay()):
			s.transition(now, j, eventExpire)
		case j.State == Pending:
			return ErrBusy{Order: j.Order, RetryAfter: s.maxDelay()}
		}
	}
	return nil
}

// quietRemaining is how long the target is still left alone: after the agent's start until
// its numbers lie above a predecessor's, and longer if it ignores numbers.
func (s *Scheduler) quietRemaining(now time.Time) time.Duration {
	start := uptimeTolerance + tickDuration - now.Sub(s.StartedAt)
	if s.Fenced {
		return max(0, start)
	}
	from := s.StartedAt
	for _, j := range s.jobs {
		if j.State == Unknown && j.ChangedAt.After(from) {
			from = j.ChangedAt
		}
	}
	quiet := s.QuietPeriod
	if quiet <= 0 {
		quiet = DefaultQuietPeriod
	}
	return max(0, start, quiet-now.Sub(from))
}

func (s *Scheduler) maxDelay() time.Duration {
	if s.MaxDelay <= 0 {
		return DefaultMaxDelay
	}
	return s.MaxDelay
}

// nextFence returns a number above all that this agent and, as free has waited for
// long enough, its predecessors sent.
func (s *Scheduler) nextFence(now time.Time, version uint64) (Fence, error) {
	ticks := max(s.uptimeTicks(now), s.lastTicks+1)
	f, err := newFence(version, ticks)
	if err == nil {
		s.lastTicks = ticks
	}
	return f, err
}

// uptimeTicks is the host's uptime.
func (s *Scheduler) uptimeTicks(now time.Time) uint64 {
	return uint64(max(0, s.HostUptime+now.Sub(s.StartedAt)) / tickDuration)
}

// BeginSend is asked right before the call to the engine, with the version of the
// publication in force at that moment; nil lets the order go, once. Whatever
// made the process pause in between, an order that others have overtaken is not
// sent. On ErrBusy ask again after its Wait, some hundredths of a second.
func (s *Scheduler) BeginSend(now time.Time, f Fence, version uint64) error {
	j := s.findJob(f)
	if j == nil || j.State != Pending {
		return ErrState{Fence: f, State: s.stateOf(j)}
	}
	if version > j.Order.Version {
		s.transition(now, j, eventExpire)
		return ErrStale{Version: j.Order.Version, Newest: version}
	}
	if waited := now.Sub(j.ChangedAt); waited > s.maxDelay() {
		s.transition(now, j, eventExpire)
		return ErrLate{Waited: waited}
	}
	if ahead := f.ticks(); ahead > s.uptimeTicks(now) {
		// A burst of orders runs ahead of the clock by a tick each, and a
		// number that the uptime has not reached could lie above a successor's.
		return ErrBusy{Order: j.Order, RetryAfter: time.Duration(ahead-s.uptimeTicks(now)) * tickDuration}
	}
	s.transition(now, j, eventSend)
	return nil
}

// Complete notes what became of a sent order.
func (s *Scheduler) Complete(now time.Time, f Fence, e Event) error {
	j := s.findJob(f)
	if j == nil || j.State != Sent {
		return ErrState{Fence: f, State: s.stateOf(j)}
	}
	s.transition(now, j, e)
	return nil
}

// Jobs returns the orders that are remembered, the oldest first.
func (s *Scheduler) Jobs() []Job { return slices.Clone(s.jobs) }

func (s *Scheduler) findJob(f Fence) *Job {
	for i := range s.jobs {
		if s.jobs[i].Fence == f {
			return &s.jobs[i]
		}
	}
	return nil
}

func (s *Scheduler) stateOf(j *Job) State {
	if j == nil {
		return ""
	}
	return j.State
}

func (s *Scheduler) transition(now time.Time, j *Job, e Event) {
	to, err := Chart.Next(string(j.State), string(e))
	if err != nil {
		return
	}
	j.State = State(to)
	j.ChangedAt = now
}
