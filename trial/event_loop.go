package trial

import (
	"container/heap"
	"time"
)

// event is a function scheduled at a simulated time.
type event struct {
	at  time.Duration
	seq int
	do  func()
}

// eventLoop runs events in the order of their times. Events of the same time run in the order in
// which they were scheduled, so that a trial is deterministic.
type eventLoop struct {
	now    time.Duration
	seq    int
	events []event
}

func (l *eventLoop) Len() int { return len(l.events) }

func (l *eventLoop) Less(i, j int) bool {
	a, b := l.events[i], l.events[j]
	return a.at < b.at || a.at == b.at && a.seq < b.seq
}

func (l *eventLoop) Swap(i, j int) { l.events[i], l.events[j] = l.events[j], l.events[i] }

// Push implements heap.Interface.
func (l *eventLoop) Push(x any) { l.events = append(l.events, x.(event)) }

// Pop implements heap.Interface.
func (l *eventLoop) Pop() any {
	last := len(l.events) - 1
	e := l.events[last]
	l.events[last] = event{}
	l.events = l.events[:last]
	return e
}

func (l *eventLoop) after(d time.Duration, do func()) {
	l.seq++
	heap.Push(l, event{at: l.now + max(0, d), seq: l.seq, do: do})
}

func (l *eventLoop) every(d time.Duration, do func()) {
	l.after(d, func() {
		do()
		l.every(d, do)
	})
}

func (l *eventLoop) runUntil(end time.Duration) {
	for len(l.events) > 0 && l.events[0].at <= end {
		e := heap.Pop(l).(event)
		l.now = e.at
		e.do()
	}
}

// time returns the simulated time as a time.Time, for the decision code.
func (l *eventLoop) time() time.Time { return time.Unix(0, 0).Add(l.now) }
