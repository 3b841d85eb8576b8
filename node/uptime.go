package node

import (
	"syscall"
	"time"
)

// uptime returns the uptime of the host, 0 if it cannot be read. Without a disk, it is a value that
// increases from one run of a process to the next on the same host.
func uptime() time.Duration {
	var info syscall.Sysinfo_t
	if err := syscall.Sysinfo(&info); err != nil {
		return 0
	}
	return time.Duration(info.Uptime) * time.Second
}
