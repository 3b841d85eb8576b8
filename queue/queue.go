// Package queue orders the work that waits at one target.
//
// The load it answers: saturation, a surge of one workspace, and long plans
// among quick questions. Without it (first come, first served) one workspace's
// surge stands before everybody's next question, quick answers wait behind
// drafts of minutes, and work is started that its caller has given up, so that
// goodput falls as the offered load grows.
package queue

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// MaxBypassed is how many starts of more urgent work a class lets pass before its
	// own next request starts. Under endless urgent work, the least urgent class
	// then still gets one start in seventeen: enough that tagging advances and
	// its callers' limits of minutes are met, and about 6% of what the urgent
	// ones could have had.
	MaxBypassed = 16
	// DelayPerToken is how much later a request counts as having come for each token of
	// its cost, among the requests of its own workspace. A plan of 20,000 tokens
	// lets questions of the next two seconds go first, and is then as old as
	// they are: no request waits for ever, as nothing that comes later than that
	// can overtake it.
	DelayPerToken = 100 * time.Microsecond
)

// Queue is the bounded queue of one target: classes by urgency, within a class
// workspaces by weighted fair shares of cost, within a workspace short before
// long. Set the fields before use; they may be set again between calls. Each
// operation takes time logarithmic in what waits, but for the push onto a full
// queue, which looks at each workspace once.
type Queue struct {
	// Capacity is the most requests that wait.
	Capacity int
	// Weights of workspaces; 1 where missing.
	Weights map[string]float64

	classes  [chestnutstep.ClassCount]classQueue
	items    map[string]*item
	expiries heap[byExpiry]
	seq      uint64
}

// Rejection is why a queue took no request.
type Rejection struct {
	// Reason is ReasonQueue when what waits is as urgent and as fairly shared
	// as the request, ReasonShare when its own workspace takes the places.
	Reason chestnutstep.Reason
}

// Push lets a request wait. When the queue is full, a place is made by the
// request that has the least claim to one: of the least urgent class, the last
// one of the workspace that takes most places for its weight. It is returned
// as out. When the request itself has the least claim, full says why.
func (q *Queue) Push(now time.Time, w chestnutstep.Work) (evicted *chestnutstep.Work, rejection *Rejection) {
	w = normalize(w)
	l := &q.classes[w.Class]
	f := l.flow(w.Workspace, q.weight(w.Workspace))
	if len(q.items) >= q.Capacity {
		x, refused := q.victim(w.Class, f)
		if x == nil {
			return nil, refused
		}
		q.remove(x)
		evicted = &x.work
		f = l.flow(w.Workspace, q.weight(w.Workspace))
	}
	x := &item{work: w, flow: f, seq: q.seq, orderKey: now.Add(time.Duration(w.Cost) * DelayPerToken)}
	x.expiry = earlier(w.WaitUntil, w.Deadline)
	q.seq++
	q.add(x)
	return evicted, nil
}

// victim finds the request that has less claim to a place than one more of f.
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

// Pop takes the request that starts next among the classes that may start.
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

// nextClass is the class whose turn it is.
func (q *Queue) nextClass(mayStart func(c chestnutstep.Class) bool) (chestnutstep.Class, bool) {
	for c := range q.classes {
		l := &q.classes[c]
		if l.count > 0 && l.bypassed >= MaxBypassed && mayStart(chestnutstep.Class(c)) {
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

// RecordStart counts a start of a class against the less urgent ones that wait. Pop
// does it by itself; work that started without waiting must be counted too, or
// it could keep the others waiting for ever.
func (q *Queue) RecordStart(class chestnutstep.Class) {
	for c := int(class) + 1; c < len(q.classes); c++ {
		if q.classes[c].count > 0 {
			q.classes[c].bypassed++
		}
	}
}

// MustWait says whether a new request of the class must wait its turn: something
// as urgent waits already, or a class that has let enough pass. A class that may
// not start now is nobody's reason to wait: otherwise a plan, for which no slot
// is free, would have questions turned away from slots that are kept for them.
func (q *Queue) MustWait(class chestnutstep.Class, mayStart func(c chestnutstep.Class) bool) bool {
	for c := range q.classes {
		l := &q.classes[c]
		if l.count > 0 && (c <= int(class) || l.bypassed >= MaxBypassed) && mayStart(chestnutstep.Class(c)) {
			return true
		}
	}
	return false
}

// Remove takes a request out, for whatever reason; false means that it does
// not wait here.
func (q *Queue) Remove(id string) bool {
	x := q.items[id]
	if x == nil {
		return false
	}
	q.remove(x)
	return true
}

// Contains says whether a request waits here.
func (q *Queue) Contains(id string) bool { return q.items[id] != nil }

// Expire takes out one request whose patience or time limit has passed.
func (q *Queue) Expire(now time.Time) (chestnutstep.Work, bool) {
	if q.expiries.len() == 0 || q.expiries.items[0].expiry.After(now) {
		return chestnutstep.Work{}, false
	}
	x := q.expiries.items[0].item
	q.remove(x)
	return x.work, true
}

// Shed takes out one request of the class, the last in order first.
func (q *Queue) Shed(class chestnutstep.Class) (chestnutstep.Work, bool) {
	l := &q.classes[class]
	if l.count == 0 {
		return chestnutstep.Work{}, false
	}
	x := l.heaviest().last()
	q.remove(x)
	return x.work, true
}

// Len is how many requests wait.
func (q *Queue) Len() int { return len(q.items) }

// CostAhead estimates the cost that is served before the request would be: all
// that is more urgent, and of its own class what its workspace's share lets
// pass.
func (q *Queue) CostAhead(w chestnutstep.Work) float64 {
	w = normalize(w)
	var ahead float64
	for c := range w.Class {
		ahead += q.classes[c].cost
	}
	l := &q.classes[w.Class]
	weight := q.weight(w.Workspace)
	own, all := 0.0, l.weight+weight
	if f := l.flows[w.Workspace]; f != nil && f.items.len() > 0 {
		own, all = f.cost, l.weight
	}
	fair := (own+w.Cost)*all/weight - w.Cost
	return ahead + min(l.cost, fair)
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

// normalize makes an offer from outside safe to count: a class beyond the last one
// is the last one, and each request costs at least one token.
func normalize(w chestnutstep.Work) chestnutstep.Work {
	w.Class = min(w.Class, chestnutstep.ClassCount-1)
	if !(w.Cost >= 1) {
		w.Cost = 1
	}
	w.Cost = min(w.Cost, maxCost)
	return w
}

// maxCost is a cost beyond any answer's: it keeps the sums and the order finite.
const maxCost = 1e8

func earlier(a, b time.Time) time.Time {
	if a.Before(b) {
		return a
	}
	return b
}
