package node

import (
	"context"
	"runtime/metrics"
	"slices"
	"sync/atomic"
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
)

const (
	// delaysEvery is how often the wait for the processor is looked at.
	delaysEvery = 50 * time.Millisecond
	// delaysKept is how many looks in a row have to show a wait: a single late wake-up is no
	// queue.
	delaysKept = 2
	// hops is how many times a request waits for the processor: to be read, sent, answered,
	// passed on and canceled.
	hops = 5
	// trustedDelay is the wait up to which a time-out still says something of the other side:
	// a small part of the shortest one.
	trustedDelay = 20 * time.Millisecond
	// trustedAgain is how long after such a wait time-outs are trusted again: requests are
	// refused so that it doesn't stand, and it comes back for as long as the load lasts.
	trustedAgain = 2 * time.Second
	// fullLogged is the least time between two lines on an entry that is full.
	fullLogged = time.Second
	// latencies is the runtime's histogram of the time for which goroutines were ready to
	// run before they ran.
	latencies = "/sched/latencies:seconds"
)

// delays watches how long work waits for the processor, and lets requests be refused while
// that is too long.
type delays struct {
	node   *Direct
	sample [1]metrics.Sample
	before []uint64
	// last are the waits at the last looks.
	last [delaysKept]time.Duration
	next int
	// late is when work last waited for more than trustedDelay, by clock.Stamp.
	late atomic.Int64
	// full says that the last line said so, logged when that was, and refused counts since.
	full    bool
	logged  time.Time
	refused int
}

func (d *delays) loop(ctx context.Context) {
	d.sample[0].Name = latencies
	d.median()
	for due := time.Now().Add(delaysEvery); clock.Sleep(ctx, delaysEvery); due = time.Now().Add(delaysEvery) {
		// The runtime sees the wait behind other work of this process, a late timer the
		// wait for the host, and the listener the wait of connections.
		backlog := d.node.callers.Backlog()
		delay := max(d.standing(max(hops*d.median(), time.Since(due))), backlog)
		if delay > trustedDelay {
			d.late.Store(int64(clock.Now()))
		}
		refused, part := d.node.shed.Observe(clock.Now(), delay)
		d.refused += refused
		d.log(time.Now(), delay, part, backlog)
	}
}

// overloaded reports whether work waited of late for so long that time-outs of this entry say
// nothing of targets' hosts.
func (d *delays) overloaded() bool {
	late := clock.Stamp(d.late.Load())
	return late != 0 && clock.Now().Sub(late) < trustedAgain
}

func (d *delays) log(now time.Time, delay time.Duration, part float64, backlog time.Duration) {
	if part == 0 {
		if d.full {
			d.full = false
			d.node.log.Emit(event.EntryFree, event.Int("refused", int64(d.refused)))
			d.refused = 0
		}
		return
	}
	if d.full && now.Sub(d.logged) < fullLogged {
		return
	}
	d.full, d.logged = true, now
	d.node.log.Emit(event.EntryFull, event.Dur("delay", delay), event.Float("part", part), event.Int("refused", int64(d.refused)),
		event.Int("requests", d.node.relay.InFlight()), event.Dur("backlog", backlog))
	d.refused = 0
}

// standing takes the wait at one look, and returns that which all of the last ones had.
func (d *delays) standing(delay time.Duration) time.Duration {
	d.last[d.next] = delay
	d.next = (d.next + 1) % delaysKept
	return slices.Min(d.last[:])
}

// median is the usual wait since the last call; 0 where nothing ran.
func (d *delays) median() time.Duration {
	metrics.Read(d.sample[:])
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := d.sample[0].Value.Float64Histogram()
	if len(d.before) != len(h.Counts) {
		d.before = make([]uint64, len(h.Counts))
	}
	var sum uint64
	for i, n := range h.Counts {
		sum += n - d.before[i]
	}
	at, seen := 0, uint64(0)
	for i, n := range h.Counts {
		seen += n - d.before[i]
		if seen > sum/2 {
			at = i
			break
		}
	}
	copy(d.before, h.Counts)
	if at == 0 {
		return 0 // nothing ran, or it did not wait: the first bucket has no lower bound
	}
	return time.Duration(h.Buckets[at] * float64(time.Second))
}
