package share

import "chestnutstep.example/chestnutstep/clock"

const (
	// maxLoggedEvents bounds the events that are kept for peers that have not got them: twenty
	// seconds of a heavy load.
	maxLoggedEvents = 4096
	// maxEventsPerReport bounds the events of one datagram.
	maxEventsPerReport = 60
	// initialEvents is how many of the latest events are sent to a peer that was not known
	// before: what came earlier it reads from the lists of a peer.
	initialEvents = maxEventsPerReport
	// maxUnconfirmed is how many datagrams may be on their way to a peer before the first of
	// them is confirmed.
	maxUnconfirmed = 4
)

// Events are events that every peer has to receive.
type Events struct {
	CachedParts []CachedPart
	Replaced    []uint32
	Suspected   []uint32
	Crashes     []Crash
}

// eventLog numbers events, so that each peer is sent those that it does not have. Its zero
// value is empty.
type eventLog struct {
	// first is the number of the oldest event that is kept.
	first  uint64
	events []loggedEvent
}

// loggedEvent is one event: one of its fields is set.
type loggedEvent struct {
	cachedPart *CachedPart
	replaced   *uint32
	suspected  *uint32
	crash      *Crash
	// addedAt is when a crash was added.
	addedAt clock.Stamp
}

// add appends events, and drops the oldest half where they are too many.
func (l *eventLog) add(now clock.Stamp, n Events) {
	for i := range n.CachedParts {
		l.events = append(l.events, loggedEvent{cachedPart: &n.CachedParts[i]})
	}
	for i := range n.Replaced {
		l.events = append(l.events, loggedEvent{replaced: &n.Replaced[i]})
	}
	for i := range n.Suspected {
		l.events = append(l.events, loggedEvent{suspected: &n.Suspected[i]})
	}
	for i := range n.Crashes {
		l.events = append(l.events, loggedEvent{crash: &n.Crashes[i], addedAt: now})
	}
	if extra := len(l.events) - maxLoggedEvents; extra > 0 {
		extra += maxLoggedEvents / 2
		l.first += uint64(extra)
		l.events = append([]loggedEvent(nil), l.events[extra:]...)
	}
}

// end is the number of the next event.
func (l *eventLog) end() uint64 { return l.first + uint64(len(l.events)) }

// fillReport puts at most so many events from a number on into a report, and returns the number
// of the first one that it does not hold.
func (l *eventLog) fillReport(now clock.Stamp, r *Report, from uint64, limit int) uint64 {
	from = min(max(from, l.first), l.end())
	events := l.events[from-l.first:]
	events = events[:min(len(events), limit)]
	r.CachedParts, r.Replaced, r.Suspected, r.Crashes = nil, nil, nil, nil
	for _, e := range events {
		switch {
		case e.cachedPart != nil:
			r.CachedParts = append(r.CachedParts, *e.cachedPart)
		case e.replaced != nil:
			r.Replaced = append(r.Replaced, *e.replaced)
		case e.suspected != nil:
			r.Suspected = append(r.Suspected, *e.suspected)
		case e.crash != nil:
			c := *e.crash
			c.Age += uint32(max(now.Sub(e.addedAt), 0).Milliseconds())
			r.Crashes = append(r.Crashes, c)
		}
	}
	return from + uint64(len(events))
}

// cursor is up to where a peer has the news. As datagrams may be lost, events are sent again
// until an answer confirms them.
type cursor struct {
	// firstUnconfirmed is the number of the first event that the peer may lack.
	firstUnconfirmed uint64
	// unconfirmed are the datagrams that are not confirmed yet, the oldest first.
	unconfirmed []sentDatagram
}

// sentDatagram is a datagram: when it was sent by our clock, in milliseconds, and the number
// behind its last event.
type sentDatagram struct {
	sentAt int64
	next   uint64
}

// recordSent notes a datagram.
func (c *cursor) recordSent(at int64, next uint64) {
	if len(c.unconfirmed) == maxUnconfirmed {
		c.unconfirmed = c.unconfirmed[1:]
	}
	c.unconfirmed = append(c.unconfirmed, sentDatagram{at, next})
}

// confirm notes that the peer has the datagram that was sent at a moment.
func (c *cursor) confirm(at int64) {
	for i, s := range c.unconfirmed {
		if s.sentAt == at {
			c.firstUnconfirmed = max(c.firstUnconfirmed, s.next)
			c.unconfirmed = append([]sentDatagram(nil), c.unconfirmed[i+1:]...)
			return
		}
	}
}
