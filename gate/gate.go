// Package gate decides for one target what runs, what waits and what is turned
// away. It composes the caps (admit), the way out and back (ramp), the order of
// what waits (queue) and the turns of crash suspects. It stands in the agent,
// through which all work of the target passes, so it counts what is true and
// not what entries believe: whatever they offer, what runs never exceeds the
// cap that was in force when it was accepted.
package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/admit"
	"chestnutstep.example/chestnutstep/queue"
	"chestnutstep.example/chestnutstep/ramp"
)

// Gate is a chestnutstep.Gate. The zero value turns everything away until the
// first Limit, and is cold then. It is not safe for use by several goroutines:
// its owner holds one lock around all calls.
type Gate struct {
	limits    chestnutstep.Limits
	hasLimits bool
	leaving   bool

	cap     admit.Cap
	cold    admit.ColdCap
	ramp    ramp.Ramp
	queue   queue.Queue
	pace    admit.DurationEstimator
	suspect suspectSlot

	running map[string]*runningWork
	// lastOffered is when a class was last offered.
	lastOffered [chestnutstep.ClassCount]time.Time
	dropped     []chestnutstep.DroppedRequest
}

// runningWork is one running request.
type runningWork struct {
	work      chestnutstep.Work
	startedAt time.Time
	era       uint64
}

var _ chestnutstep.Gate = (*Gate)(nil)

// SetLimits puts the limits of a publication in force. Lower caps cut nothing that
// runs: nothing new starts until what runs has come under them.
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

// SetMean takes a new estimate of the mean load.
func (g *Gate) SetMean(now time.Time, m chestnutstep.Mean) { g.cap.Measure(now, m) }

// MarkCold says that the target is cold. What runs is left to end as it may;
// nothing starts until it is under the cold cap.
func (g *Gate) MarkCold(time.Time) { g.cold.Reset() }

// SetLeaving says whether the target takes no new work from now on.
func (g *Gate) SetLeaving(now time.Time, leaving bool) {
	g.leaving = leaving
	g.updateRamp(now)
}

// updateRamp starts the way out or back when leaving or the publication changed it.
func (g *Gate) updateRamp(now time.Time) {
	if g.leaving || g.limits.Out {
		g.ramp.Leave(now)
		return
	}
	g.ramp.Return()
}

// End says that running or waiting work is over.
func (g *Gate) End(now time.Time, id string, o chestnutstep.Outcome) {
	if g.suspect.remove(now, id) || g.queue.Remove(id) {
		return
	}
	r := g.running[id]
	if r == nil {
		return
	}
	delete(g.running, id)
	g.pace.Measure(now.Sub(r.startedAt), r.work.Cost)
	g.suspect.end(now, id)
	switch o {
	case chestnutstep.OutcomeServed:
		g.cold.RecordSuccess(r.era)
	case chestnutstep.OutcomeFailed:
		g.cold.RecordFailure(r.era)
	case chestnutstep.OutcomeAbandoned:
		// A caller that gave up proves nothing about the target.
	}
}

// Load reports the target's state.
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

// limit is the cap in force, and the reason to give when it is reached. It holds
// for what still starts while the target leaves, too.
func (g *Gate) limit(now time.Time) (int, chestnutstep.Reason) {
	limit, reason := g.cap.At(now), chestnutstep.ReasonFull
	if coldCap, _ := g.cold.Cap(); coldCap < limit {
		limit, reason = coldCap, chestnutstep.ReasonCold
	}
	return limit, reason
}

const (
	// inUseWindow is how long a class counts as in use after its last offer. A
	// minute spans the pause between two questions of a few busy callers.
	inUseWindow = time.Minute
	// normalReserveDivisor and batchSpare are the parts of the cap, as one over, that
	// normal and batch work leave to more urgent work that is in use. Without
	// them, long plans take every slot in a quiet second, and each quick
	// question waits for a plan of minutes to end. An eighth is one slot of
	// eight, enough for questions that take a second or two; batch leaves
	// twice that. Caps below eight, or four, leave none: a whole slot would be
	// more than that part.
	normalReserveDivisor = 8
	batchReserveDivisor  = 4
)

// canStart says whether one more request of the class may run.
func (g *Gate) canStart(now time.Time, class chestnutstep.Class) bool {
	limit, _ := g.limit(now)
	if len(g.running) >= limit || g.suspect.isTaken() {
		return false
	}
	reserved := g.reservedSlots(now, class, limit)
	return reserved == 0 || len(g.running) < limit-reserved
}

// canStartFunc is room as the queue asks for it.
func (g *Gate) canStartFunc(now time.Time) func(c chestnutstep.Class) bool {
	return func(c chestnutstep.Class) bool { return g.canStart(now, c) }
}

// reservedSlots is how many slots the class must leave free.
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
	g.running[w.ID] = &runningWork{work: w, startedAt: now, era: g.cold.Generation()}
}
