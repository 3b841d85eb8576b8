package gate_test

import (
	"fmt"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/gate"
)

// A target with one slot runs one request. A second request is rejected, so that it can go to
// its next target, unless its prompt prefix is cached here: then it waits for up to its
// patience.
func ExampleGate() {
	now := time.Unix(0, 0)
	g := &gate.Gate{}
	g.SetLimits(now, chestnutstep.Limits{Model: chestnutstep.Model{Slots: 1, QueueLimit: 4}})
	work := func(id string, home bool) chestnutstep.Work {
		return chestnutstep.Work{ID: id, HasCachedPrefix: home, WaitUntil: now.Add(time.Second), Deadline: now.Add(time.Minute)}
	}
	fmt.Println(g.Offer(now, work("a", false)).Verdict == chestnutstep.VerdictAccept)
	fmt.Println(g.Offer(now, work("b", false)).Reason)
	fmt.Println(g.Offer(now, work("c", true)).Verdict == chestnutstep.VerdictQueue)
	g.End(now, "a", chestnutstep.OutcomeServed)
	fmt.Println(g.AdvanceQueue(now).Started)
	// Output:
	// true
	// full
	// true
	// [c]
}
