package claim

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// limitTTL is how long the longest remaining time of a key counts at least.
	limitTTL = 10 * time.Second
	// maxLimits limits the keys that are tracked: 560 workspaces with some routes each.
	maxLimits = 8192
)

// Limits tracks the time that callers give their first attempts, by a key such as workspace and route: the
// longest remaining time of recent requests. A caller that returns has less time left; nothing else in its
// request shows that it has been here before. The zero value is ready to use. It is not safe for concurrent use.
type Limits struct {
	longest map[string]*longest
}

// longest holds the longest remaining time since turnedAt, and in the period before.
type longest struct {
	current, previous time.Duration
	turnedAt          clock.Stamp
}

// Elapsed records the remaining time of a request, and returns the time since its caller's first attempt.
// Callers with a shorter limit than others of the key are taken for returning ones.
func (l *Limits) Elapsed(now clock.Stamp, key string, remaining time.Duration) time.Duration {
	r := l.longest[key]
	if r == nil {
		if l.longest == nil || len(l.longest) >= maxLimits {
			l.longest = make(map[string]*longest)
		}
		r = &longest{turnedAt: now}
		l.longest[key] = r
	}
	if now.Sub(r.turnedAt) > limitTTL {
		r.previous, r.current, r.turnedAt = r.current, 0, now
	}
	r.current = max(r.current, remaining)
	return max(r.current, r.previous) - remaining
}
