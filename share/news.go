package share

import "chestnutstep.example/chestnutstep/clock"

const (
	// maxLoggedEvents limits the events kept for peers that have not confirmed them: about twenty
	// seconds of events under heavy load.
	maxLoggedEvents = 4096
	// maxEventsPerReport limits the events in one datagram.
	maxEventsPerReport = 60
	// initialEvents is the number of most recent events sent to a new peer. A new peer gets older
	// state from the cache lists of another entry.
	initialEvents = maxEventsPerReport
	// maxUnconfirmed is the maximum number of datagrams in flight to a peer whose confirmation is
	// awaited.
	maxUnconfirmed = 4
)

// Events groups the events that must reach every peer.
type Events struct {
	CachedParts []CachedPart
	Replaced    []uint32
	Suspected   []uint32
	Crashes     []Crash
}

// eventLog assigns consecutive numbers to events, so that each peer is sent only those that it
// lacks. The zero value is an empty log.
type eventLog struct {
	// first is the number of the oldest event kept.
	first  uint64
	events []loggedEvent
}

// loggedEvent is one event. Exactly one of its pointers is set.
type loggedEvent struct {
	cachedPart *CachedPart
	replaced   *uint32
	suspected  *uint32
	crash      *Crash
	// addedAt is the time at which a crash was added.
	addedAt clock.Stamp
}

// add appends events. If the log exceeds maxLoggedEvents, it drops the oldest half.
func (l *eventLog) add(now clock.Stamp, e Events) {
	for i := range e.CachedParts {
		l.events = append(l.events, loggedEvent{cachedPart: &e.CachedParts[i]})
	}
	for i := range e.Replaced {
		l.events = append(l.events, loggedEvent{replaced: &e.Replaced[i]})
	}
	for i := range e.Suspected {
		l.events = append(l.events, loggedEvent{suspected: &e.Suspected[i]})
	}
	for i := range e.Crashes {
		l.events = append(l.events, loggedEvent{crash: &e.Crashes[i], addedAt: now})
	}
	if extra := len(l.events) - maxLoggedEvents; extra > 0 {
		extra += maxLoggedEvents / 2
		l.first += uint64(extra)
		l.events = append([]loggedEvent(nil), l.events[extra:]...)
	}
}

// end returns the number that the next event will get.
func (l *eventLog) end() uint64 { return l.first + uint64(len(l.events)) }

// fillReport sets the events of a report to at most limit events, starting with number from. It
// returns the number of the first event not included.
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

// cursor tracks which events a peer has confirmed. Events are sent again until they are confirmed,
// because datagrams can be lost.
type cursor struct {
	// firstUnconfirmed is the number of the first event that the peer has not confirmed.
	firstUnconfirmed uint64
	// unconfirmed holds the datagrams awaiting confirmation, oldest first.
	unconfirmed []sentDatagram
}

// sentDatagram records one datagram: its send time on the local clock in milliseconds, and the
// number following its last event.
type sentDatagram struct {
	sentAt int64
	next   uint64
}

// recordSent records a sent datagram and discards the oldest one if there are too many.
func (c *cursor) recordSent(at int64, next uint64) {
	if len(c.unconfirmed) == maxUnconfirmed {
		c.unconfirmed = c.unconfirmed[1:]
	}
	c.unconfirmed = append(c.unconfirmed, sentDatagram{at, next})
}

// confirm records that the peer has received the datagram sent at the given time. A datagram that
// is no longer recorded is ignored.
func (c *cursor) confirm(at int64) {
	for i, s := range c.unconfirmed {
		if s.sentAt == at {
			c.firstUnconfirmed = max(c.firstUnconfirmed, s.next)
			c.unconfirmed = append([]sentDatagram(nil), c.unconfirmed[i+1:]...)
			return
		}
	}
}
