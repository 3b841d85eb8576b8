package gossip

import "time"

const (
	// maxRecentPeers bounds the number of remembered peers. About maxNeighbours
	// other processes choose a given process.
	maxRecentPeers = 32
	// recentPeerTTL covers several rounds of a peer through its neighbours.
	recentPeerTTL = 3 * maxNeighbours * time.Second
)

// recentPeers holds the addresses of the processes that began an exchange with
// this one. Changes are pushed to them too: entries are not listed in a
// publication, so no process can choose an entry as neighbour, but entries
// choose agents.
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
