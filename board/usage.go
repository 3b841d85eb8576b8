package board

import (
	"math"
	"time"

	"github.com/cespare/xxhash/v2"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/claim"
	"chestnutstep.example/chestnutstep/clock"
)

const (
	// patienceRatio is the part of its latency objective that a request can wait for a slot;
	// the rest covers the network and reading the prompt.
	patienceRatio = 0.5
	// lateRatio is the part of its latency objective after which a first byte counts as late.
	lateRatio = 0.8
	// minEngineSlotRatio is the part of an engine's slots below which its limit does not fall:
	// its memory can hold fewer requests than it has slots.
	minEngineSlotRatio = 0.5
	// durationSmoothing is the weight of the newest duration. About the last hundred requests to a
	// service count: a limit that follows only the last few swings with their mix of long and
	// short ones.
	durationSmoothing = 0.01
	// typicalReportAge is the usual age of the loads that peers report.
	typicalReportAge = 50 * time.Millisecond
	// maxUnreportedRatio is the part of a target's limit that estimated unreported requests of
	// peers can take.
	maxUnreportedRatio = 0.5
)

// serviceState is the state of this entry's requests to one service.
type serviceState struct {
	// key is the key of the service in reports.
	key       uint32
	durations admit.DurationEstimator
	fair      admit.FairLimiter
	// taken is the part of all places that was taken at the last request.
	taken float64
	// released is the rate of places that requests of this entry release.
	released rate
	free     freeTime
}

// rate measures events per second with exponential decay.
type rate struct {
	perSecond float64
	last      clock.Stamp
}

// rateTime is the time constant of a rate: long enough for some tens of events at an entry of a
// large fleet, short enough to follow a surge.
const rateTime = time.Second

func (r *rate) at(now clock.Stamp) float64 {
	return r.perSecond * math.Exp(-max(now.Sub(r.last), 0).Seconds()/rateTime.Seconds())
}

func (r *rate) add(now clock.Stamp) { r.perSecond, r.last = r.at(now)+1/rateTime.Seconds(), now }

// freeTime measures the part of the recent time in which places were free although requests were refused
// shortly before, with exponential decay: how much of a shortage consists of moments. Requests come mostly
// while places are short, so the part of the requests that found one would be far below it.
type freeTime struct {
	ratio float64
	// admitted is the number of requests admitted in a row, and refusedAt the time of the last refusal.
	admitted  int
	refusedAt clock.Stamp
	last      clock.Stamp
}

const (
	// freeTimeDecay is the time constant of freeTime: several periods of some hundred milliseconds with
	// more and with less load.
	freeTimeDecay = 2 * time.Second
	// maxFreeStep is the longest time for which the state at one request counts: after that nothing is known.
	maxFreeStep = 500 * time.Millisecond
	// minFreeRun is the number of requests admitted in a row from which places count as free. In a lasting
	// shortage one request in seven finds a place that has just been released. With 2, up to a tenth of the time
	// counted as free in it.
	minFreeRun = 3
	// maxRefusalAge is the time since the last refusal after which free places say nothing of a shortage.
	maxRefusalAge = time.Second
)

// observe records whether a request found a place. The state after the request before counts for the time
// since then.
func (f *freeTime) observe(now clock.Stamp, admitted bool) {
	step := min(max(now.Sub(f.last), 0), maxFreeStep)
	f.ratio *= math.Exp(-step.Seconds() / freeTimeDecay.Seconds())
	if f.admitted >= minFreeRun && f.refusedAt > 0 && now.Sub(f.refusedAt) <= maxRefusalAge {
		f.ratio += 1 - math.Exp(-step.Seconds()/freeTimeDecay.Seconds())
	}
	f.last = now
	f.admitted++
	if !admitted {
		f.admitted, f.refusedAt = 0, now
	}
}

func (b *Board) serviceState(service string) *serviceState {
	u := b.services[service]
	if u == nil {
		u = &serviceState{key: uint32(xxhash.Sum64String(service)), durations: admit.DurationEstimator{Smoothing: durationSmoothing}}
		b.services[service] = u
	}
	return u
}

// minLimit returns the lowest limit of a target; a lower one would leave places unused. An
// entry that has recent reports of only some peers counts only their requests and its own, so
// its minimum is reduced to their part.
func (b *Board) minLimit(now clock.Stamp, slots int, engine bool) float64 {
	limit := float64(slots) * b.reportingRatio(now)
	if engine {
		limit *= minEngineSlotRatio
	}
	return max(limit, 1)
}

// reportingRatio returns the part of the entries whose requests are known, this entry included.
func (b *Board) reportingRatio(now clock.Stamp) float64 {
	n := 1
	for _, p := range b.peers {
		if now.Sub(p.lastSeen) <= loadTTL {
			n++
		}
	}
	return float64(n) / float64(max(b.entryCount(), n))
}

// unreported estimates the requests that peers have sent to a target since their last reports:
// as many from each as this entry has sent, capped at a part of the limit. Without the
// estimate, all entries see the same free place and each gives it to a request of its own.
// Without the cap, one request of this entry would close an idle target if there are hundreds
// of peers. Requests that the target's own report counts are left out.
func (b *Board) unreported(recentSent, limit float64) float64 {
	return min(recentSent*float64(len(b.peers)), maxUnreportedRatio*limit)
}

// decayingCounter counts recent requests with exponential decay.
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

