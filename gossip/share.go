package gossip

import (
	"slices"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
)

// planNow derives this process's share of reads from the publication in force,
// or from the root that is being fetched.
func (n *Node) planNow(now time.Time, list int) plan {
	f := fleet{List: list}
	if view := n.Store.View(); view != nil {
		f.Reads, f.Nodes = view.Publication.Budget.ReadRate, config.CountNodes(view.Publication)
		f.Watches = n.watching(now, view)
	} else if r, err := config.ParseRoot(n.puller.take().root); err == nil {
		f.Reads, f.Nodes = r.ReadRate, r.Nodes
	}
	n.mu.Lock()
	f.Lonely = n.lonely(now)
	n.mu.Unlock()
	return makePlan(f)
}

// spend takes one read from this process's share.
func (n *Node) spend(now time.Time) bool {
	p := n.planNow(now, 0)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bucket.take(now, p)
}

// watching says whether this process is among the watchers, by its own view.
func (n *Node) watching(now time.Time, view *chestnutstep.View) bool {
	is := slices.Contains(n.watchers(now, view), n.Name)
	n.mu.Lock()
	was := n.watcher
	n.watcher = is
	n.mu.Unlock()
	if is != was {
		n.notify(NoticeWatcher, strconv.FormatBool(is), nil)
	}
	return is
}

// watchers lists who watches, by this process's view. Agents that are out of
// service or whose host leaves come last: they may stop any moment.
func (n *Node) watchers(now time.Time, view *chestnutstep.View) []string {
	var steady, others []string
	for i := range view.Publication.Targets {
		t := &view.Publication.Targets[i]
		if view.IsOut(t) || (n.Members != nil && n.Members.IsLeaving(now, t.Host)) {
			others = append(others, t.Name)
			continue
		}
		steady = append(steady, t.Name)
	}
	return chooseWatchers(steady, others, watcherCount(view.Publication.Budget.ReadRate))
}
