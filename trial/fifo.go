package trial

import (
	"time"

	"chestnutstep.example/chestnutstep"
)

// fifoGate is a gate with slots and an unbounded first-in, first-out queue. It serves for
// comparison and as the queue of the targets in a fleet without agents. It never refuses a
// request, so under overload callers wait for answers that would come after their timeout.
type fifoGate struct {
	slots   int
	running map[string]bool
	ids     []string
}

func (f *fifoGate) SetLimits(_ time.Time, l chestnutstep.Limits) {
	f.slots, f.running = l.Model.Slots, map[string]bool{}
}

func (f *fifoGate) Offer(_ time.Time, w chestnutstep.Work) chestnutstep.Decision {
	if len(f.running) < f.slots {
		f.running[w.ID] = true
		return chestnutstep.Decision{Verdict: chestnutstep.VerdictAccept}
	}
	f.ids = append(f.ids, w.ID)
	return chestnutstep.Decision{Verdict: chestnutstep.VerdictQueue}
}

func (f *fifoGate) End(_ time.Time, id string, _ chestnutstep.Outcome) {
	delete(f.running, id)
	for i, x := range f.ids {
		if x == id {
			f.ids = append(f.ids[:i], f.ids[i+1:]...)
			return
		}
	}
}

func (f *fifoGate) AdvanceQueue(time.Time) chestnutstep.QueueUpdate {
	var n chestnutstep.QueueUpdate
	for len(f.ids) > 0 && len(f.running) < f.slots {
		n.Started = append(n.Started, f.ids[0])
		f.running[f.ids[0]] = true
		f.ids = f.ids[1:]
	}
	return n
}

func (f *fifoGate) SetMean(time.Time, chestnutstep.Mean) {}
func (f *fifoGate) MarkCold(time.Time)                   {}
func (f *fifoGate) SetLeaving(time.Time, bool)           {}

func (f *fifoGate) Load(time.Time) chestnutstep.Load {
	return chestnutstep.Load{Running: len(f.running), Waiting: len(f.ids), Cap: f.slots}
}
