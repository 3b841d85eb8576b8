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

// testDelegate tells and learns for one entry.
type testDelegate struct {
	mu        sync.Mutex
	loads     []Load
	events    Events
	reports   map[netip.AddrPort]*Report
	notBefore map[netip.AddrPort]clock.Stamp
	lists     int
}

func (k *testDelegate) FillReport(_ clock.Stamp, r *Report) {
	k.mu.Lock()
	defer k.mu.Unlock()
	r.Loads, r.Age = k.loads, 5
}

func (k *testDelegate) TakeEvents() Events {
	k.mu.Lock()
	defer k.mu.Unlock()
	n := k.events
	k.events = Events{}
	return n
}

func (k *testDelegate) RecentCrashes(clock.Stamp) []Crash { return nil }

func (k *testDelegate) MergeReport(_ clock.Stamp, r *Report, notBefore clock.Stamp) {
	k.mu.Lock()
	defer k.mu.Unlock()
	k.lists += len(r.CacheLists)
	k.reports[r.From] = r
	if notBefore != 0 {
		k.notBefore[r.From] = notBefore
	}
}

func (k *testDelegate) reportCount() int {
	k.mu.Lock()
	defer k.mu.Unlock()
	return len(k.reports)
}

// startPeers starts peers on loopback.
func startPeers(t *testing.T, seeds ...netip.AddrPort) (*Peers, *testDelegate) {
	t.Helper()
	conn, err := net.ListenPacket("udp", "127.0.0.1:0")
	assert.NilError(t, err)
	self := netip.MustParseAddrPort(conn.LocalAddr().String())
	k := &testDelegate{reports: make(map[netip.AddrPort]*Report), notBefore: make(map[netip.AddrPort]clock.Stamp)}
	p := &Peers{Self: self, Seeds: seeds, Incarnation: uint32(self.Port()), Delegate: k, Conn: conn, OnError: func(error) {}}
	ctx, cancel := context.WithCancel(context.Background())
	t.Cleanup(cancel)
	go p.Loop(ctx)
	return p, k
}

func waitUntil(t *testing.T, ok func() bool, what string) {
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
	first, k := startPeers(t, stale)
	all := []*testDelegate{k}
	last := first.Self
	for range 4 {
		p, k := startPeers(t, stale, last)
		all = append(all, k)
		last = p.Self
	}
	for i, k := range all {
		waitUntil(t, func() bool { return k.reportCount() == 4 }, fmt.Sprintf("entry %d hears the four others", i))
	}
	first.SendLists(NewCacheList(3, []uint64{1, 2, 3}))
	for _, k := range all[1:] {
		waitUntil(t, func() bool { k.mu.Lock(); defer k.mu.Unlock(); return k.lists == 1 }, "the list is heard")
	}
}

// A datagram is held up, or lies unread while the process is suspended. The moment
// that it is taken to prove must not be later than it was made: a key that was taken
// away since would live on. The echo of our own clock bounds it.
func TestEchoBoundsReportTime(t *testing.T) {
	k := &testDelegate{reports: make(map[netip.AddrPort]*Report), notBefore: make(map[netip.AddrPort]clock.Stamp)}
	self, from := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")
	p := &Peers{Self: self, Incarnation: 11, Delegate: k, Conn: &recordingConn{}, OnError: func(error) {}}
	p.initialize()
	const ms = clock.Stamp(time.Millisecond)
	p.handleReport(1000*ms, &Report{From: from, Incarnation: 5, Sequence: 1, Echo: 400, EchoIncarnation: 11}, 10)
	assert.Equal(t, k.notBefore[from], 400*ms)
	// From another life of this process, or from a clock that began anew.
	p.handleReport(1000*ms, &Report{From: from, Incarnation: 5, Sequence: 2, Echo: 900, EchoIncarnation: 10}, 10)
	p.handleReport(1000*ms, &Report{From: from, Incarnation: 5, Sequence: 3, Echo: 2000, EchoIncarnation: 11}, 10)
	assert.Equal(t, k.notBefore[from], 400*ms)
	// One that comes after a later one of the same run is not taken at all.
	p.handleReport(1000*ms, &Report{From: from, Incarnation: 5, Sequence: 2, Echo: 500, EchoIncarnation: 11}, 10)
	assert.Equal(t, k.notBefore[from], 400*ms)
}

// Bytes that are no report, and reports cut short, do no harm.
func TestDecodeAnything(t *testing.T) {
	whole, err := encode(newReport(10, 16))
	assert.NilError(t, err)
	rapid.Check(t, func(t *rapid.T) {
		b := rapid.SliceOf(rapid.Byte()).Draw(t, "bytes")
		_, _ = decode(b)
		_, _ = decode(whole[:rapid.IntRange(0, len(whole)-1).Draw(t, "cut")])
	})
	r, err := decode(whole)
	assert.NilError(t, err)
	assert.DeepEqual(t, r.Loads, newReport(10, 16).Loads)
}

