package place

import (
	"cmp"
	"slices"

	"github.com/cespare/xxhash/v2"
)

// pointsEach is how many points of the ring each target has: with fewer, the part of the keys
// that it is first for differs too much from target to target.
const pointsEach = 32

// Ring orders targets by the hash of a key, the same for all who know the same targets: one
// that joins or leaves changes the order for few keys. It is not safe for concurrent use.
type Ring struct {
	points []point
	// seen is the last walk that came to each target.
	seen []uint32
	walk uint32
}

// point is a place on the ring.
type point struct {
	at     uint32
	target uint32
}

// NewRing returns the ring of targets with these names.
func NewRing(ids []string) *Ring {
	r := &Ring{points: make([]point, 0, pointsEach*len(ids)), seen: make([]uint32, len(ids))}
	for i, id := range ids {
		h := xxhash.Sum64String(id)
		for range pointsEach {
			h = mix(h)
			r.points = append(r.points, point{uint32(h >> 32), uint32(i)})
		}
	}
	slices.SortFunc(r.points, func(a, b point) int {
		return cmp.Or(cmp.Compare(a.at, b.at), cmp.Compare(a.target, b.target))
	})
	return r
}

// Walk calls f with the place of each target in the list of names, once, in the order of the
// key, until f returns false.
func (r *Ring) Walk(key uint64, f func(i int) bool) {
	r.walk++
	at := uint32(mix(key) >> 32)
	first, _ := slices.BinarySearchFunc(r.points, at, func(p point, at uint32) int { return cmp.Compare(p.at, at) })
	left := len(r.seen)
	for n := range r.points {
		k := first + n
		if k >= len(r.points) {
			k -= len(r.points)
		}
		i := r.points[k].target
		if r.seen[i] == r.walk {
			continue
		}
		r.seen[i] = r.walk
		left--
		if !f(int(i)) || left == 0 {
			return
		}
	}
}

// mix spreads the bits of a number.
func mix(h uint64) uint64 {
	h += 0x9e3779b97f4a7c15
	h = (h ^ h>>30) * 0xbf58476d1ce4e5b9
	h = (h ^ h>>27) * 0x94d049bb133111eb
	return h ^ h>>31
}
