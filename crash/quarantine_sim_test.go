package crash

import (
	"container/heap"
	"math/rand/v2"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	simEntries  = 4
	simTargets  = 18
	simDuration = clock.Stamp(20 * time.Second)
	// deadlyContent is the fingerprint of the deadly content.
	deadlyContent = 1
)

// quarantineSim simulates entries and targets that receive one deadly content among ordinary ones.
// It runs on a simulated clock.
type quarantineSim struct {
	rand       *rand.Rand
	now        clock.Stamp
	events     simEvents
	eventCount int
	entries    [simEntries]*Quarantine
	// running lists the runs of each target; starts counts the restarts of each target.
	running [simTargets][]*simRun
	starts  [simTargets]int
	// lostTargets counts the targets that the deadly content crashed. refusedAt holds the time of
	// the first refusal of every other content that was refused, and longestRefusal the longest
	// time from that refusal until the content was served.
	lostTargets    int
	refusedAt      map[uint64]clock.Stamp
	longestRefusal time.Duration
	lastContent    uint64
}

type simEvent struct {
	at clock.Stamp
	// seq orders events of the same time by creation.
	seq int
	do  func()
}

// simEvents is a heap of events ordered by time.
type simEvents []simEvent

func (e simEvents) Len() int      { return len(e) }
func (e simEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e simEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].seq < e[j].seq
}
func (e *simEvents) Push(x any) { *e = append(*e, x.(simEvent)) }
func (e *simEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// simRun is one run of a content on a target.
type simRun struct {
	content       uint64
	entry, target int
	startedAt     clock.Stamp
	ended         bool
}

func (s *quarantineSim) after(d time.Duration, do func()) {
	s.eventCount++
	heap.Push(&s.events, simEvent{s.now.Add(d), s.eventCount, do})
}

// run executes the events in order until simDuration has passed.
func (s *quarantineSim) run() {
	for len(s.events) > 0 {
		e := heap.Pop(&s.events).(simEvent)
		if e.at > simDuration {
			return
		}
		s.now = e.at
		e.do()
	}
}

// randomDuration returns a random duration in [lo, hi).
func (s *quarantineSim) randomDuration(lo, hi time.Duration) time.Duration {
	return lo + time.Duration(s.rand.Int64N(int64(hi-lo)))
}

// send sends a content through an entry to a random target.
func (s *quarantineSim) send(content uint64, entry int) {
	wait, trial := s.entries[entry].Admit(s.now, content)
	if wait > 0 {
		s.refuse(content, wait)
		return
	}
	r := &simRun{content: content, entry: entry, target: s.rand.IntN(simTargets), startedAt: s.now}
	s.running[r.target] = append(s.running[r.target], r)
	if trial {
		s.after(time.Minute, func() { s.entries[entry].EndTrial(content) })
	}
	if content == deadlyContent {
		s.after(s.randomDuration(30*time.Millisecond, 130*time.Millisecond), func() {
			if !r.ended {
				s.lostTargets++
				s.endTarget(r.target)
			}
		})
		return
	}
	s.after(s.randomDuration(200*time.Millisecond, 3*time.Second), func() {
		if !r.ended {
			s.serve(r)
		}
	})
}

// refuse records a refused content; its caller retries after wait.
func (s *quarantineSim) refuse(content uint64, wait time.Duration) {
	if content == deadlyContent {
		return
	}
	if s.refusedAt[content] == 0 {
		s.refusedAt[content] = s.now
	}
	s.after(wait, func() { s.send(content, s.rand.IntN(simEntries)) })
}

func (s *quarantineSim) serve(r *simRun) {
	r.ended = true
	if at, ok := s.refusedAt[r.content]; ok && at > 0 {
		s.longestRefusal = max(s.longestRefusal, s.now.Sub(at))
	}
	for _, l := range s.entries[r.entry].RecordServed(r.content) {
		s.report(r.entry, l)
	}
}

// endTarget ends a target with all its runs. The callers of ordinary contents retry.
func (s *quarantineSim) endTarget(target int) {
	s.starts[target]++
	key := uint32(target + 100*s.starts[target])
	list := s.running[target]
	s.running[target] = nil
	for _, r := range list {
		if r.ended {
			continue
		}
		r.ended = true
		l := Loss{Fingerprint: r.content, Target: key, At: s.now}
		if r.content != deadlyContent {
			l.Events = uint16(s.now.Sub(r.startedAt) / (20 * time.Millisecond))
		}
		s.entries[r.entry].Add(s.now, l)
		s.report(r.entry, l)
		if r.content != deadlyContent {
			s.after(s.randomDuration(time.Millisecond, 400*time.Millisecond), func() { s.send(r.content, s.rand.IntN(simEntries)) })
		}
	}
}

// report sends a loss to the other entries. One datagram in twenty is lost and arrives with the
// next round of reports.
func (s *quarantineSim) report(from int, l Loss) {
	for i, q := range s.entries {
		if i == from {
			continue
		}
		delay := s.randomDuration(time.Millisecond, 5*time.Millisecond)
		if s.rand.IntN(20) == 0 {
			delay = s.randomDuration(50*time.Millisecond, 250*time.Millisecond)
		}
		s.after(delay, func() { q.Add(s.now, l) })
	}
}

// newQuarantineSim schedules the traffic: ordinary contents that are all different, the deadly
// content about twice per second, and failures that no content causes: one target, and later a
// third of all targets.
func newQuarantineSim(seed uint64, poisoned bool) *quarantineSim {
	s := &quarantineSim{rand: rand.New(rand.NewPCG(seed, 7)), refusedAt: make(map[uint64]clock.Stamp), lastContent: deadlyContent}
	for i := range s.entries {
		s.entries[i] = &Quarantine{}
	}
	for at := time.Duration(0); at < time.Duration(simDuration); at += s.randomDuration(time.Millisecond, 15*time.Millisecond) {
		s.after(at, func() {
			s.lastContent++
			s.send(s.lastContent, s.rand.IntN(simEntries))
		})
	}
	for at := 2 * time.Second; poisoned && at < time.Duration(simDuration); at += s.randomDuration(50*time.Millisecond, time.Second) {
		s.after(at, func() { s.send(deadlyContent, s.rand.IntN(simEntries)) })
	}
	s.after(s.randomDuration(3*time.Second, 8*time.Second), func() { s.endTarget(s.rand.IntN(simTargets)) })
	s.after(s.randomDuration(8*time.Second, 14*time.Second), func() {
		for i := range simTargets / 3 {
			s.after(s.randomDuration(0, time.Second), func() { s.endTarget(i) })
		}
	})
	return s
}

// TestDeadlyContentAmongOthers guards against both errors of a quarantine: one content crashes many
// targets, or contents that ran on the same targets are refused too.
func TestDeadlyContentAmongOthers(t *testing.T) {
	const seeds = 60
	var lost [8]int
	refused, longest, contents := 0, time.Duration(0), 0
	for seed := range uint64(seeds) {
		s := newQuarantineSim(seed, true)
		s.run()
		lost[min(s.lostTargets, len(lost)-1)]++
		refused += len(s.refusedAt)
		longest = max(longest, s.longestRefusal)
		contents += int(s.lastContent)
	}
	t.Logf("runs by number of targets lost: %v; %d of %d other contents refused, for up to %s", lost, refused, contents, longest)
	assert.Assert(t, lost[5]+lost[6]+lost[7] == 0, "runs by number of targets lost: %v", lost)
	assert.Assert(t, refused <= contents/1000, "%d of %d other contents were refused", refused, contents)
}

// TestNothingIsRefusedWithoutDeadlyContent guards against contents that are refused although the
// targets failed for another reason.
func TestNothingIsRefusedWithoutDeadlyContent(t *testing.T) {
	const seeds = 60
	refused, longest, contents := 0, time.Duration(0), 0
	for seed := range uint64(seeds) {
		s := newQuarantineSim(seed, false)
		s.run()
		refused += len(s.refusedAt)
		longest = max(longest, s.longestRefusal)
		contents += int(s.lastContent)
	}
	t.Logf("%d of %d contents refused, for up to %s", refused, contents, longest)
	assert.Assert(t, refused <= contents/1000, "%d of %d contents were refused", refused, contents)
}
