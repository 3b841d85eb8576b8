package entry

import (
	"sync"

	"chestnutstep.example/chestnutstep"
)

// warnAgents reports the targets that this content has crashed to the agents that rank
// for it, before its caller gets the final answer. The caller's retry goes to the same
// agents through whatever entry, often at once, and gossip takes a second. The
// warning is an offer without time or body, which never runs.
func (k *dispatcher) warnAgents() {
	var wg sync.WaitGroup
	for _, t := range k.targets {
		wg.Add(1)
		go (&crashWarning{dispatcher: k, target: t}).run(&wg)
	}
	wg.Wait()
}

// crashWarning is one agent's. They go out side by side: one after the other, silent
// agents would hold the caller's final answer back by half a second each.
type crashWarning struct {
	dispatcher *dispatcher
	target     *chestnutstep.Target
}

func (w *crashWarning) run(wg *sync.WaitGroup) {
	defer wg.Done()
	l, err := w.dispatcher.entry.openLink(w.target, offerTimeout)
	if err != nil {
		return
	}
	defer l.cancel()
	o := w.dispatcher.request.newOffer(w.dispatcher.entry.Clock(), 0)
	o.Remain = 0
	o.Crashed = w.dispatcher.crashedTargets
	_, _ = w.dispatcher.sendOffer(l, o, offerTimeout)
}
