package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pointsPerTarget is the number of points of each target on the ring. With fewer, the part of
// the keys that a target is first for differs too much between targets.
const pointsPerTarget = 32

// Ring orders targets by the hash of a key (consistent hashing). The order is the same for all
// processes with the same targets, and a target that joins or leaves changes the order of few
// keys. Targets are identified by slots, which stay fixed while they are members. The zero
// value is empty. It is not safe for concurrent use.
type Ring struct {
	points []point
	slots  map[string]int
	free   []int
	// lastWalk is the number of the last walk that visited each slot.
	lastWalk []uint32
	walkSeq  uint32
}

// point is a position on the ring and the slot of its target.
type point struct {
	position uint32
	slot     uint32
}

func comparePoints(a, b point) int {
	if a.position != b.position {
		return cmp.Compare(a.position, b.position)
	}
	return cmp.Compare(a.slot, b.slot)
}

// SlotCount returns the number of slots, free ones included.
func (r *Ring) SlotCount() int { return len(r.lastWalk) }

// Slot returns the slot of a target, or false if it is not a member.
func (r *Ring) Slot(id string) (int, bool) {
	slot, ok := r.slots[id]
	return slot, ok
}

// Update adds and removes targets. Its cost is one pass over all points, however few targets
// change.
func (r *Ring) Update(joined, removed []string) {
	if len(joined)+len(removed) == 0 {
		return
	}
	isRemoved := make([]bool, len(r.lastWalk))
	for _, id := range removed {
		if slot, ok := r.slots[id]; ok {
			isRemoved[slot] = true
			delete(r.slots, id)
			r.free = append(r.free, slot)
		}
	}
	kept := r.points[:0]
	for _, p := range r.points {
		if !isRemoved[p.slot] {
			kept = append(kept, p)
		}
	}
	r.points = merge(kept, r.assignSlots(joined))
}

// assignSlots assigns slots to targets and returns their points in order.
func (r *Ring) assignSlots(ids []string) []point {
	if r.slots == nil {
		r.slots = make(map[string]int, len(ids))
	}
	list := make([]point, 0, pointsPerTarget*len(ids))
	for _, id := range ids {
		slot := len(r.lastWalk)
		if n := len(r.free); n > 0 {
			slot, r.free = r.free[n-1], r.free[:n-1]
		} else {
			r.lastWalk = append(r.lastWalk, 0)
		}
		r.slots[id] = slot
		h := xxhash.Sum64String(id)
		for range pointsPerTarget {
			h = mix(h)
			list = append(list, point{uint32(h >> 32), uint32(slot)})
		}
	}
	slices.SortFunc(list, comparePoints)
	return list
}

// merge merges two ordered lists of points.
func merge(list, added []point) []point {
	a, b := len(list), len(added)
	list = append(list, added...)
	for b > 0 {
		if a > 0 && comparePoints(list[a-1], added[b-1]) > 0 {
			list[a+b-1] = list[a-1]
			a--
			continue
		}
		list[a+b-1] = added[b-1]
		b--
	}
	return list
}

// Walk calls f with the slot of each target once, in the order of the key, until f returns
// false.
func (r *Ring) Walk(key uint64, f func(slot int) bool) {
	r.walkSeq++
	at := uint32(mix(key) >> 32)
	first, _ := slices.BinarySearchFunc(r.points, at, func(p point, at uint32) int { return cmp.Compare(p.position, at) })
	remaining := len(r.slots)
	for n := range r.points {
		k := first + n
		if k >= len(r.points) {
			k -= len(r.points)
		}
		slot := r.points[k].slot
		if r.lastWalk[slot] == r.walkSeq {
			continue
		}
		r.lastWalk[slot] = r.walkSeq
		remaining--
		if !f(int(slot)) || remaining == 0 {
			return
		}
	}
}

// mix is a hash finalizer: it spreads the bits of a number.
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
