// Package retry decides whether and where an entry retries a request after a refusal or a broken
// answer, limits the retries by budgets, and maps each reason to the reply that the caller
// receives. It ensures that retries add only a bounded share to the load during an outage, and that
// a request which is not idempotent is never sent again once a target may have run it.
package retry

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// DefaultRatio is the number of retries allowed per first offer. A tenth covers the crashes and
	// broken links of normal operation; in an outage it adds at most a tenth to the load of the
	// remaining targets.
	DefaultRatio = 0.1
	// StepRatio is the number of steps down the ranking allowed per first offer. With a cap of 1.25
	// times the mean, a request takes half a step on average; one step allows twice that. At
	// saturation it limits the offers to two per request, where a limit of attempts alone would
	// allow many.
	StepRatio = 1.0
	// DefaultRate is the number of retries per second that an entry can always make. Otherwise a
	// quiet entry would earn its first retry only after ten requests. 350 entries that all use it
	// add 175 retries per second, less than one percent of the 24,500 first offers that they
	// handle.
	DefaultRate = 0.5
	// DefaultCapacity limits the saved retries. 20 retries are earned in three seconds at 70
	// requests per second: a quiet hour must not pay for a burst of retries.
	DefaultCapacity = 20
)

// TokenBucket implements chestnutstep.RetryBudget as a token bucket that is refilled by first offers
// and, at a low rate, by time. It limits retries during an outage in which many requests fail at
// once. With a limit per request instead, three attempts would triple the load on the remaining
// targets and keep them overloaded when the others return. With a share of the traffic, the retries
// never exceed that share and the low rate.
//
// Set the fields before the first call. A TokenBucket is not safe for concurrent use.
type TokenBucket struct {
	// Ratio is the number of retries earned per first offer; 0 means DefaultRatio.
	Ratio float64
	// Rate is the number of retries earned per second; 0 means DefaultRate.
	Rate float64
	// Capacity limits the saved retries; 0 means DefaultCapacity.
	Capacity float64
	// Initial is the number of retries at the first call; 0 means 1.
	Initial float64

	tokens     float64
	refilledAt time.Time
}

var _ chestnutstep.RetryBudget = (*TokenBucket)(nil)

// NewStepBudget returns the budget for steps down the ranking. It is separate from the budget for
// retries: a step follows a confirmed "not run" and costs a target one refused offer, whereas a
// retry costs it a whole request.
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

// Deposit adds the earnings of one first offer.
func (b *TokenBucket) Deposit(now time.Time) {
	b.refill(now)
	b.add(b.Ratio)
}

// TryWithdraw takes one retry from the budget, and reports whether there was one.
func (b *TokenBucket) TryWithdraw(now time.Time) bool {
	b.refill(now)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
