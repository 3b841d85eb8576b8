package queue

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// item is one waiting request.
type item struct {
	work chestnutstep.Work
	flow *flow
	// orderKey orders the requests of one workspace.
	orderKey time.Time
	// seq orders equal keys by arrival.
	seq uint64
	// expiry is when the request is removed without being served.
	expiry      time.Time
	flowIndex   int
	expiryIndex int
}

func (x *item) heapIndex() *int { return &x.flowIndex }

func (x *item) less(o *item) bool {
	if !x.orderKey.Equal(o.orderKey) {
		return x.orderKey.Before(o.orderKey)
	}
	return x.seq < o.seq
}

// byExpiry orders the same items by expiry.
type byExpiry struct{ *item }

func (x byExpiry) heapIndex() *int { return &x.expiryIndex }

func (x byExpiry) less(o byExpiry) bool {
	if !x.expiry.Equal(o.expiry) {
		return x.expiry.Before(o.expiry)
	}
	return x.seq < o.seq
}

// flow holds the waiting requests of one workspace in one class.
type flow struct {
	class     *classQueue
	workspace string
	weight    float64
	// tag is the cost served to the workspace, divided by its weight, in virtual time of the
	// class: the flow with the lowest tag is served next.
	tag        float64
	cost       float64
	items      heap[*item]
	classIndex int
}

func (f *flow) heapIndex() *int { return &f.classIndex }

func (f *flow) less(o *flow) bool {
	if f.tag != o.tag {
		return f.tag < o.tag
	}
	return f.workspace < o.workspace
}

// last returns the request of the flow that would be served last.
func (f *flow) last() *item {
	worst := f.items.items[0]
	for _, x := range f.items.items {
		if worst.less(x) {
			worst = x
		}
	}
	return worst
}

// classQueue is the queue of one class. Workspaces share it by start-time fair queueing.
// Deficit round robin would need a quantum as large as the longest plan, and would then serve a
// hundred short questions of one workspace in a row before the next workspace. With tags, turns
// are as small as the requests.
type classQueue struct {
	flows  map[string]*flow
	active heap[*flow]
	// virtualTime is the tag of the flow served last; a new flow starts with it.
	virtualTime float64
	// cost and weight are the sums over the active flows.
	cost   float64
	weight float64
	count  int
	// bypassed counts starts of more urgent work while this class was waiting.
	bypassed int
}

// maxIdleFlows is the number of idle flows that a class keeps before it removes those whose tag
// no longer matters. 64 flows take about 10 kB.
const maxIdleFlows = 64

func (cq *classQueue) flow(workspace string, weight float64) *flow {
	f := cq.flows[workspace]
	if f == nil {
		if cq.flows == nil {
			cq.flows = make(map[string]*flow)
		}
		f = &flow{class: cq, workspace: workspace}
		cq.flows[workspace] = f
	}
	if f.items.len() == 0 {
		f.weight = weight
	}
	return f
}

func (cq *classQueue) push(x *item) {
	f := x.flow
	if f.items.len() == 0 {
		f.tag = max(f.tag, cq.virtualTime)
		cq.active.push(f)
		cq.weight += f.weight
	}
	f.items.push(x)
	f.cost += x.work.Cost
	cq.cost += x.work.Cost
	cq.count++
}

// pop removes the next request and charges its cost to its workspace.
func (cq *classQueue) pop() *item {
	f := cq.active.items[0]
	x := f.items.items[0]
	cq.virtualTime = f.tag
	f.tag += x.work.Cost / f.weight
	cq.active.fix(f)
	cq.remove(x)
	cq.bypassed = 0
	return x
}

func (cq *classQueue) remove(x *item) {
	f := x.flow
	f.items.remove(x)
	f.cost -= x.work.Cost
	cq.cost -= x.work.Cost
	cq.count--
	if f.items.len() > 0 {
		return
	}
	f.cost = 0
	cq.weight -= f.weight
	cq.active.remove(f)
	cq.pruneIdle()
}

// pruneIdle removes idle workspaces. A workspace whose tag is above the virtual time is kept:
// otherwise it would rejoin without this debt, and a caller that sends its next long plan
// whenever the last one starts would get more than its share.
func (cq *classQueue) pruneIdle() {
	if cq.count == 0 {
		cq.flows, cq.virtualTime, cq.cost, cq.weight, cq.bypassed = nil, 0, 0, 0, 0
		return
	}
	if len(cq.flows) < cq.active.len()+maxIdleFlows {
		return
	}
	for name, f := range cq.flows {
		if f.items.len() == 0 && f.tag <= cq.virtualTime {
			delete(cq.flows, name)
		}
	}
}

// heaviest returns the workspace with the most waiting requests relative to its weight.
func (cq *classQueue) heaviest() *flow {
	var heaviest *flow
	for _, f := range cq.active.items {
		if heaviest == nil || f.load(0) > heaviest.load(0) || f.load(0) == heaviest.load(0) && f.workspace < heaviest.workspace {
			heaviest = f
		}
	}
	return heaviest
}

// load returns the number of requests that the flow would have with extra more, divided by its
// weight.
func (f *flow) load(extra int) float64 {
	return float64(f.items.len()+extra) / f.weight
}
