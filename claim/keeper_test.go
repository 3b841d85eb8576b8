package claim

import (
	"context"
	"net/netip"
	"slices"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/origin"
)

// fleet is a set of keepers that exchange datagrams in memory.
type fleet struct {
	mu      sync.Mutex
	keepers map[netip.AddrPort]*Keeper
	list    []*Keeper
	// dropped selects the datagrams that are lost, copies is how often the others arrive.
	dropped func(to netip.AddrPort, m *message) bool
	copies  int
}

func newFleet(entries int) *fleet {
	f := &fleet{keepers: make(map[netip.AddrPort]*Keeper), copies: 1}
	for i := range entries {
		k := &Keeper{Self: origin.Member{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, 0, byte(i)}), 1), Domain: uint32(i % 3)}, Send: f.send}
		f.list, f.keepers[k.Self.Addr] = append(f.list, k), k
		k.Members = func() []origin.Member {
			var members []origin.Member
			for _, other := range f.list {
				if other != k {
					members = append(members, other.Self)
				}
			}
			return members
		}
	}
	return f
}

// send delivers a datagram later, as a keeper sends while it holds its mutex.
func (f *fleet) send(to netip.AddrPort, b []byte) {
	f.mu.Lock()
	defer f.mu.Unlock()
	m, err := decodeMessage(b)
	if err != nil || f.dropped != nil && f.dropped(to, m) {
		return
	}
	for range f.copies {
		go func() { _ = f.keepers[to].Receive(clock.Now(), b) }()
	}
}

func shortage(workspace string) Shortage {
	return Shortage{
		ID: workspace, Workspace: workspace, WithinShare: true, Remaining: 1500 * time.Millisecond,
		Objective: 300 * time.Millisecond, Hold: 60 * time.Millisecond, Released: 20,
	}
}

// content returns a content that neither of the first two keepers holds.
func (f *fleet) content() uint64 {
	for c := uint64(1); ; c++ {
		if !slices.ContainsFunc(f.list[0].holders(c), func(m origin.Member) bool { return m == f.list[0].Self || m == f.list[1].Self }) {
			return c
		}
	}
}

// grant lets the first keeper grant a claim, and waits until it is due.
func (f *fleet) grant(t *testing.T, content uint64) {
	t.Helper()
	p := f.list[0].Refuse(clock.Now(), "shop", content, shortage("w"))
	assert.Assert(t, p.Granted)
	time.Sleep(p.Wait)
}

// find looks a claim up at the second keeper, again while no holder answers in time on a busy machine.
func (f *fleet) find(content uint64) State {
	a := Answer{}
	for range 5 {
		if a = f.list[1].Find(context.Background(), content); a.State != Unknown {
			break
		}
	}
	return a.State
}

// TestClaimOutlivesEntries guards against a claim that is lost with the entry that granted it or with one of
// its holders, and against one that is honoured though both holders are gone or were restarted.
func TestClaimOutlivesEntries(t *testing.T) {
	for name, c := range map[string]struct {
		gone func(f *fleet, holders []origin.Member) []netip.AddrPort
		want State
	}{
		"none":    {func(*fleet, []origin.Member) []netip.AddrPort { return nil }, Valid},
		"granter": {func(f *fleet, _ []origin.Member) []netip.AddrPort { return []netip.AddrPort{f.list[0].Self.Addr} }, Valid},
		"first":   {func(_ *fleet, h []origin.Member) []netip.AddrPort { return []netip.AddrPort{h[0].Addr} }, Valid},
		"second":  {func(_ *fleet, h []origin.Member) []netip.AddrPort { return []netip.AddrPort{h[1].Addr} }, Valid},
		"both":    {func(_ *fleet, h []origin.Member) []netip.AddrPort { return []netip.AddrPort{h[0].Addr, h[1].Addr} }, Unknown},
	} {
		for _, restarted := range []bool{false, true} {
			t.Run(name, func(t *testing.T) {
				f := newFleet(21)
				content := f.content()
				f.grant(t, content)
				gone := c.gone(f, f.list[0].holders(content))
				if restarted {
					for _, a := range gone {
						f.keepers[a].mu.Lock()
						f.keepers[a].ledger = Ledger{}
						f.keepers[a].mu.Unlock()
					}
				} else {
					f.mu.Lock()
					f.dropped = func(to netip.AddrPort, _ *message) bool { return slices.Contains(gone, to) }
					f.mu.Unlock()
				}
				assert.Equal(t, f.find(content), c.want)
			})
		}
	}
}

