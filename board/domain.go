package board

import (
	"time"

	"chestnutstep.example/chestnutstep/clock"
)

const (
	// silentLeast is how many targets of a failure domain fall silent before it counts as
	// silent itself: one may have died alone.
	silentLeast = 2
	// silentWithin is the time within which they do: as long as two tries in a row take
	// to find out.
	silentWithin = 1500 * time.Millisecond
	// probeTime is how long the one request that finds out whether a domain is back may
	// take, until the next one is sent: a connection that can't be opened is given up
	// sooner.
	probeTime = 500 * time.Millisecond
)

// domain is what is known of the way to a failure domain.
//
// The fault it answers: a domain is cut off or without power, and its targets answer
// nothing. Found out one by one, each costs a request the time in which a connection is
// given up, again and again for as long as the domain is away. Where several fall silent and none answers, the others are
// left alone too, but for one request at a time.
type domain struct {
	// silent gives when each target fell silent, since the last answer of any.
	silent map[uint32]clock.Stamp
	until  clock.Stamp
	pause  time.Duration
	// probing says that a request is on its way that finds out whether it is back.
	probing bool
}

// isUnreachable says that the domain gets no requests now.
func (d *domain) isUnreachable(now clock.Stamp) bool { return d != nil && now < d.until }

// recordTimeout notes that a target did not answer.
func (d *domain) recordTimeout(now clock.Stamp, key uint32) {
	for k, at := range d.silent {
		if now.Sub(at) > silentWithin {
			delete(d.silent, k)
		}
	}
	d.silent[key] = now
	if d.pause == 0 && len(d.silent) < silentLeast || d.pause > 0 && !d.probing {
		return
	}
	d.probing = false
	d.pause = min(max(2*d.pause, downLeast), downMost)
	d.until = now.Add(d.pause)
}

// recordResponse notes that a target recordResponse, whatever it said.
func (d *domain) recordResponse() {
	clear(d.silent)
	d.until, d.pause, d.probing = 0, 0, false
}

// start notes a request to the domain: while it is not known to be back, no other
// follows for a while.
func (d *domain) start(now clock.Stamp) {
	if d != nil && d.pause > 0 {
		d.until, d.probing = max(d.until, now.Add(probeTime)), true
	}
}

// domainOf returns what is known of a failure domain.
func (b *Board) domainOf(name string) *domain {
	d := b.domains[name]
	if d == nil {
		d = &domain{silent: make(map[uint32]clock.Stamp)}
		b.domains[name] = d
	}
	return d
}

// reach notes what the end of a request says of the way to a domain.
func (b *Board) reach(now clock.Stamp, name string, key uint32, o Outcome) {
	switch o {
	case Unreached:
		b.domainOf(name).recordTimeout(now, key)
	case Served, Failed, Refused, Replaced, Closed:
		b.domainOf(name).recordResponse()
	case Silent, Canceled: // a connection that broke says nothing of the way there
	}
}
