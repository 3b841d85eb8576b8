package gauge

import (
	"fmt"
	"net/netip"
	"testing"
	"time"

	"github.com/fxamacker/cbor/v2"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	start = clock.Stamp(time.Hour)
	key   = 7
)

var slow = chestnutstep.TargetLoad{Running: 5, Waiting: 3, Slots: 6, Slowdown: 2.5}

// newStore returns a store that knows the targets with the given keys.
func newStore(keys ...uint32) *Store {
	s, m := &Store{}, make(map[uint32]bool)
	for _, k := range keys {
		m[k] = true
	}
	s.SetTargets(m)
	return s
}

// canSend reports whether there is a reading to send.
func (s *Store) canSend(now clock.Stamp) bool {
	s.mu.Lock()
	defer s.mu.Unlock()
	s.pruneToSend(now)
	return len(s.toSend) > 0
}

// datagram returns the next datagram of a store.
func datagram(t *testing.T, s *Store, now clock.Stamp) []byte {
	var sent []byte
	x := Sender{
		Store: s, Incarnation: 1,
		Peer: func(clock.Stamp) (netip.AddrPort, bool) { return netip.AddrPort{}, true },
		Send: func(_ netip.AddrPort, b []byte) { sent = b },
	}
	x.Step(now)
	assert.Assert(t, sent != nil && x.Rate(now) == MaxRate && x.Rate(now.Add(2*activeWindow)) == 0)
	return sent
}

// receive passes a datagram with one reading to the store.
func receive(t *testing.T, s *Store, now clock.Stamp, sentMs uint16, w wireReading) {
	b, err := cbor.Marshal(message{Incarnation: 1, Sent: sentMs, Readings: []wireReading{w}})
	assert.NilError(t, err)
	assert.NilError(t, s.Receive(now, b))
}

// TestThreeFiguresAreIgnored guards against a change for deployments whose targets don't report a speed.
func TestThreeFiguresAreIgnored(t *testing.T) {
	s := newStore(key)
	s.Record(start, key, chestnutstep.TargetLoad{Running: 5, Slots: 6})
	assert.Equal(t, s.Get(key), Reading{})
	assert.Assert(t, !s.canSend(start) && len(s.TakeChanged()) == 0)
	assert.Equal(t, (&Sender{Store: s}).Step(start), quietPause)
}

// TestNoReadingsCostNoLock guards against a lock for each target and choice in deployments whose targets don't
// report their speed, or have stopped to.
func TestNoReadingsCostNoLock(t *testing.T) {
	s := newStore(key)
	s.Record(start, key, chestnutstep.TargetLoad{Running: 5, Slots: 6})
	for range 2 {
		s.mu.Lock() // the calls below would not return if they took it
		assert.Assert(t, !s.IsActive(start) && len(s.TakeChanged()) == 0)
		assert.Equal(t, s.Get(key), Reading{})
		s.mu.Unlock()
	}
	s.Record(start, key, slow)
	assert.Assert(t, s.IsActive(start) && s.IsActive(start.Add(Lifetime-1)) && !s.IsActive(start.Add(Lifetime)))
	assert.Equal(t, len(s.TakeChanged()), 1)
	s.mu.Lock()
	defer s.mu.Unlock()
	assert.Assert(t, !s.IsActive(start.Add(Lifetime)) && len(s.TakeChanged()) == 0)
}

// TestReadingsOfDeadTargetsAreForgotten guards against the last reading of a target that is gone or has
// restarted, here and on its way back from a peer.
func TestReadingsOfDeadTargetsAreForgotten(t *testing.T) {
	s := newStore(key)
	s.Record(start, key, slow)
	late := datagram(t, s, start)
	s.SetTargets(map[uint32]bool{key + 1: true})
	assert.NilError(t, s.Receive(start.Add(time.Millisecond), late))
	assert.Equal(t, s.Get(key), Reading{})
	assert.Equal(t, s.Summary(start).Unknown, int64(1))
}

// TestDuplicatesAreNotNewer guards against a reading that circles between entries and stays young.
func TestDuplicatesAreNotNewer(t *testing.T) {
	for _, oneWay := range []time.Duration{0, simOneWay, simOneWay + simJitter, 6 * time.Millisecond} {
		t.Run(oneWay.String(), func(t *testing.T) { testDuplicates(t, oneWay) })
	}
}

