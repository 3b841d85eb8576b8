package gate

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

const (
	// drainMost is how long a suspect may keep others from starting while it
	// waits for the target to empty. Answers in progress take seconds to tens of
	// seconds; a target that isn't empty by then is given back to its callers.
	drainMost = 20 * time.Second
	// pauseFor is how many times as long as one suspect held the target the next
	// must stay away. With 9, suspects have at most a tenth of the target:
	// otherwise a caller that keeps sending content that crashes targets would
	// take them out of service without crashing any.
	pauseFor = 9
)

// turn is how crash suspects get their turn. A suspect was running when a
// target crashed. Run beside others, a guilty one takes them down with it, and
// which of them was guilty stays unknown; run by itself, its answer clears it,
// or one crash condemns it.
type turn struct {
	// waits is the suspect that waits for the target to empty; others start
	// nothing meanwhile.
	waits *chestnutstep.Work
	// alone is the id of the suspect that runs.
	alone string
	// since is when the suspect began to hold the target.
	since time.Time
	// next is when another suspect may come.
	next time.Time
}

// blocks says that nothing else may start.
func (t *turn) blocks() bool { return t.waits != nil || t.alone != "" }

func (t *turn) has(id string) bool { return t.waits != nil && t.waits.ID == id }

// opens is how long until another suspect may come.
func (t *turn) opens(now time.Time) time.Duration {
	if t.blocks() {
		return drainMost
	}
	return t.next.Sub(now)
}

func (t *turn) take(now time.Time, id string) {
	if t.waits == nil {
		t.since = now
	}
	t.waits, t.alone = nil, id
}

// end frees the target when it was the suspect that ended.
func (t *turn) end(now time.Time, id string) {
	if t.alone != id || id == "" {
		return
	}
	t.alone = ""
	t.next = now.Add(pauseFor * now.Sub(t.since))
}

// remove gives up a suspect that waits.
func (t *turn) remove(now time.Time, id string) bool {
	if !t.has(id) {
		return false
	}
	t.waits = nil
	t.next = now.Add(pauseFor * now.Sub(t.since))
	return true
}

// expire gives up a suspect whose time is over, or for which the target would
// not empty.
func (t *turn) expire(now time.Time) (*chestnutstep.Work, chestnutstep.Reason) {
	w := t.waits
	if w == nil {
		return nil, ""
	}
	if !w.Deadline.After(now) {
		t.remove(now, w.ID)
		return w, chestnutstep.ReasonLate
	}
	if now.Sub(t.since) < drainMost {
		return nil, ""
	}
	t.remove(now, w.ID)
	return w, chestnutstep.ReasonSuspect
}

// offerAlone decides on a suspect. It waits for the target to empty whatever
// its patience: there is hardly a target without work, so refused here it would
// be refused everywhere.
func (g *Gate) offerAlone(now time.Time, w chestnutstep.Work) chestnutstep.Decision {
	if g.turn.blocks() || now.Before(g.turn.next) {
		return g.refuse(now, w, chestnutstep.ReasonSuspect)
	}
	if len(g.running) == 0 {
		g.turn.take(now, w.ID)
		g.start(now, w)
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictAccept}
	}
	g.turn.waits, g.turn.since = &w, now
	return chestnutstep.Decision{Verdict: chestnutstep.VerdictQueue, PredictedWait: min(drainMost, g.pace.Mean())}
}

// startAlone starts the suspect once the target is empty.
func (g *Gate) startAlone(now time.Time) string {
	w := g.turn.waits
	if w == nil || len(g.running) > 0 {
		return ""
	}
	g.turn.take(now, w.ID)
	g.start(now, *w)
	return w.ID
}
