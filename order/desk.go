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
	Taken   State = "taken"
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
	send  Event = "send"
	lapse Event = "lapse"

	Finish Event = "finish" // the engine did it
	Refuse Event = "refuse" // the engine refused or failed
	Lose   Event = "lose"   // no answer came
)

const (
	// DefaultPause is how long an order may lie between taking and sending. In
	// a process that runs it takes microseconds; a second means that the
	// process was frozen.
	DefaultPause = time.Second
	// DefaultQuiet is how long a target that ignores fencing numbers is left
	// alone after the agent's start and after a lost answer. It is the time
	// limit of a call to an engine: what was on its way has then arrived,
	// unless the engine itself was frozen, which nothing here can rule out.
	DefaultQuiet = 30 * time.Second
	// coarse is how far two lives of an agent may differ in what they take the
	// host's uptime to be: systems tell it in whole seconds, rounded either way.
	// A new life keeps this distance before its first order.
	coarse = 2 * time.Second
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
	// Changed is when the state changed last.
	Changed time.Time
}

// Desk decides when an order may be sent. Set the fields before the first call.
// It is not safe for concurrent use.
//
// Proved for targets that check fencing numbers: no order is done after one
// with a higher number, whatever pauses, restarts and repeats there are. For
// targets that ignore them it is proved that this agent sends orders in their
// order, one at a time, none after a pause. It is not proved that an order of a
// killed predecessor, or one whose answer was lost, arrives before the next.
type Desk struct {
	// Began is when the agent started, by its own monotonic clock.
	Began time.Time
	// Uptime is the host's uptime at Began, to the second.
	Uptime time.Duration
	// Fenced says that the target checks fencing numbers.
	Fenced bool
	// Pause is how long an order may lie before it is sent; DefaultPause when 0.
	Pause time.Duration
	// Quiet is how long a target that ignores fencing numbers is left alone;
	// DefaultQuiet when 0.
	Quiet time.Duration

	jobs   []Job
	newest uint64
	last   uint64
}

// Take accepts an order and gives it a fencing number. A repeat of an order
// that is under way or done finds that one. An order of a higher version takes
// the place of one that was not sent yet.
func (d *Desk) Take(now time.Time, o Order) (Job, error) {
	if o.Version < d.newest {
		return Job{}, ErrStale{Version: o.Version, Newest: d.newest}
	}
	if j := d.same(o); j != nil {
		return *j, nil
	}
	if err := d.free(now, o); err != nil {
		return Job{}, err
	}
	f, err := d.next(now, o.Version)
	if err != nil {
		return Job{}, err
	}
	d.newest = o.Version
	j := Job{Order: o, Fence: f, State: Taken, Changed: now}
	d.jobs = append(d.jobs, j)
	d.jobs = d.jobs[max(0, len(d.jobs)-maxJobs):]
	return j, nil
}

// Ready says whether the desk takes a new order now: none is under way, and the
// target need not be left alone. Ask it before a permit to load is spent.
func (d *Desk) Ready(now time.Time) bool {
	if d.wait(now) > 0 {
		return false
	}
	for _, j := range d.jobs {
		if j.State == Sent {
			return false
		}
	}
	return true
}

// Restart notes that the engine restarted and has forgotten what it was told: an
// order that was done is then sent again, under a number of its own. The old
// number would be sent after newer ones.
func (d *Desk) Restart(now time.Time) {
	for i := range d.jobs {
		if d.jobs[i].State == Sent {
			d.move(now, &d.jobs[i], Lose)
		}
	}
	d.jobs = slices.DeleteFunc(d.jobs, func(j Job) bool { return j.State == Done })
}

// same finds the last order of the kind if it is equal and was not given up. One
// whose outcome is unknown is tried again, under a higher number. Older ones do
// not count: a role that was changed there and back is changed again.
func (d *Desk) same(o Order) *Job {
	for i := len(d.jobs) - 1; i >= 0; i-- {
		j := &d.jobs[i]
		if j.Order.Kind != o.Kind {
			continue
		}
		live := j.State == Taken || j.State == Sent || j.State == Done
		if j.Order == o && live {
			return j
		}
		return nil
	}
	return nil
}

