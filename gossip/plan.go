package gossip

import (
	"cmp"
	"math"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// watchersMax is how many processes watch the service when the budget
	// allows. The chance that all of them are on one side of a cut, or stop at
	// one time, falls with each; beyond a dozen or so the gain is nothing,
	// while each one costs a waiting call and a copy of every change. It does
	// not grow with the fleet, as the service does not either.
	watchersMax = 16
	// watcherReads is the least budget that makes a watcher worth having: a
	// waiting call every ten seconds, a host list now and then, and a change.
	watcherReads = 0.5
	// watchWait is how long one watch waits. Longer would save calls and notice
	// a service later that dropped the connection without a word.
	watchWait = 10 * time.Second
	// watchersShare of the budget goes to the watchers and commonShare to all
	// processes alike. What is left covers processes that disagree for a while
	// about who watches.
	watchersShare = 0.5
	commonShare   = 0.25
	// spotLeast is the least time between direct reads of a process that does not
	// watch: in a small fleet its share would allow far more than it needs.
	spotLeast = 5 * time.Second
	// spotCalm stretches that time while peers answer. A direct read is then
	// only the guard against all watchers being cut off or stale at once.
	spotCalm = 8
	// hostsLeast is the least time between two reads of the host list.
	hostsLeast = time.Second
	// hostsBytes is what reading host lists may cost a process, in bytes a
	// second: a third of what it may spend on control traffic in all.
	hostsBytes = 8 << 10
	// burstTime is how much of its share a process may save up.
	burstTime = 10 * time.Second
	// startReads is the share in reads a second while no budget is known: one
	// read, and a next try after ten seconds. Thousands that start together
	// stay below what the service stands.
	startReads = 0.1
)

// fleet is what a plan rests on.
type fleet struct {
	// Reads is the published budget of the whole fleet, in calls a second.
	Reads float64
	// Nodes is the number of processes that share it.
	Nodes int
	// Watches says that this process is among the watchers.
	Watches bool
	// Lonely says that no peer answers this process.
	Lonely bool
	// List is the size of the last host list, in bytes.
	List int
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
	// Spot is the time between direct reads of the root by a process that does
	// not watch.
	Spot time.Duration
	// Hosts is the time between reads of the host list.
	Hosts time.Duration
}

// makePlan divides the budget.
func makePlan(f fleet) plan {
	if f.Reads <= 0 || f.Nodes <= 0 {
		return plan{Rate: startReads, Burst: 1, Spot: every(startReads), Hosts: every(startReads)}
	}
	common := f.Reads * commonShare / float64(f.Nodes)
	rate := common
	if f.Watches {
		rate += f.Reads * watchersShare / float64(watcherCount(f.Reads))
	}
	p := plan{Rate: rate, Burst: max(1, rate*burstTime.Seconds())}
	p.Spot = max(spotLeast, every(common/2))
	p.Hosts = max(hostsLeast, every(rate/2), time.Duration(f.List)*time.Second/hostsBytes)
	if !f.Watches && !f.Lonely {
		p.Spot *= spotCalm
		p.Hosts *= spotCalm
	}
	return p
}

// every is the time between reads at a rate.
func every(rate float64) time.Duration {
	seconds := min(1/rate, math.MaxInt32)
	return time.Duration(seconds * float64(time.Second))
}

// watcherCount is how many processes watch under a budget.
func watcherCount(reads float64) int {
	n := int(reads * watchersShare / watcherReads)
	return min(max(n, 1), watchersMax)
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
	names := highest(steady, n)
	return append(names, highest(others, n-len(names))...)
}

type scored struct {
	name  string
	score uint64
}

// compare puts the highest score first.
func compare(a, b scored) int {
	if c := cmp.Compare(b.score, a.score); c != 0 {
		return c
	}
	return cmp.Compare(a.name, b.name)
}

// highest returns the n candidates whose names hash highest. It goes through
// them once, as n is small and they are thousands.
func highest(candidates []string, n int) []string {
	top := make([]scored, 0, n+1)
	for _, c := range candidates {
		s := scored{c, xxhash.Sum64String(c)}
		i, _ := slices.BinarySearchFunc(top, s, compare)
		if i < n {
			top = first(slices.Insert(top, i, s), n)
		}
	}
	names := make([]string, len(top))
	for i, s := range top {
		names[i] = s.name
	}
	return names
}
