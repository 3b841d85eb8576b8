package node

import (
	"math"
	"net"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"chestnutstep.example/chestnutstep/event"
)

// gcPercentBusy is gcPercent while callers are many: each pass of the collector walks all their
// connections, and would take the processor from their requests.
const gcPercentBusy = 100

// callerListenConfig takes callers' connections without keep-alive probes: each is bounded by
// its request's time limit or by the idle time, and setting the probes up costs several
// system calls, which counts where each request comes on a connection of its own.
var callerListenConfig = net.ListenConfig{KeepAlive: -1}

// maxFiles is how many descriptors the system allows this process.
func maxFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultMaxFiles
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// defaultMaxFiles stands in where the system doesn't say how many descriptors it allows.
const defaultMaxFiles = 1024

// setGCPercent says that callers' connections have become many, or few again, and lets the
// garbage collector spend memory in place of the processor meanwhile.
func (n *Direct) setGCPercent(open int, manyCallers bool) {
	id, percent := event.CallersFew, gcPercent
	if manyCallers {
		id, percent = event.CallersMany, gcPercentBusy
	}
	debug.SetGCPercent(percent)
	n.log.Emit(id, event.Int("open", int64(open)), event.Int("most", int64(n.callers.MaxConns)))
}
