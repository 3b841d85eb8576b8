package gauge

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// maxSenders limits the senders whose delay is measured.
	maxSenders = 1024
	// offsetWindow is the time for which the least difference of two clocks counts, at least, and at most
	// twice that. At 350 entries a pair hears each other about every 17 s, so a window holds some three
	// datagrams. Clocks drift by some 6 ms in it, which is little of Lifetime: if the clock here is the
	// faster one, readings count as that much older. A route that has become slower counts as delay
	// until the window has passed.
	offsetWindow = time.Minute
	// evictInterval is the minimum time between two scans for senders that are no longer heard.
	evictInterval = time.Second
)

// senders measures how late datagrams are. Clocks of two hosts can't be compared, but their
// difference is nearly constant. The least difference between arrival and sending belongs to the fastest
// datagram; another datagram was delayed by as much as its difference is larger.
type senders struct {
	// offsets holds the offset of each sender by its incarnation.
	offsets   map[uint32]*offset
	evictedAt clock.Stamp
}

// offset holds the least difference between the clock here at an arrival and the sender's clock, in the
// current window and the one before. Differences are in milliseconds modulo 2^16.
type offset struct {
	current, previous   uint16
	rotatedAt, lastSeen clock.Stamp
}

// milliseconds returns a time in milliseconds modulo 2^16.
func milliseconds(now clock.Stamp) uint16 { return uint16(time.Duration(now) / time.Millisecond) }

// less compares two differences that are less than 2^15 ms apart.
func less(a, b uint16) bool { return int16(a-b) < 0 }

// delay returns how much longer a datagram took than the fastest recent one of its sender; Lifetime if
// that cannot be said.
func (s *senders) delay(now clock.Stamp, incarnation uint32, sent uint16) time.Duration {
	if s.offsets == nil {
		s.offsets = make(map[uint32]*offset)
	}
	difference := milliseconds(now) - sent
	x := s.offsets[incarnation]
	if x == nil && len(s.offsets) >= maxSenders && !s.evict(now) {
		return Lifetime
	}
	if x == nil || now.Sub(x.lastSeen) > offsetWindow {
		x = &offset{current: difference, previous: difference, rotatedAt: now}
		s.offsets[incarnation] = x
	}
	if now.Sub(x.rotatedAt) > offsetWindow {
		x.previous, x.current, x.rotatedAt = x.current, difference, now
	}
	x.lastSeen = now
	if less(difference, x.current) {
		x.current = difference
	}
	least := x.current
	if less(x.previous, least) {
		least = x.previous
	}
	return time.Duration(difference-least) * time.Millisecond
}

// evict removes the senders that are no longer heard, and reports whether there were any. It scans at most
// once in evictInterval.
func (s *senders) evict(now clock.Stamp) bool {
	if s.evictedAt != 0 && now.Sub(s.evictedAt) < evictInterval {
		return false
	}
	s.evictedAt = now
	before := len(s.offsets)
	for i, x := range s.offsets {
		if now.Sub(x.lastSeen) > offsetWindow {
			delete(s.offsets, i)
		}
	}
	return len(s.offsets) < before
}
