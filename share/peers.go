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
	// fanout bounds the peers of one round, which are those that got no report for longest;
	// fanoutLeast of them get one whatever the bytes.
	fanout      = 8
	fanoutLeast = 4
	// tellPeers bounds the addresses of one datagram; every tellEvery-th round has some, as
	// membership changes slowly.
	tellPeers = 6
	tellEvery = 8
	// peerKeep is how long a silent peer is remembered: after a cut it is asked
	// again, and the two sides find each other.
	peerKeep = 2 * time.Minute
	// liveFor is how long after its last datagram a peer counts as alive.
	liveFor = 1500 * time.Millisecond
	// memberFor is how long after its last datagram a peer counts as a member: datagrams of
	// one peer come seconds apart in a large fleet.
	memberFor = 10 * time.Second
	// quietEvery is how often a silent peer gets a datagram, and quietFirst how soon the second
	// one: where a whole fleet starts, the first ones come before their readers do.
	quietEvery = 500 * time.Millisecond
	quietFirst = 50 * time.Millisecond
)

// Knowledge is what an entry reports to others, and takes from their reports. Its methods
// return at once.
type Knowledge interface {
	// FillReport fills a report but for what Peers itself knows.
	FillReport(now clock.Stamp, r *Report)
	// News returns what happened since the last call.
	News() News
	// Losses returns the crashes that an entry has to know which has just started or was cut
	// off.
	Losses(now clock.Stamp) []Crash
	// MergeReport takes a peer's report. Asked is a moment of this process's clock
	// before which the peer can't have made it; 0 where that is not known.
	MergeReport(now clock.Stamp, r *Report, asked clock.Stamp)
}

// Peers exchanges reports with other entries. Set the fields before Run.
type Peers struct {
	Self      netip.AddrPort
	Seeds     []netip.AddrPort
	Run       uint32
	Knowledge Knowledge
	// Control is this entry's port for copies, 0 for none.
	Control uint16
	// Conn is the socket, open already.
	Conn net.PacketConn
	// OnError is called for each datagram that could not be read or sent.
	OnError func(err error)
	// Link is the rate of this host's link in Mbit/s, for the peers.
	Link uint32

	mu     sync.Mutex
	peers  map[netip.AddrPort]*peer
	news   newsLog
	number uint32
	// size is that of the last datagram.
	size    int
	leaving bool
	out, in int64
	// heardAt is when any datagram last came, and missedUntil until when peers are asked for what
	// was missed.
	heardAt, missedUntil clock.Stamp
	// crashBytes is what may be sent of crashes, as of crashAt.
	crashBytes float64
	crashAt    clock.Stamp
}

// peer is another entry.
type peer struct {
	// addedAt is when its address was first named, lastSeen when its last datagram came.
	addedAt  clock.Stamp
	lastSeen clock.Stamp
	sent     clock.Stamp
	// unanswered counts the datagrams since the last one that came.
	unanswered int
	run        uint32
	number     uint32
	// echo is the peer's Sent of its last report.
	echo     int64
	control  uint16
	leaving  bool
	hasIndex bool
	// version of the configuration in force there; 0 for none.
	version uint64
	link    int
	news    cursor
}

// Seed adds addresses of entries to ask.
func (p *Peers) Seed(list []netip.AddrPort) {
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
	Addr, Control netip.AddrPort
	// Link is the rate of its host's link in Mbit/s; 0 for an unknown one.
	Link int
}

// Members returns the peers from which a datagram came of late and that are not stopping.
func (p *Peers) Members(now clock.Stamp) []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Member
	for a, x := range p.peers {
		if x.lastSeen == 0 || now.Sub(x.lastSeen) > memberFor || x.leaving || x.control == 0 {
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
		if x := p.peers[s]; x != nil && x.live(now) && !x.leaving {
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
		if x.live(now) && x.version > 0 && x.control != 0 && !x.leaving {
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
		if x.live(now) && x.hasIndex && x.control != 0 {
			return netip.AddrPortFrom(a.Addr(), x.control), true
		}
	}
	return netip.AddrPort{}, false
}

func (p *Peers) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = make(map[netip.AddrPort]*peer)
	p.missedUntil = clock.Now().Add(missedFor)
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
		p.forget(x)
		p.peers[a] = x
	}
	return x
}

// forget makes a peer one that has none of the news but for the latest. The caller holds
// the lock.
func (p *Peers) forget(x *peer) {
	end := p.news.end()
	x.news = cursor{has: end - min(end, newsFirst)}
}

// quiet is the pause between datagrams to a silent peer.
func (x *peer) member(a netip.AddrPort) Member {
	return Member{Addr: a, Control: netip.AddrPortFrom(a.Addr(), x.control), Link: x.link}
}

func (x *peer) quiet() time.Duration {
	return min(quietFirst<<min(max(x.unanswered-1, 0), 8), quietEvery)
}

func (x *peer) live(now clock.Stamp) bool { return x.lastSeen != 0 && now.Sub(x.lastSeen) <= liveFor }

// choose numbers the report, and picks who gets it: those that got none for longest.
func (p *Peers) choose(now clock.Stamp, r *Report) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	r.Number, r.Leaving, r.Missed = p.number, p.leaving, now < p.missedUntil
	type candidate struct {
		addr netip.AddrPort
		sent clock.Stamp
	}
	var due []candidate
	for a, x := range p.peers {
		live := x.live(now)
		switch {
		case live && len(r.Peers) < tellPeers && p.number%tellEvery == 1:
			r.Peers = append(r.Peers, a)
		case now.Sub(max(x.lastSeen, x.addedAt)) > peerKeep && !p.seed(a):
			delete(p.peers, a)
			continue
		}
		if live || now.Sub(x.sent) >= x.quiet() {
			due = append(due, candidate{a, x.sent})
		}
	}
	slices.SortFunc(due, func(a, b candidate) int { return cmp.Compare(a.sent, b.sent) })
	to := make([]netip.AddrPort, 0, fanout)
	for _, c := range due[:min(len(due), p.most())] {
		to = append(to, c.addr)
	}
	return to
}

// most is how many peers one round may reach, so that even the slowest pace keeps
// the rate. The caller holds the lock.
func (p *Peers) most() int {
	round := rate * slow.Seconds()
	return min(max(int(round)/(p.size+overhead), fanoutLeast), fanout)
}

func (p *Peers) seed(a netip.AddrPort) bool {
	for _, s := range p.Seeds {
		if s == a {
			return true
		}
	}
	return false
}

// some lists live peers but for one; the caller holds the lock.
func (p *Peers) some(now clock.Stamp, but netip.AddrPort) []netip.AddrPort {
	var list []netip.AddrPort
	for a, x := range p.peers {
		if a != but && x.live(now) && len(list) < tellPeers {
			list = append(list, a)
		}
	}
	return list
}
