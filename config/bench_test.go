package config

import (
	"testing"
	"time"
)

// BenchmarkPut puts a changed publication of 2,700 targets in force, which each
// process does for every change: 11,000 times a day.
func BenchmarkPut(b *testing.B) {
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
		if err := benchStore.Put(time.Time{}, x.root, x.parts); err != nil {
			b.Fatal(err)
		}
	}
}

var benchStore *Store
