// Package order schedules the orders to an engine, such as loading a model, an adapter or a
// version, or changing its role, and limits the fleet's use of the weight store, which all loads
// share. Orders are sent only by the agent of the target, one at a time, each with a fencing number.
package order

import (
	_ "embed" // the chart is part of the program
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/chart"
)

//go:embed order.chart
var chartText string

// Chart is the state chart of an order. Every change of state goes through it.
var Chart = chart.MustParse(chartText)

// State is a state of the chart.
type State string

// States of an order.
const (
	Pending State = "taken"
	Sent    State = "sent"
	Done    State = "done"
	Failed  State = "failed"
	Unknown State = "unknown"
	Stale   State = "stale"
)

// Event is an event of the chart with which a caller ends a sent order.
type Event string

// Events of the chart. The first two are used by the scheduler only.
const (
	eventSend   Event = "send"
	eventExpire Event = "lapse"

	Finished Event = "finish" // the engine applied the order
	Refused  Event = "refuse" // the engine refused the order or failed
	Lost     Event = "lose"   // no answer was received
)

const (
	// DefaultMaxDelay is the maximum time between accepting and sending an order. Normally it takes
	// microseconds; a second means that the process was suspended.
	DefaultMaxDelay = time.Second
	// DefaultQuietPeriod is how long a target that ignores fencing numbers gets no orders after the
	// agent's start and after a lost answer. It equals the time limit of a call to an engine:
	// orders in transit have then arrived, unless the engine itself was suspended, which the agent
	// can't rule out.
	DefaultQuietPeriod = 30 * time.Second
	// uptimeTolerance is the maximum difference between the host's uptime as seen by two
	// incarnations of an agent: systems report it in whole seconds, rounded up or down. A new
	// incarnation waits this long before its first order.
	uptimeTolerance = 2 * time.Second
	// maxJobs is the maximum number of orders kept for retries and status.
	maxJobs = 64
)

// Order is an instruction to the engine and the version of the publication that contains it.
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
	// ChangedAt is the time of the last change of state.
	ChangedAt time.Time
}

// Scheduler decides when an order can be sent. Set the fields before the first call. It is not safe
// for concurrent use.
//
// For targets that check fencing numbers it guarantees that no order is applied after one with a
// higher number, regardless of pauses, restarts and retries. For targets that ignore them it
// guarantees that this agent sends orders in sequence, one at a time, and none after a pause. It
// doesn't guarantee that an order of a killed earlier incarnation, or one whose answer was lost,
// arrives before the next.
type Scheduler struct {
	// StartedAt is when the agent started, by its own monotonic clock.
	StartedAt time.Time
	// HostUptime is the host's uptime at StartedAt, to the second.
	HostUptime time.Duration
	// Fenced is set if the target checks fencing numbers.
	Fenced bool
	// MaxDelay is the maximum time before an order is sent; DefaultMaxDelay if 0.
	MaxDelay time.Duration
	// QuietPeriod is how long a target that ignores fencing numbers gets no orders after a start or
	// a lost answer; DefaultQuietPeriod if 0.
	QuietPeriod time.Duration

	jobs          []Job
	newestVersion uint64
	lastTicks     uint64
}

// Submit accepts an order and assigns it a fencing number. A retry of an order that is pending,
// sent or done returns the existing job. An order of a higher version replaces one that is not sent
// yet. It returns ErrStale, ErrBusy or ErrRange if the order can't be accepted.
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

// IsReady reports whether a new order can be submitted now: none is in flight, and no quiet period
// is running. Check it before acquiring a permit to load.
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

// EngineRestarted records that the engine restarted and lost its orders. An order that was done is
// then sent again under a new number, as its old number would be sent after newer ones.
func (s *Scheduler) EngineRestarted(now time.Time) {
	for i := range s.jobs {
		if s.jobs[i].State == Sent {
			s.transition(now, &s.jobs[i], Lost)
		}
	}
	s.jobs = slices.DeleteFunc(s.jobs, func(j Job) bool { return j.State == Done })
}

// findActive returns the last job of the order's kind if its order is equal and it is pending, sent
// or done. An order with an unknown outcome is retried under a higher number. Older jobs don't
// count: a role that was changed and changed back must be changed again.
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

// ensureIdle returns ErrBusy if another order is in progress or a quiet period is running. It
// expires pending orders that are replaced or too old.
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

// quietRemaining returns how long the target must still get no orders: after the agent's start
// until its numbers exceed those of an earlier incarnation, and longer if the target ignores the
// numbers.
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

// nextFence returns a number above all numbers sent by this agent and, since quietRemaining has
// passed, by its earlier incarnations.
func (s *Scheduler) nextFence(now time.Time, version uint64) (Fence, error) {
	ticks := max(s.uptimeTicks(now), s.lastTicks+1)
	f, err := newFence(version, ticks)
	if err == nil {
		s.lastTicks = ticks
	}
	return f, err
}

func (s *Scheduler) uptimeTicks(now time.Time) uint64 {
	return uint64(max(0, s.HostUptime+now.Sub(s.StartedAt)) / tickDuration)
}

// BeginSend must be called right before the call to the engine, with the version of the publication
// in force at that moment. It returns nil once per order, and the order must then be sent. An order
// that a newer publication has replaced, or that waited too long, for example while the process was
// suspended, is not sent. On ErrBusy call it again after RetryAfter, some hundredths of a second.
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
		// In a burst of orders each number is one tick ahead of the previous one. A number that the
		// uptime has not reached could exceed those of a later incarnation.
		return ErrBusy{Order: j.Order, RetryAfter: time.Duration(ahead-s.uptimeTicks(now)) * tickDuration}
	}
	s.transition(now, j, eventSend)
	return nil
}

// Complete records the result of a sent order. It returns ErrState if the order is not in flight.
func (s *Scheduler) Complete(now time.Time, f Fence, e Event) error {
	j := s.findJob(f)
	if j == nil || j.State != Sent {
		return ErrState{Fence: f, State: s.stateOf(j)}
	}
	s.transition(now, j, e)
	return nil
}

// Jobs returns the kept orders, the oldest first.
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
