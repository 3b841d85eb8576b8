// Package queue orders the requests that wait at one target: by urgency class, within a class
// by weighted fair shares of the workspaces, and within a workspace short requests before long
// ones. The queue is bounded, and a full queue evicts the request with the least claim to a
// place.
//
// First come, first served would fail under saturation: the surge of one workspace would delay
// all others, short answers would wait behind plans that take minutes, and work would start
// after its caller has given up, so that goodput would fall as the offered load grows.
package queue

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// MaxBypassed is the number of starts of more urgent work after which the next request of a
	// waiting class starts. Under continuous urgent work, the least urgent class still gets one
	// start in 17: enough to meet limits of minutes, at the cost of about 6% of the starts of
	// urgent work.
	MaxBypassed = 16
	// DelayPerToken is added to the arrival time of a request per token of its cost, in the
	// order within its workspace. A plan of 20,000 tokens yields to questions of the next two
	// seconds. No request waits forever, because requests that arrive after that cannot
	// overtake it.
	DelayPerToken = 100 * time.Microsecond
)

// Queue is the bounded queue of one target. Set the exported fields before use; they can be
// changed between calls. Each operation takes time logarithmic in the number of waiting
// requests, except Shed and a push onto a full queue, which also scan the workspaces of one
// class and the requests of one of them. It is not safe for concurrent use.
type Queue struct {
	// Capacity is the maximum number of waiting requests.
	Capacity int
	// Weights holds the weights of workspaces; 1 if missing.
	Weights map[string]float64

	classes  [chestnutstep.ClassCount]classQueue
	items    map[string]*item
	expiries heap[byExpiry]
	seq      uint64
}

// Rejection is the reason why a queue rejected a request.
type Rejection struct {
	// Reason is ReasonQueue if the waiting requests have the same or a higher claim to a place
	// than this one, and ReasonShare if its own workspace uses the most places for its weight.
	Reason chestnutstep.Reason
}

// Push adds a request. If the queue is full, the request with the least claim to a place is
// evicted and returned: of the least urgent class, the last request of the workspace with the
// most places relative to its weight. If the new request itself has the least claim, it is not
// added and a rejection is returned.
func (q *Queue) Push(now time.Time, w chestnutstep.Work) (evicted *chestnutstep.Work, rejection *Rejection) {
	w = normalize(w)
	cq := &q.classes[w.Class]
	f := cq.flow(w.Workspace, q.weight(w.Workspace))
	if len(q.items) >= q.Capacity {
		x, rejected := q.victim(w.Class, f)
		if x == nil {
			return nil, rejected
		}
		q.remove(x)
		evicted = &x.work
		f = cq.flow(w.Workspace, q.weight(w.Workspace))
	}
	x := &item{work: w, flow: f, seq: q.seq, orderKey: now.Add(time.Duration(w.Cost) * DelayPerToken)}
	x.expiry = earlier(w.WaitUntil, w.Deadline)
	q.seq++
	q.add(x)
	return evicted, nil
}

// victim returns the request that has less claim to a place than one more of f, or a rejection.
func (q *Queue) victim(class chestnutstep.Class, f *flow) (*item, *Rejection) {
	for c := len(q.classes) - 1; c > int(class); c-- {
		if q.classes[c].count > 0 {
			return q.classes[c].heaviest().last(), nil
		}
	}
	heaviest := q.classes[class].heaviest()
	if heaviest == f {
		return nil, &Rejection{Reason: chestnutstep.ReasonShare}
	}
	if heaviest == nil || heaviest.load(-1) < f.load(1) {
		return nil, &Rejection{Reason: chestnutstep.ReasonQueue}
	}
	return heaviest.last(), nil
}

// Pop removes and returns the request that starts next among the classes that can start.
func (q *Queue) Pop(mayStart func(c chestnutstep.Class) bool) (chestnutstep.Work, bool) {
	c, ok := q.nextClass(mayStart)
	if !ok {
		return chestnutstep.Work{}, false
	}
	x := q.classes[c].pop()
	q.untrack(x)
	q.RecordStart(c)
	return x.work, true
}

