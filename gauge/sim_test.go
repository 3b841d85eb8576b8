package gauge

import (
	"cmp"
	"fmt"
	"math"
	"math/rand/v2"
	"net/netip"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
)

// fleetSim simulates entries that read the load of targets in answers and exchange it over a network
// that delays and loses datagrams. Each entry has a clock of its own.
type fleetSim struct {
	entries, targets int
	// answers is the number of answers per second, over all entries.
	answers float64
	// isolated cuts all datagrams.
	isolated bool
	// busy is the number of targets that give busyPart of the answers; 0 if all give the same.
	busy     int
	busyPart float64
	// sampled is the number of targets of which the known readings are sampled; 0 for all.
	sampled int

	rand    *rand.Rand
	now     time.Duration
	stores  []*Store
	senders []*Sender
	wakeAt  []time.Duration
	// slowUntil is the end of the slow phase of each target.
	slowUntil []time.Duration
	inFlight  []simDatagram
	bytes     int
	// ages holds the ages of what the entries know of each target; worth, by age in tenths of the
	// lifetime, the readings of a slow target and those that were still right.
	ages  []time.Duration
	known int
	asked int
	worth [10]struct{ slow, right int }
}

type simDatagram struct {
	to  int
	due time.Duration
	b   []byte
}

const (
	simTick     = time.Millisecond
	simOneWay   = 1400 * time.Microsecond
	simJitter   = 2 * time.Millisecond
	simLoss     = 0.02
	simSlowPart = 0.15
	simSlow     = 2.5
)

// simKey returns a key that is as long as most keys.
func simKey(i int) uint32 { return uint32(i+1) * 2654435761 }

func (f *fleetSim) stamp(entry int) clock.Stamp {
	return clock.Stamp(f.now + time.Duration(entry+1)*7*time.Hour + 333*time.Microsecond)
}

func (f *fleetSim) start() {
	f.rand = rand.New(rand.NewPCG(1, uint64(f.entries)))
	keys := make(map[uint32]bool)
	for t := range f.targets {
		keys[simKey(t)] = true
	}
	f.slowUntil = make([]time.Duration, f.targets)
	for i := range f.entries {
		s := &Store{}
		s.SetTargets(keys)
		f.stores = append(f.stores, s)
		f.senders = append(f.senders, &Sender{
			Store: s, Incarnation: simKey(i),
			Peer: func(clock.Stamp) (netip.AddrPort, bool) {
				to := (i + 1 + f.rand.IntN(f.entries-1)) % f.entries
				return netip.AddrPortFrom(netip.Addr{}, uint16(to)), !f.isolated
			},
			Send: func(to netip.AddrPort, b []byte) { f.send(int(to.Port()), b) },
		})
		f.wakeAt = append(f.wakeAt, time.Duration(f.rand.IntN(int(50*time.Millisecond))))
	}
}

func (f *fleetSim) send(to int, b []byte) {
	f.bytes += len(b) + datagramOverhead
	if f.rand.Float64() < simLoss {
		return
	}
	due := f.now + simOneWay + time.Duration(f.rand.Int64N(int64(simJitter)))
	f.inFlight = append(f.inFlight, simDatagram{to, due, b})
}

// tick advances the simulation by simTick.
func (f *fleetSim) tick(t *testing.T) {
	f.now += simTick
	startRate := simSlowPart / (1 - simSlowPart) * simTick.Seconds() / Lifetime.Seconds()
	for i := range f.slowUntil {
		if f.now >= f.slowUntil[i] && f.rand.Float64() < startRate {
			f.slowUntil[i] = f.now + Lifetime
		}
	}
	for n := f.answers * simTick.Seconds(); n > 0; n-- {
		if f.rand.Float64() < n {
			target, entry := f.answering(), f.rand.IntN(f.entries)
			f.stores[entry].Record(f.stamp(entry), simKey(target), chestnutstep.TargetLoad{Slots: 6, Slowdown: f.slowdown(target)})
		}
	}
	arrived := f.inFlight
	f.inFlight = nil
	for _, d := range arrived {
		if d.due > f.now {
			f.inFlight = append(f.inFlight, d)
			continue
		}
		assert.NilError(t, f.stores[d.to].Receive(f.stamp(d.to), d.b))
	}
	for i, s := range f.senders {
		if f.now >= f.wakeAt[i] {
			f.wakeAt[i] = f.now + s.Step(f.stamp(i))
		}
	}
}

// answering returns a random target that answers.
func (f *fleetSim) answering() int {
	if f.rand.Float64() < f.busyPart {
		return f.rand.IntN(f.busy)
	}
	return f.busy + f.rand.IntN(f.targets-f.busy)
}

