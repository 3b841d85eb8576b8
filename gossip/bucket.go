package gossip

import "time"

// tokenBucket limits the reads of one process to a rate and a burst.
type tokenBucket struct {
	tokens     float64
	refilledAt time.Time
}

// take consumes a token and reports whether there was one.
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
