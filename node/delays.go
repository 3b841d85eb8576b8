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
	// delayCheckInterval is how often the scheduling delay is sampled.
	delayCheckInterval = 50 * time.Millisecond
	// delaySamples is the number of consecutive samples that must show a delay. A single late
	// wake-up is not a queue.
	delaySamples = 2
	// waitsPerRequest is the number of times that a request waits to be scheduled: for reading,
	// sending, the response, forwarding and cancellation.
	waitsPerRequest = 5
	// maxTrustedDelay is the maximum delay at which a timeout still indicates a problem of the
	// other side: a small fraction of the shortest timeout.
	maxTrustedDelay = 20 * time.Millisecond
	// distrustWindow is the time after a longer delay during which timeouts are not trusted.
	// Shedding lowers the delay only temporarily while the load persists.
	distrustWindow = 2 * time.Second
	// fullLogInterval is the minimum time between two log lines about an overloaded entry.
	fullLogInterval = time.Second
	// schedLatencies is the name of the runtime's histogram of the time that goroutines spend
	// runnable before they run.
	schedLatencies = "/sched/latencies:seconds"
)

// delayMonitor samples how long work waits to be scheduled, and sheds requests while the delay is
// too long.
type delayMonitor struct {
	node       *Direct
	sample     [1]metrics.Sample
	lastCounts []uint64
	// recent holds the delays of the last samples.
	recent [delaySamples]time.Duration
	next   int
	// lastDelayed is the last time at which the delay exceeded maxTrustedDelay, as a clock.Stamp.
	lastDelayed atomic.Int64
	// isFull reports whether the last log line was about an overload, loggedAt is its time, and
	// refusedSinceLog counts the requests shed since.
	isFull          bool
	loggedAt        time.Time
	refusedSinceLog int
}

func (d *delayMonitor) loop(ctx context.Context) {
	d.sample[0].Name = schedLatencies
	d.median()
	for due := time.Now().Add(delayCheckInterval); clock.Sleep(ctx, delayCheckInterval); due = time.Now().Add(delayCheckInterval) {
		// The histogram covers waiting for other goroutines, a late timer covers waiting for the
		// host's CPU, and the listener covers waiting connections.
		backlog := d.node.callers.Backlog()
		delay := max(d.sustained(max(waitsPerRequest*d.median(), time.Since(due))), backlog)
		if delay > maxTrustedDelay {
			d.lastDelayed.Store(int64(clock.Now()))
		}
		refused, refusedRatio := d.node.shed.Observe(clock.Now(), delay)
		d.refusedSinceLog += refused
		d.log(time.Now(), delay, refusedRatio, backlog)
		d.node.checkMemory()
	}
}

// isOverloaded reports whether a recent scheduling delay was so long that timeouts of this entry do
// not indicate a problem of a target's host.
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

// sustained adds the delay of a sample and returns the minimum of the last delaySamples ones.
func (d *delayMonitor) sustained(delay time.Duration) time.Duration {
	d.recent[d.next] = delay
	d.next = (d.next + 1) % delaySamples
	return slices.Min(d.recent[:])
}

// median returns the median scheduling delay since the previous call, 0 if nothing ran.
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
		return 0 // nothing ran, or without delay: the first bucket has no lower bound
	}
	return time.Duration(h.Buckets[bucket] * float64(time.Second))
}
