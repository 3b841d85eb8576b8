package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxWatchers bounds the number of processes that watch the service when
	// the budget allows. Each watcher reduces the probability that all of them
	// are on one side of a partition or stop at the same time. Beyond about a
	// dozen there is no further gain, while each one costs a waiting call and a
	// copy of every change. The number is independent of the size of the fleet,
	// because the service doesn't scale with the fleet.
	maxWatchers = 16
	// watcherReadRate is the minimum budget of a watcher in reads per second.
	// It covers a waiting call every ten seconds, an occasional read of the
	// host list, and changes.
	watcherReadRate = 0.5
	// watchTimeout is how long one watch waits. A longer timeout would save
	// calls but delay the detection of a service that dropped the connection
	// without closing it.
	watchTimeout = 10 * time.Second
	// watcherBudgetRatio is the share of the budget for the watchers,
	// commonBudgetRatio the share that all processes divide equally. The rest
	// covers periods in which processes disagree about which of them watch.
	watcherBudgetRatio = 0.5
	commonBudgetRatio  = 0.25
	// minReadInterval is the minimum time between direct reads of a process
	// that doesn't watch. In a small fleet its share of the budget would allow
	// far more reads than it needs.
	minReadInterval = 5 * time.Second
	// connectedIntervalFactor multiplies the read intervals while peers answer.
	// Direct reads are then needed only in case all watchers are isolated or
	// stale at the same time.
	connectedIntervalFactor = 8
	// minHostsInterval is the minimum time between two reads of the host list.
	minHostsInterval = time.Second
	// hostsBytesPerSecond bounds the traffic of host lists per process, in
	// bytes per second. It is a third of the limit for all control traffic of a
	// process.
	hostsBytesPerSecond = 8 << 10
	// burstWindow is the period whose unused reads a process can accumulate.
	burstWindow = 10 * time.Second
	// initialReadRate is the rate in reads per second while no budget is known:
	// one read, and another after ten seconds. Thousands of processes that
	// start together stay below the capacity of the service.
	initialReadRate = 0.1
)

// planInput holds the values that a plan is computed from.
type planInput struct {
	// ReadRate is the published budget of the whole fleet, in reads per second.
	ReadRate float64
	// Nodes is the number of processes that share the budget.
	Nodes int
	// IsWatcher reports whether this process is a watcher.
	IsWatcher bool
	// IsIsolated reports whether no peer answers this process.
	IsIsolated bool
	// HostListBytes is the size of the last host list in bytes.
	HostListBytes int
}

// plan limits the reads of the service by one process.
//
// The service doesn't scale with the fleet and has to sustain the load when all
// processes start at once, when a change is published, and when it returns
// after an outage. Each process derives its own share from values that all
// processes have, so the sum stays within the budget without coordination.
// Without a plan, 3,000 processes that each read once per second would exceed
// the capacity of the service by half, and each process of a starting fleet
// would fetch a hundred parts.
type plan struct {
	// Rate is the sustained rate in reads per second, and Burst the number of
	// reads that can be made at once.
	Rate  float64
	Burst float64
	// ReadInterval is the time between direct reads of the root by a process
	// that doesn't watch.
	ReadInterval time.Duration
	// HostsInterval is the time between reads of the host list.
	HostsInterval time.Duration
}

// makePlan computes the share of the budget of one process.
func makePlan(in planInput) plan {
	if in.ReadRate <= 0 || in.Nodes <= 0 {
		return plan{Rate: initialReadRate, Burst: 1, ReadInterval: rateInterval(initialReadRate), HostsInterval: rateInterval(initialReadRate)}
	}
	common := in.ReadRate * commonBudgetRatio / float64(in.Nodes)
	rate := common
	if in.IsWatcher {
		rate += in.ReadRate * watcherBudgetRatio / float64(watcherCount(in.ReadRate))
	}
	p := plan{Rate: rate, Burst: max(1, rate*burstWindow.Seconds())}
	p.ReadInterval = max(minReadInterval, rateInterval(common/2))
	p.HostsInterval = max(minHostsInterval, rateInterval(rate/2), time.Duration(in.HostListBytes)*time.Second/hostsBytesPerSecond)
	if !in.IsWatcher && !in.IsIsolated {
		p.ReadInterval *= connectedIntervalFactor
		p.HostsInterval *= connectedIntervalFactor
	}
	return p
}

// rateInterval returns the time between reads at a rate in reads per second.
func rateInterval(rate float64) time.Duration {
	seconds := min(1/rate, math.MaxInt32)
	return time.Duration(seconds * float64(time.Second))
}

// watcherCount returns the number of watchers for a budget in reads per second.
func watcherCount(readRate float64) int {
	n := int(readRate * watcherBudgetRatio / watcherReadRate)
	return min(max(n, 1), maxWatchers)
}

// chooseWatchers returns the names of the n watchers: the steady candidates
// whose names have the highest hashes, followed by others if there are too few.
// All processes with the same lists choose the same watchers without
// communication, and when a watcher leaves, only one watcher is replaced.
//
// The others are needed because operators can take all targets out of service.
// Without a watcher, the publication that brings them back would not be noticed
// until the next direct read.
func chooseWatchers(steady, others []string, n int) []string {
	names := highestScores(steady, n)
	return append(names, highestScores(others, n-len(names))...)
}

type scored struct {
	name  string
	score uint64
}

// compareScores orders by descending score, then by name.
func compareScores(a, b scored) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.name, b.name)
}

// highestScores returns the n candidates whose names have the highest hashes,
// in one pass, because n is small and there are thousands of candidates.
func highestScores(candidates []string, n int) []string {
	top := make([]scored, 0, n+1)
	for _, c := range candidates {
		s := scored{c, xxhash.Sum64String(c)}
		i, _ := slices.BinarySearchFunc(top, s, compareScores)
		if i < n {
			top = firstN(slices.Insert(top, i, s), n)
		}
	}
	names := make([]string, len(top))
	for i, s := range top {
		names[i] = s.name
	}
	return names
}
