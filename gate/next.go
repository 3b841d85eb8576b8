package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// AdvanceQueue updates the waiting work and returns the started and dropped requests. Expired
// work is dropped first, so that nothing starts whose caller has given up.
func (g *Gate) AdvanceQueue(now time.Time) chestnutstep.QueueUpdate {
	g.expire(now)
	g.shed(now)
	update := chestnutstep.QueueUpdate{Started: g.startWaiting(now)}
	update.Dropped, g.dropped = g.dropped, nil
	return update
}

func (g *Gate) expire(now time.Time) {
	if w, reason := g.suspect.expire(now); w != nil {
		g.drop(now, *w, reason)
	}
	for {
		w, ok := g.queue.Expire(now)
		if !ok {
			return
		}
		g.drop(now, w, g.expiryReason(now, w))
	}
}

func (g *Gate) expiryReason(now time.Time, w chestnutstep.Work) chestnutstep.Reason {
	if !w.Deadline.After(now) {
		return chestnutstep.ReasonLate
	}
	return g.fullReason(now)
}

// shed rejects the waiting work of a leaving target, the least urgent classes first.
func (g *Gate) shed(now time.Time) {
	for c := range chestnutstep.Class(chestnutstep.ClassCount) {
		if g.ramp.ShouldShed(now, c) {
			g.shedClass(now, c)
		}
	}
}

func (g *Gate) shedClass(now time.Time, class chestnutstep.Class) {
	if w := g.suspect.waiting; w != nil && w.Class == class {
		g.suspect.remove(now, w.ID)
		g.drop(now, *w, g.leavingReason())
	}
	for {
		w, ok := g.queue.Shed(class)
		if !ok {
			return
		}
		g.drop(now, w, g.leavingReason())
	}
}

func (g *Gate) leavingReason() chestnutstep.Reason {
	if g.limits.Out {
		return chestnutstep.ReasonOut
	}
	return chestnutstep.ReasonLeaving
}

func (g *Gate) startWaiting(now time.Time) []string {
	if !g.hasLimits {
		return nil
	}
	if id := g.startSuspect(now); id != "" {
		return []string{id}
	}
	var ids []string
	for {
		w, ok := g.queue.Pop(g.canStartFunc(now))
		if !ok {
			return ids
		}
		if g.willMissDeadline(now, w) {
			g.drop(now, w, chestnutstep.ReasonLate)
			continue
		}
		g.start(now, w)
		ids = append(ids, w.ID)
	}
}

// willMissDeadline reports whether waiting work has less than half of the estimated duration
// left. Started, it would hold a slot until its deadline for an answer that is not used; under
// saturation this makes goodput fall as load grows. Half is used because the estimate is a mean
// over different work, so that work with a fair chance is started. Work that finds a free slot
// is not checked, and its duration corrects an estimate that was too high.
func (g *Gate) willMissDeadline(now time.Time, w chestnutstep.Work) bool {
	return now.Add(g.durations.Estimate(w.Cost) / 2).After(w.Deadline)
}
