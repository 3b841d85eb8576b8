package stand

import (
	"context"
	"runtime"
	"time"
)

// heapMeter measures the largest heap while it runs.
type heapMeter struct {
	start, peak uint64
	done        chan struct{}
}

// MeasureHeap starts a measurement; the returned function ends it and returns the growth in bytes.
func MeasureHeap() func() int64 {
	runtime.GC()
	m := &heapMeter{done: make(chan struct{})}
	m.start = heapBytes()
	ctx, cancel := context.WithCancel(context.Background())
	go m.loop(ctx)
	return func() int64 {
		cancel()
		<-m.done
		return int64(m.peak) - int64(m.start)
	}
}

func (m *heapMeter) loop(ctx context.Context) {
	defer close(m.done)
	for ; ctx.Err() == nil; time.Sleep(2 * time.Millisecond) {
		m.peak = max(m.peak, heapBytes())
	}
}

func heapBytes() uint64 {
	var s runtime.MemStats
	runtime.ReadMemStats(&s)
	return s.HeapAlloc
}