func testDuplicates(t *testing.T, oneWay time.Duration) {
	a, b := newStore(key), newStore(key)
	a.Record(start, key, slow)
	first := a.Get(key).At
	for now := start.Add(time.Millisecond); now < start.Add(40*time.Millisecond); now = now.Add(10 * time.Millisecond) {
		from, to := a, b
		if now.Sub(start)%(20*time.Millisecond) < 10*time.Millisecond {
			from, to = b, a
		}
		if from.canSend(now) {
			assert.NilError(t, to.Receive(now.Add(oneWay), datagram(t, from, now)))
		}
	}
	assert.Equal(t, a.Get(key).At, first)
	assert.Assert(t, b.Get(key).At <= first.Add(max(oneWay-hopAge, 0)))
	assert.Equal(t, a.Summary(start).Peer, int64(0))
}

// TestLateDatagramsAreOld guards against a datagram that was held up and replaces a newer reading. The
// sender's clock is another one, and passes its largest value meanwhile.
func TestLateDatagramsAreOld(t *testing.T) {
	s := newStore(key)
	const offset = 1<<16 - 50 // the sender's clock passes its largest value
	receive(t, s, start, offset, wireReading{Target: key, AgeMs: 1})
	s.Record(start.Add(200*time.Millisecond), key, slow)
	// Sent after 100 ms, arrived after 400.
	receive(t, s, start.Add(400*time.Millisecond), offset+100-1<<16, wireReading{Target: key, AgeMs: 1})
	assert.Equal(t, s.Get(key).Slowdown, slow.Slowdown)
	receive(t, s, start.Add(500*time.Millisecond), offset+500-1<<16, wireReading{Target: key, AgeMs: 1})
	assert.Equal(t, s.Get(key).Slowdown, 1.0)
}

// TestLateDatagramsOfSparseSendersAreOld guards against late datagrams that count as fresh because their
// sender has been silent for long: at 350 entries a pair hears each other about every 17 s.
func TestLateDatagramsOfSparseSendersAreOld(t *testing.T) {
	const late, drift = 300 * time.Millisecond, 1e-4
	var s senders
	for i := range 60 {
		sent := time.Duration(i) * 17 * time.Second
		clockHere := start.Add(sent + time.Duration(drift*float64(sent)))
		want := time.Duration(0)
		if i%4 == 3 {
			want = late
		}
		got := s.delay(clockHere.Add(want), 1, uint16(sent/time.Millisecond))
		assert.Assert(t, got >= want && got <= want+13*time.Millisecond, "datagram %d: %v, want %v", i, got, want)
	}
}

// TestPeersAreNotTrusted guards against readings out of range, from the future, or in endless number.
func TestPeersAreNotTrusted(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		s, now := newStore(key), start
		for range rapid.IntRange(1, 20).Draw(t, "datagrams") {
			now = now.Add(time.Duration(rapid.IntRange(0, 5000).Draw(t, "ms")) * time.Millisecond)
			w := wireReading{Target: rapid.Uint32Range(0, 10).Draw(t, "target"), Running: rapid.Uint16().Draw(t, "running"), Excess: rapid.Int16().Draw(t, "excess"), AgeMs: rapid.Uint16().Draw(t, "age")}
			b, _ := cbor.Marshal(message{Incarnation: rapid.Uint32().Draw(t, "from"), Sent: rapid.Uint16().Draw(t, "sent"), Readings: []wireReading{w}})
			_ = s.Receive(now, append(b[:rapid.IntRange(0, len(b)).Draw(t, "cut")], rapid.SliceOfN(rapid.Byte(), 0, 4).Draw(t, "end")...))
			r := s.Get(key)
			assert.Assert(t, r == Reading{} || r.At < now && r.Slowdown >= 0.1 && r.Slowdown <= 100 && r.Running <= 8192, "%v", r)
			assert.Assert(t, len(s.records) <= 1)
		}
	})
}

// TestImplausibleReadingsOfPeersAreInvalid guards against a peer whose readings state what no target can
// report.
func TestImplausibleReadingsOfPeersAreInvalid(t *testing.T) {
	for _, w := range []wireReading{
		{Target: key, Running: 8193, AgeMs: 1},
		{Target: key, Running: 65535, Waiting: 65535, AgeMs: 1},
		{Target: key, Excess: -91, AgeMs: 1},
		{Target: key, Excess: 9901, AgeMs: 1},
	} {
		s := newStore(key)
		receive(t, s, start, 0, w)
		assert.Equal(t, s.Get(key), Reading{})
		assert.Equal(t, s.Summary(start).Invalid, int64(1))
	}
}

