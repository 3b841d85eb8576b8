package share

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/clock"
)

// mesh connects entries without a network and loses a fraction of the datagrams.
type mesh struct {
	entries    map[string]*Peers
	collectors []*collector
	rand       *rand.Rand
	lossRatio  float64
	bytes      int
	now        clock.Stamp
	// paused holds datagrams back until the next call of deliver.
	paused  bool
	pending []func()
}

// collector records the events that reach one entry.
type collector struct {
	events   Events
	received map[CachedPart]int
	// crashes holds the received crashes, and losses the crashes sent to entries that request a
	// catch-up.
	crashes map[Crash]bool
	losses  []Crash
	// peers is the entry under test, which forwards crashes that are new to it.
	peers *Peers
}

func (c *collector) FillReport(_ clock.Stamp, r *Report) { r.Age = -1 }

func (c *collector) RecentCrashes(clock.Stamp) []Crash { return c.losses }

func (c *collector) TakeEvents() Events {
	n := c.events
	c.events = Events{}
	return n
}

func (c *collector) MergeReport(now clock.Stamp, r *Report, _ clock.Stamp) {
	for _, h := range r.CachedParts {
		c.received[h]++
	}
	var changed []Crash
	for _, x := range r.Crashes {
		x.Age = 0
		if !c.crashes[x] {
			c.crashes[x] = true
			changed = append(changed, x)
		}
	}
	c.peers.ForwardCrashes(now, changed)
}

// meshConn is the socket of one entry.
type meshConn struct {
	net.PacketConn
	mesh *mesh
}

func (c *meshConn) WriteTo(b []byte, to net.Addr) (int, error) {
	m := c.mesh
	m.bytes += len(b) + packetOverhead
	if m.rand.Float64() < m.lossRatio {
		return len(b), nil
	}
	r, err := decode(b)
	if err != nil {
		return 0, err
	}
	if m.paused {
		m.pending = append(m.pending, func() { m.entries[to.String()].handleReport(m.now, r, len(b)) })
		return len(b), nil
	}
	m.entries[to.String()].handleReport(m.now, r, len(b))
	return len(b), nil
}

// deliver delivers the datagrams held back while the mesh was paused.
func (m *mesh) deliver() {
	list := m.pending
	m.pending = nil
	for _, f := range list {
		f()
	}
}

func newMesh(n int, lossRatio float64) *mesh {
	m := &mesh{entries: make(map[string]*Peers), rand: rand.New(rand.NewPCG(1, 2)), lossRatio: lossRatio, now: clock.Now()}
	addrs := make([]netip.AddrPort, n)
	for i := range addrs {
		addrs[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7)
	}
	for i, a := range addrs {
		k := &collector{received: make(map[CachedPart]int), crashes: make(map[Crash]bool)}
		m.collectors = append(m.collectors, k)
		m.entries[a.String()] = &Peers{
			Self: a, Seeds: addrs, Incarnation: uint32(i + 1), Delegate: k, Conn: &meshConn{mesh: m}, OnError: func(error) {},
		}
	}
	for _, p := range m.entries {
		p.initialize()
		p.Delegate.(*collector).peers = p
	}
	return m
}

// reachAllPeers lets each entry send enough rounds to reach each of its peers once.
func (m *mesh) reachAllPeers() { m.rounds((len(m.entries) + maxFanout - 1) / maxFanout) }

// rounds lets each entry send n rounds.
func (m *mesh) rounds(n int) {
	for range n {
		m.now = m.now.Add(minRoundInterval)
		for _, p := range m.entries {
			p.sendRound(m.now)
		}
	}
}

// TestEventsReachEveryPeer guards against an entry of a large fleet sending events only to the
// peers of one or two rounds, so that most peers never receive them, and against events lost with a
// datagram.
func TestEventsReachEveryPeer(t *testing.T) {
	const entries, events = 60, 10
	m := newMesh(entries, 0.2)
	m.reachAllPeers()
	for i, k := range m.collectors {
		for j := range events {
			k.events.CachedParts = append(k.events.CachedParts, CachedPart{Target: uint32(i), Part: uint32(j), Ready: true})
		}
	}
	for range 8 {
		m.reachAllPeers()
	}
	deliveries := 0
	for i, k := range m.collectors {
		assert.Equal(t, len(k.received), (entries-1)*events, "entry %d has received all events of all others", i)
		for _, n := range k.received {
			deliveries += n
		}
	}
	assert.Assert(t, deliveries <= 3*entries*(entries-1)*events, "each event is sent %f times", float64(deliveries)/(entries*(entries-1)*events))
	m.lossRatio = 0
	m.reachAllPeers()
	m.reachAllPeers()
	m.bytes = 0
	m.reachAllPeers()
	assert.Assert(t, m.bytes < 150*entries*(entries+maxFanout), "%d bytes per datagram without events", m.bytes/(entries*entries))
}

// TestEventLogIsBounded guards against memory growth while peers confirm nothing.
func TestEventLogIsBounded(t *testing.T) {
	var l eventLog
	for i := range uint32(3 * maxLoggedEvents) {
		l.add(0, Events{Replaced: []uint32{i}})
		assert.Assert(t, len(l.events) <= maxLoggedEvents)
	}
	assert.Equal(t, l.end(), uint64(3*maxLoggedEvents))
	var r Report
	next := l.fillReport(0, &r, 0, maxEventsPerReport)
	assert.Equal(t, len(r.Replaced), maxEventsPerReport)
	assert.Equal(t, uint64(r.Replaced[maxEventsPerReport-1])+1, next)
	assert.Equal(t, l.fillReport(0, &r, next+maxLoggedEvents*9, maxEventsPerReport), l.end())
	assert.Equal(t, len(r.Replaced), 0)
}

// TestConfirmedEventsAreNotResent guards against a wrong cursor after confirmations that arrive
// late, twice or never.
func TestConfirmedEventsAreNotResent(t *testing.T) {
	c := cursor{firstUnconfirmed: 5}
	c.recordSent(100, 8)
	c.recordSent(200, 9)
	c.confirm(150)
	assert.Equal(t, c.firstUnconfirmed, uint64(5))
	c.confirm(200)
	assert.Equal(t, c.firstUnconfirmed, uint64(9))
	c.confirm(100)
	assert.Equal(t, c.firstUnconfirmed, uint64(9))
	for i := range int64(10) {
		c.recordSent(300+i, 20+uint64(i))
	}
	c.confirm(300)
	assert.Equal(t, c.firstUnconfirmed, uint64(9), "an old datagram is no longer recorded")
	c.confirm(309)
	assert.Equal(t, c.firstUnconfirmed, uint64(29))
}
