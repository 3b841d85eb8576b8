package fake

import (
	"slices"
	"sync"
)

// Order tells an engine to load a model, an adapter or a version, or to change
// its role.
type Order struct {
	Kind string `json:"kind"`
	Name string `json:"name"`
	// Fence is the fencing number it carried.
	Fence uint64 `json:"fence"`
}

// orderLog is what an engine was told and obeyed.
type orderLog struct {
	mu           sync.Mutex
	highestFence uint64
	all          []Order
}

// accept obeys an order unless the engine checks fencing numbers and this one is
// older than one seen before.
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
