package gossip

import (
	"slices"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
)

// currentPlan derives this process's share of reads from the publication in force,
// or from the root that is being fetched.
func (n *Node) currentPlan(now time.Time, list int) plan {
	f := planInput{HostListBytes: list}
	if view := n.Store.View(); view != nil {
		f.ReadRate, f.Nodes = view.Publication.Budget.ReadRate, config.CountNodes(view.Publication)
		f.IsWatcher = n.updateWatcher(now, view)
	} else if r, err := config.ParseRoot(n.puller.current().root); err == nil {
		f.ReadRate, f.Nodes = r.ReadRate, r.Nodes
	}
	n.mu.Lock()
	f.IsIsolated = n.exchangeTimedOut(now)
	n.mu.Unlock()
	return makePlan(f)
}

// allowRead takes one read from this process's share.
func (n *Node) allowRead(now time.Time) bool {
	p := n.currentPlan(now, 0)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bucket.take(now, p)
}

// updateWatcher says whether this process is among the watchers, by its own view.
func (n *Node) updateWatcher(now time.Time, view *chestnutstep.View) bool {
	isWatcher := slices.Contains(n.watchers(now, view), n.Name)
	n.mu.Lock()
	wasWatcher := n.isWatcher
	n.isWatcher = isWatcher
	n.mu.Unlock()
	if isWatcher != wasWatcher {
		n.notify(NoticeWatcher, strconv.FormatBool(isWatcher), nil)
	}
	return isWatcher
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
