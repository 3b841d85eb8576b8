package retry

import (
	"sync"
	"time"
)

const (
	// budgetSafe is the part of the fleet's budget that entries use: they count
	// for themselves, and their windows don't begin together.
	budgetSafe = 0.7
)

// Bounds is what all entries together may repeat: Share of first sends, and
// Slack beyond it within Window.
type Bounds struct {
	Share  float64
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

	mu       sync.Mutex
	services map[string]*Allowance
}

func (b *Budgets) allowance(service string) *Allowance {
	if b.services == nil {
		b.services = make(map[string]*Allowance)
	}
	a := b.services[service]
	if a == nil {
		a = &Allowance{}
		b.services[service] = a
	}
	bounds := b.Bounds()
	a.Share = budgetSafe * bounds.Share
	part := budgetSafe * bounds.Slack / float64(max(b.Entries(), 1))
	// Half at once, half over the window: no window gets more than the whole. Among
	// many entries a part is less than one repeat: it is saved up, as one given to
	// each at its start would make more repeats than the whole fleet may.
	a.Bank = max(part/2, 1)
	a.Begin = part / 2
	a.Floor = part / 2 / max(bounds.Window, time.Second).Seconds()
	return a
}

// Earn counts a first send.
func (b *Budgets) Earn(now time.Time, service string) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.allowance(service).Deposit(now)
}

// Spend takes one repeat; false means that none is left.
func (b *Budgets) Spend(now time.Time, service string) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.allowance(service).TryWithdraw(now)
}
