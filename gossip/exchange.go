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
	// isolationTimeout is the time without a successful exchange after which a
	// process considers itself isolated from its peers and relies on the
	// service.
	isolationTimeout = 10 * time.Second
	// eventPushInterval is the minimum time between pushes of host events. When
	// a whole failure domain leaves, its hosts are sent in batches instead of
	// in hundreds of pushes to the same neighbours.
	eventPushInterval = time.Second
)

// exchangeLoop begins an exchange every interval.
func (n *Node) exchangeLoop(ctx context.Context) {
	for {
		if a := n.nextNeighbour(time.Now()); a != "" {
			n.exchange(ctx, a, n.message(time.Now()))
		}
		if !clock.Sleep(ctx, n.jitter(n.Interval)) {
			return
		}
	}
}

// pushLoop notifies the neighbours as soon as a publication comes into force.
// Each neighbour fetches it from this process and notifies its own neighbours,
// so a change spreads through the fleet in a few fetches instead of a dozen
// intervals. Host events are pushed in the same manner: the agent of a leaving
// host guarantees that it takes no new work, so the event has to reach it
// regardless of which process read the host list.
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
		changed = n.Store.Changed() // before the push, because the next change can occur during it
		last = time.Now()
		n.push(ctx)
	}
}

// batchEvents waits for up to d, so that more host events are pushed together.
// It returns early when a publication changes.
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

// exchangePeers returns the addresses of the neighbours and of the processes
// that recently began an exchange with this one.
func (n *Node) exchangePeers(now time.Time) []string {
	n.nextNeighbour(now)
	n.mu.Lock()
	defer n.mu.Unlock()
	list := append(slices.Clone(n.neighbours.current), n.recent.list(now)...)
	slices.Sort(list)
	return slices.Compact(list)
}

// nextNeighbour returns the address of the peer for the next exchange, or "" if
// there is none.
func (n *Node) nextNeighbour(now time.Time) string {
	view := n.Store.View()
	n.mu.Lock()
	defer n.mu.Unlock()
	if len(n.neighbours.all) == 0 || n.neighboursView != view {
		n.updateCandidates(view)
	}
	return n.neighbours.next(now, n.rand)
}

// updateCandidates updates the candidates from a new view. With the first view
// it drops the neighbours that come from the settings: all processes are
// configured with the same few peers, which would otherwise answer most of the
// fleet's exchanges for minutes, hundreds per second in a fleet of thousands.
func (n *Node) updateCandidates(view *chestnutstep.View) {
	if n.neighboursView == nil && view != nil {
		n.neighbours.current = nil
	}
	n.neighbours.setCandidates(n.candidates(view))
	n.neighboursView = view
}

// candidates returns the agents of the publication, in service or not, because
// an agent that is out must receive the publication that brings it back. The
// peers of the settings are included, as they can be the only connection across
// a network partition.
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

// model returns the model of this agent's target according to the publication,
// or Model if the publication doesn't list this agent.
func (n *Node) model(view *chestnutstep.View) string {
	own := view.Targets[n.Name]
	if own == nil || own.Agent != n.Address {
		return n.Model
	}
	return own.Model
}

// exchange sends a message to one peer and merges the reply.
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

// recordExchange records a successful exchange and reports when it ends an
// isolation.
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

// recordFailure removes a neighbour that did not answer and reports once when
// the process becomes isolated.
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

// exchangeTimedOut reports whether no exchange has succeeded within
// isolationTimeout. The caller holds mu.
func (n *Node) exchangeTimedOut(now time.Time) bool {
	since := n.lastExchange
	if since.IsZero() {
		since = n.startedAt
	}
	return now.Sub(since) > isolationTimeout
}
