package share

import (
	"context"
	"net"
	"net/netip"
	"sync"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// fast is the pause between two rounds of datagrams while they cost little:
	// most requests take longer, so that few are unknown to the peers.
	fast = 50 * time.Millisecond
	// slow bounds the pause: a peer that was silent for much longer counts as
	// gone.
	slow = 500 * time.Millisecond
	// rate is the bytes a second that an entry sends. A node may spend 26 KB/s on
	// control; 2 KB/s are left for packet headers and the source.
	rate = 20000.0
	// overhead is the bytes of the headers of a UDP packet.
	overhead = 28
	// fanout bounds the peers of one round; beyond it each round picks others.
	// fanoutLeast of them are told whatever the bytes.
	fanout      = 32
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
	// quietEvery is how often a peer that is not heard gets a datagram.
	quietEvery = 500 * time.Millisecond
)

// Knowledge is what an entry tells and learns. Its methods return at once.
type Knowledge interface {
	// Tell fills a report but for what Peers itself knows.
	Tell(now clock.Stamp, r *Report)
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
	version uint64
	leaving bool
	knows   bool
}

// Loop sends rounds of datagrams until ctx ends.
func (p *Peers) Loop(ctx context.Context) {
	p.begin()
	go p.loop(ctx)
	pause := Pace(p.round(clock.Now()))
	for {
		t := time.NewTimer(pause)
		select {
		case <-ctx.Done():
			t.Stop()
			_ = p.Conn.Close()
			return
		case <-t.C:
		}
		pause = Pace(p.round(clock.Now()))
	}
}

// Pace is the pause after a round that sent this many bytes.
func Pace(bytes int) time.Duration {
	pause := time.Duration(float64(bytes) / rate * float64(time.Second))
	return min(max(pause, fast), slow)
}

// Leave tells the peers that this entry stops.
func (p *Peers) Leave() {
	p.mu.Lock()
	p.leaving = true
	p.mu.Unlock()
	p.round(clock.Now())
}