// TestLostDatagram guards against a claim that needs each of its datagrams.
func TestLostDatagram(t *testing.T) {
	for _, kind := range []uint8{kindGrant, kindLookup} {
		f := newFleet(21)
		content, lost := f.content(), 0
		f.dropped = func(_ netip.AddrPort, m *message) bool {
			if m.Kind == kind {
				lost++
			}
			return m.Kind == kind && lost == 1
		}
		f.grant(t, content)
		assert.Equal(t, f.find(content), Valid, "kind %d", kind)
	}
}

// TestRepeatedDatagrams guards against a claim that is used twice, or refused to the caller that used it,
// because datagrams arrive twice.
func TestRepeatedDatagrams(t *testing.T) {
	f := newFleet(21)
	f.copies = 2
	content := f.content()
	f.grant(t, content)
	assert.Equal(t, f.find(content), Valid)
	assert.Equal(t, f.find(content), Used)
}

// TestPartitionedEntry guards against an entry without peers that waits for them, or grants more than its
// part of the places that become free.
func TestPartitionedEntry(t *testing.T) {
	f := newFleet(21)
	f.dropped = func(netip.AddrPort, *message) bool { return true }
	granted, now := 0, clock.Now()
	for i := range 1000 {
		s := shortage(string(rune('a' + i%20)))
		granted += toInt(f.list[0].Refuse(now.Add(time.Duration(i)*time.Millisecond), "shop", uint64(i), s).Granted)
	}
	s := shortage("w")
	limit := grantRatio * 20 * (1 + (creditTime + s.latestDue()).Seconds())
	assert.Assert(t, granted > 5 && float64(granted) <= limit+1, "%d claims, at most %.0f", granted, limit)
	began := time.Now()
	assert.Equal(t, f.list[0].Find(context.Background(), f.content()).State, Unknown)
	assert.Assert(t, time.Since(began) < 5*time.Second)
}

// TestSendRateIsBounded guards against lookups that take the bandwidth of an entry's link.
func TestSendRateIsBounded(t *testing.T) {
	f := newFleet(21)
	var mu sync.Mutex
	sent, k := 0, f.list[0]
	k.Send = func(_ netip.AddrPort, b []byte) {
		mu.Lock()
		defer mu.Unlock()
		sent += len(b) + datagramOverhead
	}
	began := clock.Now()
	var wg sync.WaitGroup
	for i := range 500 {
		wg.Add(1)
		go func() { defer wg.Done(); k.Find(context.Background(), uint64(i)) }()
	}
	wg.Wait()
	limit := sendBurst + maxSendRate*clock.Now().Sub(began).Seconds() + 100
	assert.Assert(t, float64(sent) <= limit, "%d bytes, at most %.0f", sent, limit)
}

// TestInvalidMessages guards against datagrams that are not valid, and against answers that were not asked for.
func TestInvalidMessages(t *testing.T) {
	f := newFleet(2)
	for _, b := range []string{"", "\x80", "\xff", "\x87\x40\x00\x00\x00\x00\xf4\x00"} {
		assert.Assert(t, f.list[0].Receive(clock.Now(), []byte(b)) != nil, "%q", b)
	}
	m := message{From: f.list[1].Self.Addr, Kind: kindAnswer, Number: 7, State: Valid}
	assert.NilError(t, f.list[0].Receive(clock.Now(), m.encode()))
}

func toInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
