package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/member"
)

const (
	// maxSentEvents bounds the news of hosts in one message, near two kilobytes.
	maxSentEvents = 64
	// maxKeptEvents bounds what is remembered: the hosts of a large domain.
	maxKeptEvents = 2048
	// hostEventTTL is how long news goes round: several times what it needs to
	// reach thousands. After that a process learns from lists and refusals.
	hostEventTTL = 15 * time.Second
	// eventSweepInterval is the time between two looks for news that is over.
	eventSweepInterval = time.Second
)

// hostEvent is one piece of news about a host.
type hostEvent struct {
	host       member.Host
	occurredAt time.Time
}

// hostEventLog keeps the news that go round. When there is more than one message
// holds, each message carries a random choice: processes that all told the same
// first would leave the rest untold.
type hostEventLog struct {
	list    []hostEvent
	index   map[string]int // in list, by host
	sweptAt time.Time
}

// add takes news and says whether it is: what goes round already is left as it
// is, or each process that reads the list would send it round again.
func (rs *hostEventLog) add(now time.Time, h member.Host, age time.Duration) bool {
	rs.expire(now)
	if rs.index == nil {
		rs.index = make(map[string]int)
	}
	event := hostEvent{host: h, occurredAt: now.Add(-age)}
	if i, known := rs.index[h.Name]; known {
		changed := rs.list[i].host != h
		if changed {
			rs.list[i] = event
		}
		return changed
	}
	if len(rs.list) < maxKeptEvents {
		rs.index[h.Name] = len(rs.list)
		rs.list = append(rs.list, event)
	}
	return true
}

// sample returns the news for one message.
func (rs *hostEventLog) sample(now time.Time, r *rand.Rand) []hostEvent {
	rs.expire(now)
	n := min(maxSentEvents, len(rs.list))
	for i := range n {
		rs.swap(i, i+r.IntN(len(rs.list)-i))
	}
	return slices.Clone(rs.list[:n])
}

func (rs *hostEventLog) swap(i, j int) {
	rs.list[i], rs.list[j] = rs.list[j], rs.list[i]
	rs.index[rs.list[i].host.Name], rs.index[rs.list[j].host.Name] = i, j
}

func (rs *hostEventLog) expire(now time.Time) {
	if now.Sub(rs.sweptAt) < eventSweepInterval {
		return
	}
	rs.sweptAt = now
	for i := len(rs.list) - 1; i >= 0; i-- {
		if now.Sub(rs.list[i].occurredAt) <= hostEventTTL {
			continue
		}
		last := len(rs.list) - 1
		rs.swap(i, last)
		delete(rs.index, rs.list[last].host.Name)
		rs.list = rs.list[:last]
	}
}
