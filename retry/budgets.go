package retry

import (
	"sync"
	"time"
)

const (
	// budgetSafetyRatio is the part of the fleet's budget that entries use. Each entry counts on
	// its own, and their windows don't start at the same time.
	budgetSafetyRatio = 0.7
)

// Bounds limits the retries of all entries together: Ratio of the first sends, plus Slack per
// Window.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budgets limits the retries per service across all entries. Each entry earns a share of its own
// first sends and its part of the fleet's slack. This bounds the load in an outage in which most
// requests fail: without a limit, retries would double the load on the remaining targets. Budgets
// is safe for concurrent use.
type Budgets struct {
	// Bounds returns the limits of the fleet, which can change.
	Bounds func() Bounds
	// Entries returns the number of entries that share Slack.
	Entries func() int

	mu      sync.Mutex
	buckets map[string]*TokenBucket
}

func (b *Budgets) bucket(service string) *TokenBucket {
	if b.buckets == nil {
		b.buckets = make(map[string]*TokenBucket)
	}
	bucket := b.buckets[service]
	if bucket == nil {
		bucket = &TokenBucket{}
		b.buckets[service] = bucket
	}
	bounds := b.Bounds()
	bucket.Ratio = budgetSafetyRatio * bounds.Ratio
	slack := budgetSafetyRatio * bounds.Slack / float64(max(b.Entries(), 1))
	// Half of the slack is available immediately and half over the window, so that no window
	// exceeds the total. With many entries, the part of one entry is less than one retry and
	// accumulates. An initial retry for each entry would exceed the limit of the whole fleet.
	bucket.Capacity = max(slack/2, 1)
	bucket.Initial = slack / 2
	bucket.Rate = slack / 2 / max(bounds.Window, time.Second).Seconds()
	return bucket
}

// Deposit adds the earnings of one first send.
func (b *Budgets) Deposit(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service).Deposit(now)
}

// TryWithdraw takes one retry from the budget, and reports whether there was one.
func (b *Budgets) TryWithdraw(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(service).TryWithdraw(now)
}
