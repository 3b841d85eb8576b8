// Package gate decides for one target which requests run, wait or are rejected. It combines the
// caps (admit), draining and return (ramp), the waiting queue (queue) and the exclusive runs of
// crash suspects. It runs in the agent, through which all requests of the target pass, so its
// counts are exact. Whatever entries offer, the number of running requests never exceeds the
// cap that was in force when each was accepted.
package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/queue"
	"chestnutstep.example/chestnutstep/ramp"
)

// Gate implements chestnutstep.Gate. The zero value rejects everything until the first
// SetLimits, and is cold then. It is not safe for concurrent use: the owner must hold one lock
// around all calls.
type Gate struct {
	limits    chestnutstep.Limits
	hasLimits bool
	leaving   bool

	cap       admit.Cap
	cold      admit.ColdCap
	ramp      ramp.Ramp
	queue     queue.Queue
	durations admit.DurationEstimator
	suspect   suspectSlot

	running map[string]*runningWork
	// lastOffered is the time of the last offer of each class.
	lastOffered [chestnutstep.ClassCount]time.Time
	dropped     []chestnutstep.DroppedRequest
}

// runningWork is one running request.
type runningWork struct {
	work       chestnutstep.Work
	startedAt  time.Time
	generation uint64
}

var _ chestnutstep.Gate = (*Gate)(nil)

// SetLimits applies the limits of a publication. Lower caps do not stop running requests: no
// new one starts until their number is below the cap.
func (g *Gate) SetLimits(now time.Time, l chestnutstep.Limits) {
	g.limits, g.hasLimits = l, true
	g.cap.Multiple = l.Model.Multiple
	g.cap.Floor = l.Model.Floor
	g.cap.Slots = l.Model.Slots
	g.cap.Weight = l.Weight
	g.cap.Single = l.IsOnlyTarget
	g.cold.StartCap = l.Model.ColdCap
	g.cold.WarmupAnswers = l.Model.WarmupAnswers
	g.cold.Slots = l.Model.Slots
	g.queue.Capacity = l.Model.QueueLimit
	g.queue.Weights = l.Workspaces
	g.updateRamp(now)
}

// SetMean applies a new estimate of the mean load.
func (g *Gate) SetMean(now time.Time, m chestnutstep.Mean) { g.cap.Measure(now, m) }

// MarkCold marks the target cold. Running requests continue; no new one starts until their
// number is below the cold cap.
func (g *Gate) MarkCold(time.Time) { g.cold.Reset() }

// SetLeaving sets whether the target rejects new work from now on.
func (g *Gate) SetLeaving(now time.Time, leaving bool) {
	g.leaving = leaving
	g.updateRamp(now)
}

// updateRamp starts or ends draining according to the leaving state and the publication.
func (g *Gate) updateRamp(now time.Time) {
	if g.leaving || g.limits.Out {
		g.ramp.Leave(now)
		return
	}
	g.ramp.Return()
}

// End records the end of a running or waiting request.
func (g *Gate) End(now time.Time, id string, o chestnutstep.Outcome) {
	if g.suspect.remove(now, id) || g.queue.Remove(id) {
		return
	}
	r := g.running[id]
	if r == nil {
		return
	}
	delete(g.running, id)
	g.durations.Measure(now.Sub(r.startedAt), r.work.Cost)
	g.suspect.end(now, id)
	switch o {
	case chestnutstep.OutcomeServed:
		g.cold.RecordSuccess(r.generation)
	case chestnutstep.OutcomeFailed:
		g.cold.RecordFailure(r.generation)
	case chestnutstep.OutcomeAbandoned:
		// A canceled request is no evidence about the target.
	}
}

// Load returns the load of the target.
func (g *Gate) Load(now time.Time) chestnutstep.Load {
	limit, _ := g.limit(now)
	coldCap, cold := g.cold.Cap()
	l := chestnutstep.Load{
		Running: len(g.running),
		Waiting: g.waiting(),
		Cap:     limit,
		Cold:    cold,
		Leaving: g.ramp.Leaving(),
		Weight:  g.ramp.Weight(coldCap, g.limits.Model.Slots),
	}
	if l.Leaving || !g.hasLimits {
		l.Cap, l.Weight = 0, 0
	}
	return l
}

func (g *Gate) waiting() int {
	if g.suspect.waiting != nil {
		return g.queue.Len() + 1
	}
	return g.queue.Len()
}

// limit returns the cap in force, and the reason to give if it is reached. It also applies to
// waiting work that still starts while the target leaves.
func (g *Gate) limit(now time.Time) (int, chestnutstep.Reason) {
	limit, reason := g.cap.At(now), chestnutstep.ReasonFull
	if coldCap, _ := g.cold.Cap(); coldCap < limit {
		limit, reason = coldCap, chestnutstep.ReasonCold
	}
	return limit, reason
}

const (
	// inUseWindow is how long a class counts as in use after its last offer. A minute covers
	// the pause between two questions of a few active callers.
	inUseWindow = time.Minute
	// normalReserveDivisor and batchReserveDivisor set the slots that normal and batch work
	// leave to more urgent classes in use, as the cap divided by them. Without this reserve,
	// long plans take all slots in an idle second, and each short question waits minutes for a
	// plan to end. An eighth is one slot of eight, enough for questions that take a second or
	// two; batch leaves twice that. Caps below eight, or four for batch, reserve nothing, as
	// one slot would exceed that part.
	normalReserveDivisor = 8
	batchReserveDivisor  = 4
)

// canStart reports whether one more request of the class can start.
func (g *Gate) canStart(now time.Time, class chestnutstep.Class) bool {
	limit, _ := g.limit(now)
	if len(g.running) >= limit || g.suspect.isTaken() {
		return false
	}
	reserved := g.reservedSlots(now, class, limit)
	return reserved == 0 || len(g.running) < limit-reserved
}

// canStartFunc returns canStart as the callback that the queue needs.
func (g *Gate) canStartFunc(now time.Time) func(c chestnutstep.Class) bool {
	return func(c chestnutstep.Class) bool { return g.canStart(now, c) }
}

// reservedSlots returns the number of slots that the class must leave free.
func (g *Gate) reservedSlots(now time.Time, class chestnutstep.Class, limit int) int {
	urgent := g.inUse(now, chestnutstep.ClassUrgent)
	switch {
	case class == chestnutstep.ClassNormal && urgent:
		return limit / normalReserveDivisor
	case class == chestnutstep.ClassBatch && (urgent || g.inUse(now, chestnutstep.ClassNormal)):
		return limit / batchReserveDivisor
	}
	return 0
}

func (g *Gate) inUse(now time.Time, class chestnutstep.Class) bool {
	last := g.lastOffered[class]
	return !last.IsZero() && now.Sub(last) < inUseWindow
}

func (g *Gate) start(now time.Time, w chestnutstep.Work) {
	if g.running == nil {
		g.running = make(map[string]*runningWork)
	}
	g.running[w.ID] = &runningWork{work: w, startedAt: now, generation: g.cold.Generation()}
}
