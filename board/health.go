package board

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

// Outcome is the result of a request at a target.
type Outcome uint8

// Outcomes of a request.
const (
	// Served is a complete answer.
	Served Outcome = iota
	// Failed is an answer with an error status or an incomplete answer.
	Failed
	// Refused is a rejection because the target is full.
	Refused
	// Paused is a rejection by a target that asked for a pause.
	Paused
	// Unsent is a request that was not sent, because its target had asked for a pause.
	Unsent
	// Unreachable is a connection attempt without any response.
	Unreachable
	// ConnRefused is a connection attempt that the host rejected.
	ConnRefused
	// Replaced is an answer from another instance at the target's address.
	Replaced
	// Broken is a connection that failed before any answer.
	Broken
	// Canceled is a request canceled by the caller; it is no evidence about the target.
	Canceled
	// Outraced is a request canceled because another target has answered it; it is no evidence about
	// the target, and its duration is not that of an answer.
	Outraced
)

const (
	// minDownTime and maxDownTime bound the backoff of an unreachable target. Each attempt
	// costs a request its dial timeout.
	minDownTime = 500 * time.Millisecond
	maxDownTime = 2 * time.Second
	// replacedDownTime is the backoff of an instance whose address belongs to another instance:
	// until the list of targets drops it, which takes a few heartbeats. Without it, requests
	// would spend their few attempts there repeatedly.
	replacedDownTime = 10 * time.Second
	// failureWeight is the weight of the newest answer in the failure ratio: about the last
	// dozen answers count.
	failureWeight = 0.12
	// failureThreshold is the failure ratio below which a target counts as healthy: some
	// services answer one request in six with an error of their own.
	failureThreshold = 0.3
	// failureHalfLife is the half-life of the failure ratio of a target that gets no requests,
	// so that it is used again.
	failureHalfLife = 1500 * time.Millisecond
)

// health tracks the health of a target by its answers only, because health checks can pass
// while a target fails part of its requests.
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

// markDown marks the target down, with a backoff that doubles after each consecutive failure.
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

// failureRatio returns the failure ratio, or 0 below failureThreshold.
func (h *health) failureRatio() float64 {
	if h.ratio < failureThreshold {
		return 0
	}
	return h.ratio
}
