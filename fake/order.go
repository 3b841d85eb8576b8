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

// orders is what an engine was told and obeyed.
type orders struct {
	mu   sync.Mutex
	high uint64
	all  []Order
}

// take obeys an order unless the engine checks fencing numbers and this one is
// older than one seen before.
func (o *orders) take(v Order, fenced bool) bool {
	o.mu.Lock()
	defer o.mu.Unlock()
	if fenced && v.Fence < o.high {
		return false
	}
	o.high = max(o.high, v.Fence)
	o.all = append(o.all, v)
	return true
}

func (o *orders) list() []Order {
	o.mu.Lock()
	defer o.mu.Unlock()
	return slices.Clone(o.all)
}
