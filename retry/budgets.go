package retry

import (
	"sync"
	"time"
)

const (
	// budgetSafetyRatio is the part of the fleet's budget that entries use: they count
	// for themselves, and their windows don't begin together.
	budgetSafetyRatio = 0.7
)

// Bounds is what all entries together may repeat: Share of first sends, and
// Slack beyond it within Window.
type Bounds struct {
	Ratio  float64
	Slack  float64
	Window time.Duration
}

// Budgets bounds the repeats to each service, over all entries. Each entry earns
// a share of its own first sends and its part of what the fleet may send beyond
// that. It answers an outage in which most requests fail: repeated freely, they
// would double the load on what is left. It is safe for concurrent use.
type Budgets struct {
	// Bounds of the fleet, which may change.
	Bounds func() Bounds
	// Entries is how many entries share Slack.
	Entries func() int

	mu      sync.Mutex
	buckets map[string]*TokenBucket
}

func (b *Budgets) bucket(service string) *TokenBucket {
	if b.buckets == nil {
		b.buckets = make(map[string]*TokenBucket)
	}
	a := b.buckets[service]
	if a == nil {
		a = &TokenBucket{}
		b.buckets[service] = a
	}
	bounds := b.Bounds()
	a.Ratio = budgetSafetyRatio * bounds.Ratio
	slack := budgetSafetyRatio * bounds.Slack / float64(max(b.Entries(), 1))
	// Half at once, half over the window: no window gets more than the whole. Among
	// many entries a part is less than one repeat: it is saved up, as one given to
	// each at its start would make more repeats than the whole fleet may.
	a.Capacity = max(slack/2, 1)
	a.Initial = slack / 2
	a.Rate = slack / 2 / max(bounds.Window, time.Second).Seconds()
	return a
}

// Earn counts a first send.
func (b *Budgets) Earn(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.bucket(service).Deposit(now)
}

// Spend takes one repeat; false means that none is left.
func (b *Budgets) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.bucket(service).TryWithdraw(now)
}