// newReport has loads at n targets, and holds of which some are news.
func newReport(n, holds int) *Report {
	r := &Report{From: netip.MustParseAddrPort("10.0.0.1:7340"), Incarnation: 1 << 30, Sequence: 1000, Sent: 1 << 31, Echo: 1 << 31, EchoIncarnation: 1 << 30, Version: 7}
	for i := range n {
		r.Loads = append(r.Loads, Load{Target: uint32(i) * 2654435761, Running: 3, PendingPrefill: 40})
	}
	for i := range holds {
		r.CachedParts = append(r.CachedParts, CachedPart{Target: uint32(i) * 2654435761, Part: uint32(i) * 40503, Ready: true})
	}
	return r
}

// fleetSizes are those of a small installation, a grown one, and the planned one: peers,
// targets with requests in progress, holds in a datagram.
var fleetSizes = []struct{ peers, loads, holds int }{{4, 12, 16}, {23, 20, 8}, {349, 60, 8}}

// A node may spend 26 KB a second on control, in a fleet of any size. An entry that
// told all its peers all it knows would spend that on datagrams alone.
func TestRoundIntervalKeepsTheRate(t *testing.T) {
	for _, size := range fleetSizes {
		b, err := encode(newReport(size.loads, size.holds))
		assert.NilError(t, err)
		p := &Peers{lastReportSize: len(b)}
		recipients := min(size.peers, p.fanoutLimit())
		round := recipients * (len(b) + packetOverhead)
		pause := RoundInterval(round)
		perSecond := float64(round) / pause.Seconds()
		t.Logf("%d peers: %d bytes a datagram, %d told each %s, %.0f bytes a second", size.peers, len(b), recipients, pause, perSecond)
		assert.Assert(t, perSecond <= 26_000, "%f", perSecond)
	}
}

// BenchmarkRound is the processor time of one round of datagrams, without sockets.
func BenchmarkRound(b *testing.B) {
	for _, size := range fleetSizes {
		b.Run(fmt.Sprint(size.peers), func(b *testing.B) {
			r := newReport(size.loads, size.holds)
			for b.Loop() {
				for range min(size.peers, maxFanout) {
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
	k := &testDelegate{reports: make(map[netip.AddrPort]*Report), notBefore: make(map[netip.AddrPort]clock.Stamp)}
	self, deadAddr := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.9:7")
	p := &Peers{Self: self, Incarnation: 1, Delegate: k, Conn: &recordingConn{}, OnError: func(error) {}}
	p.initialize()
	p.handleReport(clock.Now(), &Report{From: netip.MustParseAddrPort("10.0.0.2:7"), Incarnation: 5, Sequence: 1, Peers: []netip.AddrPort{deadAddr}}, 10)
	assert.Assert(t, p.peers[deadAddr] != nil)
	p.selectPeers(clock.Now().Add(2*peerTTL), &Report{})
	assert.Assert(t, p.peers[deadAddr] == nil)
}

// recordingConn notes who is sent datagrams.
type recordingConn struct {
	net.PacketConn
	to []string
}

func (s *recordingConn) WriteTo(b []byte, to net.Addr) (int, error) {
	s.to = append(s.to, to.String())
	return len(b), nil
}

// An entry starts in a large fleet, in which each of its peers tells it something
// every few seconds. Until one has, it knows nobody to ask for what it lost, and its
// callers' prompts are read again. Peers answer its first word at once, and only that.
func TestNewPeerIsAnsweredAtOnce(t *testing.T) {
	k := &testDelegate{reports: make(map[netip.AddrPort]*Report), notBefore: make(map[netip.AddrPort]clock.Stamp)}
	self, from := netip.MustParseAddrPort("10.0.0.1:7"), netip.MustParseAddrPort("10.0.0.2:7")
	conn := &recordingConn{}
	p := &Peers{Self: self, Incarnation: 1, Delegate: k, Conn: conn, OnError: func(error) {}}
	p.initialize()
	p.handleReport(clock.Now(), &Report{From: from, Incarnation: 5, Sequence: 1}, 10)
	p.handleReport(clock.Now(), &Report{From: from, Incarnation: 5, Sequence: 2}, 10)
	assert.DeepEqual(t, conn.to, []string{from.String()})
	// It restarts.
	p.handleReport(clock.Now(), &Report{From: from, Incarnation: 6, Sequence: 1}, 10)
	assert.Equal(t, len(conn.to), 2)
}

// TestCopiesAreBounded guards against a fleet that starts at once copying from the one entry that
// knows, whose link is then full for seconds.
func TestCopiesAreBounded(t *testing.T) {
	hold := make(chan struct{})
	c := &CacheServer{Lists: func() []CacheList { <-hold; return []CacheList{{Target: 1}} }}
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
