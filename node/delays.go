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
	// delayCheckInterval is how often the wait for the processor is looked at.
	delayCheckInterval = 50 * time.Millisecond
	// delaySamples is how many looks in a row have to show a wait: a single late wake-up is no
	// queue.
	delaySamples = 2
	// waitsPerRequest is how many times a request waits for the processor: to be read, sent, answered,
	// passed on and canceled.
	waitsPerRequest = 5
	// maxTrustedDelay is the wait up to which a time-out still says something of the other side:
	// a small part of the shortest one.
	maxTrustedDelay = 20 * time.Millisecond
	// distrustWindow is how long after such a wait time-outs are trusted again: requests are
	// refused so that it doesn't stand, and it comes back for as long as the load lasts.
	distrustWindow = 2 * time.Second
	// fullLogInterval is the least time between two lines on an entry that is full.
	fullLogInterval = time.Second
	// schedLatencies is the runtime's histogram of the time for which goroutines were ready to
	// run before they ran.
	schedLatencies = "/sched/latencies:seconds"
)

// delayMonitor watches how long work waits for the processor, and lets requests be refused while
// that is too long.
type delayMonitor struct {
	node       *Direct
	sample     [1]metrics.Sample
	lastCounts []uint64
	// recent are the waits at the last looks.
	recent [delaySamples]time.Duration
	next   int
	// lastDelayed is when work last waited for more than trustedDelay, by clock.Stamp.
	lastDelayed atomic.Int64
	// isFull says that the last line said so, logged when that was, and refused counts since.
	isFull          bool
	loggedAt        time.Time
	refusedSinceLog int
}

func (d *delayMonitor) loop(ctx context.Context) {
	d.sample[0].Name = schedLatencies
	d.median()
	for due := time.Now().Add(delayCheckInterval); clock.Sleep(ctx, delayCheckInterval); due = time.Now().Add(delayCheckInterval) {
		// The runtime sees the wait behind other work of this process, a late timer the
		// wait for the host, and the listener the wait of connections.
		backlog := d.node.callers.Backlog()
		delay := max(d.sustained(max(waitsPerRequest*d.median(), time.Since(due))), backlog)
		if delay > maxTrustedDelay {
			d.lastDelayed.Store(int64(clock.Now()))
		}
		refused, refusedRatio := d.node.shed.Observe(clock.Now(), delay)
		d.refusedSinceLog += refused
		d.log(time.Now(), delay, refusedRatio, backlog)
	}
}

// isOverloaded reports whether work waited of late for so long that time-outs of this entry say
// nothing of targets' hosts.
func (d *delayMonitor) isOverloaded() bool {
	lastDelayed := clock.Stamp(d.lastDelayed.Load())
	return lastDelayed != 0 && clock.Now().Sub(lastDelayed) < distrustWindow
}

func (d *delayMonitor) log(now time.Time, delay time.Duration, refusedRatio float64, backlog time.Duration) {
	if refusedRatio == 0 {
		if d.isFull {
			d.isFull = false
			d.node.log.Emit(event.EntryFree, event.Int("refused", int64(d.refusedSinceLog)))
			d.refusedSinceLog = 0
		}
		return
	}
	if d.isFull && now.Sub(d.loggedAt) < fullLogInterval {
		return
	}
	d.isFull, d.loggedAt = true, now
	d.node.log.Emit(event.EntryFull, event.Dur("delay", delay), event.Float("part", refusedRatio), event.Int("refused", int64(d.refusedSinceLog)),
		event.Int("requests", d.node.relay.InFlight()), event.Dur("backlog", backlog))
	d.refusedSinceLog = 0
}

// sustained takes the wait at one look, and returns that which all of the last ones had.
func (d *delayMonitor) sustained(delay time.Duration) time.Duration {
	d.recent[d.next] = delay
	d.next = (d.next + 1) % delaySamples
	return slices.Min(d.recent[:])
}

// median is the usual wait since the last call; 0 where nothing ran.
func (d *delayMonitor) median() time.Duration {
	metrics.Read(d.sample[:])
	if d.sample[0].Value.Kind() != metrics.KindFloat64Histogram {
		return 0
	}
	h := d.sample[0].Value.Float64Histogram()
	if len(d.lastCounts) != len(h.Counts) {
		d.lastCounts = make([]uint64, len(h.Counts))
	}
	var total uint64
	for i, n := range h.Counts {
		total += n - d.lastCounts[i]
	}
	bucket, cumulative := 0, uint64(0)
	for i, n := range h.Counts {
		cumulative += n - d.lastCounts[i]
		if cumulative > total/2 {
			bucket = i
			break
		}
	}
	copy(d.lastCounts, h.Counts)
	if bucket == 0 {
		return 0 // nothing ran, or it did not wait: the first bucket has no lower bound
	}
	return time.Duration(h.Buckets[bucket] * float64(time.Second))
}
