// Package clock reads a clock that goes on while the host is suspended.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stamp is a moment by the boot clock. It can be compared only with others of
// the same process.
type Stamp time.Duration

// Now reads the boot clock. Go's monotonic clock stands still while a host is
// suspended: a process that slept for a minute would take its knowledge for
// fresh, and act on a key that was taken away meanwhile.
func Now() Stamp {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Stamp(time.Since(fallbackStart))
	}
	return Stamp(ts.Nano())
}

// fallbackStart stands in on systems without a boot clock.
var fallbackStart = time.Now()

// Sub is the time from other to s.
func (s Stamp) Sub(other Stamp) time.Duration { return time.Duration(s - other) }

// Add is the moment d after s.
func (s Stamp) Add(d time.Duration) Stamp { return s + Stamp(d) }