func (f *fleetSim) slowdown(target int) float64 {
	if f.now < f.slowUntil[target] {
		return simSlow
	}
	return 1
}

// sample records what a random entry knows of a random target.
func (f *fleetSim) sample() {
	entry, target := f.rand.IntN(f.entries), f.rand.IntN(cmp.Or(f.sampled, f.targets))
	r := f.stores[entry].Get(simKey(target))
	f.asked++
	now := f.stamp(entry)
	if r.Weight(now) <= 0 {
		return
	}
	f.known++
	age := now.Sub(r.At)
	f.ages = append(f.ages, age)
	if r.Slowdown > 1 {
		w := &f.worth[int(10*age/Lifetime)]
		w.slow++
		if f.slowdown(target) > 1 {
			w.right++
		}
	}
}

// run simulates the given time after a second of warm-up.
func (f *fleetSim) run(t *testing.T, d time.Duration) {
	f.start()
	for f.now < time.Second {
		f.tick(t)
	}
	f.bytes = 0
	for end := f.now + d; f.now < end; {
		f.tick(t)
		for range 20 {
			f.sample()
		}
	}
	slices.Sort(f.ages)
	t.Logf("%d entries, %d targets (%d sampled): known %.3f, age p50 %v p90 %v p99 %v, %.0f B/s an entry",
		f.entries, f.targets, cmp.Or(f.sampled, f.targets), f.knownRatio(), f.age(0.5), f.age(0.9), f.age(0.99), f.rate(d))
}

func (f *fleetSim) age(q float64) time.Duration {
	return f.ages[int(q*float64(len(f.ages)-1))].Round(time.Millisecond)
}

func (f *fleetSim) knownRatio() float64 { return float64(f.known) / float64(f.asked) }

func (f *fleetSim) rate(d time.Duration) float64 {
	return float64(f.bytes) / d.Seconds() / float64(f.entries)
}

// TestReadingsReachTheFleet guards against readings that reach the other entries too old to use, and
// against more than their part of the control traffic. The pairing fleet has 48 entries before 3
// targets.
func TestReadingsReachTheFleet(t *testing.T) {
	f := &fleetSim{entries: 48, targets: 3, answers: 100}
	f.run(t, 20*time.Second)
	assert.Assert(t, f.age(0.5) <= 150*time.Millisecond, "median %v", f.age(0.5))
	assert.Assert(t, f.knownRatio() > 0.99, "known %v", f.knownRatio())
	assert.Assert(t, f.rate(20*time.Second) <= MaxRate)
}

// TestWeightIsWhatAReadingIsWorth guards against a weight that does not follow the chance that a slow target
// is still slow.
func TestWeightIsWhatAReadingIsWorth(t *testing.T) {
	f := &fleetSim{entries: 48, targets: 58, answers: 388}
	f.run(t, 10*time.Second)
	for i, w := range f.worth {
		age := Lifetime*time.Duration(i)/10 + Lifetime/20
		right := float64(w.right) / float64(max(w.slow, 1))
		assert.Assert(t, math.Abs(right-Weight(age)) < 0.1, "age %v: %v", age, right)
		t.Logf("age %v: slow in %.3f of %d readings of slow targets, weight %.3f", age, right, w.slow, Weight(age))
	}
}

// TestIsolatedEntriesUseTheirOwnReadings guards against an entry without peers that knows nothing.
func TestIsolatedEntriesUseTheirOwnReadings(t *testing.T) {
	f := &fleetSim{entries: 48, targets: 3, answers: 100, isolated: true}
	f.run(t, 20*time.Second)
	assert.Assert(t, f.known > 0 && f.bytes == 0)
}

// TestReadingsKeepTheRate guards against readings whose traffic grows with the fleet, and against many
// engines that displace the readings of a few busy targets. The pairing fleet has 55 engines beside
// its 3 plain targets; the design size is 350 entries before 2,700 targets.
func TestReadingsKeepTheRate(t *testing.T) {
	for _, f := range []fleetSim{
		{entries: 48, targets: 58, answers: 388, busy: 3, busyPart: 0.26, sampled: 3},
		{entries: 48, targets: 58, answers: 388, busy: 3, busyPart: 0.26},
		{entries: 350, targets: 2700, answers: 2400},
	} {
		t.Run(fmt.Sprint(f.entries, " ", f.sampled), func(t *testing.T) {
			f.run(t, 3*time.Second)
			assert.Assert(t, f.rate(3*time.Second) <= MaxRate)
			assert.Assert(t, f.sampled == 0 || f.knownRatio() > 0.9)
		})
	}
}
