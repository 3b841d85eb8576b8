package gossip

import "time"

// tokenBucket bounds the reads of one process: a rate over time, and a few saved up.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take spends one read, or says that none is left.
func (b *tokenBucket) take(now time.Time, p plan) bool {
	if b.refilledAt.IsZero() {
		b.tokens, b.refilledAt = p.Burst, now
	}
	if gap := now.Sub(b.refilledAt); gap > 0 {
		b.tokens += gap.Seconds() * p.Rate
		b.refilledAt = now
	}
	b.tokens = min(b.tokens, p.Burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
