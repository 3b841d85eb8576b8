package fake

import (
	"slices"
	"sync"
)

// Order instructs an engine to load a model, an adapter or a version, or to
// change its role.
type Order struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fence is the fencing number of the order.
	Fence uint64 `json:"fence"`
}

// orderLog records the orders that an engine accepted.
type orderLog struct {
	mu           sync.Mutex
	highestFence uint64
	all          []Order
}

// accept records an order. It returns false if fenced is set and the order's
// fencing number is lower than one accepted before.
func (o *orderLog) accept(v Order, fenced bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fenced && v.Fence < o.highestFence {
		return false
	}
	o.highestFence = max(o.highestFence, v.Fence)
	o.all = append(o.all, v)
	return true
}

func (o *orderLog) list() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.all)
}
