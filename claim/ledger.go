package claim

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// maxHeld limits the claims of a ledger: they take about 0.5 MB.
	maxHeld = 4096
	// sweepInterval is the minimum time between two searches for expired claims.
	sweepInterval = 100 * time.Millisecond
	// maxDueTime is the latest due time that a ledger accepts. Callers wait no longer than a third of
	// their time limit.
	maxDueTime = 30 * time.Second
)

// Ledger holds claims by the fingerprint of their content. The zero value is ready to use. It is not
// safe for concurrent use.
type Ledger struct {
	claims  map[uint64]*held
	sweptAt clock.Stamp
	// expired counts the claims that nobody used.
	expired int64
}

type held struct {
	due clock.Stamp
	// used is the lookup that used the claim; the zero lookup if none did.
	used LookupID
	// first is set at the first of the two holders.
	first bool
}

// LookupID identifies a lookup, so that a repeated datagram gets the same answer.
type LookupID struct {
	From   string
	Number uint64
}

// Add adds a claim that is due after wait. It reports false if the content already has one, or the
// ledger is full: claims granted earlier take precedence, as their callers were already told.
func (l *Ledger) Add(now clock.Stamp, content uint64, wait time.Duration, first bool) bool {
	l.sweep(now)
	if l.claims == nil {
		l.claims = make(map[uint64]*held)
	}
	if c := l.claims[content]; c != nil && now <= c.due.Add(dueGrace) {
		return false
	}
	if wait < 0 || wait > maxDueTime || len(l.claims) >= maxHeld {
		return false
	}
	l.claims[content] = &held{due: now.Add(wait), first: first}
	return true
}

// Take looks up the claim of a content, and uses it if it is valid.
func (l *Ledger) Take(now clock.Stamp, content uint64, id LookupID) Answer {
	l.sweep(now)
	c := l.claims[content]
	switch {
	case c == nil || now > c.due.Add(dueGrace):
		return Answer{State: Unknown}
	case c.used == id:
		return Answer{State: Valid}
	case c.used != LookupID{}:
		return Answer{State: Used}
	case now < c.due.Add(-dueSlack):
		return Answer{Early, c.due.Sub(now)}
	}
	c.used = id
	return Answer{State: Valid}
}

// Expired returns how many claims nobody used, of those of which this is the first holder.
func (l *Ledger) Expired() int64 { return l.expired }

// sweep removes the claims that can't be used any more.
func (l *Ledger) sweep(now clock.Stamp) {
	if now.Sub(l.sweptAt) < sweepInterval {
		return
	}
	l.sweptAt = now
	for content, c := range l.claims {
		if now <= c.due.Add(dueGrace) {
			continue
		}
		if c.first && c.used == (LookupID{}) {
			l.expired++
		}
		delete(l.claims, content)
	}
}
