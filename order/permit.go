package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultPermitServers is the number of agents that grant permits for loads from the weight
	// store. Four tolerate the loss of any three, each loss reducing the rate by a quarter; with
	// more, each share would be too small to serve a single target soon.
	DefaultPermitServers = 4
	// SettleTime is how long an agent that becomes a permit server waits before it grants permits.
	// An accepted publication is in force everywhere within seconds, so the previous permit server
	// has stopped by then.
	SettleTime = 10 * time.Second
	// maxPermitInterval is the maximum time per permit. A rate close to zero would otherwise
	// overflow the interval and lift the limit.
	maxPermitInterval = 24 * time.Hour
)

// PermitServers returns the k published targets whose agents grant permits to load weights. The
// result depends on the publication alone and not on which targets are considered alive, because
// host lists differ: two processes with the same publication always return the same targets. Adding
// or removing a target changes few of them.
func PermitServers(targets []string, k int) []string {
	type scored struct {
		name  string
		score uint64
	}
	all := make([]scored, 0, len(targets))
	for _, name := range targets {
		all = append(all, scored{name, xxhash.Sum64String("warden/" + name)})
	}
	slices.SortFunc(all, func(a, b scored) int {
		return cmp.Or(cmp.Compare(b.score, a.score), cmp.Compare(a.name, b.name))
	})
	names := make([]string, 0, k)
	for _, s := range all[:min(k, len(all))] {
		names = append(names, s.name)
	}
	return names
}

// PermitServer grants permits to load weights at its share of the fleet's rate. Without the limit,
// a domain that starts cold at once loads weights on all its targets, the store refuses most
// requests, and the retries keep it refusing, so that no target starts in time.
//
// A fixed share for each agent would need no messages, but with 2,700 targets and two loads per
// second a single cold target would wait for 22 minutes.
//
// With one publication in force the permit servers together never exceed the rate by more than one
// permit each, over any period. A new, restarted or changed permit server starts without permits
// and waits for SettleTime. If two publications stay in force for longer, as during a partition,
// the rate can be exceeded by the share of the permit servers that differ.
//
// Set Target before the first call. It is not safe for concurrent use.
type PermitServer struct {
	// Target is the name of this agent's target.
	Target string

	rate       float64
	spentUntil time.Time // end of the period whose permits are spent
}

// Configure applies a publication: its targets, the fleet's total rate in loads per second, and the
// number k of permit servers that share it.
func (p *PermitServer) Configure(now time.Time, targets []string, loadsPerSecond float64, k int) {
	rate := 0.0
	if names := PermitServers(targets, k); slices.Contains(names, p.Target) {
		rate = loadsPerSecond / float64(len(names))
	}
	if rate == p.rate {
		return
	}
	p.rate = rate
	p.spentUntil = now.Add(SettleTime)
}

// Grant takes one permit, for any requester: the fleet's rate is bounded by the shares of the
// permit servers. If no permit is available, wait is the time after which to retry; 0 means that
// this agent is no permit server.
func (p *PermitServer) Grant(now time.Time) (ok bool, wait time.Duration) {
	if p.rate <= 0 {
		return false, 0
	}
	interval := p.permitInterval()
	// At most one permit is saved, so that a long idle period doesn't end in a burst that the store
	// refuses.
	if oldest := now.Add(-interval); p.spentUntil.Before(oldest) {
		p.spentUntil = oldest
	}
	if next := p.spentUntil.Add(interval); now.Before(next) {
		return false, next.Sub(now)
	}
	p.spentUntil = p.spentUntil.Add(interval)
	return true, 0
}

// permitInterval returns the time in which one permit accrues.
func (p *PermitServer) permitInterval() time.Duration {
	s := min(1/p.rate, maxPermitInterval.Seconds())
	return time.Duration(s * float64(time.Second))
}
