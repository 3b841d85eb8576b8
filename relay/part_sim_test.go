package relay

import (
	"fmt"
	"math/rand/v2"
	"slices"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/crash"
	"chestnutstep.example/chestnutstep/meter"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

const (
	simEntries  = 4
	simTargets  = 18
	simTick     = 10 * time.Millisecond
	simDuration = 40 * time.Second
	// simRestart is the time after which a lost target is back.
	simRestart = 4 * time.Second
	// simReportDelay is the number of ticks until a report has reached the peers.
	simReportDelay = 1
	// simContact is the time after the fifth end by which all entries must refuse the part.
	simContact = 3 * time.Second
	// simDeadlyPart is the part that ends targets.
	simDeadlyPart = 0xbad
)

// partSim simulates entries that send prompts to targets. One part ends each target some time after
// a run with it began; now and then several targets end together.
type partSim struct {
	rand    *rand.Rand
	now     clock.Stamp
	entries []*CrashTracker
	pending []simReport
	targets []*simTarget
	nextID  uint64
	// deadlyEnds are the times at which the deadly part ended a target.
	deadlyEnds []clock.Stamp
	// sentAfterThird counts the deadly requests that were sent once all entries could know of the
	// third of these ends, and sentAfterFifth those sent later than simContact after the fifth.
	sentAfterThird, sentAfterFifth int
	// sound and refused count the sound requests, and those that were refused.
	sound, refused int
}

// simReport is a report on its way to the peers of an entry.
type simReport struct {
	from int
	due  clock.Stamp
	list []share.Crash
}

type simTarget struct {
	*roster.Target
	backAt clock.Stamp
	runs   []*simRun
}

type simRun struct {
	entry    int
	suspects []uint64
	trials   []uint64
	startAt  clock.Stamp
	endAt    clock.Stamp
	deadly   bool
}

func newPartSim(seed uint64) *partSim {
	s := &partSim{rand: rand.New(rand.NewPCG(seed, seed)), now: clock.Stamp(time.Hour)}
	for i := range simEntries {
		c := &CrashTracker{Meters: &meter.Relay{}, EntryCount: func() int { return simEntries }, Seed: s.rand.Uint64()}
		c.OnLoss = func(list []share.Crash) { s.report(i, list) }
		s.entries = append(s.entries, c)
	}
	for i := range simTargets {
		s.targets = append(s.targets, &simTarget{Target: &roster.Target{Instance: chestnutstep.Instance{ID: fmt.Sprint("t", i), StartedMs: 1}}})
	}
	return s
}

func (s *partSim) report(from int, list []share.Crash) {
	s.pending = append(s.pending, simReport{from, s.now.Add(simReportDelay * simTick), list})
}

// deliver passes the reports that are due to the peers.
func (s *partSim) deliver() {
	for i, c := range s.entries {
		if list := c.TakeReports(); len(list) > 0 {
			s.report(i, list)
		}
	}
	due := s.pending
	s.pending = nil
	for _, r := range due {
		if r.due > s.now {
			s.pending = append(s.pending, r)
			continue
		}
		for i, c := range s.entries {
			if i != r.from {
				c.Merge(s.now, r.list)
			}
		}
	}
}

// prompt returns the fingerprints of a prompt: one of three common parts, one of forty that are used
// more or less often, perhaps the deadly one, and a content that no other request has.
func (s *partSim) prompt(deadly bool) []uint64 {
	s.nextID++
	rare := uint64(s.rand.ExpFloat64()*8) % 40
	list := []uint64{s.nextID, crash.PartFingerprint("s", 1+s.rand.Uint64N(3)), crash.PartFingerprint("s", 100+rare)}
	if deadly {
		list = append(list, crash.PartFingerprint("s", simDeadlyPart))
	}
	return list
}

func (s *partSim) send(deadly bool) {
	entry, suspects := s.rand.IntN(simEntries), s.prompt(deadly)
	wait, trials := s.entries[entry].Admit(s.now, suspects)
	if !deadly {
		s.sound++
	}
	if wait > 0 {
		if !deadly {
			s.refused++
		}
		return
	}
	if deadly && len(s.deadlyEnds) >= 3 && s.now.Sub(s.deadlyEnds[2]) > (simReportDelay+1)*simTick {
		s.sentAfterThird++
	}
	if deadly && len(s.deadlyEnds) >= 5 && s.now.Sub(s.deadlyEnds[4]) > simContact {
		s.sentAfterFifth++
	}
	live := slices.DeleteFunc(slices.Clone(s.targets), func(t *simTarget) bool { return s.now < t.backAt })
	t := live[s.rand.IntN(len(live))]
	length := 200*time.Millisecond + time.Duration(s.rand.Int64N(int64(3*time.Second)))
	if deadly {
		length = 30*time.Millisecond + time.Duration(s.rand.Int64N(int64(100*time.Millisecond)))
	}
	t.runs = append(t.runs, &simRun{entry: entry, suspects: suspects, trials: trials, startAt: s.now, endAt: s.now.Add(length), deadly: deadly})
}

// step ends the runs that are due; a deadly one ends its target.
func (s *partSim) step() {
	for _, t := range s.targets {
		var rest []*simRun
		ends := false
		for _, r := range t.runs {
			switch {
			case r.endAt > s.now:
				rest = append(rest, r)
			case r.deadly:
				ends = true
				rest = append(rest, r)
			default:
				s.entries[r.entry].RecordServed(s.now, r.suspects)
				s.entries[r.entry].EndTrials(r.trials)
			}
		}
		t.runs = rest
		if ends {
			s.deadlyEnds = append(s.deadlyEnds, s.now)
			s.end(t)
		}
	}
}

// end ends a target with all of its runs.
func (s *partSim) end(t *simTarget) {
	for _, r := range t.runs {
		events := int64(s.now.Sub(r.startAt) / (30 * time.Millisecond))
		if r.deadly {
			events = 0
		}
		s.entries[r.entry].RecordAbandoned(s.now, UnfinishedRun{Target: t.Target, Suspects: r.suspects, Events: events})
	}
	for _, r := range t.runs {
		s.entries[r.entry].RecordConnRefused(s.now, t.Target)
		s.entries[r.entry].EndTrials(r.trials)
	}
	next := *t.Target
	next.StartedMs++
	t.Target, t.runs, t.backAt = &next, nil, s.now.Add(simRestart)
}

// run plays soundRate and deadlyRate requests per second, and a joint end of four targets every
// jointInterval.
func (s *partSim) run(soundRate, deadlyRate float64, jointInterval time.Duration) {
	for end := s.now.Add(simDuration); s.now < end; s.now = s.now.Add(simTick) {
		s.deliver()
		for _, deadly := range []bool{false, true} {
			rate := soundRate
			if deadly {
				rate = deadlyRate
			}
			for expected := rate * simTick.Seconds(); expected > 0; expected-- {
				if s.rand.Float64() < expected {
					s.send(deadly)
				}
			}
		}
		s.step()
		if jointInterval > 0 && s.now.Sub(0)%jointInterval == 0 {
			for _, t := range s.targets[:4] {
				s.end(t)
			}
		}
	}
}

// TestDeadlyPartAmongSoundOnes guards against a deadly part that is sent on after three targets, but
// for one request, and against sound parts that are refused because they were in use on those.
func TestDeadlyPartAmongSoundOnes(t *testing.T) {
	for _, rate := range []float64{0.5, 2, 5} {
		var lost, late, tooLate, sound, refused int
		for seed := range uint64(20) {
			s := newPartSim(seed)
			s.run(60, rate, 10*time.Second)
			lost, late, tooLate = max(lost, len(s.deadlyEnds)), max(late, s.sentAfterThird), max(tooLate, s.sentAfterFifth)
			sound, refused = sound+s.sound, refused+s.refused
		}
		t.Logf("%.1f deadly requests a second: %d targets lost at most, %d sent after the third, %d after the fifth; %d of %d sound requests refused", rate, lost, late, tooLate, refused, sound)
		assert.Assert(t, late <= 1, "%d deadly requests sent after the third loss", late)
		assert.Assert(t, tooLate <= 3, "%d deadly requests sent after the fifth loss", tooLate)
		assert.Assert(t, refused*100 <= sound, "%d of %d sound requests refused", refused, sound)
	}
}

// TestNoPartIsRefusedWithoutADeadlyOne guards against parts that are refused because targets end for
// other reasons.
func TestNoPartIsRefusedWithoutADeadlyOne(t *testing.T) {
	sound, refused := 0, 0
	for seed := range uint64(20) {
		s := newPartSim(seed)
		s.run(60, 0, 3*time.Second)
		sound, refused = sound+s.sound, refused+s.refused
	}
	t.Logf("%d of %d sound requests refused", refused, sound)
	assert.Assert(t, refused*1000 <= sound, "%d of %d sound requests refused", refused, sound)
}
