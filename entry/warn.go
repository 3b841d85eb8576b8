package entry

import (
	"sync"

	"chestnutstep.example/chestnutstep"
)

// warnAgents reports the targets that this content has crashed to the agents that rank for it,
// before its caller gets the final answer. The caller's retry reaches the same agents through any
// entry, often at once, while gossip takes a second. The warning is an offer without remaining time
// or body, which never runs.
func (k *dispatcher) warnAgents() {
	var wg sync.WaitGroup
	for _, t := range k.targets {
		wg.Add(1)
		go (&crashWarning{dispatcher: k, target: t}).run(&wg)
	}
	wg.Wait()
}

// crashWarning is the warning to one agent. Warnings are sent concurrently: sent sequentially, each
// unresponsive agent would delay the caller's final answer by half a second.
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
