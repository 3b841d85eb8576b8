package node

import (
	"runtime/metrics"

	"chestnutstep.example/chestnutstep/event"
)

// highMemoryRatio is the part of the memory limit from which memory use is logged.
const highMemoryRatio = 0.6

// memoryUse is the memory of the process by use, in bytes.
type memoryUse struct {
	// Live is what the last garbage collection found in use; Objects also contains garbage.
	Live, Objects int64
	// Unused is heap memory without objects that was not returned to the system.
	Unused int64
	Stacks int64
	// Total is all memory that the runtime has from the system.
	Total int64
}

// memoryMonitor reads the memory use of the process.
type memoryMonitor struct {
	samples []metrics.Sample
	isHigh  bool
}

// memorySamples are the names of the runtime's metrics that make up a memoryUse.
var memorySamples = []string{
	"/gc/heap/live:bytes",
	"/memory/classes/heap/objects:bytes",
	"/memory/classes/heap/unused:bytes",
	"/memory/classes/heap/free:bytes",
	"/memory/classes/heap/stacks:bytes",
	"/memory/classes/heap/released:bytes",
	"/memory/classes/total:bytes",
}

// read returns the current memory use.
func (m *memoryMonitor) read() memoryUse {
	if m.samples == nil {
		m.samples = make([]metrics.Sample, len(memorySamples))
		for i, name := range memorySamples {
			m.samples[i].Name = name
		}
	}
	metrics.Read(m.samples)
	value := func(i int) int64 {
		if m.samples[i].Value.Kind() != metrics.KindUint64 {
			return 0
		}
		return int64(m.samples[i].Value.Uint64())
	}
	return memoryUse{
		Live: value(0), Objects: value(1), Unused: value(2) + value(3), Stacks: value(4), Total: value(6) - value(5),
	}
}

// setMemoryGauges sets the gauges of the process's memory.
func (n *Direct) setMemoryGauges() {
	use := (&memoryMonitor{}).read()
	g := &n.meters.Process.Memory
	g.Set(float64(use.Objects), "objects")
	g.Set(float64(use.Unused), "unused")
	g.Set(float64(use.Stacks), "stacks")
	g.Set(float64(use.Total-use.Objects-use.Unused-use.Stacks), "other")
}

// checkMemory logs when the memory of the process becomes high.
func (n *Direct) checkMemory() {
	use := n.memory.read()
	limit := n.Settings.MemoryBytes
	isHigh := limit > 0 && float64(use.Total) >= highMemoryRatio*float64(limit)
	if isHigh && !n.memory.isHigh {
		open, _ := n.callers.Open()
		n.log.Emit(event.MemoryHigh, event.Int("total", use.Total), event.Int("live", use.Live), event.Int("objects", use.Objects),
			event.Int("unused", use.Unused), event.Int("limit", limit), event.Int("open", int64(open)), event.Int("requests", n.relay.InFlight()),
			event.Int("bodies", n.relay.Bodies.Use().Used))
	}
	n.memory.isHigh = isHigh
}
