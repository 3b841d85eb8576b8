package entry

import "sync"

// warn tells the agents that rank for this content that it has crashed targets,
// before its caller hears of it. The caller's repeat goes to the same agents
// through whatever entry, often at once, and gossip takes a second: without the
// warning it took down a third target in one of some ten runs of the fault
// matrix. The warning is an offer without time or body, which never runs.
func (k *walk) warn() {
	var all sync.WaitGroup
	for _, t := range k.targets {
		l, err := k.entry.openLink(t)
		if err != nil {
			continue
		}
		all.Add(1)
		go (&warning{walk: k, link: l}).run(&all)
	}
	all.Wait()
}

// warning is one agent's.
type warning struct {
	walk *walk
	link *link
}

func (w *warning) run(all *sync.WaitGroup) {
	defer all.Done()
	defer w.link.cancel()
	o := w.walk.ask.offer(w.walk.entry.Clock(), 0)
	o.Remain, o.Small, o.Size = 0, nil, 1
	o.Crashed = w.walk.crashed
	_, _ = w.walk.offer(w.link, o)
}