// free makes sure that no other order is under way.
func (d *Desk) free(now time.Time, o Order) error {
	if wait := d.wait(now); wait > 0 {
		return ErrBusy{Order: o, Wait: wait}
	}
	for i := range d.jobs {
		j := &d.jobs[i]
		switch {
		case j.State == Sent:
			return ErrBusy{Order: j.Order, Wait: d.pause()}
		case j.State == Taken && (o.Version > j.Order.Version || now.Sub(j.Changed) > d.pause()):
			d.move(now, j, lapse)
		case j.State == Taken:
			return ErrBusy{Order: j.Order, Wait: d.pause()}
		}
	}
	return nil
}

// wait is how long the target is still left alone: after the agent's start until
// its numbers lie above a predecessor's, and longer if it ignores numbers.
func (d *Desk) wait(now time.Time) time.Duration {
	start := coarse + tick - now.Sub(d.Began)
	if d.Fenced {
		return max(0, start)
	}
	from := d.Began
	for _, j := range d.jobs {
		if j.State == Unknown && j.Changed.After(from) {
			from = j.Changed
		}
	}
	quiet := d.Quiet
	if quiet <= 0 {
		quiet = DefaultQuiet
	}
	return max(0, start, quiet-now.Sub(from))
}

func (d *Desk) pause() time.Duration {
	if d.Pause <= 0 {
		return DefaultPause
	}
	return d.Pause
}

// next returns a number above all that this agent and, as free has waited for
// long enough, its predecessors sent.
func (d *Desk) next(now time.Time, version uint64) (Fence, error) {
	ticks := max(d.ticks(now), d.last+1)
	f, err := fence(version, ticks)
	if err == nil {
		d.last = ticks
	}
	return f, err
}

// ticks is the host's uptime.
func (d *Desk) ticks(now time.Time) uint64 {
	return uint64(max(0, d.Uptime+now.Sub(d.Began)) / tick)
}

// MaySend is asked right before the call to the engine, with the version of the
// publication in force at that moment; nil lets the order go, once. Whatever
// made the process pause in between, an order that others have overtaken is not
// sent. On ErrBusy ask again after its Wait, some hundredths of a second.
func (d *Desk) MaySend(now time.Time, f Fence, version uint64) error {
	j := d.find(f)
	if j == nil || j.State != Taken {
		return ErrState{Fence: f, State: d.state(j)}
	}
	if version > j.Order.Version {
		d.move(now, j, lapse)
		return ErrStale{Version: j.Order.Version, Newest: version}
	}
	if waited := now.Sub(j.Changed); waited > d.pause() {
		d.move(now, j, lapse)
		return ErrLate{Waited: waited}
	}
	if ahead := f.ticks(); ahead > d.ticks(now) {
		// A burst of orders runs ahead of the clock by a tick each, and a
		// number that the uptime has not reached could lie above a successor's.
		return ErrBusy{Order: j.Order, Wait: time.Duration(ahead-d.ticks(now)) * tick}
	}
	d.move(now, j, send)
	return nil
}

// End notes what became of a sent order.
func (d *Desk) End(now time.Time, f Fence, e Event) error {
	j := d.find(f)
	if j == nil || j.State != Sent {
		return ErrState{Fence: f, State: d.state(j)}
	}
	d.move(now, j, e)
	return nil
}

// Jobs returns the orders that are remembered, the oldest first.
func (d *Desk) Jobs() []Job { return slices.Clone(d.jobs) }

func (d *Desk) find(f Fence) *Job {
	for i := range d.jobs {
		if d.jobs[i].Fence == f {
			return &d.jobs[i]
		}
	}
	return nil
}

func (d *Desk) state(j *Job) State {
	if j == nil {
		return ""
	}
	return j.State
}

func (d *Desk) move(now time.Time, j *Job, e Event) {
	to, err := Chart.Next(string(j.State), string(e))
	if err != nil {
		return
	}
	j.State = State(to)
	j.Changed = now
}
