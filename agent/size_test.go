package agent

import (
	"fmt"
	"runtime"
	"testing"
	"time"
)

// BenchmarkChats measures the memory per chat with the list of cached chats at its maximum.
func BenchmarkChats(b *testing.B) {
	var size float64
	for b.Loop() {
		var before, after runtime.MemStats
		runtime.GC()
		runtime.ReadMemStats(&before)
		c := &chatCache{}
		for i := range maxChats {
			c.recordServed(chatKey{fmt.Sprintf("workspace-%d", i%560), fmt.Sprintf("chat-%032d", i)}, time.Now())
		}
		runtime.GC()
		runtime.ReadMemStats(&after)
		size = float64(after.HeapAlloc-before.HeapAlloc) / maxChats
		runtime.KeepAlive(c)
	}
	b.ReportMetric(size, "B/chat")
}
