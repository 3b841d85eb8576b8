package gauge

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// maxSenders limits the senders whose delay is measured.
	maxSenders = 1024
	// offsetWindow is the time for which the least difference of two clocks counts, at least. Clocks
	// drift by less than 1 ms in it, and a route that has become slower counts as delay no longer.
	offsetWindow = 10 * time.Second
	// maxSentMs limits the clock of a sender: 30 years since its start.
	maxSentMs = 1 << 40
)

// senders measures how late datagrams are. Clocks of two hosts can't be compared, but their
// difference is nearly constant. The least difference between arrival and sending belongs to the fastest
// datagram; another datagram was delayed by as much as its difference is larger.
type senders map[uint32]*offset

// offset holds the least difference between the clock here at an arrival and the sender's clock, in the
// current window and the one before.
type offset struct {
	current, previous   time.Duration
	rotatedAt, lastSeen clock.Stamp
}

// delay returns how much longer a datagram took than the fastest recent one of its sender; Lifetime if
// that cannot be said.
func (s *senders) delay(now clock.Stamp, incarnation uint32, sentMs uint64) time.Duration {
	if sentMs > maxSentMs {
		return Lifetime
	}
	if *s == nil {
		*s = make(senders)
	}
	difference := time.Duration(now) - time.Duration(sentMs)*time.Millisecond
	x := (*s)[incarnation]
	if x == nil && len(*s) >= maxSenders && !s.evict(now) {
		return Lifetime
	}
	if x == nil || now.Sub(x.lastSeen) > offsetWindow {
		x = &offset{current: difference, previous: difference, rotatedAt: now}
		(*s)[incarnation] = x
	}
	if now.Sub(x.rotatedAt) > offsetWindow {
		x.previous, x.current, x.rotatedAt = x.current, difference, now
	}
	x.lastSeen, x.current = now, min(x.current, difference)
	return difference - min(x.current, x.previous)
}

// evict removes the senders that are no longer heard, and reports whether there were any.
func (s *senders) evict(now clock.Stamp) bool {
	before := len(*s)
	for i, x := range *s {
		if now.Sub(x.lastSeen) > offsetWindow {
			delete(*s, i)
		}
	}
	return len(*s) < before
}
