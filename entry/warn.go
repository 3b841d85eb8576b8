package entry

import (
	"sync"

	"chestnutstep.example/chestnutstep"
)

// warn reports the targets that this content has crashed to the agents that rank
// for it, before its caller gets the final answer. The caller's retry goes to the same
// agents through whatever entry, often at once, and gossip takes a second. The
// warning is an offer without time or body, which never runs.
func (k *walk) warn() {
	var all sync.WaitGroup
	for _, t := range k.targets {
		all.Add(1)
		go (&warning{walk: k, target: t}).run(&all)
	}
	all.Wait()
}

// warning is one agent's. They go out side by side: one after the other, silent
// agents would hold the caller's final answer back by half a second each.
type warning struct {
	walk   *walk
	target *chestnutstep.Target
}

func (w *warning) run(all *sync.WaitGroup) {
	defer all.Done()
	l, err := w.walk.entry.openLink(w.target, answerLimit)
	if err != nil {
		return
	}
	defer l.cancel()
	o := w.walk.ask.offer(w.walk.entry.Clock(), 0)
	o.Remain = 0
	o.Crashed = w.walk.crashed
	_, _ = w.walk.offer(l, o, answerLimit)
}
