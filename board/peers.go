package board

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// loadTTL is how long the loads of a peer count: longer than the longest pause between
	// datagrams in a fleet of a few dozen entries, and short enough that a dead peer's loads do
	// not keep targets looking busy.
	loadTTL = 1500 * time.Millisecond
	// firstReportTTL is how long a peer counts as a member after its first report: entries of a
	// large fleet get reports of each other many seconds apart.
	firstReportTTL = 30 * time.Second
	// maxMissedReports is how many of its usual report intervals a member can miss.
	maxMissedReports = 3
	// gapDecay is the part by which maxGap decays at each report.
	gapDecay = 0.25
)

// peer is the state of another entry. Its loads count only while they are fresh. For the
// division of budgets it counts as a member for much longer: entries of a large fleet get
// reports of only a part of the others within loadTTL, and an entry that counted only those
// would use too large a part of the budgets.
type peer struct {
	lastSeen clock.Stamp
	// maxGap is the longest recent time between two of its reports; 0 after the first one.
	maxGap time.Duration
	loads  []share.Load
}

// recordReport records the arrival of a report.
func (p *peer) recordReport(now clock.Stamp) {
	if p.lastSeen != 0 {
		p.maxGap = max(now.Sub(p.lastSeen), p.maxGap-time.Duration(gapDecay*float64(p.maxGap)))
	}
	p.lastSeen = now
}

// ttl returns how long the peer counts as a member without reports.
func (p *peer) ttl() time.Duration {
	if p.maxGap == 0 {
		return firstReportTTL
	}
	return max(maxMissedReports*p.maxGap, loadTTL)
}

// ReplacedTargets returns the keys of the targets found, since the last call, to have lost
// their address to another instance. Without the report each entry would detect this with a
// request of its own, at the cost of the fleet's retry budget.
func (b *Board) ReplacedTargets() []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.replaced
	b.replaced = nil
	return list
}

// Loads returns this entry's requests in progress, by target.
func (b *Board) Loads() []share.Load {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []share.Load
	for key, s := range b.targets {
		if s.running == 0 && s.pendingTokens == 0 {
			continue
		}
		list = append(list, share.Load{
			Target:         key,
			Running:        uint16(min(s.running, 1<<16-1)),
			PendingPrefill: uint16(min(max(s.pendingTokens, 0)/pendingTokensUnit, 1<<16-1)),
		})
	}
	return list
}

// Kept returns the part of places that this entry keeps free, by service.
func (b *Board) Kept(now clock.Stamp) []share.Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []share.Reservation
	for _, u := range b.services {
		if percent := uint8(100 * u.fair.Reserve(now)); percent > 0 {
			list = append(list, share.Reservation{Service: u.key, Percent: percent})
		}
	}
	return list
}

// mergeKept raises the reserved part of each service to that of a peer. An entry that reserved
// less would give away the places that the others keep free, and admit a workspace that the
// others reject.
func (b *Board) mergeKept(now clock.Stamp, list []share.Reservation) {
	for _, k := range list {
		for _, u := range b.services {
			if u.key == k.Service {
				u.fair.RaiseReserve(now, float64(k.Percent)/100)
			}
		}
	}
}

// CacheChanges returns the changes of targets' caches by this entry's requests since the last
// call.
func (b *Board) CacheChanges() []share.CachedPart {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.cacheChanges
	b.cacheChanges = nil
	return list
}

// MergeReport applies the report of a peer.
func (b *Board) MergeReport(now clock.Stamp, r *share.Report) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	p := b.peers[r.From]
	if p == nil {
		p = &peer{}
		b.peers[r.From] = p
		b.fleetVersion++
	}
	if len(b.peers)+1 >= b.maxEntries {
		b.maxEntries, b.maxEntriesAt = len(b.peers)+1, now
	}
	if r.Partial {
		b.mergeCacheLists(now, r.CacheLists)
		return
	}
	b.addLoads(p.loads, -1)
	p.recordReport(now)
	p.loads = r.Loads
	if r.Leaving {
		p.loads = nil
	}
	b.addLoads(p.loads, 1)
	b.mergeKept(now, r.Reservations)
	for _, key := range r.Replaced {
		if s := b.targets[key]; s != nil {
			b.countIndividually(s)
			s.health.record(now, Replaced)
		}
	}
	b.mergeSuspicions(now, r.Suspected)
	if r.Domain == DomainKey(b.Domain) {
		b.mergeDomains(now, r.From, r.Domains)
	}
	for _, c := range r.CachedParts {
		if old, known := b.cachedParts[c.Part][c.Target]; !known || c.Ready && !old.ready {
			b.recordPart(now, c.Part, c.Target, c.Ready)
		}
	}
}

// mergeCacheLists records complete cache lists from a peer.
func (b *Board) mergeCacheLists(now clock.Stamp, lists []share.CacheList) {
	for _, l := range lists {
		l.Each(func(part uint32) { b.recordListed(now, l.Target, part) })
		b.listed[l.Target] = true
	}
}

// addLoads adds a peer's loads to the sums, or subtracts them with sign -1.
func (b *Board) addLoads(loads []share.Load, sign int) {
	for _, l := range loads {
		s := b.peerLoads[l.Target]
		before := int(s.Running)
		s.Running = uint16(max(int(s.Running)+sign*int(l.Running), 0))
		s.PendingPrefill = uint16(max(int(s.PendingPrefill)+sign*int(l.PendingPrefill), 0))
		if target := b.targets[l.Target]; target != nil {
			target.addToTotals(int(s.Running) - before)
		}
		if s.Running == 0 && s.PendingPrefill == 0 {
			delete(b.peerLoads, l.Target)
			continue
		}
		b.peerLoads[l.Target] = s
	}
}

// maxEntriesTTL is how long entries that stopped reporting still count in budgets: longer than
// a network partition lasts, during which they continue to send, and short enough that a fleet
// that was made smaller gets its whole budget back.
const maxEntriesTTL = 5 * time.Minute

// expireInterval is the minimum time between two scans for expired peers.
const expireInterval = 50 * time.Millisecond

// expire drops the loads of peers whose last report is older than loadTTL, and peers past their
// ttl.
func (b *Board) expire(now clock.Stamp) {
	if now.Sub(b.expiredAt) < expireInterval && b.expiredAt != 0 {
		return
	}
	b.expiredAt = now
	if now.Sub(b.maxEntriesAt) > maxEntriesTTL {
		b.maxEntries, b.maxEntriesAt = len(b.peers)+1, now
	}
	for from, p := range b.peers {
		elapsed := now.Sub(p.lastSeen)
		if elapsed > loadTTL {
			b.addLoads(p.loads, -1)
			p.loads = nil
		}
		if elapsed > p.ttl() {
			delete(b.peers, from)
			b.fleetVersion++
		}
	}
}

// PeerCount returns the number of known peers.
func (b *Board) PeerCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.peers)
}

// EntryCount returns the number of entries that share the fleet's budgets.
func (b *Board) EntryCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entryCount()
}
