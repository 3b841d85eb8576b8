package gossip

import "time"

// bucket bounds the reads of one process: a rate over time, and a few saved up.
type bucket struct {
	tokens float64
	at     time.Time
}

// take spends one read, or says that none is left.
func (b *bucket) take(now time.Time, p plan) bool {
	if b.at.IsZero() {
		b.tokens, b.at = p.Burst, now
	}
	if gap := now.Sub(b.at); gap > 0 {
		b.tokens += gap.Seconds() * p.Rate
		b.at = now
	}
	b.tokens = min(b.tokens, p.Burst)
	if b.tokens < 1 {
		return false
	}
	b.tokens--
	return true
}
