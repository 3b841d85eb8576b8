package entry

import (
	"sync"
	"time"

	"chestnutstep.example/chestnutstep"
)

// rateTolerance is the ratio of the rate that one entry allows to its even share of a workspace's
// rate. The load balancer doesn't distribute callers evenly, and a workspace must not be refused
// below its rate. The fleet as a whole admits at most this multiple of the rate.
const rateTolerance = 1.25

// rateLimiter holds a token bucket for each workspace with requests at this entry. It limits a
// workspace whose requests surge: they would otherwise fill the queues at every target before the
// queues' fairness takes effect. The entries share no state, so each allows its share: the rate
// divided by the number of entries.
type rateLimiter struct {
	mu      sync.Mutex
	buckets map[string]*tokenBucket
}

type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

// take takes one token. It returns zero if the request is admitted, or the time after which to
// retry.
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
