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
func (l *hostEventLog) add(now time.Time, h member.Host, age time.Duration) bool {
	l.expire(now)
	if l.index == nil {
		l.index = make(map[string]int)
	}
	event := hostEvent{host: h, occurredAt: now.Add(-age)}
	if i, known := l.index[h.Name]; known {
		changed := l.list[i].host != h
		if changed {
			l.list[i] = event
		}
		return changed
	}
	if len(l.list) < maxKeptEvents {
		l.index[h.Name] = len(l.list)
		l.list = append(l.list, event)
	}
	return true
}

// sample returns the events for one message.
func (l *hostEventLog) sample(now time.Time, r *rand.Rand) []hostEvent {
	l.expire(now)
	n := min(maxSentEvents, len(l.list))
	for i := range n {
		l.swap(i, i+r.IntN(len(l.list)-i))
	}
	return slices.Clone(l.list[:n])
}

func (l *hostEventLog) swap(i, j int) {
	l.list[i], l.list[j] = l.list[j], l.list[i]
	l.index[l.list[i].host.Name], l.index[l.list[j].host.Name] = i, j
}

func (l *hostEventLog) expire(now time.Time) {
	if now.Sub(l.sweptAt) < eventSweepInterval {
		return
	}
	l.sweptAt = now
	for i := len(l.list) - 1; i >= 0; i-- {
		if now.Sub(l.list[i].occurredAt) <= hostEventTTL {
			continue
		}
		last := len(l.list) - 1
		l.swap(i, last)
		delete(l.index, l.list[last].host.Name)
		l.list = l.list[:last]
	}
}