// TestMemoryIsBounded guards against memory that grows with the targets and senders that peers name.
func TestMemoryIsBounded(t *testing.T) {
	s := &Store{}
	for i := range uint32(2 * maxTargets) {
		s.Record(start, i, slow)
		s.senders.delay(start, i, uint16(i))
	}
	assert.Assert(t, len(s.records) == maxTargets && len(s.changed) == maxTargets && len(s.senders.offsets) == maxSenders)
	assert.Equal(t, s.senders.delay(start.Add(2*offsetWindow), 1<<31, 1), time.Duration(0), "silent senders make room")
}

// TestSendersAreEvictedOnceASecond guards against a scan of all senders for each datagram of an unknown one.
func TestSendersAreEvictedOnceASecond(t *testing.T) {
	var s senders
	for i := range uint32(maxSenders) {
		s.delay(start.Add(time.Duration(i)*time.Millisecond), i, 0)
	}
	now := start.Add(offsetWindow)
	assert.Equal(t, s.delay(now, maxSenders, 0), Lifetime, "all are heard")
	assert.Equal(t, s.delay(now.Add(evictInterval-time.Millisecond), maxSenders, 0), Lifetime)
	assert.Equal(t, len(s.offsets), maxSenders)
	assert.Equal(t, s.delay(now.Add(evictInterval), maxSenders, 0), time.Duration(0))
	assert.Assert(t, len(s.offsets) < maxSenders)
}

// TestListsFollowTheTargets guards against a target that is listed twice after it was gone and came back, and
// against a datagram without readings.
func TestListsFollowTheTargets(t *testing.T) {
	s := newStore(key)
	for range 3 {
		s.Record(start, key, slow)
		s.SetTargets(map[uint32]bool{key + 1: true})
		s.SetTargets(map[uint32]bool{key: true})
	}
	x := Sender{
		Store: s, Peer: func(clock.Stamp) (netip.AddrPort, bool) { return netip.AddrPort{}, true },
		Send: func(netip.AddrPort, []byte) { t.Error("sent without readings") },
	}
	x.Step(start)
	assert.Equal(t, len(s.TakeChanged()), 0)
	s.Record(start, key, slow)
	assert.Assert(t, len(s.toSend) == 1 && len(s.TakeChanged()) == 1)
}

// TestNewestReadingsGoFirst guards against old readings that take the place of newer ones, and against
// one that is sent for ever.
func TestNewestReadingsGoFirst(t *testing.T) {
	s := newStore(0, 1, 2, 3, 4, 5)
	for i := range uint32(6) {
		s.Record(start.Add(time.Duration(i)*time.Millisecond), i, slow)
	}
	now := start.Add(10 * time.Millisecond)
	for range maxSends {
		batch := s.takeBatch(now, 2)
		assert.Assert(t, batch[0].Target == 5 && batch[1].Target == 4 && batch[0].AgeMs == 5)
	}
	assert.Equal(t, s.takeBatch(now, 2)[0].Target, uint32(3))
	assert.Assert(t, !s.canSend(start.Add(Lifetime+10*time.Millisecond)))
}

// TestInvalidReportsAreLoggedOnceAMinute guards against a line for each answer of a faulty target.
func TestInvalidReportsAreLoggedOnceAMinute(t *testing.T) {
	s, lines := newStore(key), 0
	for now := start; now < start.Add(3*time.Minute); now = now.Add(time.Second) {
		if s.RecordInvalid(now, key) {
			lines++
		}
	}
	assert.Equal(t, lines, 3)
	assert.Assert(t, !s.RecordInvalid(start, key+1), "unknown target")
}

// BenchmarkExchange measures a datagram that one entry encodes and another merges, where 2,700 targets are
// known and some of them have given an answer lately.
func BenchmarkExchange(b *testing.B) {
	for _, fresh := range []int{3, 60} {
		b.Run(fmt.Sprint(fresh), func(b *testing.B) {
			from, to := &Store{}, &Store{}
			now, size := start, 0
			for i := range uint32(2700) {
				from.Record(now, i*2654435761, slow)
			}
			now = now.Add(2 * Lifetime)
			x := Sender{
				Store: from, Peer: func(clock.Stamp) (netip.AddrPort, bool) { return netip.AddrPort{}, true },
				Send: func(_ netip.AddrPort, d []byte) { size = len(d); _ = to.Receive(now, d) },
			}
			b.ReportAllocs()
			for n := uint32(0); b.Loop(); n++ {
				now = now.Add(time.Millisecond)
				from.Record(now, n%uint32(fresh)*2654435761, slow)
				x.Step(now)
			}
			b.ReportMetric(float64(size), "datagram-B")
		})
	}
}
