package entry

import (
	"sync"
	"time"

	"chestnutstep.example/chestnutstep"
)

// rateTolerance is how much more than its even share of a workspace's rate one entry
// allows: the balancer does not spread callers evenly, and a workspace must
// not be refused below its rate. The fleet lets in at most this multiple.
const rateTolerance = 1.25

// rateLimiter holds a token bucket for each workspace that was seen here. It answers
// a workspace that surges: without it, its requests fill the queues at every
// target before the queues' fairness can hold them back. Nobody writes shared
// state, so each entry allows its share: rate over the number of entries.
type rateLimiter struct {
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// take returns zero when the request may pass, or when to come back.
func (s *rateLimiter) take(now time.Time, ws *chestnutstep.Workspace, entries int) time.Duration {
	if ws.Rate <= 0 {
		return 0
	}
	rate := ws.Rate * rateTolerance / float64(max(entries, 1))
	burst := max(1, ws.Burst/float64(max(entries, 1)))
	s.mu.Lock()
	defer s.mu.Unlock()
	b := s.bucket(now, ws.Name, burst)
	b.tokens = min(burst, b.tokens+rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens >= 1 {
		b.tokens--
		return 0
	}
	return time.Duration((1 - b.tokens) / rate * float64(time.Second))
}

func (s *rateLimiter) bucket(now time.Time, name string, burst float64) *tokenBucket {
	if s.buckets == nil {
		s.buckets = make(map[string]*tokenBucket)
	}
	b := s.buckets[name]
	if b == nil {
		b = &tokenBucket{tokens: burst, updatedAt: now}
		s.buckets[name] = b
	}
	return b
}
