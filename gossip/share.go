package gossip

import (
	"slices"
	"strconv"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/config"
)

// currentPlan computes this process's share of reads from the publication in
// force, or from the root that is being fetched. hostListBytes is the size of
// the last host list, 0 if the caller doesn't read host lists.
func (n *Node) currentPlan(now time.Time, hostListBytes int) plan {
	in := planInput{HostListBytes: hostListBytes}
	if view := n.Store.View(); view != nil {
		in.ReadRate, in.Nodes = view.Publication.Budget.ReadRate, config.CountNodes(view.Publication)
		in.IsWatcher = n.updateWatcher(now, view)
	} else if r, err := config.ParseRoot(n.puller.current().root); err == nil {
		in.ReadRate, in.Nodes = r.ReadRate, r.Nodes
	}
	n.mu.Lock()
	in.IsIsolated = n.exchangeTimedOut(now)
	n.mu.Unlock()
	return makePlan(in)
}

// allowRead takes one read from this process's share and reports whether there
// was one.
func (n *Node) allowRead(now time.Time) bool {
	p := n.currentPlan(now, 0)
	n.mu.Lock()
	defer n.mu.Unlock()
	return n.bucket.take(now, p)
}

// updateWatcher updates and returns whether this process is a watcher according
// to its own view.
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

// watchers returns the names of the watchers according to this process's view.
// Agents that are out of service or on a leaving host come last, because they
// can stop at any moment.
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
