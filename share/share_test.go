package share

import (
	"context"
	"fmt"
	"net"
	"net/http"
	"net/http/httptest"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep/clock"
)

// knower tells and learns for one entry.
type knower struct {
	mu      sync.Mutex
	loads   []Load
	news    News
	learned map[netip.AddrPort]*Report
	asked   map[netip.AddrPort]clock.Stamp
	lists   int
}

func (k *knower) FillReport(_ clock.Stamp, r *Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r.Loads, r.Age = k.loads, 5
}

func (k *knower) News() News {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.news
	k.news = News{}
	return n
}

func (k *knower) Losses(clock.Stamp) []Crash { return nil }

func (k *knower) MergeReport(_ clock.Stamp, r *Report, asked clock.Stamp) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lists += len(r.Lists)
	k.learned[r.From] = r
	if asked != 0 {
		k.asked[r.From] = asked
	}
}

func (k *knower) heard() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.learned)
}

// entry starts peers on loopback.
func entry(t *testing.T, seeds ...netip.AddrPort) (*Peers, *knower) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := netip.MustParseAddrPort(conn.LocalAddr().String())
	k := &knower{learned: make(map[netip.AddrPort]*Report), asked: make(map[netip.AddrPort]clock.Stamp)}
	p := &Peers{Self: self, Seeds: seeds, Run: uint32(self.Port()), Knowledge: k, Conn: conn, OnError: func(error) {}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Loop(ctx)
	return p, k
}

func until(t *testing.T, ok func() bool, what string) {
	t.Helper()
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if ok() {
			return poll.Success()
		}
		return poll.Continue("%s", what)
	}, poll.WithTimeout(20*time.Second), poll.WithDelay(5*time.Millisecond))
}

// Entries know one seed each, and the seed itself may be stale. All find each other;
// an entry that nobody finds would divide budgets by too few.
func TestEntriesFindEachOther(t *testing.T) {
	stale := netip.MustParseAddrPort("127.0.0.1:9")
	first, k := entry(t, stale)
	all := []*knower{k}
	last := first.Self
	for range 4 {
		p, k := entry(t, stale, last)
		all = append(all, k)
		last = p.Self
	}
	for i, k := range all {
		until(t, func() bool { return k.heard() == 4 }, fmt.Sprintf("entry %d hears the four others", i))
	}
	first.Spread(NewList(3, []uint64{1, 2, 3}))
	for _, k := range all[1:] {
		until(t, func() bool { k.mu.Lock(); defer k.mu.Unlock(); return k.lists == 1 }, "the list is heard")
	}
}

// A datagram is held up, or lies unread while the process is suspended. The moment
// that it is taken to prove must not be later than it was made: a key that was taken
// away since would live on. The echo of our own clock bounds it.
func TestEchoProvesNoLaterThanItWas(t *testing.T) {
	k := &knower{learned: make(map[netip.AddrPort]*Report), asked: make(map[netip.AddrPort]clock.Stamp)}
	self, from := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")
	p := &Peers{Self: self, Run: 11, Knowledge: k, Conn: &sent{}, OnError: func(error) {}}
	p.begin()
	const ms = clock.Stamp(time.Millisecond)
	p.take(1000*ms, &Report{From: from, Run: 5, Number: 1, Echo: 400, EchoRun: 11}, 10)
	assert.Equal(t, k.asked[from], 400*ms)
	// From another life of this process, or from a clock that began anew.
	p.take(1000*ms, &Report{From: from, Run: 5, Number: 2, Echo: 900, EchoRun: 10}, 10)
	p.take(1000*ms, &Report{From: from, Run: 5, Number: 3, Echo: 2000, EchoRun: 11}, 10)
	assert.Equal(t, k.asked[from], 400*ms)
	// One that comes after a later one of the same run is not taken at all.
	p.take(1000*ms, &Report{From: from, Run: 5, Number: 2, Echo: 500, EchoRun: 11}, 10)
	assert.Equal(t, k.asked[from], 400*ms)
}

// Bytes that are no report, and reports cut short, do no harm.
func TestDecodeAnything(t *testing.T) {
	whole, err := encode(report(10, 16))
	assert.NilError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		_, _ = decode(b)
		_, _ = decode(whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "cut")])
	})
	r, err := decode(whole)
	assert.NilError(t, err)
	assert.DeepEqual(t, r.Loads, report(10, 16).Loads)
}

// report has loads at n targets, and holds of which some are news.
func report(n, holds int) *Report {
	r := &Report{From: netip.MustParseAddrPort("10.0.0.1:7340"), Run: 1 << 30, Number: 1000, Sent: 1 << 31, Echo: 1 << 31, EchoRun: 1 << 30, Version: 7}
	for i := range n {
		r.Loads = append(r.Loads, Load{Target: uint32(i) * 2654435761, Running: 3, Reading: 40})
	}
	for i := range holds {
		r.Holds = append(r.Holds, Hold{Target: uint32(i) * 2654435761, Part: uint32(i) * 40503, Ready: true})
	}
	return r
}

