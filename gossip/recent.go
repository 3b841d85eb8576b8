package gossip

import "time"

const (
	// recentMax bounds how many callers are remembered; a process is chosen by
	// about circleSize others.
	recentMax = 32
	// recentTime is several turns of a caller's circle.
	recentTime = 3 * circleSize * time.Second
)

// recent remembers who began an exchange with this process. News is pushed to
// them too: nobody can choose an entry as neighbour, as no publication lists
// it, but an entry chooses agents.
type recent struct {
	seen map[string]time.Time
}

func (rc *recent) add(now time.Time, address string) {
	if rc.seen == nil {
		rc.seen = make(map[string]time.Time)
	}
	rc.expire(now)
	if _, known := rc.seen[address]; known || len(rc.seen) < recentMax {
		rc.seen[address] = now
	}
}

func (rc *recent) list(now time.Time) []string {
	rc.expire(now)
	addresses := make([]string, 0, len(rc.seen))
	for a := range rc.seen {
		addresses = append(addresses, a)
	}
	return addresses
}

func (rc *recent) expire(now time.Time) {
	for a, at := range rc.seen {
		if now.Sub(at) > recentTime {
			delete(rc.seen, a)
		}
	}
}
