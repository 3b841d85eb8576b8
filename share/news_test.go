package share

import (
	"math/rand/v2"
	"net"
	"net/netip"
	"testing"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/clock"
)

// mesh connects entries without a network; a share of the datagrams is lost.
type mesh struct {
	entries map[string]*Peers
	knowers []*collector
	rand    *rand.Rand
	loss    float64
	bytes   int
	now     clock.Stamp
	// held keeps datagrams back until the next call of deliver.
	held    bool
	pending []func()
}

// collector collects the events that reach one entry.
type collector struct {
	news News
	got  map[Hold]int
	// crashes are those that came, and losses what is reported to entries that missed it.
	crashes map[Crash]bool
	losses  []Crash
	// peers is the entry itself, which forwards what is new to it.
	peers *Peers
}

func (c *collector) FillReport(_ clock.Stamp, r *Report) { r.Age = -1 }

func (c *collector) Losses(clock.Stamp) []Crash { return c.losses }

func (c *collector) News() News {
	n := c.news
	c.news = News{}
	return n
}

func (c *collector) MergeReport(now clock.Stamp, r *Report, _ clock.Stamp) {
	for _, h := range r.Holds {
		c.got[h]++
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
	m.bytes += len(b) + overhead
	if m.rand.Float64() < m.loss {
		return len(b), nil
	}
	r, err := decode(b)
	if err != nil {
		return 0, err
	}
	if m.held {
		m.pending = append(m.pending, func() { m.entries[to.String()].take(m.now, r, len(b)) })
		return len(b), nil
	}
	m.entries[to.String()].take(m.now, r, len(b))
	return len(b), nil
}

// deliver delivers the datagrams that were kept back.
func (m *mesh) deliver() {
	list := m.pending
	m.pending = nil
	for _, f := range list {
		f()
	}
}

func newMesh(n int, loss float64) *mesh {
	m := &mesh{entries: make(map[string]*Peers), rand: rand.New(rand.NewPCG(1, 2)), loss: loss, now: clock.Now()}
	addrs := make([]netip.AddrPort, n)
	for i := range addrs {
		addrs[i] = netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7)
	}
	for i, a := range addrs {
		k := &collector{got: make(map[Hold]int), crashes: make(map[Crash]bool)}
		m.knowers = append(m.knowers, k)
		m.entries[a.String()] = &Peers{
			Self: a, Seeds: addrs, Run: uint32(i + 1), Knowledge: k, Conn: &meshConn{mesh: m}, OnError: func(error) {},
		}
	}
	for _, p := range m.entries {
		p.begin()
		p.Knowledge.(*collector).peers = p
	}
	return m
}

// sweep lets each entry send as many rounds as it takes to reach each peer once.
func (m *mesh) sweep() { m.rounds((len(m.entries) + fanout - 1) / fanout) }

// rounds lets each entry send some rounds.
func (m *mesh) rounds(n int) {
	for range n {
		m.now = m.now.Add(fast)
		for _, p := range m.entries {
			p.round(m.now)
		}
	}
}

// TestNewsReachEveryPeer guards against events that a large fleet's entry sends to the peers
// of one or two rounds only, so that most never get them, and against events that are lost
// with a datagram.
func TestNewsReachEveryPeer(t *testing.T) {
	const entries, events = 60, 10
	m := newMesh(entries, 0.2)
	m.sweep()
	for i, k := range m.knowers {
		for j := range events {
			k.news.Holds = append(k.news.Holds, Hold{Target: uint32(i), Part: uint32(j), Ready: true})
		}
	}
	for range 8 {
		m.sweep()
	}
	told := 0
	for i, k := range m.knowers {
		assert.Equal(t, len(k.got), (entries-1)*events, "entry %d knows all events of all others", i)
		for _, n := range k.got {
			told += n
		}
	}
	assert.Assert(t, told <= 3*entries*(entries-1)*events, "each event is told %f times", float64(told)/(entries*(entries-1)*events))
	m.loss = 0
	m.sweep()
	m.sweep()
	m.bytes = 0
	m.sweep()
	assert.Assert(t, m.bytes < 150*entries*(entries+fanout), "%d bytes a datagram without news", m.bytes/(entries*entries))
}

// TestNewsAreBounded guards against memory that grows while peers confirm nothing.
func TestNewsAreBounded(t *testing.T) {
	var l newsLog
	for i := range uint32(3 * newsKept) {
		l.add(0, News{Gone: []uint32{i}})
		assert.Assert(t, len(l.events) <= newsKept)
	}
	assert.Equal(t, l.end(), uint64(3*newsKept))
	var r Report
	next := l.fill(0, &r, 0, newsTold)
	assert.Equal(t, len(r.Gone), newsTold)
	assert.Equal(t, uint64(r.Gone[newsTold-1])+1, next)
	assert.Equal(t, l.fill(0, &r, next+newsKept*9, newsTold), l.end())
	assert.Equal(t, len(r.Gone), 0)
}

// TestConfirmedNewsAreNotToldAgain plays confirmations that come late, twice or never.
func TestConfirmedNewsAreNotToldAgain(t *testing.T) {
	c := cursor{has: 5}
	c.sent(100, 8)
	c.sent(200, 9)
	c.confirm(150)
	assert.Equal(t, c.has, uint64(5))
	c.confirm(200)
	assert.Equal(t, c.has, uint64(9))
	c.confirm(100)
	assert.Equal(t, c.has, uint64(9))
	for i := range int64(10) {
		c.sent(300+i, 20+uint64(i))
	}
	c.confirm(300)
	assert.Equal(t, c.has, uint64(9), "a datagram of long ago is not remembered")
	c.confirm(309)
	assert.Equal(t, c.has, uint64(29))
}
