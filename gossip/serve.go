package gossip

import (
	"context"
	"time"

	"google.golang.org/protobuf/proto"

	"chestnutstep.example/chestnutstep/wire"
)

const (
	// maxFetchBytes bounds the parts of one reply. It stays clear of gRPC's limit
	// for a message, and lets a process answer while it serves requests.
	maxFetchBytes = 1 << 20
	// maxFetchHashes bounds the parts that one request may name.
	maxFetchHashes = 256
)

// Gossip answers an exchange that another process began.
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

// Fetch hands out the root in force and parts by content hash, also parts that
// this process holds but can't use yet. It sends what it has: the caller checks
// each part by its hash and asks elsewhere for the rest.
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
