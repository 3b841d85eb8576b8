package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// maxWatchers is how many processes watch the service when the budget
	// allows. The chance that all of them are on one side of a cut, or stop at
	// one time, falls with each; beyond a dozen or so the gain is nothing,
	// while each one costs a waiting call and a copy of every change. It does
	// not grow with the fleet, as the service does not either.
	maxWatchers = 16
	// watcherReadRate is the least budget that makes a watcher worth having: a
	// waiting call every ten seconds, a host list now and then, and a change.
	watcherReadRate = 0.5
	// watchTimeout is how long one watch waits. Longer would save calls and notice
	// a service later that dropped the connection without a word.
	watchTimeout = 10 * time.Second
	// watcherBudgetRatio of the budget goes to the watchers and commonShare to all
	// processes alike. What is left covers processes that disagree for a while
	// about who watches.
	watcherBudgetRatio = 0.5
	commonBudgetRatio  = 0.25
	// minReadInterval is the least time between direct reads of a process that does not
	// watch: in a small fleet its share would allow far more than it needs.
	minReadInterval = 5 * time.Second
	// connectedIntervalFactor stretches that time while peers answer. A direct read is then
	// only the guard against all watchers being cut off or stale at once.
	connectedIntervalFactor = 8
	// minHostsInterval is the least time between two reads of the host list.
	minHostsInterval = time.Second
	// hostsBytesPerSecond is what reading host lists may cost a process, in bytes a
	// second: a third of what it may spend on control traffic in all.
	hostsBytesPerSecond = 8 << 10
	// burstWindow is how much of its share a process may save up.
	burstWindow = 10 * time.Second
	// initialReadRate is the share in reads a second while no budget is known: one
	// read, and a next try after ten seconds. Thousands that start together
	// stay below what the service stands.
	initialReadRate = 0.1
)

// planInput is what a plan rests on.
type planInput struct {
	// ReadRate is the published budget of the whole fleet, in calls a second.
	ReadRate float64
	// Nodes is the number of processes that share it.
	Nodes int
	// IsWatcher says that this process is among the watchers.
	IsWatcher bool
	// IsIsolated says that no peer answers this process.
	IsIsolated bool
	// HostListBytes is the size of the last host list, in bytes.
	HostListBytes int
}

// plan is what one process may read from the service.
//
// It answers the load that a whole fleet puts on a service that does not grow
// with it: when all start at once, when a change is published, when the service
// returns after an outage. Each process derives its own share from figures that
// all of them know, so that the sum holds without anyone counting. Without it,
// 3,000 processes that each read once a second would need half again what the
// service stands, and a fleet that starts would fetch a hundred parts each.
type plan struct {
	// Rate in reads a second over a longer time, and Burst in reads.
	Rate  float64
	Burst float64
	// ReadInterval is the time between direct reads of the root by a process that does
	// not watch.
	ReadInterval time.Duration
	// HostsInterval is the time between reads of the host list.
	HostsInterval time.Duration
}

// makePlan divides the budget.
func makePlan(f planInput) plan {
	if f.ReadRate <= 0 || f.Nodes <= 0 {
		return plan{Rate: initialReadRate, Burst: 1, ReadInterval: rateInterval(initialReadRate), HostsInterval: rateInterval(initialReadRate)}
	}
	common := f.ReadRate * commonBudgetRatio / float64(f.Nodes)
	rate := common
	if f.IsWatcher {
		rate += f.ReadRate * watcherBudgetRatio / float64(watcherCount(f.ReadRate))
	}
	p := plan{Rate: rate, Burst: max(1, rate*burstWindow.Seconds())}
	p.ReadInterval = max(minReadInterval, rateInterval(common/2))
	p.HostsInterval = max(minHostsInterval, rateInterval(rate/2), time.Duration(f.HostListBytes)*time.Second/hostsBytesPerSecond)
	if !f.IsWatcher && !f.IsIsolated {
		p.ReadInterval *= connectedIntervalFactor
		p.HostsInterval *= connectedIntervalFactor
	}
	return p
}

// rateInterval is the time between reads at a rate.
func rateInterval(rate float64) time.Duration {
	seconds := min(1/rate, math.MaxInt32)
	return time.Duration(seconds * float64(time.Second))
}

// watcherCount is how many processes watch under a budget.
func watcherCount(reads float64) int {
	n := int(reads * watcherBudgetRatio / watcherReadRate)
	return min(max(n, 1), maxWatchers)
}

// chooseWatchers returns the n processes that watch: those whose names hash
// highest, out of the steady ones if there are enough, and filled up from the
// others. All processes that see the same lists agree without talking, and when
// one leaves only its place changes hands.
//
// The others count because operators may take all that there is out of service:
// with nobody left to watch, the publication that brings it back would wait for
// the next direct read.
func chooseWatchers(steady, others []string, n int) []string {
	names := highestScores(steady, n)
	return append(names, highestScores(others, n-len(names))...)
}

type scored struct {
	name  string
	score uint64
}

// compareScores puts the highest score first.
func compareScores(a, b scored) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.name, b.name)
}

// highestScores returns the n candidates whose names hash highest. It goes through
// them once, as n is small and they are thousands.
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
