package share

import (
	"cmp"
	"net"
	"net/netip"
	"slices"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// maxFanout limits the peers that receive a report in one round; those with the oldest last
	// report come first. minFanout peers receive one regardless of its size.
	maxFanout = 8
	minFanout = 4
	// maxPeerAddrs limits the peer addresses in one datagram. Only every peerAddrsInterval-th round
	// carries them, because membership changes slowly.
	maxPeerAddrs      = 6
	peerAddrsInterval = 8
	// peerTTL is the time after which an unresponsive peer is removed. Until then it is probed, so
	// that the two sides of a network partition find each other again.
	peerTTL = 2 * time.Minute
	// livenessTimeout is the time after its last datagram for which a peer counts as live.
	livenessTimeout = 1500 * time.Millisecond
	// memberTimeout is the time after its last datagram for which a peer counts as a member. In a
	// large fleet, the datagrams of one peer arrive seconds apart.
	memberTimeout = 10 * time.Second
	// maxProbeInterval is the longest pause between datagrams to an unresponsive peer, and
	// minProbeInterval the pause before the second one. When a whole fleet starts at once, the
	// first datagrams arrive before the peers read their sockets.
	maxProbeInterval = 500 * time.Millisecond
	minProbeInterval = 50 * time.Millisecond
)

// Delegate supplies the content of this entry's reports and receives the reports of peers. Its
// methods must not block.
type Delegate interface {
	// FillReport sets the fields of a report that Peers does not set itself.
	FillReport(now clock.Stamp, r *Report)
	// TakeEvents returns the events since the previous call.
	TakeEvents() Events
	// RecentCrashes returns the crashes to send to an entry that has just started or was
	// partitioned.
	RecentCrashes(now clock.Stamp) []Crash
	// MergeReport merges a peer's report. notBefore is a time on this process's clock before which
	// the peer cannot have created the report; 0 if unknown.
	MergeReport(now clock.Stamp, r *Report, notBefore clock.Stamp)
}

// Peers exchanges reports with other entries. Its exported fields must be set before Loop is
// called.
type Peers struct {
	Self        netip.AddrPort
	Seeds       []netip.AddrPort
	Incarnation uint32
	Delegate    Delegate
	// ControlPort is the port at which this entry serves copies, 0 for none.
	ControlPort uint16
	// Conn is an open datagram socket. Loop closes it.
	Conn net.PacketConn
	// OnError is called for each datagram that cannot be read, decoded or sent.
	OnError func(err error)
	// Link is the link rate of this host in Mbit/s, reported to peers.
	Link uint32
	// Handlers receive the datagrams that peers sent with SendMessage, by kind.
	Handlers map[MessageKind]func(now clock.Stamp, b []byte) error
	// ReservedRate returns the part of maxSendRate that messages take now, in bytes per second; nil for
	// none.
	ReservedRate func() float64

	mu       sync.Mutex
	peers    map[netip.AddrPort]*peer
	events   eventLog
	sequence uint32
	// lastReportSize is the size of the last report sent, in bytes.
	lastReportSize           int
	leaving                  bool
	sentBytes, receivedBytes int64
	// lastReceived is the time of the last datagram from any peer. Until catchUpUntil, reports
	// request missed crashes.
	lastReceived, catchUpUntil clock.Stamp
	// crashBudget is the number of bytes available for crash reports at crashBudgetAt.
	crashBudget   float64
	crashBudgetAt clock.Stamp
}

// peer is the state kept for another entry.
type peer struct {
	// addedAt is the time at which its address was first added, lastSeen the time of its last
	// datagram.
	addedAt  clock.Stamp
	lastSeen clock.Stamp
	lastSent clock.Stamp
	// unanswered counts the datagrams sent to it since its last datagram.
	unanswered  int
	incarnation uint32
	sequence    uint32
	// echo is the Sent field of its last report.
	echo        int64
	controlPort uint16
	leaving     bool
	hasIndex    bool
	// version is the configuration version in force at the peer, 0 for none.
	version uint64
	link    int
	// domain is the low half of the hash of its failure domain.
	domain uint32
	cursor cursor
}

// SetSeeds replaces the seeds, the initial entry addresses, and adds them as peers.
func (p *Peers) SetSeeds(list []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Seeds = list
	for _, s := range list {
		p.addPeer(s)
	}
}

// Member is another entry that serves copies to its peers.
type Member struct {
	// Addr is the address for its datagrams, ControlAddr the address at which it serves copies.
	Addr, ControlAddr netip.AddrPort
	// Link is the link rate of its host in Mbit/s, 0 if unknown.
	Link int
	// Domain is the low half of the hash of its failure domain.
	Domain uint32
}

// Members returns the peers that have sent a datagram within memberTimeout, serve copies and are
// not leaving.
func (p *Peers) Members(now clock.Stamp) []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Member
	for a, x := range p.peers {
		if x.lastSeen == 0 || now.Sub(x.lastSeen) > memberTimeout || x.leaving || x.controlPort == 0 {
			continue
		}
		list = append(list, x.member(a))
	}
	return list
}

