package gossip

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutstep.example/chestnutstep/wire"
)

const (
	// maxFetchBytes bounds the total size of the parts in one reply. It is well
	// below gRPC's message limit and small enough to answer while the process
	// serves requests.
	maxFetchBytes = 1 << 20
	// maxFetchHashes bounds the number of parts that one request can name.
	maxFetchHashes = 256
)

// Gossip answers an exchange that another process began. It returns no error.
func (n *Node) Gossip(_ context.Context, m *wire.GossipMessage) (*wire.GossipMessage, error) {
	n.init()
	now := time.Now()
	n.mergeMessage(now, m, m.GetAddress())
	if a := m.GetAddress(); a != "" {
		n.mu.Lock()
		n.recent.add(now, a)
		n.mu.Unlock()
	}
	reply := n.message(now)
	n.count(Traffic{In: proto.Size(m), Out: proto.Size(reply)})
	return reply, nil
}

// Fetch returns the root in force if its version is at least the requested one,
// and parts by content hash, including parts of publications that are not
// complete yet. It omits unknown parts and those beyond maxFetchBytes: the
// caller verifies each part by its hash and requests the others again or from
// other peers. It returns no error.
func (n *Node) Fetch(_ context.Context, req *wire.FetchRequest) (*wire.FetchReply, error) {
	n.init()
	reply := new(wire.FetchReply)
	if v := req.GetVersion(); v > 0 && n.Store.Stamp().Version >= v {
		reply.Root = n.Store.Root()
	}
	size := 0
	for _, hash := range firstN(req.GetHashes(), maxFetchHashes) {
		raw, ok := n.Store.Part(hash)
		if !ok {
			continue
		}
		if size > 0 && size+len(raw) > maxFetchBytes {
			break
		}
		size += len(raw)
		reply.Parts = append(reply.Parts, &wire.Part{Hash: hash, Data: raw})
	}
	n.count(Traffic{In: proto.Size(req), Out: proto.Size(reply)})
	return reply, nil
}
