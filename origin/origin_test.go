package origin

import (
	"context"
	"fmt"
	"net/netip"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const findTimeout = 200 * time.Millisecond

// fleet is a set of directories that exchange datagrams in memory.
type fleet struct {
	mu      sync.Mutex
	entries map[netip.AddrPort]*Directory
	// dropped selects the datagrams that are lost; nil loses none.
	dropped func(to netip.AddrPort) bool
}

func member(i, domains int) Member {
	return Member{Addr: netip.AddrPortFrom(netip.AddrFrom4([4]byte{10, 0, byte(i >> 8), byte(i)}), 7000), Domain: uint32(i % domains)}
}

func newFleet(entries, domains int) (*fleet, []*Directory) {
	f := &fleet{entries: make(map[netip.AddrPort]*Directory)}
	var list []*Directory
	for i := range entries {
		d := &Directory{Self: member(i, domains), Send: f.send}
		d.Members = func() []Member { return f.others(d) }
		f.entries[d.Self.Addr] = d
		list = append(list, d)
	}
	return f, list
}

func (f *fleet) others(d *Directory) []Member {
	f.mu.Lock()
	defer f.mu.Unlock()
	var list []Member
	for a, other := range f.entries {
		if a != d.Self.Addr {
			list = append(list, other.Self)
		}
	}
	return list
}

func (f *fleet) send(to netip.AddrPort, b []byte) {
	f.mu.Lock()
	d := f.entries[to]
	lost := f.dropped != nil && f.dropped(to)
	f.mu.Unlock()
	if d != nil && !lost {
		_ = d.Receive(clock.Now(), b)
	}
}

// remove ends an entry; the others still list it if listed is set.
func (f *fleet) remove(d *Directory, listed bool) {
	f.mu.Lock()
	defer f.mu.Unlock()
	delete(f.entries, d.Self.Addr)
	if listed {
		f.entries[d.Self.Addr] = &Directory{Self: d.Self, Send: func(netip.AddrPort, []byte) {}, Members: d.Members}
		f.dropped = func(to netip.AddrPort) bool { return to == d.Self.Addr }
	}
}

// TestRecordSurvivesItsEntry guards against a stream that no entry can continue after the one that
// served it was killed, whether the others have noticed that or not.
func TestRecordSurvivesItsEntry(t *testing.T) {
	for _, entries := range []int{2, 4, 24, 350} {
		for _, listed := range []bool{true, false} {
			f, list := newFleet(entries, 3)
			for n := range 20 {
				list[0].Record(fmt.Sprint("s-", n), "shop", "1")
			}
			f.remove(list[0], listed)
			for n := range 20 {
				b, ok := list[1+n%(entries-1)].Find(context.Background(), fmt.Sprint("s-", n), findTimeout)
				assert.Assert(t, ok, "stream %d of %d entries", n, entries)
				assert.Equal(t, b, chestnutstep.NewBuildID("shop", "1"))
			}
		}
	}
}

// TestUnknownStreamIsNotFound guards against a request that waits for its whole timeout although
// all entries have answered, and for longer if none does.
func TestUnknownStreamIsNotFound(t *testing.T) {
	f, list := newFleet(4, 3)
	began := time.Now()
	_, ok := list[0].Find(context.Background(), "unknown", 10*time.Second)
	assert.Assert(t, !ok && time.Since(began) < 5*time.Second)
	f.dropped = func(netip.AddrPort) bool { return true }
	began = time.Now()
	_, ok = list[0].Find(context.Background(), "unknown", findTimeout)
	assert.Assert(t, !ok && time.Since(began) >= findTimeout)
}

// TestLostLookupIsRepeated guards against a stream that is refused because one datagram was lost.
func TestLostLookupIsRepeated(t *testing.T) {
	f, list := newFleet(2, 1)
	list[0].Record("s", "shop", "1")
	list[1].store = Store{}
	lost := 0
	f.dropped = func(netip.AddrPort) bool { lost++; return lost == 1 }
	_, ok := list[1].Find(context.Background(), "s", 10*time.Second)
	assert.Assert(t, ok)
}

// TestHolders guards against copies of a record that are all in one failure domain, and against
// holders that change with entries other than themselves.
func TestHolders(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		entries, domains := rapid.IntRange(1, 60).Draw(t, "entries"), rapid.IntRange(1, 4).Draw(t, "domains")
		stream := StreamID(rapid.Uint64().Draw(t, "stream"))
		var members []Member
		inUse := make(map[uint32]bool)
		for i := range entries {
			members = append(members, member(i, domains))
			inUse[uint32(i%domains)] = true
		}
		holders := Holders(stream, members, copies)
		assert.Equal(t, len(holders), min(copies, entries))
		seen := make(map[uint32]bool)
		for _, h := range holders {
			seen[h.Domain] = true
		}
		assert.Equal(t, len(seen), min(copies, len(inUse)))
		gone := rapid.IntRange(0, entries-1).Draw(t, "gone")
		rest := append(append([]Member{}, members[:gone]...), members[gone+1:]...)
		queried := Holders(stream, rest, maxQueried)
		for _, h := range holders {
			assert.Assert(t, h == members[gone] || contains(queried, h), "%v is not queried after %v has gone", h, members[gone])
		}
	})
}

func contains(list []Member, m Member) bool {
	for _, x := range list {
		if x == m {
			return true
		}
	}
	return false
}

// TestStoreIsBounded guards against records that take more and more memory, and against a record
// that is dropped within its time to live.
func TestStoreIsBounded(t *testing.T) {
	s := &Store{}
	now := clock.Stamp(time.Hour)
	s.Add(now, Record{Stream: 1, Build: 7})
	s.Add(now.Add(recordTTL), Record{Stream: 1, Build: 8})
	b, ok := s.Find(1)
	assert.Assert(t, ok && b == 7, "the build of a stream never changes")
	for i := range 4 * maxRecords {
		s.Add(now.Add(recordTTL), Record{Stream: StreamID(i + 2)})
		assert.Assert(t, len(s.current)+len(s.previous) <= 2*maxRecords)
	}
	_, ok = s.Find(StreamID(4*maxRecords + 1))
	assert.Assert(t, ok)
}

// TestInvalidMessages guards against datagrams that are not valid.
func TestInvalidMessages(t *testing.T) {
	_, list := newFleet(1, 1)
	for _, b := range []string{"", "\x80", "\xff", "\x84\x40\x80\x80\x80"} {
		assert.Assert(t, list[0].Receive(clock.Now(), []byte(b)) != nil, "%q", b)
	}
}
