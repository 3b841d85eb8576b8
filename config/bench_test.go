package config

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// TestStoreMemory guards against a store whose indexes take a large part of the 64 MB of a
// process. While the next publication is being applied, two sets of indexes are in memory.
func TestStoreMemory(t *testing.T) {
	heap := func() float64 {
		runtime.GC()
		runtime.GC()
		var m runtime.MemStats
		runtime.ReadMemStats(&m)
		return float64(m.HeapAlloc) / (1 << 20)
	}
	root, parts := Pack(fleet(1, 2700, 270))
	before := heap()
	s := new(Store)
	assert.NilError(t, s.Apply(time.Time{}, root, parts))
	held := heap() - before
	runtime.KeepAlive(parts)
	runtime.KeepAlive(s)
	t.Logf("2,700 targets: %.1f MiB for the indexes, in addition to the parts", held)
	assert.Assert(t, held < 8)
}

// BenchmarkApply applies a changed publication of 2,700 targets. Each process does this for
// every change: 11,000 times a day.
func BenchmarkApply(b *testing.B) {
	p := fleet(1, 2700, 270)
	list := make([]packed, 0, b.N+1)
	for i := range b.N + 1 {
		p.Version, p.Targets[i%2700].Out = uint64(i+1), i%2 == 0
		if i < 64 {
			root, parts := Pack(p)
			list = append(list, packed{root: root, parts: parts})
		}
	}
	b.ReportAllocs()
	b.ResetTimer()
	for i := range b.N {
		if i%64 == 0 {
			b.StopTimer()
			benchStore = new(Store)
			b.StartTimer()
		}
		x := list[i%min(64, len(list))]
		if err := benchStore.Apply(time.Time{}, x.root, x.parts); err != nil {
			b.Fatal(err)
		}
	}
}

var benchStore *Store
