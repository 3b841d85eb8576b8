package node

import (
	"runtime"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/fake"
	"chestnutstep.example/chestnutstep/member"
	"chestnutstep.example/chestnutstep/route"
)

func heapMB() float64 {
	runtime.GC()
	runtime.GC()
	var m runtime.MemStats
	runtime.ReadMemStats(&m)
	return float64(m.HeapAlloc) / (1 << 20)
}

// BenchmarkStore applies publications of the planned size with one changed target each. It measures
// the cost of each of the 11,000 changes per day for a process.
func BenchmarkStore(b *testing.B) {
	before := heapMB()
	s := &config.Store{}
	p := fake.PlannedSize.Publication(1)
	root, parts := config.Pack(p)
	assert.NilError(b, s.Apply(time.Now(), root, parts))
	p, root, parts = nil, nil, nil
	size := heapMB() - before
	q := fake.PlannedSize.Publication(1)
	for b.Loop() {
		b.StopTimer()
		q.Version++
		i := int(q.Version) % len(q.Targets)
		q.Targets[i].Out = !q.Targets[i].Out
		root, parts = config.Pack(q)
		b.StartTimer()
		assert.NilError(b, s.Apply(time.Now(), root, parts))
	}
	b.ReportMetric(size, "MB")
	runtime.KeepAlive(s)
}

// BenchmarkTable rebuilds the ranking as an entry does when a publication or the state of hosts
// changes.
func BenchmarkTable(b *testing.B) {
	v := chestnutstep.NewView(fake.PlannedSize.Publication(1))
	n := &Entry{}
	var t *route.Table
	for b.Loop() {
		t = n.rebuildRanking(v, nil)
	}
	runtime.KeepAlive(t)
}

// BenchmarkAway measures the work of an entry in each second without changes.
func BenchmarkAway(b *testing.B) {
	l := &member.Tracker{}
	now := time.Now()
	for _, h := range fake.PlannedSize.Publication(1).Hosts {
		l.RecordSuccess(now, h.Name)
	}
	for b.Loop() {
		l.Unavailable(now)
	}
}