// nextClass returns the class that is served next.
func (q *Queue) nextClass(mayStart func(c chestnutstep.Class) bool) (chestnutstep.Class, bool) {
	for c := range q.classes {
		cq := &q.classes[c]
		if cq.count > 0 && cq.bypassed >= MaxBypassed && mayStart(chestnutstep.Class(c)) {
			return chestnutstep.Class(c), true
		}
	}
	for c := range q.classes {
		if q.classes[c].count > 0 && mayStart(chestnutstep.Class(c)) {
			return chestnutstep.Class(c), true
		}
	}
	return 0, false
}

// RecordStart counts a start of a class against the less urgent classes that wait. Pop calls it
// itself. Work that starts without waiting must be counted too, or it could delay the others
// forever.
func (q *Queue) RecordStart(class chestnutstep.Class) {
	for c := int(class) + 1; c < len(q.classes); c++ {
		if q.classes[c].count > 0 {
			q.classes[c].bypassed++
		}
	}
}

// MustWait reports whether a new request of the class must wait: a request of the same or a
// more urgent class is waiting, or a class that reached MaxBypassed. Classes that cannot start
// now are ignored. Otherwise a plan for which no slot is free would block questions from the
// slots reserved for them.
func (q *Queue) MustWait(class chestnutstep.Class, mayStart func(c chestnutstep.Class) bool) bool {
	for c := range q.classes {
		cq := &q.classes[c]
		if cq.count > 0 && (c <= int(class) || cq.bypassed >= MaxBypassed) && mayStart(chestnutstep.Class(c)) {
			return true
		}
	}
	return false
}

// Remove removes a request, and reports whether it was waiting here.
func (q *Queue) Remove(id string) bool {
	x := q.items[id]
	if x == nil {
		return false
	}
	q.remove(x)
	return true
}

// Contains reports whether a request waits here.
func (q *Queue) Contains(id string) bool { return q.items[id] != nil }

// Expire removes and returns one request whose patience or deadline has passed.
func (q *Queue) Expire(now time.Time) (chestnutstep.Work, bool) {
	if q.expiries.len() == 0 || q.expiries.items[0].expiry.After(now) {
		return chestnutstep.Work{}, false
	}
	x := q.expiries.items[0].item
	q.remove(x)
	return x.work, true
}

// Shed removes and returns one request of the class, starting with the last in order of the
// heaviest workspace.
func (q *Queue) Shed(class chestnutstep.Class) (chestnutstep.Work, bool) {
	cq := &q.classes[class]
	if cq.count == 0 {
		return chestnutstep.Work{}, false
	}
	x := cq.heaviest().last()
	q.remove(x)
	return x.work, true
}

// Len returns the number of waiting requests.
func (q *Queue) Len() int { return len(q.items) }

// CostAhead estimates the cost that is served before a request: all more urgent work, and of
// its own class the part that precedes it under its workspace's share.
func (q *Queue) CostAhead(w chestnutstep.Work) float64 {
	w = normalize(w)
	var ahead float64
	for c := range w.Class {
		ahead += q.classes[c].cost
	}
	cq := &q.classes[w.Class]
	weight := q.weight(w.Workspace)
	own, all := 0.0, cq.weight+weight
	if f := cq.flows[w.Workspace]; f != nil && f.items.len() > 0 {
		own, all = f.cost, cq.weight
	}
	fair := (own+w.Cost)*all/weight - w.Cost
	return ahead + min(cq.cost, fair)
}

func (q *Queue) add(x *item) {
	if q.items == nil {
		q.items = make(map[string]*item)
	}
	q.items[x.work.ID] = x
	q.expiries.push(byExpiry{x})
	x.flow.class.push(x)
}

func (q *Queue) remove(x *item) {
	x.flow.class.remove(x)
	q.untrack(x)
}

func (q *Queue) untrack(x *item) {
	q.expiries.remove(byExpiry{x})
	delete(q.items, x.work.ID)
}

func (q *Queue) weight(workspace string) float64 {
	if w := q.Weights[workspace]; w > 0 {
		return w
	}
	return 1
}

// normalize makes untrusted values of a request safe to use: a class beyond the last one
// becomes the last one, and the cost is limited to 1 to maxCost tokens.
func normalize(w chestnutstep.Work) chestnutstep.Work {
	w.Class = min(w.Class, chestnutstep.ClassCount-1)
	if !(w.Cost >= 1) {
		w.Cost = 1
	}
	w.Cost = min(w.Cost, maxCost)
	return w
}

// maxCost is above the cost of any answer; it keeps sums and order finite.
const maxCost = 1e8

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
