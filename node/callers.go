package node

import (
	"math"
	"net"
	"runtime/debug"

	"golang.org/x/sys/unix"

	"chestnutstep.example/chestnutstep/event"
)

// gcPercentBusy replaces gcPercent while there are many caller connections. Each garbage collection
// scans all of them and would take CPU time from requests.
const gcPercentBusy = 100

// callerListenConfig disables keep-alive probes on caller connections. Each connection is already
// bounded by the timeout of its request or by the idle timeout. Setting up probes costs several
// system calls, which is significant if each request arrives on its own connection.
var callerListenConfig = net.ListenConfig{KeepAlive: -1}

// maxFiles returns the limit of file descriptors of this process.
func maxFiles() int {
	var limit unix.Rlimit
	if err := unix.Getrlimit(unix.RLIMIT_NOFILE, &limit); err != nil {
		return defaultMaxFiles
	}
	return int(min(limit.Cur, math.MaxInt32))
}

// defaultMaxFiles is used if the limit of file descriptors cannot be read.
const defaultMaxFiles = 1024

// setGCPercent logs that the number of caller connections has become large or small, and adjusts
// the garbage collector, which trades memory for CPU time while it is large.
func (n *Direct) setGCPercent(open int, manyCallers bool) {
	id, percent := event.CallersFew, gcPercent
	if manyCallers {
		id, percent = event.CallersMany, gcPercentBusy
	}
	debug.SetGCPercent(percent)
	n.log.Emit(id, event.Int("open", int64(open)), event.Int("most", int64(n.callers.MaxConns)))
}
