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
	amongEntries = 4
	amongTargets = 18
	amongFor     = clock.Stamp(20 * time.Second)
	// dead is the fingerprint of the deadly content.
	dead = 1
)

// among plays entries and targets with one deadly content among others, on a clock of its own.
type among struct {
	rand    *rand.Rand
	now     clock.Stamp
	events  amongEvents
	made    int
	entries [amongEntries]*Quarantine
	// running lists the runs of each target, and lives counts its starts.
	running [amongTargets][]*amongRun
	lives   [amongTargets]int
	// lost counts the targets that the deadly content ended, refused the other contents that were
	// refused, and longest for how long one of them was.
	lost    int
	refused map[uint64]clock.Stamp
	longest time.Duration
	next    uint64
}

type amongEvent struct {
	at clock.Stamp
	// order keeps events of one moment in the order in which they were made.
	order int
	do    func()
}

// amongEvents is a heap by time.
type amongEvents []amongEvent

func (e amongEvents) Len() int      { return len(e) }
func (e amongEvents) Swap(i, j int) { e[i], e[j] = e[j], e[i] }
func (e amongEvents) Less(i, j int) bool {
	return e[i].at < e[j].at || e[i].at == e[j].at && e[i].order < e[j].order
}
func (e *amongEvents) Push(x any) { *e = append(*e, x.(amongEvent)) }
func (e *amongEvents) Pop() any {
	last := len(*e) - 1
	x := (*e)[last]
	*e = (*e)[:last]
	return x
}

// amongRun is a run of a content at a target.
type amongRun struct {
	content       uint64
	entry, target int
	began         clock.Stamp
	over          bool
}

func (a *among) after(d time.Duration, do func()) {
	a.made++
	heap.Push(&a.events, amongEvent{a.now.Add(d), a.made, do})
}

// play runs events in their order until the time is over.
func (a *among) play() {
	for len(a.events) > 0 {
		e := heap.Pop(&a.events).(amongEvent)
		if e.at > amongFor {
			return
		}
		a.now = e.at
		e.do()
	}
}

// between draws a time.
func (a *among) between(least, most time.Duration) time.Duration {
	return least + time.Duration(a.rand.Int64N(int64(most-least)))
}

// visit sends a content through an entry.
func (a *among) visit(content uint64, entry int) {
	wait, trial := a.entries[entry].Admit(a.now, content)
	if wait > 0 {
		a.refuse(content, wait)
		return
	}
	r := &amongRun{content: content, entry: entry, target: a.rand.IntN(amongTargets), began: a.now}
	a.running[r.target] = append(a.running[r.target], r)
	if trial {
		a.after(time.Minute, func() { a.entries[entry].Release(content) })
	}
	if content == dead {
		a.after(a.between(30*time.Millisecond, 130*time.Millisecond), func() {
			if !r.over {
				a.lost++
				a.end(r.target)
			}
		})
		return
	}
	a.after(a.between(200*time.Millisecond, 3*time.Second), func() {
		if !r.over {
			a.serve(r)
		}
	})
}

// refuse notes a refused visit; its caller comes back when it was told to.
func (a *among) refuse(content uint64, wait time.Duration) {
	if content == dead {
		return
	}
	if a.refused[content] == 0 {
		a.refused[content] = a.now
	}
	a.after(wait, func() { a.visit(content, a.rand.IntN(amongEntries)) })
}

func (a *among) serve(r *amongRun) {
	r.over = true
	if at, ok := a.refused[r.content]; ok && at > 0 {
		a.longest = max(a.longest, a.now.Sub(at))
	}
	for _, l := range a.entries[r.entry].Served(r.content) {
		a.tell(r.entry, l)
	}
}

// end ends a target, and all that runs there. Its callers come again.
func (a *among) end(target int) {
	a.lives[target]++
	key := uint32(target + 100*a.lives[target])
	list := a.running[target]
	a.running[target] = nil
	for _, r := range list {
		if r.over {
			continue
		}
		r.over = true
		l := Loss{Fingerprint: r.content, Target: key, At: a.now}
		if r.content != dead {
			l.Events = uint16(a.now.Sub(r.began) / (20 * time.Millisecond))
		}
		a.entries[r.entry].Add(a.now, l)
		a.tell(r.entry, l)
		if r.content != dead {
			a.after(a.between(time.Millisecond, 400*time.Millisecond), func() { a.visit(r.content, a.rand.IntN(amongEntries)) })
		}
	}
}

// tell reports a loss to the other entries; one datagram in twenty comes with the next round.
func (a *among) tell(from int, l Loss) {
	for i, q := range a.entries {
		if i == from {
			continue
		}
		delay := a.between(time.Millisecond, 5*time.Millisecond)
		if a.rand.IntN(20) == 0 {
			delay = a.between(50*time.Millisecond, 250*time.Millisecond)
		}
		a.after(delay, func() { q.Add(a.now, l) })
	}
}

// newAmong starts traffic: contents all differ, the deadly one comes again a few times a second,
// and single targets or a third of all end by themselves.
func newAmong(seed uint64, poisoned bool) *among {
	a := &among{rand: rand.New(rand.NewPCG(seed, 7)), refused: make(map[uint64]clock.Stamp), next: dead}
	for i := range a.entries {
		a.entries[i] = &Quarantine{}
	}
	for at := time.Duration(0); at < time.Duration(amongFor); at += a.between(time.Millisecond, 15*time.Millisecond) {
		a.after(at, func() {
			a.next++
			a.visit(a.next, a.rand.IntN(amongEntries))
		})
	}
	for at := 2 * time.Second; poisoned && at < time.Duration(amongFor); at += a.between(50*time.Millisecond, time.Second) {
		a.after(at, func() { a.visit(dead, a.rand.IntN(amongEntries)) })
	}
	a.after(a.between(3*time.Second, 8*time.Second), func() { a.end(a.rand.IntN(amongTargets)) })
	a.after(a.between(8*time.Second, 14*time.Second), func() {
		for i := range amongTargets / 3 {
			a.after(a.between(0, time.Second), func() { a.end(i) })
		}
	})
	return a
}

// TestDeadlyContentAmongOthers guards against both mistakes of a quarantine: targets lost to one content, and contents refused
// that ran beside it.
func TestDeadlyContentAmongOthers(t *testing.T) {
	const seeds = 60
	var lost [8]int
	refused, longest, contents := 0, time.Duration(0), 0
	for seed := range uint64(seeds) {
		a := newAmong(seed, true)
		a.play()
		lost[min(a.lost, len(lost)-1)]++
		refused += len(a.refused)
		longest = max(longest, a.longest)
		contents += int(a.next)
	}
	t.Logf("plays by targets lost: %v; %d of %d other contents refused, for %s at most", lost, refused, contents, longest)
	assert.Assert(t, lost[5]+lost[6]+lost[7] == 0, "plays by targets lost: %v", lost)
	assert.Assert(t, refused <= contents/1000, "%d of %d other contents were refused", refused, contents)
}

// TestNothingIsRefusedWithoutDeadlyContent guards against contents that are refused for targets which end by themselves.
func TestNothingIsRefusedWithoutDeadlyContent(t *testing.T) {
	const seeds = 60
	refused, longest, contents := 0, time.Duration(0), 0
	for seed := range uint64(seeds) {
		a := newAmong(seed, false)
		a.play()
		refused += len(a.refused)
		longest = max(longest, a.longest)
		contents += int(a.next)
	}
	t.Logf("%d of %d contents refused, for %s at most", refused, contents, longest)
	assert.Assert(t, refused <= contents/1000, "%d of %d contents were refused", refused, contents)
}
