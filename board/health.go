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
	// Unreachable says that no connection could be opened: nothing answered.
	Unreachable
	// ConnRefused says that none could be opened, as the host said itself.
	ConnRefused
	// Replaced says that another instance has the address.
	Replaced
	// Broken says that the connection broke before any answer.
	Broken
	// Canceled says nothing about the target: the caller left.
	Canceled
)

const (
	// minDownTime and downMost bound the time that a target which can't be reached
	// is left alone. Each try costs a request its dial limit.
	minDownTime = 500 * time.Millisecond
	maxDownTime = 2 * time.Second
	// replacedDownTime is how long an instance whose address another one answers is
	// left alone: until the list of targets no longer names it, which takes a few
	// heartbeats. Without it requests are sent there again and
	// again, out of their few tries.
	replacedDownTime = 10 * time.Second
	// failureWeight is the weight of the newest answer in the share of failures: about
	// the last dozen answers count.
	failureWeight = 0.12
	// failureThreshold is the share of failures below which a target counts as sound: some
	// services answer one request in six with a failure of their own.
	failureThreshold = 0.3
	// failureHalfLife halves the share of failures of a target that gets nothing, so that it
	// is tried again.
	failureHalfLife = 1500 * time.Millisecond
)

// health judges a target by its answers alone: health checks are good while a
// target fails part of its requests.
type health struct {
	downUntil clock.Stamp
	backoff   time.Duration
	ratio     float64
	updatedAt clock.Stamp
}

func (h *health) isDown(now clock.Stamp) bool { return now < h.downUntil }

func (h *health) record(now clock.Stamp, o Outcome) {
	h.decay(now)
	switch o {
	case Served:
		h.backoff = 0
		h.ratio -= failureWeight * h.ratio
	case Failed:
		h.backoff = 0
		h.ratio += failureWeight * (1 - h.ratio)
	case Broken:
		h.ratio += 2 * failureWeight * (1 - h.ratio)
		h.markDown(now)
	case Unreachable, ConnRefused:
		h.markDown(now)
	case Replaced:
		h.downUntil = now.Add(replacedDownTime)
	}
}

// markDown leaves the target alone, longer after each failure in a row.
func (h *health) markDown(now clock.Stamp) {
	if now < h.downUntil {
		return
	}
	h.backoff = min(max(2*h.backoff, minDownTime), maxDownTime)
	h.downUntil = now.Add(h.backoff)
}

func (h *health) decay(now clock.Stamp) {
	for h.updatedAt != 0 && now.Sub(h.updatedAt) > failureHalfLife {
		h.ratio /= 2
		h.updatedAt = h.updatedAt.Add(failureHalfLife)
		if h.ratio < 0.01 {
			h.ratio = 0
			break
		}
	}
	h.updatedAt = now
}

// failureRatio is the share of failures above what is usual.
func (h *health) failureRatio() float64 {
	if h.ratio < failureThreshold {
		return 0
	}
	return h.ratio
}
