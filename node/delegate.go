package node

import (
	"fmt"
	"net/netip"
	"slices"
	"strings"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/board"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/origin"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

// FillReport sets the state of this entry in a report to its peers. It implements share.Delegate.
func (n *Direct) FillReport(now clock.Stamp, r *share.Report) {
	r.Version = n.roster.Version()
	r.HasIndex = n.hasCacheIndex.Load()
	r.Age = -1
	if at := n.roster.VersionConfirmedAt(); at != 0 {
		r.Age = now.Sub(at).Milliseconds() + 1
	}
	r.Loads = n.board.Loads()
	r.Reservations = n.board.Kept(now)
	r.Domain, r.Domains = board.DomainKey(n.Settings.Domain), n.board.DomainReports(now)
}

// TakeEvents returns the events since the previous call, which all peers receive.
func (n *Direct) TakeEvents() share.Events {
	return share.Events{CachedParts: n.board.CacheChanges(), Replaced: n.board.ReplacedTargets(), Suspected: n.board.Suspicions(), Crashes: n.crashes.TakeReports()}
}

// RecentCrashes returns the contents that recently crashed targets.
func (n *Direct) RecentCrashes(now clock.Stamp) []share.Crash { return n.crashes.Losses(now) }

// sendCrashes reports crashes without waiting for the next round.
func (n *Direct) sendCrashes(list []share.Crash) { n.peers.SendCrashes(clock.Now(), list) }

// MergeReport merges a peer's report. A report that proves that the configuration in force here is
// current lets this entry continue to serve while it cannot reach the source itself.
func (n *Direct) MergeReport(now clock.Stamp, r *share.Report, notBefore clock.Stamp) {
	n.board.MergeReport(now, r)
	n.peers.ForwardCrashes(now, n.crashes.Merge(now, r.Crashes))
	if r.Partial {
		return
	}
	own := n.roster.Version()
	switch {
	case r.Version == own && own != 0 && r.Age >= 0 && notBefore != 0:
		n.roster.ConfirmVersion(notBefore.Add(-time.Duration(r.Age) * time.Millisecond))
	case r.Version > own && r.Version == n.newestVersion.Load():
		n.newestSeenAt.Store(int64(now))
	case r.Version > own && (r.Version > n.newestVersion.Load() || !n.isBehind()):
		n.newestVersion.Store(r.Version)
		n.newestSeenAt.Store(int64(now))
		n.log.Emit(event.PeerNewer, event.Uint("version", r.Version), event.Uint("own", own), event.Str("peer", r.From.String()))
		n.wakeWatch()
	}
}

// newestTTL is how long a peer's report of a newer version counts. A peer that has the version
// repeats the report several times per second; a corrupted datagram must not mark the configuration
// of this entry as outdated indefinitely.
const newestTTL = 3 * time.Second

// isBehind reports whether a peer has recently reported a newer configuration version.
func (n *Direct) isBehind() bool {
	return n.newestVersion.Load() > n.roster.Version() && clock.Now().Sub(clock.Stamp(n.newestSeenAt.Load())) < newestTTL
}

func (n *Direct) logDatagramError(err error) { n.log.Emit(event.DatagramFailed, event.Err(err)) }

// OnChange logs the changes of a read of the source. It implements watch.Observer.
func (n *Direct) OnChange(c roster.Change, requestedAt clock.Stamp) {
	if n.hasFacts.CompareAndSwap(false, true) {
		n.peers.ReportNow()
	}
	if c.Version != 0 {
		n.log.Emit(event.RoutingInForce, event.Uint("version", c.Version), event.Dur("asked", clock.Now().Sub(requestedAt)))
	}
	if len(c.Out)+len(c.Restored) > 0 {
		n.log.Emit(event.DomainsChanged, event.Str("out", strings.Join(c.Out, " ")), event.Str("back", strings.Join(c.Restored, " ")))
	}
	if len(c.Joined)+len(c.Removed)+len(c.Leaving)+len(c.Kept)+len(c.Recovered) == 0 {
		return
	}
	n.log.Emit(event.TargetsChanged,
		event.Str("joined", strings.Join(c.Joined, " ")), event.Str("left", strings.Join(c.Removed, " ")),
		event.Str("leaving", strings.Join(c.Leaving, " ")), event.Str("kept", strings.Join(c.Kept, " ")),
		event.Str("back", strings.Join(c.Recovered, " ")), event.Str("builds", countBuilds(n.roster.View())))
	if v := n.roster.View(); v != nil {
		n.board.Prune(v)
		n.crashes.Reconcile(clock.Now(), v)
	}
}

// OnSourceLost logs that a topic cannot be read.
func (n *Direct) OnSourceLost(t chestnutstep.Topic, err error) {
	n.log.Emit(event.SourceLost, event.Str("topic", t.String()), event.Err(err), event.Dur("proof", n.factsAge(t)))
}

// OnSourceRegained logs that a topic can be read again.
func (n *Direct) OnSourceRegained(t chestnutstep.Topic) {
	n.log.Emit(event.SourceRegained, event.Str("topic", t.String()))
}

// countBuilds returns the number of usable targets of each service and build, as text.
func countBuilds(v *roster.View) string {
	if v == nil {
		return ""
	}
	var list []string
	for service, targets := range v.Services {
		counts := make(map[string]int)
		for _, t := range targets {
			if v.Usable(t) {
				counts[t.Build]++
			}
		}
		for build, n := range counts {
			list = append(list, fmt.Sprintf("%s/%s:%d", service, build, n))
		}
	}
	slices.Sort(list)
	return strings.Join(list, " ")
}

// sendOrigins sends records of streams to a peer.
func (n *Direct) sendOrigins(to netip.AddrPort, b []byte) {
	n.peers.SendMessage(to, share.MessageOrigins, b)
}

// originMembers returns the peers that can hold records of streams.
func (n *Direct) originMembers() []origin.Member {
	members := n.peers.Members(clock.Now())
	list := make([]origin.Member, 0, len(members)+1)
	for _, m := range members {
		list = append(list, origin.Member{Addr: m.Addr, Domain: m.Domain})
	}
	return list
}
