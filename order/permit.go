package order

import (
	"cmp"
	"slices"
	"time"

	"github.com/cespare/xxhash/v2"
)

const (
	// DefaultPermitServers is how many agents hand out the loads of the weight store.
	// Four survive the loss of any three, each loss costing a quarter of the
	// rate; more would leave each too small a share to serve one target soon.
	DefaultPermitServers = 4
	// SettleTime is how long an agent that becomes a permit server waits before it hands
	// anything out. An accepted publication is in force everywhere within
	// seconds, so that its predecessor has stopped by then.
	SettleTime = 10 * time.Second
	// maxPermitInterval bounds the time for one permit, as a rate close to nothing would
	// overflow it and let everything go.
	maxPermitInterval = 24 * time.Hour
)

// PermitServers picks k of the published targets, whose agents hand out the permits to
// load weights. It depends on the publication alone and not on who is thought
// alive, as host lists differ: two processes with the same publication always
// name the same wardens. A target added or removed moves few of them.
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

// PermitServer hands out permits to load weights at its share of the fleet's rate. The
// load it answers is a whole domain that starts cold at once: all its targets
// load weights, the store refuses most, and their repeats keep it refusing, so
// that none starts in time.
//
// A share for each agent would need no messages, but with 2,700 targets and two
// loads a second it makes a lone cold target wait for 22 minutes.
//
// With one publication in force the wardens together never exceed the rate by
// more than a permit each, over any time. A new, restarted or changed permit server
// starts with nothing and waits for Settle. Where two publications stay in force
// for longer, as across a partition, the rate may be exceeded by the share of
// those wardens that differ.
//
// Set Target before the first call. It is not safe for concurrent use.
type PermitServer struct {
	// Target is the target beside this agent.
	Target string

	rate       float64
	spentUntil time.Time // up to when what accrued has been spent
}

// Configure puts a publication in force: its targets, the loads a second of the whole
// fleet, and how many wardens share them.
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

// Grant lets one load go, whoever asks: what bounds the fleet is what each permit server
// believes of itself. Otherwise it says when to ask again; 0 means not here, as
// this agent is no permit server.
func (p *PermitServer) Grant(now time.Time) (ok bool, wait time.Duration) {
	if p.rate <= 0 {
		return false, 0
	}
	interval := p.permitInterval()
	// One permit may be saved up, no more: a longer quiet must not end in a
	// burst that the store refuses.
	if oldest := now.Add(-interval); p.spentUntil.Before(oldest) {
		p.spentUntil = oldest
	}
	if next := p.spentUntil.Add(interval); now.Before(next) {
		return false, next.Sub(now)
	}
	p.spentUntil = p.spentUntil.Add(interval)
	return true, 0
}

// permitInterval is the time that one permit takes to accrue.
func (p *PermitServer) permitInterval() time.Duration {
	s := min(1/p.rate, maxPermitInterval.Seconds())
	return time.Duration(s * float64(time.Second))
}
