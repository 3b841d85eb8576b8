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
	// maxFanout bounds the peers of one round, which are those that got no report for longest;
	// fanoutLeast of them get one whatever the bytes.
	maxFanout = 8
	minFanout = 4
	// maxPeerAddrs bounds the addresses of one datagram; every tellEvery-th round has some, as
	// membership changes slowly.
	maxPeerAddrs      = 6
	peerAddrsInterval = 8
	// peerTTL is how long a silent peer is remembered: after a cut it is asked
	// again, and the two sides find each other.
	peerTTL = 2 * time.Minute
	// livenessTimeout is how long after its last datagram a peer counts as alive.
	livenessTimeout = 1500 * time.Millisecond
	// memberTimeout is how long after its last datagram a peer counts as a member: datagrams of
	// one peer come seconds apart in a large fleet.
	memberTimeout = 10 * time.Second
	// maxProbeInterval is how often a silent peer gets a datagram, and quietFirst how soon the second
	// one: where a whole fleet starts, the first ones come before their readers do.
	maxProbeInterval = 500 * time.Millisecond
	minProbeInterval = 50 * time.Millisecond
)

// Delegate is what an entry reports to others, and takes from their reports. Its methods
// return at once.
type Delegate interface {
	// FillReport fills a report but for what Peers itself knows.
	FillReport(now clock.Stamp, r *Report)
	// TakeEvents returns what happened since the last call.
	TakeEvents() Events
	// RecentCrashes returns the crashes that an entry has to know which has just started or was cut
	// off.
	RecentCrashes(now clock.Stamp) []Crash
	// MergeReport takes a peer's report. Asked is a moment of this process's clock
	// before which the peer can't have made it; 0 where that is not known.
	MergeReport(now clock.Stamp, r *Report, asked clock.Stamp)
}

// Peers exchanges reports with other entries. Set the fields before Run.
type Peers struct {
	Self        netip.AddrPort
	Seeds       []netip.AddrPort
	Incarnation uint32
	Delegate    Delegate
	// ControlPort is this entry's port for copies, 0 for none.
	ControlPort uint16
	// Conn is the socket, open already.
	Conn net.PacketConn
	// OnError is called for each datagram that could not be read or sent.
	OnError func(err error)
	// Link is the rate of this host's link in Mbit/s, for the peers.
	Link uint32

	mu       sync.Mutex
	peers    map[netip.AddrPort]*peer
	events   eventLog
	sequence uint32
	// lastReportSize is that of the last datagram.
	lastReportSize           int
	leaving                  bool
	sentBytes, receivedBytes int64
	// lastReceived is when any datagram last came, and missedUntil until when peers are asked for what
	// was missed.
	lastReceived, catchUpUntil clock.Stamp
	// crashBudget is what may be sent of crashes, as of crashAt.
	crashBudget   float64
	crashBudgetAt clock.Stamp
}

// peer is another entry.
type peer struct {
	// addedAt is when its address was first named, lastSeen when its last datagram came.
	addedAt  clock.Stamp
	lastSeen clock.Stamp
	lastSent clock.Stamp
	// unanswered counts the datagrams since the last one that came.
	unanswered  int
	incarnation uint32
	sequence    uint32
	// echo is the peer's Sent of its last report.
	echo        int64
	controlPort uint16
	leaving     bool
	hasIndex    bool
	// version of the configuration in force there; 0 for none.
	version uint64
	link    int
	cursor  cursor
}

// SetSeeds adds addresses of entries to ask.
func (p *Peers) SetSeeds(list []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Seeds = list
	for _, s := range list {
		p.addPeer(s)
	}
}

// Member is another entry that serves its peers.
type Member struct {
	// Addr is the address of its datagrams, Control that of its calls.
	Addr, ControlAddr netip.AddrPort
	// Link is the rate of its host's link in Mbit/s; 0 for an unknown one.
	Link int
}

// Members returns the peers from which a datagram came of late and that are not stopping.
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

// LiveSeeds returns the other seeds from which a datagram came of late.
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

// PeerWithFacts returns a live peer that has published facts; false says that there is none.
func (p *Peers) PeerWithFacts() (Member, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for a, x := range p.peers { // in random order: restarted entries don't all ask the same one
		if x.isLive(now) && x.version > 0 && x.controlPort != 0 && !x.leaving {
			return x.member(a), true
		}
	}
	return Member{}, false
}

// PeerWithCacheIndex returns the control address of a live peer that knows what targets hold;
// false says that there is none. Map order is random, so that restarted entries
// don't all ask the same one.
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

// addPeer notes an address; the caller holds the lock.
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

// resetCursor makes a peer one that has none of the news but for the latest. The caller holds
// the lock.
func (p *Peers) resetCursor(x *peer) {
	end := p.events.end()
	x.cursor = cursor{firstUnconfirmed: end - min(end, initialEvents)}
}

// quiet is the pause between datagrams to a silent peer.
func (x *peer) member(a netip.AddrPort) Member {
	return Member{Addr: a, ControlAddr: netip.AddrPortFrom(a.Addr(), x.controlPort), Link: x.link}
}

func (x *peer) probeInterval() time.Duration {
	return min(minProbeInterval<<min(max(x.unanswered-1, 0), 8), maxProbeInterval)
}

func (x *peer) isLive(now clock.Stamp) bool {
	return x.lastSeen != 0 && now.Sub(x.lastSeen) <= livenessTimeout
}

// selectPeers numbers the report, and picks who gets it: those that got none for longest.
func (p *Peers) selectPeers(now clock.Stamp, r *Report) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.sequence++
	r.Sequence, r.Leaving, r.NeedsCatchUp = p.sequence, p.leaving, now < p.catchUpUntil
	type candidate struct {
		addr netip.AddrPort
		sent clock.Stamp
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
	slices.SortFunc(due, func(a, b candidate) int { return cmp.Compare(a.sent, b.sent) })
	to := make([]netip.AddrPort, 0, maxFanout)
	for _, c := range due[:min(len(due), p.fanoutLimit())] {
		to = append(to, c.addr)
	}
	return to
}

// fanoutLimit is how many peers one round may reach, so that even the slowest pace keeps
// the rate. The caller holds the lock.
func (p *Peers) fanoutLimit() int {
	round := maxSendRate * maxRoundInterval.Seconds()
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

// samplePeers lists live peers but for one; the caller holds the lock.
func (p *Peers) samplePeers(now clock.Stamp, except netip.AddrPort) []netip.AddrPort {
	var list []netip.AddrPort
	for a, x := range p.peers {
		if a != except && x.isLive(now) && len(list) < maxPeerAddrs {
			list = append(list, a)
		}
	}
	return list
}
