// Package clock reads the system's boot clock, which advances while the host is suspended, and
// provides a sleep that ends with a context.
package clock

import (
	"time"

	"golang.org/x/sys/unix"
)

// Stamp is a time of the boot clock. It can only be compared with others of
// the same process.
type Stamp time.Duration

// Now reads the boot clock. Go's monotonic clock stops while a host is
// suspended: after a suspension of a minute, a process would treat its data as
// fresh and accept a key that was revoked in the meantime.
func Now() Stamp {
	var ts unix.Timespec
	if err := unix.ClockGettime(unix.CLOCK_BOOTTIME, &ts); err != nil {
		return Stamp(time.Since(fallbackStart))
	}
	return Stamp(ts.Nano())
}

// fallbackStart is the reference of Now on systems without a boot clock.
var fallbackStart = time.Now()

// Sub returns the time from other to s.
func (s Stamp) Sub(other Stamp) time.Duration { return time.Duration(s - other) }

// Add returns the time d after s.
func (s Stamp) Add(d time.Duration) Stamp { return s + Stamp(d) }
