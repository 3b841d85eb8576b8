package board

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/share"
)

const (
	// loadTTL is how long a peer's loads count: longer than the longest pause
	// between datagrams of a few dozen entries, and short enough that those of a
	// dead peer don't keep targets looking busy.
	loadTTL = 1500 * time.Millisecond
	// firstReportTTL is how long a peer that spoke once counts as a member: entries of a
	// large fleet get reports of each other many seconds apart.
	firstReportTTL = 30 * time.Second
	// maxMissedReports is how many of its usual gaps a member may be silent.
	maxMissedReports = 3
	// gapDecay is the part by which a long gap is forgotten at each datagram.
	gapDecay = 0.25
)

// peer is another entry. Its loads are worth something only while they are fresh; as
// one of the fleet, among whom budgets are divided, it counts for as long as its
// silence is usual. Entries of a large fleet get reports of a part of the others within
// loadKeep: taken for the whole fleet, each would use too large a part of its budgets.
type peer struct {
	lastSeen clock.Stamp
	// maxGap is the longest time of late between two of its datagrams; 0 after one.
	maxGap time.Duration
	loads  []share.Load
}

// recordReport notes a datagram.
func (p *peer) recordReport(now clock.Stamp) {
	if p.lastSeen != 0 {
		p.maxGap = max(now.Sub(p.lastSeen), p.maxGap-time.Duration(gapDecay*float64(p.maxGap)))
	}
	p.lastSeen = now
}

// ttl is how long a silent peer counts as a member.
func (p *peer) ttl() time.Duration {
	if p.maxGap == 0 {
		return firstReportTTL
	}
	return max(maxMissedReports*p.maxGap, loadTTL)
}

// ReplacedTargets returns the instances that were found since the last call to have lost their address
// to another one. Each entry would otherwise find out by a request of its own, out of the
// fleet's retry budget.
func (b *Board) ReplacedTargets() []uint32 {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.replaced
	b.replaced = nil
	return list
}

// Loads lists what this entry has in progress.
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

// Kept lists the places that this entry keeps free.
func (b *Board) Kept(now clock.Stamp) []share.Reservation {
	b.mu.Lock()
	defer b.mu.Unlock()
	var list []share.Reservation
	for _, u := range b.services {
		if part := uint8(100 * u.fair.Reserve(now)); part > 0 {
			list = append(list, share.Reservation{Service: u.key, Percent: part})
		}
	}
	return list
}

// mergeKept keeps as much free as a peer does. An entry that kept less would give away
// what the others leave, and what a workspace is refused there it gets here.
func (b *Board) mergeKept(now clock.Stamp, list []share.Reservation) {
	for _, k := range list {
		for _, u := range b.services {
			if u.key == k.Service {
				u.fair.RaiseReserve(now, float64(k.Percent)/100)
			}
		}
	}
}

// CacheChanges returns what this entry's requests have changed in targets' caches since the last
// call.
func (b *Board) CacheChanges() []share.CachedPart {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := b.cacheChanges
	b.cacheChanges = nil
	return list
}

// MergeReport takes a peer's report.
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
	for _, h := range r.CachedParts {
		if old, known := b.cachedParts[h.Part][h.Target]; !known || h.Ready && !old.ready {
			b.recordPart(now, h.Part, h.Target, h.Ready)
		}
	}
}

// mergeCacheLists takes whole caches from a peer.
func (b *Board) mergeCacheLists(now clock.Stamp, lists []share.CacheList) {
	for _, l := range lists {
		l.Each(func(part uint32) { b.recordListed(now, l.Target, part) })
		b.listed[l.Target] = true
	}
}

// addLoads puts a peer's loads into the sums, or takes them out.
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

// maxEntriesTTL is how long entries that fell silent still count in budgets: longer than
// a cut lasts behind which they go on sending, and short enough that a fleet which
// was made smaller gets its whole budget back.
const maxEntriesTTL = 5 * time.Minute

// expireInterval is how often it is looked for peers that fell silent.
const expireInterval = 50 * time.Millisecond

// expire forgets the loads of peers that are silent, and peers that are silent for long.
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

// PeerCount is how many other entries there are, as far as is known.
func (b *Board) PeerCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return len(b.peers)
}

// EntryCount is how many entries share the fleet's budgets.
func (b *Board) EntryCount() int {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.entryCount()
}
