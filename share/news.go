package share

import "chestnutstep.example/chestnutstep/clock"

const (
	// newsKept bounds the events that are kept for peers that have not got them: twenty
	// seconds of a heavy load.
	newsKept = 4096
	// newsTold bounds the events of one datagram.
	newsTold = 60
	// newsFirst is how many of the latest events are sent to a peer that was not known
	// before: what came earlier it reads from the lists of a peer.
	newsFirst = newsTold
	// sendsKept is how many datagrams may be on their way to a peer before the first of
	// them is confirmed.
	sendsKept = 4
)

// News are events that every peer has to receive.
type News struct {
	Holds     []Hold
	Gone      []uint32
	Suspected []uint32
	Crashes   []Crash
}

// newsLog numbers events, so that each peer is sent those that it does not have. Its zero
// value is empty.
type newsLog struct {
	// first is the number of the oldest event that is kept.
	first  uint64
	events []newsEvent
}

// newsEvent is one event: one of its fields is set.
type newsEvent struct {
	hold   *Hold
	gone   *uint32
	silent *uint32
	crash  *Crash
	// at is when a crash was added.
	at clock.Stamp
}

// add appends events, and drops the oldest half where they are too many.
func (l *newsLog) add(now clock.Stamp, n News) {
	for i := range n.Holds {
		l.events = append(l.events, newsEvent{hold: &n.Holds[i]})
	}
	for i := range n.Gone {
		l.events = append(l.events, newsEvent{gone: &n.Gone[i]})
	}
	for i := range n.Suspected {
		l.events = append(l.events, newsEvent{silent: &n.Suspected[i]})
	}
	for i := range n.Crashes {
		l.events = append(l.events, newsEvent{crash: &n.Crashes[i], at: now})
	}
	if extra := len(l.events) - newsKept; extra > 0 {
		extra += newsKept / 2
		l.first += uint64(extra)
		l.events = append([]newsEvent(nil), l.events[extra:]...)
	}
}

// end is the number of the next event.
func (l *newsLog) end() uint64 { return l.first + uint64(len(l.events)) }

// fill puts at most so many events from a number on into a report, and returns the number
// of the first one that it does not hold.
func (l *newsLog) fill(now clock.Stamp, r *Report, from uint64, most int) uint64 {
	from = min(max(from, l.first), l.end())
	events := l.events[from-l.first:]
	events = events[:min(len(events), most)]
	r.Holds, r.Gone, r.Suspected, r.Crashes = nil, nil, nil, nil
	for _, e := range events {
		switch {
		case e.hold != nil:
			r.Holds = append(r.Holds, *e.hold)
		case e.gone != nil:
			r.Gone = append(r.Gone, *e.gone)
		case e.silent != nil:
			r.Suspected = append(r.Suspected, *e.silent)
		case e.crash != nil:
			c := *e.crash
			c.Age += uint32(max(now.Sub(e.at), 0).Milliseconds())
			r.Crashes = append(r.Crashes, c)
		}
	}
	return from + uint64(len(events))
}

// cursor is up to where a peer has the news. As datagrams may be lost, events are sent again
// until an answer confirms them.
type cursor struct {
	// has is the number of the first event that the peer may lack.
	has uint64
	// sends are the datagrams that are not confirmed yet, the oldest first.
	sends []sentNews
}

// sentNews is a datagram: when it was sent by our clock, in milliseconds, and the number
// behind its last event.
type sentNews struct {
	at   int64
	next uint64
}

// sent notes a datagram.
func (c *cursor) sent(at int64, next uint64) {
	if len(c.sends) == sendsKept {
		c.sends = c.sends[1:]
	}
	c.sends = append(c.sends, sentNews{at, next})
}

// confirm notes that the peer has the datagram that was sent at a moment.
func (c *cursor) confirm(at int64) {
	for i, s := range c.sends {
		if s.at == at {
			c.has = max(c.has, s.next)
			c.sends = append([]sentNews(nil), c.sends[i+1:]...)
			return
		}
	}
}
