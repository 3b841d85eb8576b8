package gossip

import (
	"math/rand/v2"
	"slices"
	"time"

	"chestnutstep.example/chestnutstep/member"
)

const (
	// maxSentEvents bounds the number of host events in one message, which is
	// then about 2 KB large.
	maxSentEvents = 64
	// maxKeptEvents bounds the number of remembered events. It covers the hosts
	// of a large failure domain.
	maxKeptEvents = 2048
	// hostEventTTL is how long an event is distributed: several times what it
	// takes to reach thousands of processes. After that, processes get the
	// state from host lists and refusals.
	hostEventTTL = 15 * time.Second
	// eventSweepInterval is the time between two removals of expired events.
	eventSweepInterval = time.Second
)

// hostEvent is a change of the state of a host.
type hostEvent struct {
	host       member.Host
	occurredAt time.Time
}

// hostEventLog holds the events that are being distributed. If there are more
// than fit into one message, each message carries a random selection: if all
// processes sent the same events first, the others would not spread.
type hostEventLog struct {
	list    []hostEvent
	index   map[string]int // in list, by host
	sweptAt time.Time
}

// add adds an event and reports whether it is new. An event with the same state
// is left unchanged, because otherwise each process that reads the host list
// would restart its distribution. New events are not stored while the log is
// full.
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

// sample returns the events for one message.
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
