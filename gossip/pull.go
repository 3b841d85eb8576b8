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
	// maxRootFailures is how often the root is asked for. A peer that names a version
	// which nobody holds must not keep this process from lower ones for long.
	maxRootFailures = 4
	// minPullPause is the time before the second round; within it some peer has
	// often fetched what this one lacks. It doubles up to pullLast: while parts
	// are not to be had, thousands of processes ask each other for them.
	minPullPause = 100 * time.Millisecond
	maxPullPause = 3 * time.Second
	// maxPullPeers is how many peers are asked in a round.
	maxPullPeers = 3
	// maxSources bounds how many who told of a publication are remembered.
	maxSources = 8
)

// pullRequest is a publication that this process heard of and does not hold.
type pullRequest struct {
	stamp config.Stamp
	// root is nil until it was fetched.
	root []byte
	// sources are peers that said they hold it.
	sources []string
}

// puller holds the highest publication that is wanted. One is fetched at a
// time; a higher one takes its place.
type puller struct {
	mu      sync.Mutex
	pending pullRequest
	wake    chan struct{}
}

// request notes that a publication is to be had from somewhere.
func (p *puller) request(w pullRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch c := p.pending.stamp.Compare(w.stamp); {
	case c > 0:
		return
	case c < 0:
		p.pending = w
	default:
		p.merge(w)
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *puller) merge(w pullRequest) {
	if p.pending.root == nil {
		p.pending.root = w.root
	}
	for _, a := range w.sources {
		if len(p.pending.sources) < maxSources && !slices.Contains(p.pending.sources, a) {
			p.pending.sources = append(p.pending.sources, a)
		}
	}
}

// drop forgets a publication unless a higher one took its place.
func (p *puller) drop(st config.Stamp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending.stamp == st && p.pending.root == nil {
		p.pending = pullRequest{}
	}
}

// wait sleeps, but not longer than until a higher publication or another
// source is heard of. It says whether ctx is still alive.
func (p *puller) wait(ctx context.Context, d time.Duration, st config.Stamp) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.wake:
		if p.current().stamp == st {
			return clock.Sleep(ctx, d/4) // told again by the same peers, time after time
		}
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (p *puller) current() pullRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	w := p.pending
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
	pause := minPullPause
	rootFailures := 0
	for {
		w := n.puller.current()
		if !n.Store.ShouldFetch(w.stamp) || n.pullOnce(ctx, w) {
			return
		}
		if w.root == nil {
			rootFailures++
		}
		if rootFailures == maxRootFailures {
			n.puller.drop(w.stamp)
			return
		}
		if !n.puller.wait(ctx, n.jitter(pause), w.stamp) {
			return
		}
		pause = min(2*pause, maxPullPause)
	}
}

// pullOnce asks for what is missing once and says whether the matter is settled.
func (n *Node) pullOnce(ctx context.Context, w pullRequest) bool {
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
		n.notify(NoticePartUnavailable, w.stamp.String(), err)
		return false
	}
	return true
}

// pullPeers are those who told of the publication, the last one first, and
// neighbours, who may hold some of the parts.
func (n *Node) pullPeers(w pullRequest) []string {
	list := slices.Clone(w.sources)
	slices.Reverse(list)
	others := n.exchangePeers(time.Now())
	n.mu.Lock()
	n.rand.Shuffle(len(others), func(i, j int) { others[i], others[j] = others[j], others[i] })
	n.mu.Unlock()
	for _, a := range others {
		if !slices.Contains(list, a) {
			list = append(list, a)
		}
	}
	return firstN(list, maxPullPeers)
}

// fetchRoot gets the root from a peer and checks that it is the one wanted, or
// one that replaces what is in force as well.
func (n *Node) fetchRoot(ctx context.Context, w pullRequest, peers []string) []byte {
	for _, a := range peers {
		reply, err := n.fetch(ctx, a, &wire.FetchRequest{Version: w.stamp.Version})
		if err != nil || len(reply.GetRoot()) == 0 {
			continue
		}
		n.puller.request(pullRequest{stamp: w.stamp, root: verifiedRoot(reply.GetRoot(), w.stamp.Digest)})
		return reply.GetRoot()
	}
	return nil
}

// verifiedRoot returns the root if it has the digest.
func verifiedRoot(root []byte, digest string) []byte {
	if config.Hash(root) != digest {
		return nil
	}
	return root
}

// fetchParts gets parts from a peer and returns those that are still missing.
func (n *Node) fetchParts(ctx context.Context, address string, missing []string) []string {
	for len(missing) > 0 {
		reply, err := n.fetch(ctx, address, &wire.FetchRequest{Hashes: firstN(missing, maxFetchHashes)})
		if err != nil {
			return missing
		}
		added := n.addParts(reply.GetParts())
		remaining := slices.DeleteFunc(slices.Clone(missing), func(h string) bool { return slices.Contains(added, h) })
		if len(remaining) == len(missing) {
			return missing
		}
		missing = remaining
	}
	return nil
}

// addParts stores the parts that are what their hash says.
func (n *Node) addParts(parts []*wire.Part) []string {
	var added []string
	for _, p := range parts {
		if err := n.Store.AddPart(p.GetHash(), p.GetData()); err != nil {
			n.notify(NoticePartUnavailable, p.GetHash(), err)
			continue
		}
		added = append(added, p.GetHash())
	}
	return added
}

func (n *Node) fetch(ctx context.Context, address string, req *wire.FetchRequest) (*wire.FetchReply, error) {
	ctx, cancel := context.WithTimeout(ctx, fetchTimeout)
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
		if !n.allowRead(time.Now()) {
			return
		}
		v, err := n.readValue(ctx, config.PartPrefix+hash, 0, 0)
		if err != nil {
			n.notify(NoticePartUnavailable, hash, err)
			return
		}
		if err := n.Store.AddPart(hash, v.content); err != nil {
			n.notify(NoticePartUnavailable, hash, err)
		}
	}
}
