package order

import (
	"math"
	"strconv"
	"time"
)

const (
	// tickDuration is the unit of the lower half of a fencing number: at 64 a second
	// 32 bits last for two years of a host's uptime.
	tickDuration = time.Second / 64
	// halfBits is the bits of each half. A version of 32 bits leaves room for
	// operators who number publications by the seconds of the calendar.
	halfBits = 32
)

// Fence is a fencing number: the publication's version above the host's uptime
// in ticks. An engine that checks it refuses every order below the highest one
// it saw.
//
// The uptime stands for the agent's incarnation. Agent and target share a host,
// and an agent sends a number only once the uptime has reached it. So whatever
// a dead predecessor has sent, also what is still on its way, lies below all
// that its successor sends under the same version, though neither has a disk.
// When the host itself restarts, the engine has forgotten its number too.
type Fence uint64

// String returns the number as it is sent, in decimal.
func (f Fence) String() string { return strconv.FormatUint(uint64(f), 10) }

// Version returns the publication's version that the number carries.
func (f Fence) Version() uint64 { return uint64(f) >> halfBits }

func (f Fence) ticks() uint64 { return uint64(f) & math.MaxUint32 }

// newFence joins a version and ticks; ErrRange when either does not fit. Cutting
// bits off would make a new order look old.
func newFence(version, ticks uint64) (Fence, error) {
	if version > math.MaxUint32 || ticks > math.MaxUint32 {
		return 0, ErrRange{Version: version, Ticks: ticks}
	}
	return Fence(version<<halfBits | ticks), nil
}
