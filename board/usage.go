package board

import (
	"math"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/place"
)

const (
	// patienceShare is the part of its objective that a request may wait for a slot;
	// the rest is for the way and for reading the prompt.
	patienceShare = 0.5
	// lateShare is the part of its objective after which a first byte counts as late.
	lateShare = 0.8
	// engineLeast is the part of an engine's slots that a limit leaves it: its memory
	// may hold fewer requests than it has slots.
	engineLeast = 0.5
	// paceSmooth lets the last hundred or so requests to a service count, long ones and
	// short ones: a limit that follows a dozen of them swings by a third.
	paceSmooth = 0.01
	// recent is how old what peers told of their requests is by and large.
	recent = 50 * time.Millisecond
	// unheardMost is the part of a target's limit that requests of peers may take that
	// they have not told of.
	unheardMost = 0.5
)

// usage is what this entry's requests to one service hold.
type usage struct {
	pace admit.Pace
	fair admit.Fair
}

func (b *Board) usage(service string) *usage {
	u := b.services[service]
	if u == nil {
		u = &usage{pace: admit.Pace{Smooth: paceSmooth}}
		b.services[service] = u
	}
	return u
}

// leastPlaces is the lowest limit of a target: below it, places would stay free. An
// entry that hears only some of the others counts only their requests and its own: it
// keeps to their part.
func (b *Board) leastPlaces(now clock.Stamp, slots int, engine bool) float64 {
	least := float64(slots) * b.heard(now)
	if engine {
		least *= engineLeast
	}
	return max(least, 1)
}

// heard is the part of the entries, this one among them, whose requests are known.
func (b *Board) heard(now clock.Stamp) float64 {
	n := 1
	for _, p := range b.peers {
		if now.Sub(p.heard) <= loadKeep {
			n++
		}
	}
	return float64(n) / float64(max(b.entries(), n))
}

// unheard are the requests that peers have sent to a target since they told of theirs,
// taken to be as many as this entry has sent, and at most a part of what it may have.
// Without it all entries see the same free place and give it away, each to a request of its
// own. Without the bound one request of this entry would close a target before hundreds of
// peers, however idle it is.
func (b *Board) unheard(now clock.Stamp, s *state, limit float64) float64 {
	return min(s.sent.at(now)*float64(len(b.peers)), unheardMost*limit)
}

// burst counts what was sent of late.
type burst struct {
	n    float64
	last clock.Stamp
}

func (c *burst) at(now clock.Stamp) float64 {
	return c.n * math.Exp2(-now.Sub(c.last).Seconds()/recent.Seconds())
}

func (c *burst) add(now clock.Stamp) { c.n, c.last = c.at(now)+1, now }

// Room says whether a request finds a place.
type Room struct {
	Free bool
	// Reason of a refusal.
	Reason chestnutstep.Reason
	// Taken is the part of the places that is taken, and Yield how soon the request
	// yields to others.
	Taken float64
	Yield admit.Yield
	// Kept is the part of the places that is kept for requests within their share.
	Kept float64
}

// Admit says whether a request may take a place at one of the candidates, while others
// ask for places too.
func (b *Board) Admit(now clock.Stamp, service string, list []place.Candidate, who Who) Room {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	r := Room{Taken: place.Taken(list), Reason: chestnutstep.ReasonFull}
	fair := &b.usage(service).fair
	r.Free, r.Yield = fair.Ask(now, who.Urgency, who.Workspace, r.Taken)
	r.Kept = fair.Reserve(now)
	if r.Taken < 1 {
		r.Reason = chestnutstep.ReasonShare
	}
	return r
}

// observe takes the time to the first byte.
func (r *Run) observe(now clock.Stamp) {
	if r.who.Objective <= 0 {
		return
	}
	limit := &r.board.state(r.key).limit
	if now.Sub(r.began).Seconds() > lateShare*r.who.Objective.Seconds() {
		limit.Late(now, r.before, r.slots, r.least)
		return
	}
	limit.InTime(r.before)
}

// leave gives the place back.
func (r *Run) leave(now clock.Stamp, o Outcome) {
	r.usage.fair.End(r.who.Urgency, r.who.Workspace)
	switch o {
	case Served, Failed, Canceled:
		r.usage.pace.Measure(now.Sub(r.began), 1)
	case Refused:
		r.board.state(r.key).limit.Late(now, r.before, r.slots, r.least)
	case Unreached, Closed, Replaced, Silent:
	}
}