// unreportedDecay is the part of a burst that peers might not have a report of, by its age in
// milliseconds.
var unreportedDecay = func() (list [10 * int(typicalReportAge/time.Millisecond)]float64) {
	for ms := range list {
		list[ms] = math.Exp2(-float64(ms) * float64(time.Millisecond) / float64(typicalReportAge))
	}
	return list
}()

func (c *decayingCounter) add(now clock.Stamp) { c.count, c.last = c.at(now)+1, now }

// Admission is the result of asking for a place.
type Admission struct {
	Admitted bool
	// Reason is the reason of a rejection.
	Reason chestnutstep.Reason
	// Taken is the part of the places that is taken, and Yield how early the request yields to
	// others.
	Taken float64
	Yield admit.Yield
	// Kept is the part of the places that is reserved for requests within their share.
	Kept float64
	// Capacity is the number of places, and Hold how long a request uses one on average. Released is
	// the number of places per second that this entry's requests have released recently.
	Capacity float64
	Hold     time.Duration
	Released float64
	// Free is the part of the recent time in which places were free although requests had been refused
	// shortly before.
	Free float64
}

// ClaimReserve returns how many places new requests must leave to callers that were told to return.
type ClaimReserve interface {
	// Reserve returns the part of a service's capacity places, less than 1. It must not call the Board.
	Reserve(now clock.Stamp, service string, a claim.Asker, capacity float64, entries int) float64
}

// claimMargin is the part of the places by which requests with a claim may exceed them. The number of
// places that are taken is an estimate from reports that can be a second old: without the margin, an
// entry that takes others' requests for too many refuses the callers that it told to return. The
// queues of targets bear it, because claims take only a part of the places that become free.
const claimMargin = 0.8

// admit decides whether a request can take a place, given the part of all places that is taken
// and the share of its workspace.
func (b *Board) admit(now clock.Stamp, l *lookup, taken float64) Admission {
	r := Admission{Taken: taken, Reason: chestnutstep.ReasonFull, Capacity: l.totals.Capacity, Hold: l.serviceTime}
	u := b.serviceState(l.service.Name)
	u.taken, r.Released = r.Taken, u.released.at(now)
	caller := l.criteria.Caller
	r.Admitted, r.Yield = u.fair.Admit(now, caller.Urgency, caller.Workspace, b.effectiveTaken(now, l, taken))
	if !l.criteria.Claimed && !l.criteria.Late {
		u.free.observe(now, r.Admitted)
	}
	r.Free = u.free.ratio
	r.Kept = u.fair.Reserve(now)
	if r.Taken < 1 {
		r.Reason = chestnutstep.ReasonShare
	}
	return r
}

// minReserveTaken is the part of the places below which none are reserved for claims: they would stay
// unused.
const minReserveTaken = 0.6

// effectiveTaken returns the part of the places that counts as taken for a request: of those that are
// left by claims for a new request, and of some more for one with a claim. The shares are then those
// of the same places.
func (b *Board) effectiveTaken(now clock.Stamp, l *lookup, taken float64) float64 {
	if l.criteria.Claimed {
		return taken / (1 + claimMargin)
	}
	if b.Claims == nil || taken < minReserveTaken {
		return taken
	}
	asker := claim.Asker{Workspace: l.criteria.Caller.Workspace, Late: l.criteria.Late}
	return taken / (1 - b.Claims.Reserve(now, l.service.Name, asker, l.totals.Capacity, b.entryCount()))
}

// Places is the state of a service's places.
type Places struct {
	Service string
	// Taken is the part that was taken at the last request, 1 or more if all are taken. Kept is
	// the part that is reserved for requests within their share.
	Taken, Kept float64
}

// Places returns the state of the places of each service that received requests.
func (b *Board) Places(now clock.Stamp) []Places {
	b.mu.Lock()
	defer b.mu.Unlock()
	list := make([]Places, 0, len(b.services))
	for name, u := range b.services {
		list = append(list, Places{name, u.taken, u.fair.Reserve(now)})
	}
	return list
}

// recordFirstByte compares the time to the first byte with the objective and adjusts the limit
// of the target.
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

// recordLate records that the target had more requests than it could start in time.
func (r *Attempt) recordLate(now clock.Stamp) {
	minLimit := r.board.minLimit(now, r.slots, r.isEngine)
	s := r.board.state(r.key)
	r.board.countIndividually(s)
	s.limit.RecordLate(now, r.runningAtStart, r.slots, minLimit)
}

// recordRejected records that the target asked for a pause: it had more requests than it takes. The
// limit grows again only after the pause.
func (r *Attempt) recordRejected(now clock.Stamp) {
	minLimit := r.board.minLimit(now, r.slots, r.isEngine)
	s := r.board.state(r.key)
	r.board.countIndividually(s)
	s.limit.RecordRejected(now, r.board.Pauses.State(now, r.instance).Until, r.runningAtStart, minLimit)
}

// release frees the place of the request. It records the duration of a request that the target
// worked on, and a refusal as a late answer, because the target had too many requests.
func (r *Attempt) release(now clock.Stamp, o Outcome) {
	r.service.fair.End(r.caller.Urgency, r.caller.Workspace)
	switch o {
	case Served, Failed, Canceled:
		r.service.released.add(now)
		r.service.durations.Measure(now.Sub(r.startedAt), 1)
	case Refused:
		r.recordLate(now)
	case Paused:
		r.recordRejected(now)
	case Unsent, Unreachable, ConnRefused, Replaced, Broken, Outraced:
	}
}
