package gossip

import "time"

const (
	// maxRecentPeers bounds how many callers are remembered; a process is chosen by
	// about circleSize others.
	maxRecentPeers = 32
	// recentPeerTTL is several turns of a caller's circle.
	recentPeerTTL = 3 * maxNeighbours * time.Second
)

// recentPeers remembers who began an exchange with this process. News is pushed to
// them too: nobody can choose an entry as neighbour, as no publication lists
// it, but an entry chooses agents.
type recentPeers struct {
	seen map[string]time.Time
}

func (rc *recentPeers) add(now time.Time, address string) {
	if rc.seen == nil {
		rc.seen = make(map[string]time.Time)
	}
	rc.expire(now)
	if _, known := rc.seen[address]; known || len(rc.seen) < maxRecentPeers {
		rc.seen[address] = now
	}
}

func (rc *recentPeers) list(now time.Time) []string {
	rc.expire(now)
	addresses := make([]string, 0, len(rc.seen))
	for a := range rc.seen {
		addresses = append(addresses, a)
	}
	return addresses
}

func (rc *recentPeers) expire(now time.Time) {
	for a, at := range rc.seen {
		if now.Sub(at) > recentPeerTTL {
			delete(rc.seen, a)
		}
	}
}
