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
	// fanout bounds the peers of one round; beyond it each round picks those that were not
	// told for longest. fanoutLeast of them are told whatever the bytes.
	fanout      = 8
	fanoutLeast = 4
	// tellPeers bounds the addresses of one datagram, and tellEvery says in which
	// rounds they are told: who is there changes slowly.
	tellPeers = 6
	tellEvery = 8
	// peerKeep is how long a silent peer is remembered: after a cut it is asked
	// again, and the two sides find each other.
	peerKeep = 2 * time.Minute
	// liveFor is how long after its last datagram a peer counts as heard.
	liveFor = 1500 * time.Millisecond
	// memberFor is how long after its last datagram a peer counts as a member: datagrams of
	// one peer come seconds apart in a large fleet.
	memberFor = 10 * time.Second
	// quietEvery is how often a peer that is not heard gets a datagram.
	quietEvery = 500 * time.Millisecond
)

// Knowledge is what an entry tells and learns. Its methods return at once.
type Knowledge interface {
	// Tell fills a report but for what Peers itself knows.
	Tell(now clock.Stamp, r *Report)
	// News returns what happened since the last call.
	News() News
	// Learn takes a peer's report. Asked is a moment of this process's clock
	// before which the peer can't have made it; 0 where that is not known.
	Learn(now clock.Stamp, r *Report, asked clock.Stamp)
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
	// Failed hears of datagrams that can't be read or sent.
	Failed func(err error)

	mu     sync.Mutex
	peers  map[netip.AddrPort]*peer
	news   newsLog
	number uint32
	// size is that of the last datagram.
	size    int
	leaving bool
	out, in int64
}

// peer is another entry.
type peer struct {
	// met is when its address was first named, heard when it last spoke.
	met    clock.Stamp
	heard  clock.Stamp
	sent   clock.Stamp
	run    uint32
	number uint32
	// echo is the peer's Sent of its last report.
	echo    int64
	control uint16
	leaving bool
	knows   bool
	news    cursor
}

// Seed adds addresses of entries to ask.
func (p *Peers) Seed(list []netip.AddrPort) {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.Seeds = list
	for _, s := range list {
		p.meet(s)
	}
}

// Member is another entry that serves its peers.
type Member struct {
	// Addr is the address of its datagrams, Control that of its calls.
	Addr, Control netip.AddrPort
}

// Members returns the peers from which a datagram came of late and that are not stopping.
func (p *Peers) Members(now clock.Stamp) []Member {
	p.mu.Lock()
	defer p.mu.Unlock()
	var list []Member
	for a, x := range p.peers {
		if x.heard == 0 || now.Sub(x.heard) > memberFor || x.leaving || x.control == 0 {
			continue
		}
		list = append(list, Member{Addr: a, Control: netip.AddrPortFrom(a.Addr(), x.control)})
	}
	return list
}

// Knowing returns the control address of a live peer that knows what targets hold;
// false says that there is none. Map order is random, so that restarted entries
// don't all ask the same one.
func (p *Peers) Knowing() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	for a, x := range p.peers {
		if x.live(now) && x.knows && x.control != 0 {
			return netip.AddrPortFrom(a.Addr(), x.control), true
		}
	}
	return netip.AddrPort{}, false
}

func (p *Peers) begin() {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.peers = make(map[netip.AddrPort]*peer)
	for _, s := range p.Seeds {
		p.meet(s)
	}
}

// meet notes an address; the caller holds the lock.
func (p *Peers) meet(a netip.AddrPort) *peer {
	if a == p.Self || !a.IsValid() {
		return nil
	}
	x := p.peers[a]
	if x == nil {
		x = &peer{met: clock.Now()}
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

func (x *peer) live(now clock.Stamp) bool { return x.heard != 0 && now.Sub(x.heard) <= liveFor }

// choose numbers the report, and picks who gets it: those that were not told for longest.
func (p *Peers) choose(now clock.Stamp, r *Report) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	r.Number, r.Leaving = p.number, p.leaving
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
		case now.Sub(max(x.heard, x.met)) > peerKeep && !p.seed(a):
			delete(p.peers, a)
			continue
		}
		if live || now.Sub(x.sent) >= quietEvery {
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

// most is how many peers one round may tell, so that even the slowest pace keeps
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
