package order

import (
	"math"
	"strconv"
	"time"
)

const (
	// tickDuration is the unit of the lower half of a fencing number. At 64 ticks per second, 32
	// bits last for two years of a host's uptime.
	tickDuration = time.Second / 64
	// halfBits is the number of bits of each half. With 32 bits, operators can use Unix time in
	// seconds as the publication's version.
	halfBits = 32
)

// Fence is a fencing number: the publication's version in the upper half and the host's uptime in
// ticks in the lower half. An engine that checks it refuses every order below the highest number
// received.
//
// The uptime represents the agent's incarnation. Agent and target share a host, and an agent sends
// a number only once the uptime has reached it. All orders of an earlier incarnation, including
// those in transit, are therefore below those of a later one under the same version, without a
// disk. If the host itself restarts, the engine loses its highest number as well.
type Fence uint64

// String returns the number in decimal, as it is sent.
func (f Fence) String() string { return strconv.FormatUint(uint64(f), 10) }

// Version returns the publication's version in the number.
func (f Fence) Version() uint64 { return uint64(f) >> halfBits }

func (f Fence) ticks() uint64 { return uint64(f) & math.MaxUint32 }

// newFence combines a version and ticks. It returns ErrRange if either doesn't fit, as truncation
// would make a new order appear old.
func newFence(version, ticks uint64) (Fence, error) {
	if version > math.MaxUint32 || ticks > math.MaxUint32 {
		return 0, ErrRange{Version: version, Ticks: ticks}
	}
	return Fence(version<<halfBits | ticks), nil
}
