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
	// patienceRatio is the part of its objective that a request may wait for a slot;
	// the rest is for the way and for reading the prompt.
	patienceRatio = 0.5
	// lateRatio is the part of its objective after which a first byte counts as late.
	lateRatio = 0.8
	// minEngineSlotRatio is the part of an engine's slots that a limit leaves it: its memory
	// may hold fewer requests than it has slots.
	minEngineSlotRatio = 0.5
	// paceSmoothing lets the last hundred or so requests to a service count, long ones and
	// short ones: a limit that follows the last few swings with their mix.
	paceSmoothing = 0.01
	// typicalReportAge is the usual age of what peers report of their requests.
	typicalReportAge = 50 * time.Millisecond
	// maxUnreportedRatio is the part of a target's limit that requests of peers may take that
	// they have not reported.
	maxUnreportedRatio = 0.5
)

// serviceState is what this entry's requests to one service hold.
type serviceState struct {
	// key names the service in datagrams.
	key  uint32
	pace admit.DurationEstimator
	fair admit.FairLimiter
	// taken is the part of all places that was taken at the last request.
	taken float64
}

func (b *Board) serviceState(service string) *serviceState {
	u := b.services[service]
	if u == nil {
		u = &serviceState{key: uint32(xxhash.Sum64String(service)), pace: admit.DurationEstimator{Smoothing: paceSmoothing}}
		b.services[service] = u
	}
	return u
}

// minLimit is the lowest limit of a target: below it, places would stay free. An
// entry that has reports of only some of the others counts only their requests and its own: it
// keeps to their part.
func (b *Board) minLimit(now clock.Stamp, slots int, engine bool) float64 {
	limit := float64(slots) * b.reportingRatio(now)
	if engine {
		limit *= minEngineSlotRatio
	}
	return max(limit, 1)
}

// reportingRatio is the part of the entries, this one among them, whose requests are known.
func (b *Board) reportingRatio(now clock.Stamp) float64 {
	n := 1
	for _, p := range b.peers {
		if now.Sub(p.lastSeen) <= loadTTL {
			n++
		}
	}
	return float64(n) / float64(max(b.entryCount(), n))
}

// unreported are the requests that peers have sent to a target since their last reports,
// taken to be as many as this entry has sent, and at most a part of what it may have.
// Without it all entries see the same free place and give it away, each to a request of its
// own. Without the bound one request of this entry would close a target before hundreds of
// peers, however idle it is.
func (b *Board) unreported(now clock.Stamp, s *targetState, limit float64) float64 {
	return min(s.recentSent.at(now)*float64(len(b.peers)), maxUnreportedRatio*limit)
}

// decayingCounter counts what was sent of late.
type decayingCounter struct {
	count float64
	last  clock.Stamp
}

func (c *decayingCounter) at(now clock.Stamp) float64 {
	ms := now.Sub(c.last) / time.Millisecond
	if ms < 0 || int(ms) >= len(unreportedDecay) {
		return 0
	}
	return c.count * unreportedDecay[ms]
}

// unreportedDecay is the part of a burst that peers may not know of, by its age in milliseconds.
var unreportedDecay = func() (list [10 * int(typicalReportAge/time.Millisecond)]float64) {
	for ms := range list {
		list[ms] = math.Exp2(-float64(ms) * float64(time.Millisecond) / float64(typicalReportAge))
	}
	return list
}()

func (c *decayingCounter) add(now clock.Stamp) { c.count, c.last = c.at(now)+1, now }

// Admission says whether a request finds a place.
type Admission struct {
	Admitted bool
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
func (b *Board) admit(now clock.Stamp, service string, taken float64, caller Caller) Admission {
	r := Admission{Taken: taken, Reason: chestnutstep.ReasonFull}
	u := b.serviceState(service)
	u.taken = r.Taken
	r.Admitted, r.Yield = u.fair.Admit(now, caller.Urgency, caller.Workspace, r.Taken)
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

// recordFirstByte takes the time to the first byte.
func (r *Attempt) recordFirstByte(now clock.Stamp) {
	if r.caller.Objective <= 0 {
		return
	}
	if now.Sub(r.startedAt).Seconds() > lateRatio*r.caller.Objective.Seconds() {
		r.recordLate(now)
		return
	}
	r.board.state(r.key).limit.RecordInTime(r.runningAtStart)
}

// recordLate notes that the target had more than it could begin in time.
func (r *Attempt) recordLate(now clock.Stamp) {
	minLimit := r.board.minLimit(now, r.slots, r.isEngine)
	s := r.board.state(r.key)
	r.board.countIndividually(s)
	s.limit.RecordLate(now, r.runningAtStart, r.slots, minLimit)
}

// release gives the place back.
func (r *Attempt) release(now clock.Stamp, o Outcome) {
	r.service.fair.End(r.caller.Urgency, r.caller.Workspace)
	switch o {
	case Served, Failed, Canceled:
		r.service.pace.Measure(now.Sub(r.startedAt), 1)
	case Refused:
		r.recordLate(now)
	case Unreachable, ConnRefused, Replaced, Broken:
	}
}