// Spread sends lists to the peers at once, a datagram for each: to some of them
// where there are many. It is for the seconds after a loss of all entries, and
// not counted in the pace.
func (p *Peers) Spread(lists ...List) {
	now := clock.Now()
	for _, l := range lists {
		r := &Report{From: p.Self, Run: p.Run, Lists: []List{l}, Age: -1}
		for _, to := range p.choose(now, r) {
			n := p.send(r, to)
			p.mu.Lock()
			p.out += int64(n)
			p.mu.Unlock()
		}
	}
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

// Newest returns the control address of a live peer with the newest configuration;
// of several any one. False says that there is none.
func (p *Peers) Newest() (netip.AddrPort, bool) {
	p.mu.Lock()
	defer p.mu.Unlock()
	now := clock.Now()
	var best netip.AddrPort
	version, found := uint64(0), false
	for a, x := range p.peers {
		if !x.live(now) || x.leaving || x.control == 0 || x.version == 0 || found && x.version <= version {
			continue
		}
		best, version, found = netip.AddrPortFrom(a.Addr(), x.control), x.version, true
	}
	return best, found
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

// Bytes is what was sent and received.
func (p *Peers) Bytes() (out, in int64) {
	p.mu.Lock()
	defer p.mu.Unlock()
	return p.out, p.in
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
		p.peers[a] = x
	}
	return x
}

func (x *peer) live(now clock.Stamp) bool { return x.heard != 0 && now.Sub(x.heard) <= liveFor }

// round sends one datagram to each peer, or to some of many, and returns the
// bytes.
func (p *Peers) round(now clock.Stamp) int {
	r := &Report{From: p.Self, Run: p.Run, Control: p.Control}
	p.Knowledge.Tell(now, r)
	targets := p.choose(now, r)
	sum := 0
	for _, to := range targets {
		sum += p.tell(now, r, to)
	}
	p.mu.Lock()
	p.out += int64(sum)
	p.mu.Unlock()
	return sum
}

// tell sends a report to one peer, with the echo of that peer's clock, and returns
// the bytes.
func (p *Peers) tell(now clock.Stamp, r *Report, to netip.AddrPort) int {
	p.mu.Lock()
	x := p.peers[to]
	if x == nil {
		p.mu.Unlock()
		return 0
	}
	x.sent = now
	r.Echo, r.EchoRun = x.echo, x.run
	p.mu.Unlock()
	r.Sent = int64(clock.Now()) / int64(time.Millisecond)
	return p.send(r, to)
}

// choose numbers the report, and picks who gets it. Map order is random, which
// is what a sample of many needs.
func (p *Peers) choose(now clock.Stamp, r *Report) []netip.AddrPort {
	p.mu.Lock()
	defer p.mu.Unlock()
	p.number++
	r.Number, r.Leaving = p.number, p.leaving
	most := p.most()
	var to []netip.AddrPort
	for a, x := range p.peers {
		live := x.live(now)
		switch {
		case live && len(r.Peers) < tellPeers && p.number%tellEvery == 1:
			r.Peers = append(r.Peers, a)
		case now.Sub(max(x.heard, x.met)) > peerKeep && !p.seed(a):
			delete(p.peers, a)
			continue
		}
		if len(to) < most && (live || now.Sub(x.sent) >= quietEvery) {
			to = append(to, a)
		}
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

// send writes one datagram; holds that don't fit are left out.
func (p *Peers) send(r *Report, to netip.AddrPort) int {
	b, err := encode(r)
	for err == nil && len(b) > datagramMost && len(r.Holds) > 0 {
		r.Holds = r.Holds[:len(r.Holds)/2]
		b, err = encode(r)
	}
	if err != nil {
		p.Failed(err)
		return 0
	}
	if _, err := p.Conn.WriteTo(b, net.UDPAddrFromAddrPort(to)); err != nil {
		p.Failed(errors.Wrapf(err, "send to %s", to))
		return 0
	}
	p.mu.Lock()
	p.size = len(b)
	p.mu.Unlock()
	return len(b) + overhead
}

// loop reads datagrams until the socket is closed.
func (p *Peers) loop(ctx context.Context) {
	buf := make([]byte, 1<<16)
	for {
		n, _, err := p.Conn.ReadFrom(buf)
		if ctx.Err() != nil {
			return
		}
		if err != nil {
			p.Failed(err)
			time.Sleep(fast)
			continue
		}
		r, err := decode(buf[:n])
		if err != nil {
			p.Failed(err)
			continue
		}
		p.take(clock.Now(), r, n)
	}
}

// take passes a report on unless a later one of the same run came first.
func (p *Peers) take(now clock.Stamp, r *Report, n int) {
	p.mu.Lock()
	p.in += int64(n + overhead)
	x := p.meet(r.From)
	if x == nil || x.run == r.Run && r.Number <= x.number {
		p.mu.Unlock()
		return
	}
	started := x.run != r.Run
	x.run, x.number, x.heard, x.echo = r.Run, r.Number, now, r.Sent
	if len(r.Lists) == 0 {
		x.control, x.version, x.leaving, x.knows = r.Control, r.Version, r.Leaving, r.Knows
	}
	for _, a := range r.Peers {
		p.meet(a)
	}
	p.mu.Unlock()
	var asked clock.Stamp
	echo := clock.Stamp(r.Echo) * clock.Stamp(time.Millisecond)
	if echo > 0 && r.EchoRun == p.Run && echo <= now {
		asked = echo
	}
	p.Knowledge.Learn(now, r, asked)
	if started {
		p.greet(now, r.From)
	}
}

// greet answers an entry that was not heard before, or has restarted. In a large
// fleet it would otherwise wait for its turn, up to half a second, before it knows
// whom to ask for what it lost; each peer greets each life of it once.
func (p *Peers) greet(now clock.Stamp, to netip.AddrPort) {
	r := &Report{From: p.Self, Run: p.Run, Control: p.Control}
	p.Knowledge.Tell(now, r)
	p.mu.Lock()
	p.number++
	r.Number, r.Leaving = p.number, p.leaving
	r.Peers = p.some(now, to)
	p.mu.Unlock()
	n := p.tell(now, r, to)
	p.mu.Lock()
	p.out += int64(n)
	p.mu.Unlock()
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