// sizes are those of a small installation, a grown one, and the planned one: peers,
// targets with requests in progress, holds in a datagram.
var sizes = []struct{ peers, loads, holds int }{{4, 12, 16}, {23, 20, 8}, {349, 60, 8}}

// A node may spend 26 KB a second on control, in a fleet of any size. An entry that
// told all its peers all it knows would spend that on datagrams alone.
func TestPaceKeepsTheRate(t *testing.T) {
	for _, size := range sizes {
		b, err := encode(report(size.loads, size.holds))
		assert.NilError(t, err)
		p := &Peers{size: len(b)}
		told := min(size.peers, p.most())
		round := told * (len(b) + overhead)
		pause := Pace(round)
		perSecond := float64(round) / pause.Seconds()
		t.Logf("%d peers: %d bytes a datagram, %d told each %s, %.0f bytes a second", size.peers, len(b), told, pause, perSecond)
		assert.Assert(t, perSecond <= 26_000, "%f", perSecond)
	}
}

// BenchmarkRound is the processor time of one round of datagrams, without sockets.
func BenchmarkRound(b *testing.B) {
	for _, size := range sizes {
		b.Run(fmt.Sprint(size.peers), func(b *testing.B) {
			r := report(size.loads, size.holds)
			for b.Loop() {
				for range min(size.peers, fanout) {
					raw, err := encode(r)
					if err != nil {
						b.Fatal(err)
					}
					if _, err := decode(raw); err != nil {
						b.Fatal(err)
					}
				}
			}
		})
	}
}

// A peer names an address at which nobody is. It is not asked for ever.
func TestAddressWithoutEntryIsForgotten(t *testing.T) {
	k := &knower{learned: make(map[netip.AddrPort]*Report), asked: make(map[netip.AddrPort]clock.Stamp)}
	self, nobody := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.9:7")
	p := &Peers{Self: self, Run: 1, Knowledge: k, Conn: &sent{}, OnError: func(error) {}}
	p.begin()
	p.take(clock.Now(), &Report{From: netip.MustParseAddrPort("10.0.0.2:7"), Run: 5, Number: 1, Peers: []netip.AddrPort{nobody}}, 10)
	assert.Assert(t, p.peers[nobody] != nil)
	p.choose(clock.Now().Add(2*peerKeep), &Report{})
	assert.Assert(t, p.peers[nobody] == nil)
}

// sent notes who is sent datagrams.
type sent struct {
	net.PacketConn
	to []string
}

func (s *sent) WriteTo(b []byte, to net.Addr) (int, error) {
	s.to = append(s.to, to.String())
	return len(b), nil
}

// An entry starts in a large fleet, in which each of its peers tells it something
// every few seconds. Until one has, it knows nobody to ask for what it lost, and its
// callers' prompts are read again. Peers answer its first word at once, and only that.
func TestNewcomerIsGreeted(t *testing.T) {
	k := &knower{learned: make(map[netip.AddrPort]*Report), asked: make(map[netip.AddrPort]clock.Stamp)}
	self, from := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")
	conn := &sent{}
	p := &Peers{Self: self, Run: 1, Knowledge: k, Conn: conn, OnError: func(error) {}}
	p.begin()
	p.take(clock.Now(), &Report{From: from, Run: 5, Number: 1}, 10)
	p.take(clock.Now(), &Report{From: from, Run: 5, Number: 2}, 10)
	assert.DeepEqual(t, conn.to, []string{from.String()})
	// It restarts.
	p.take(clock.Now(), &Report{From: from, Run: 6, Number: 1}, 10)
	assert.Equal(t, len(conn.to), 2)
}

// TestCopiesAreBounded guards against a fleet that starts at once copying from the one entry that
// knows, whose link is then full for seconds.
func TestCopiesAreBounded(t *testing.T) {
	hold := make(chan struct{})
	c := &Caches{Lists: func() []List { <-hold; return []List{{Target: 1}} }}
	srv := httptest.NewServer(c)
	defer srv.Close()
	results := make(chan int, 4)
	for range 4 {
		go func() {
			resp, err := http.Get(srv.URL)
			if err != nil {
				results <- 0
				return
			}
			resp.Body.Close()
			results <- resp.StatusCode
		}()
	}
	for range 2 {
		assert.Equal(t, <-results, http.StatusServiceUnavailable)
	}
	close(hold)
	for range 2 {
		assert.Equal(t, <-results, http.StatusOK)
	}
}
