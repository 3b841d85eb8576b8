package board

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/clock"
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
	// short ones: a limit that follows the last few swings with their mix.
	paceSmooth = 0.01
	// recent is the usual age of what peers report of their requests.
	recent = 50 * time.Millisecond
	// unheardMost is the part of a target's limit that requests of peers may take that
	// they have not reported.
	unheardMost = 0.5
)

// usage is what this entry's requests to one service hold.
type usage struct {
	// key names the service in datagrams.
	key  uint32
	pace admit.DurationEstimator
	fair admit.FairLimiter
	// taken is the part of all places that was taken at the last request.
	taken float64
}

func (b *Board) usage(service string) *usage {
	u := b.services[service]
	if u == nil {
		u = &usage{key: uint32(xxhash.Sum64String(service)), pace: admit.DurationEstimator{Smoothing: paceSmooth}}
		b.services[service] = u
	}
	return u
}

// leastPlaces is the lowest limit of a target: below it, places would stay free. An
// entry that has reports of only some of the others counts only their requests and its own: it
// keeps to their part.
func (b *Board) leastPlaces(now clock.Stamp, slots int, engine bool) float64 {
	least := float64(slots) * b.reportingPart(now)
	if engine {
		least *= engineLeast
	}
	return max(least, 1)
}

// reportingPart is the part of the entries, this one among them, whose requests are known.
func (b *Board) reportingPart(now clock.Stamp) float64 {
	n := 1
	for _, p := range b.peers {
		if now.Sub(p.lastSeen) <= loadKeep {
			n++
		}
	}
	return float64(n) / float64(max(b.entries(), n))
}

// unreported are the requests that peers have sent to a target since their last reports,
// taken to be as many as this entry has sent, and at most a part of what it may have.
// Without it all entries see the same free place and give it away, each to a request of its
// own. Without the bound one request of this entry would close a target before hundreds of
// peers, however idle it is.
func (b *Board) unreported(now clock.Stamp, s *state, limit float64) float64 {
	return min(s.sent.at(now)*float64(len(b.peers)), unheardMost*limit)
}

// burst counts what was sent of late.
type burst struct {
	n    float64
	last clock.Stamp
}

func (c *burst) at(now clock.Stamp) float64 {
	ms := now.Sub(c.last) / time.Millisecond
	if ms < 0 || int(ms) >= len(fading) {
		return 0
	}
	return c.n * fading[ms]
}

// fading is the part of a burst that peers may not know of, by its age in milliseconds.
var fading = func() (list [10 * int(recent/time.Millisecond)]float64) {
	for ms := range list {
		list[ms] = math.Exp2(-float64(ms) * float64(time.Millisecond) / float64(recent))
	}
	return list
}()

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

// admit says whether a request may take a place where a part of all places is taken, while
// others ask for places too.
func (b *Board) admit(now clock.Stamp, service string, taken float64, who Who) Room {
	r := Room{Taken: taken, Reason: chestnutstep.ReasonFull}
	u := b.usage(service)
	u.taken = r.Taken
	r.Free, r.Yield = u.fair.Admit(now, who.Urgency, who.Workspace, r.Taken)
	r.Kept = u.fair.Reserve(now)
	if r.Taken < 1 {
		r.Reason = chestnutstep.ReasonShare
	}
	return r
}

// Places is what is known of a service's places.
type Places struct {
	Service string
	// Taken is the part that was taken at the last request, 1 and more for all, and Kept
	// the part that is kept for requests within their share.
	Taken, Kept float64
}

// Places lists the services to which requests came.
func (b *Board) Places(now clock.Stamp) []Places {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Places, 0, len(b.services))
	for name, u := range b.services {
		list = append(list, Places{name, u.taken, u.fair.Reserve(now)})
	}
	return list
}

// observe takes the time to the first byte.
func (r *Run) observe(now clock.Stamp) {
	if r.who.Objective <= 0 {
		return
	}
	if now.Sub(r.began).Seconds() > lateShare*r.who.Objective.Seconds() {
		r.late(now)
		return
	}
	r.board.state(r.key).limit.RecordInTime(r.before)
}

// late notes that the target had more than it could begin in time.
func (r *Run) late(now clock.Stamp) {
	least := r.board.leastPlaces(now, r.slots, r.engine)
	s := r.board.state(r.key)
	r.board.setApart(s)
	s.limit.RecordLate(now, r.before, r.slots, least)
}

// leave gives the place back.
func (r *Run) leave(now clock.Stamp, o Outcome) {
	r.usage.fair.End(r.who.Urgency, r.who.Workspace)
	switch o {
	case Served, Failed, Canceled:
		r.usage.pace.Measure(now.Sub(r.began), 1)
	case Refused:
		r.late(now)
	case Unreached, Closed, Replaced, Silent:
	}
}
