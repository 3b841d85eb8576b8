package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// isolationTimeout is how long no exchange may go well until a process takes
	// itself to be cut off from its peers and relies on the service.
	isolationTimeout = 10 * time.Second
	// eventPushInterval is the least time between pushes of news of hosts. When a whole
	// failure domain leaves, its hosts are told together, and not hundreds of
	// times to the same neighbours.
	eventPushInterval = time.Second
)

// loop begins an exchange each interval.
func (n *Node) loop(ctx context.Context) {
	for {
		if a := n.nextNeighbour(time.Now()); a != "" {
			n.exchange(ctx, a, n.message(time.Now()))
		}
		if !clock.Sleep(ctx, n.jitter(n.Interval)) {
			return
		}
	}
}

// pushLoop tells the neighbours at once when a publication comes into force.
// Each of them fetches it from here and tells its own: a change crosses the
// fleet in a few fetches instead of a dozen intervals. News of hosts is pushed
// alike, so that the agent of a leaving host, who keeps the promise that it
// takes no new work, hears of it whoever read the list.
func (n *Node) pushLoop(ctx context.Context) {
	changed := n.Store.Changed()
	var last time.Time
	for {
		select {
		case <-changed:
		case <-n.eventsReady:
			n.batchEvents(ctx, changed, eventPushInterval-time.Since(last))
		case <-ctx.Done():
			return
		}
		changed = n.Store.Changed() // before the push: the next change may come during it
		last = time.Now()
		n.push(ctx)
	}
}

// batchEvents lets more news of hosts come together, but no publication wait.
func (n *Node) batchEvents(ctx context.Context, changed <-chan struct{}, d time.Duration) {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-changed:
	case <-ctx.Done():
	}
}

func (n *Node) push(ctx context.Context) {
	var wg sync.WaitGroup
	for _, a := range n.exchangePeers(time.Now()) {
		wg.Add(1)
		go n.run(ctx, &wg, func(ctx context.Context) { n.exchange(ctx, a, n.shortMessage(time.Now())) })
	}
	wg.Wait()
}

// exchangePeers lists the neighbours and those who chose this process.
func (n *Node) exchangePeers(now time.Time) []string {
	n.nextNeighbour(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	list := append(slices.Clone(n.neighbours.current), n.recent.list(now)...)
	slices.Sort(list)
	return slices.Compact(list)
}

// nextNeighbour returns whom to exchange with next.
func (n *Node) nextNeighbour(now time.Time) string {
	view := n.Store.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.neighbours.all) == 0 || n.neighboursView != view {
		n.resetNeighbours(view)
	}
	return n.neighbours.next(now, n.rand)
}

// resetNeighbours draws the circle from a new view. With the first one the neighbours
// from the settings are given up: all processes are given the same few, and
// kept as neighbours those would answer most of the fleet's exchanges for
// minutes, hundreds a second in a fleet of thousands.
func (n *Node) resetNeighbours(view *chestnutstep.View) {
	if n.neighboursView == nil && view != nil {
		n.neighbours.current = nil
	}
	n.neighbours.setCandidates(n.candidates(view))
	n.neighboursView = view
}

// candidates are the agents of the publication, in service or not: one that is
// out still has to learn when it comes back. The settings' peers count as well,
// as they may be the only way out of a cut.
func (n *Node) candidates(view *chestnutstep.View) (sameModel, all []string) {
	if view != nil {
		model := n.model(view)
		for i := range view.Publication.Targets {
			t := &view.Publication.Targets[i]
			if t.Agent == n.Address {
				continue
			}
			all = append(all, t.Agent)
			if model != "" && t.Model == model {
				sameModel = append(sameModel, t.Agent)
			}
		}
	}
	for _, a := range n.Peers {
		if a != n.Address && !slices.Contains(all, a) {
			all = append(all, a)
		}
	}
	return sameModel, all
}

// model is what the publication says that this agent's target serves.
func (n *Node) model(view *chestnutstep.View) string {
	own := view.Targets[n.Name]
	if own == nil || own.Agent != n.Address {
		return n.Model
	}
	return own.Model
}

// exchange swaps messages with one peer.
func (n *Node) exchange(ctx context.Context, address string, m *wire.GossipMessage) {
	ctx, cancel := context.WithTimeout(ctx, exchangeTimeout)
	defer cancel()
	reply, err := n.call(ctx, address, m)
	if err != nil {
		n.recordFailure(address, err)
		return
	}
	now := time.Now()
	n.count(Traffic{In: proto.Size(reply), Out: proto.Size(m)})
	n.recordExchange(now)
	n.mergeMessage(now, reply, address)
}

func (n *Node) call(ctx context.Context, address string, m *wire.GossipMessage) (*wire.GossipMessage, error) {
	conn, err := n.Dial(address)
	if err != nil {
		return nil, err
	}
	return wire.NewPeerClient(conn).Gossip(ctx, m)
}

// recordExchange notes that a peer answered.
func (n *Node) recordExchange(now time.Time) {
	n.mu.Lock()
	n.lastExchange = now
	reconnected := n.isolated
	n.isolated = false
	n.mu.Unlock()
	if reconnected {
		n.notify(NoticePeersFound, "", nil)
	}
}

// recordFailure notes that a peer did not answer, and says so once when none does.
func (n *Node) recordFailure(address string, err error) {
	n.mu.Lock()
	n.neighbours.remove(address)
	newlyIsolated := n.exchangeTimedOut(time.Now()) && !n.isolated
	n.isolated = n.isolated || newlyIsolated
	n.mu.Unlock()
	n.count(Traffic{Failed: true})
	n.notify(NoticeUnreachable, address, err)
	if newlyIsolated {
		n.notify(NoticePeersLost, "", err)
	}
}

// exchangeTimedOut says whether no peer has answered for long; mu is held.
func (n *Node) exchangeTimedOut(now time.Time) bool {
	since := n.lastExchange
	if since.IsZero() {
		since = n.startedAt
	}
	return now.Sub(since) > isolationTimeout
}