// LiveSeeds returns the other seeds that are live and not leaving.
func (p *Peers) LiveSeeds(now clock.Stamp) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []netip.AddrPort
	for _, s := range p.Seeds {
		if x := p.peers[s]; x != nil && x.isLive(now) && !x.leaving {
			list = append(list, s)
		}
	}
	return list
}

// PeerWithFacts returns a live peer that holds published facts, or false if there is none.
func (p *Peers) PeerWithFacts() (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for a, x := range p.peers { // random map order spreads restarted entries over the peers
		if x.isLive(now) && x.version > 0 && x.controlPort != 0 && !x.leaving {
			return x.member(a), true
		}
	}
	return Member{}, false
}

// PeerWithCacheIndex returns the control address of a live peer that has an index of cached
// prefixes, or false if there is none. The random map order spreads restarted entries over the
// peers.
func (p *Peers) PeerWithCacheIndex() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for a, x := range p.peers {
		if x.isLive(now) && x.hasIndex && x.controlPort != 0 {
			return netip.AddrPortFrom(a.Addr(), x.controlPort), true
		}
	}
	return netip.AddrPort{}, false
}

func (p *Peers) initialize() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = make(map[netip.AddrPort]*peer)
	p.catchUpUntil = clock.Now().Add(catchUpWindow)
	for _, s := range p.Seeds {
		p.addPeer(s)
	}
}

// addPeer returns the peer at an address and adds it if necessary. It returns nil for the own
// address and for an invalid one. The caller holds p.mu.
func (p *Peers) addPeer(a netip.AddrPort) *peer {
	if a == p.Self || !a.IsValid() {
		return nil
	}
	x := p.peers[a]
	if x == nil {
		x = &peer{addedAt: clock.Now()}
		p.resetCursor(x)
		p.peers[a] = x
	}
	return x
}

// resetCursor marks all events but the latest initialEvents as confirmed by the peer. The caller
// holds p.mu.
func (p *Peers) resetCursor(x *peer) {
	end := p.events.end()
	x.cursor = cursor{firstUnconfirmed: end - min(end, initialEvents)}
}

func (x *peer) member(a netip.AddrPort) Member {
	return Member{Addr: a, ControlAddr: netip.AddrPortFrom(a.Addr(), x.controlPort), Link: x.link, Domain: x.domain}
}

// probeInterval returns the pause before the next datagram to an unresponsive peer. It doubles with
// each unanswered datagram.
func (x *peer) probeInterval() time.Duration {
	return min(minProbeInterval<<min(max(x.unanswered-1, 0), 8), maxProbeInterval)
}

func (x *peer) isLive(now clock.Stamp) bool {
	return x.lastSeen != 0 && now.Sub(x.lastSeen) <= livenessTimeout
}

// selectPeers assigns the report its sequence number and returns its recipients. It selects among
// the live peers and the unresponsive ones that are due for a probe, and prefers those to which
// nothing was sent for longest. It removes peers that exceed peerTTL.
func (p *Peers) selectPeers(now clock.Stamp, r *Report) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	r.Sequence, r.Leaving, r.NeedsCatchUp = p.sequence, p.leaving, now < p.catchUpUntil
	type candidate struct {
		addr     netip.AddrPort
		lastSent clock.Stamp
	}
	var due []candidate
	for a, x := range p.peers {
		live := x.isLive(now)
		switch {
		case live && len(r.Peers) < maxPeerAddrs && p.sequence%peerAddrsInterval == 1:
			r.Peers = append(r.Peers, a)
		case now.Sub(max(x.lastSeen, x.addedAt)) > peerTTL && !p.isSeed(a):
			delete(p.peers, a)
			continue
		}
		if live || now.Sub(x.lastSent) >= x.probeInterval() {
			due = append(due, candidate{a, x.lastSent})
		}
	}
	slices.SortFunc(due, func(a, b candidate) int { return cmp.Compare(a.lastSent, b.lastSent) })
	to := make([]netip.AddrPort, 0, maxFanout)
	for _, c := range due[:min(len(due), p.fanoutLimit())] {
		to = append(to, c.addr)
	}
	return to
}

// fanoutLimit returns the number of peers per round at which even the longest round interval keeps
// the rate of reports. The caller holds p.mu.
func (p *Peers) fanoutLimit() int {
	round := p.reportRate() * maxRoundInterval.Seconds()
	return min(max(int(round)/(p.lastReportSize+packetOverhead), minFanout), maxFanout)
}

func (p *Peers) isSeed(a netip.AddrPort) bool {
	for _, s := range p.Seeds {
		if s == a {
			return true
		}
	}
	return false
}

// samplePeers returns up to maxPeerAddrs live peers other than except. The caller holds p.mu.
func (p *Peers) samplePeers(now clock.Stamp, except netip.AddrPort) []netip.AddrPort {
	var list []netip.AddrPort
	for a, x := range p.peers {
		if a != except && x.isLive(now) && len(list) < maxPeerAddrs {
			list = append(list, a)
		}
	}
	return list
}
