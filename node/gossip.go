package node

import (
	"context"
	"time"

	"google.golang.org/grpc"

	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/gossip"
	"chestnutstep.example/chestnutstep/wire"
)

// newGossip returns this process's gossip node; an agent adds its load and its suspicions.
func (b *base) newGossip(name, address string) *gossip.Node {
	return &gossip.Node{
		Store:     b.store,
		Name:      name,
		Address:   address,
		Peers:     b.settings.Peers,
		Platform:  b.settings.Platform,
		Dial:      b.pool.Conn,
		Members:   b.members,
		OnNotice:  b.onGossipNotice,
		OnTraffic: b.countGossip,
	}
}

// runGossip keeps the publication and the state of hosts up to date until ctx ends.
func (b *base) runGossip(ctx context.Context) { _ = b.gossipNode.Run(ctx) }

// registerPeerServer registers the gossip service for the other processes.
func (b *base) registerPeerServer(srv *grpc.Server) { wire.RegisterPeerServer(srv, b.gossipNode) }

// gossipEvents maps the notices of gossip to log events.
var gossipEvents = map[gossip.NoticeKind]event.ID{
	gossip.NoticeUnreachable:     event.PeerUnreachable,
	gossip.NoticePeersLost:       event.PeersLost,
	gossip.NoticePeersFound:      event.PeersFound,
	gossip.NoticeHostLeaving:     event.HostLeaving,
	gossip.NoticeWatcher:         event.WatcherChosen,
	gossip.NoticePlatformDown:    event.PlatformDown,
	gossip.NoticePlatformUp:      event.PlatformUp,
	gossip.NoticePlatformStale:   event.PlatformBack,
	gossip.NoticePartUnavailable: event.PublicationPart,
}

func (b *base) onGossipNotice(m gossip.Notice) {
	b.sourceStatus.handleNotice(m.Kind)
	id, ok := gossipEvents[m.Kind]
	if !ok {
		return
	}
	b.log.Emit(id, event.Str("subject", m.Subject), event.Err(m.Err))
}

func (b *base) countGossip(t gossip.Traffic) {
	b.meters.Publication.GossipBytes.Add(int64(t.In), "in")
	b.meters.Publication.GossipBytes.Add(int64(t.Out), "out")
	result := "ok"
	if t.Failed {
		result = "failed"
	}
	b.meters.Publication.GossipRounds.Add(1, result)
}

// publicationTimeout is how long a starting process waits for a publication before it logs that
// there is none.
const publicationTimeout = 5 * time.Second

// awaitPublication logs that the process is ready, or that it still has no publication after
// publicationTimeout.
func (b *base) awaitPublication(ctx context.Context) {
	// Changed is called before View, so that a change between the two calls is not missed.
	changed := b.store.Changed()
	if b.store.View() == nil {
		select {
		case <-ctx.Done():
			return
		case <-changed:
		case <-time.After(publicationTimeout):
			b.log.Emit(event.PublicationNone)
			return
		}
	}
	b.log.Emit(event.ProcessReady, event.Version(b.version()))
}
