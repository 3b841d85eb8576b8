// Package retry decides which refusals and breaks an entry may answer by trying
// again, where, and out of which budget; and what the caller hears otherwise.
package retry

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// DefaultRatio is the repeats allowed for each first offer. A tenth carries
	// the crashes and broken links of ordinary days; in an outage it adds at
	// most a tenth to the load of what is left.
	DefaultRatio = 0.1
	// StepRatio is the steps down the ranking allowed for each first offer.
	// Near a cap of 1.25 times the mean a request takes half a step on average;
	// one whole step leaves room for twice that, and at saturation holds the
	// offers at two for each request where tries alone would make them many.
	StepRatio = 1.0
	// DefaultRate is the repeats a second that an entry may always make. A
	// quiet entry would otherwise earn its first repeat after ten requests. 350
	// entries that all use it add 175 a second, under one part in a hundred of
	// the 24,500 first offers they carry.
	DefaultRate = 0.5
	// DefaultCapacity bounds what is saved up. 20 repeats are three seconds' worth
	// at 70 requests a second: a quiet hour must not pay for a wave.
	DefaultCapacity = 20
)

// TokenBucket implements chestnutstep.Allowance: a token bucket that traffic and,
// a little, time refill. It answers an outage in which many requests fail at
// once: counted for each request, three tries triple the load on what is left,
// and hold it down when the rest returns. Counted as a share of traffic, the
// repeats of an outage never exceed that share.
//
// Set the fields before the first call. It is not safe for concurrent use.
type TokenBucket struct {
	// Ratio is the repeats earned by each first offer; DefaultShare when 0.
	Ratio float64
	// Rate is the repeats earned a second; DefaultFloor when 0.
	Rate float64
	// Capacity bounds what is saved; DefaultBank when 0.
	Capacity float64
	// Initial is what there is at the first call; 1 when 0.
	Initial float64

	tokens     float64
	refilledAt time.Time
}

var _ chestnutstep.RetryBudget = (*TokenBucket)(nil)

// NewStepBudget returns the budget for steps down the ranking. It is apart from that of
// repeats: a step follows a true "not run" and costs a target one refused
// offer, a repeat costs it a whole request.
func NewStepBudget() *TokenBucket {
	return &TokenBucket{Ratio: StepRatio}
}

func (b *TokenBucket) refill(now time.Time) {
	if b.refilledAt.IsZero() {
		b.applyDefaults()
		b.refilledAt = now
	}
	elapsed := now.Sub(b.refilledAt)
	if elapsed <= 0 {
		return
	}
	b.refilledAt = now
	b.add(elapsed.Seconds() * b.Rate)
}

func (b *TokenBucket) applyDefaults() {
	if b.Ratio <= 0 {
		b.Ratio = DefaultRatio
	}
	if b.Rate <= 0 {
		b.Rate = DefaultRate
	}
	if b.Capacity <= 0 {
		b.Capacity = DefaultCapacity
	}
	b.tokens = b.Initial
	if b.Initial == 0 {
		b.tokens = 1
	}
}

func (b *TokenBucket) add(n float64) {
	b.tokens = min(b.tokens+n, b.Capacity)
}

// Deposit counts a first offer.
func (b *TokenBucket) Deposit(now time.Time) {
	b.refill(now)
	b.add(b.Ratio)
}

// TryWithdraw takes one repeat from the budget; false means that none is left.
func (b *TokenBucket) TryWithdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
