package node

import (
	"syscall"
	"time"
)

// uptime is how long the host has been up: with no disk, it is what rises from
// one life of a process to the next on the same host.
func uptime() time.Duration {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return time.Duration(info.Uptime) * time.Second
}
