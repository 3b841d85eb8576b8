package board

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

// Outcome is how a request ended at a target.
type Outcome uint8

// The outcomes.
const (
	// Served is a whole answer.
	Served Outcome = iota
	// Failed is an answer that says failure, or a broken one.
	Failed
	// Refused says that the target is full.
	Refused
	// Unreached says that no connection could be opened: nothing answered.
	Unreached
	// Closed says that none could be opened, as the host said itself.
	Closed
	// Replaced says that another instance has the address.
	Replaced
	// Silent says that the connection broke before any answer.
	Silent
	// Canceled says nothing about the target: the caller left.
	Canceled
)

const (
	// downLeast and downMost bound the time that a target which can't be reached
	// is left alone. Each try costs a request its dial limit.
	downLeast = 500 * time.Millisecond
	downMost  = 2 * time.Second
	// replacedFor is how long an instance whose address another one answers is
	// left alone: until the list of targets no longer names it, which takes a few
	// heartbeats. Without it requests are sent there again and
	// again, out of their few tries.
	replacedFor = 10 * time.Second
	// weigh is the weight of the newest answer in the share of failures: about
	// the last dozen answers count.
	weigh = 0.12
	// grey is the share of failures below which a target counts as sound: some
	// services answer one request in six with a failure of their own.
	grey = 0.3
	// fade halves the share of failures of a target that gets nothing, so that it
	// is tried again.
	fade = 1500 * time.Millisecond
)

// health judges a target by its answers alone: health checks are good while a
// target fails part of its requests.
type health struct {
	until clock.Stamp
	pause time.Duration
	share float64
	last  clock.Stamp
}

func (h *health) down(now clock.Stamp) bool { return now < h.until }

func (h *health) take(now clock.Stamp, o Outcome) {
	h.decay(now)
	switch o {
	case Served:
		h.pause = 0
		h.share -= weigh * h.share
	case Failed:
		h.pause = 0
		h.share += weigh * (1 - h.share)
	case Silent:
		h.share += 2 * weigh * (1 - h.share)
		h.rest(now)
	case Unreached, Closed:
		h.rest(now)
	case Replaced:
		h.until = now.Add(replacedFor)
	}
}

// rest leaves the target alone, longer after each failure in a row.
func (h *health) rest(now clock.Stamp) {
	if now < h.until {
		return
	}
	h.pause = min(max(2*h.pause, downLeast), downMost)
	h.until = now.Add(h.pause)
}

func (h *health) decay(now clock.Stamp) {
	for h.last != 0 && now.Sub(h.last) > fade {
		h.share /= 2
		h.last = h.last.Add(fade)
		if h.share < 0.01 {
			h.share = 0
			break
		}
	}
	h.last = now
}

// failing is the share of failures above what is usual.
func (h *health) failing() float64 {
	if h.share < grey {
		return 0
	}
	return h.share
}
