package gossip

import (
	"context"
	"slices"
	"sync"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/protobuf/proto"

	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/config"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// pullRounds is how often the root is asked for. A peer that names a version
	// which nobody holds must not keep this process from lower ones for long.
	pullRounds = 4
	// pullPause is the time before the second round; within it some peer has
	// often fetched what this one lacks. It doubles up to pullLast: while parts
	// are not to be had, thousands of processes ask each other for them.
	pullPause = 100 * time.Millisecond
	pullLast  = 3 * time.Second
	// pullPeers is how many peers are asked in a round.
	pullPeers = 3
	// sourcesMax bounds how many who told of a publication are remembered.
	sourcesMax = 8
)

// want is a publication that this process heard of and does not hold.
type want struct {
	stamp config.Stamp
	// root is nil until it was fetched.
	root []byte
	// sources are peers that said they hold it.
	sources []string
}

// puller holds the highest publication that is wanted. One is fetched at a
// time; a higher one takes its place.
type puller struct {
	mu   sync.Mutex
	next want
	wake chan struct{}
}

// want notes that a publication is to be had from somewhere.
func (p *puller) want(w want) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch c := p.next.stamp.Compare(w.stamp); {
	case c > 0:
		return
	case c < 0:
		p.next = w
	default:
		p.merge(w)
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *puller) merge(w want) {
	if p.next.root == nil {
		p.next.root = w.root
	}
	for _, a := range w.sources {
		if len(p.next.sources) < sourcesMax && !slices.Contains(p.next.sources, a) {
			p.next.sources = append(p.next.sources, a)
		}
	}
}

// drop forgets a publication unless a higher one took its place.
func (p *puller) drop(st config.Stamp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.next.stamp == st && p.next.root == nil {
		p.next = want{}
	}
}

// pause sleeps, but not longer than until a higher publication or another
// source is heard of. It says whether ctx is still alive.
func (p *puller) pause(ctx context.Context, d time.Duration, st config.Stamp) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.wake:
		if p.take().stamp == st {
			return clock.Sleep(ctx, d/4) // told again by the same peers, time after time
		}
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (p *puller) take() want {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.next
	w.sources = slices.Clone(w.sources)
	return w
}

// pullLoop fetches what is wanted.
func (n *Node) pullLoop(ctx context.Context) {
	for {
		select {
		case <-n.puller.wake:
			n.pull(ctx)
		case <-ctx.Done():
			return
		}
	}
}

// pull fetches the highest publication that is wanted until it is in force or
// refused. One whose root is not to be had is dropped until someone tells of it
// again; one whose root is known is kept, as it may have come from the service,
// which says so only once.
func (n *Node) pull(ctx context.Context) {
	pause := pullPause
	rootless := 0
	for {
		w := n.puller.take()
		if !n.Store.ShouldFetch(w.stamp) || n.round(ctx, w) {
			return
		}
		if w.root == nil {
			rootless++
		}
		if rootless == pullRounds {
			n.puller.drop(w.stamp)
			return
		}
		if !n.puller.pause(ctx, n.jitter(pause), w.stamp) {
			return
		}
		pause = min(2*pause, pullLast)
	}
}

// round asks for what is missing once and says whether the matter is settled.
func (n *Node) round(ctx context.Context, w want) bool {
	peers := n.pullPeers(w)
	if w.root == nil {
		w.root = n.fetchRoot(ctx, w, peers)
	}
	if w.root == nil {
		return false
	}
	missing, err := n.Store.Missing(time.Now(), w.root)
	if err != nil {
		return true
	}
	for _, a := range peers {
		if len(missing) == 0 {
			break
		}
		missing = n.fetchParts(ctx, a, missing)
	}
	n.readParts(ctx, missing)
	err = n.Store.Apply(time.Now(), w.root, nil)
	if config.IsErrPart(err) {
		n.notify(NoticePart, w.stamp.String(), err)
		return false
	}
	return true
}

// pullPeers are those who told of the publication, the last one first, and
// neighbours, who may hold some of the parts.
func (n *Node) pullPeers(w want) []string {
	list := slices.Clone(w.sources)
	slices.Reverse(list)
	near := n.circleNow(time.Now())
	n.mu.Lock()
	n.rand.Shuffle(len(near), func(i, j int) { near[i], near[j] = near[j], near[i] })
	n.mu.Unlock()
	for _, a := range near {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return first(list, pullPeers)
}

// fetchRoot gets the root from a peer and checks that it is the one wanted, or
// one that replaces what is in force as well.
func (n *Node) fetchRoot(ctx context.Context, w want, peers []string) []byte {
	for _, a := range peers {
		reply, err := n.fetch(ctx, a, &wire.FetchRequest{Version: w.stamp.Version})
		if err != nil || len(reply.GetRoot()) == 0 {
			continue
		}
		n.puller.want(want{stamp: w.stamp, root: keepIf(reply.GetRoot(), w.stamp.Digest)})
		return reply.GetRoot()
	}
	return nil
}

// keepIf returns the root if it has the digest.
func keepIf(root []byte, digest string) []byte {
	if config.Hash(root) != digest {
		return nil
	}
	return root
}

// fetchParts gets parts from a peer and returns those that are still missing.
func (n *Node) fetchParts(ctx context.Context, address string, missing []string) []string {
	for len(missing) > 0 {
		reply, err := n.fetch(ctx, address, &wire.FetchRequest{Hashes: first(missing, fetchHashes)})
		if err != nil {
			return missing
		}
		got := n.keep(reply.GetParts())
		left := slices.DeleteFunc(slices.Clone(missing), func(h string) bool { return slices.Contains(got, h) })
		if len(left) == len(missing) {
			return missing
		}
		missing = left
	}
	return nil
}

// keep stores the parts that are what their hash says.
func (n *Node) keep(parts []*wire.Part) []string {
	var got []string
	for _, p := range parts {
		if err := n.Store.AddPart(p.GetHash(), p.GetData()); err != nil {
			n.notify(NoticePart, p.GetHash(), err)
			continue
		}
		got = append(got, p.GetHash())
	}
	return got
}

func (n *Node) fetch(ctx context.Context, address string, req *wire.FetchRequest) (*wire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchLimit)
	defer cancel()
	conn, err := n.Dial(address)
	if err != nil {
		return nil, err
	}
	reply, err := wire.NewPeerClient(conn).Fetch(ctx, req)
	if err != nil {
		return nil, errors.Wrapf(err, "fetch from %s", address)
	}
	n.count(Traffic{In: proto.Size(reply), Out: proto.Size(req)})
	return reply, nil
}

// readParts reads missing parts from the service as far as this process's share
// of the budget allows, in random order: processes that fetch the same
// publication then read different parts and get the rest from each other.
func (n *Node) readParts(ctx context.Context, missing []string) {
	n.mu.Lock()
	n.rand.Shuffle(len(missing), func(i, j int) { missing[i], missing[j] = missing[j], missing[i] })
	n.mu.Unlock()
	for _, hash := range missing {
		if !n.spend(time.Now()) {
			return
		}
		v, err := n.get(ctx, config.PartPrefix+hash, 0, 0)
		if err != nil {
			n.notify(NoticePart, hash, err)
			return
		}
		if err := n.Store.AddPart(hash, v.content); err != nil {
			n.notify(NoticePart, hash, err)
		}
	}
}
