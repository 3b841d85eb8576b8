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
	// maxRootFailures is the number of failed attempts to fetch a root after
	// which the publication is dropped. A peer that announces a version that no
	// process holds must not keep this process from fetching lower versions.
	maxRootFailures = 4
	// minPullPause is the pause before the second round of a pull. Within it
	// some peer has often fetched the missing parts. The pause doubles up to
	// maxPullPause, to limit the load while parts are unavailable and thousands
	// of processes ask each other for them.
	minPullPause = 100 * time.Millisecond
	maxPullPause = 3 * time.Second
	// maxPullPeers is the number of peers asked in one round.
	maxPullPeers = 3
	// maxSources bounds the number of remembered sources of a publication.
	maxSources = 8
)

// pullRequest is a publication that was announced to this process and is not in
// force yet.
type pullRequest struct {
	stamp config.Stamp
	// root is nil until it is fetched.
	root []byte
	// sources are the addresses of peers that announced the publication.
	sources []string
}

// puller holds the highest pending publication. Only one is fetched at a time;
// a higher one replaces it.
type puller struct {
	mu      sync.Mutex
	pending pullRequest
	wake    chan struct{}
}

// request adds a publication or further sources of the pending one. It ignores
// publications that are lower than the pending one.
func (p *puller) request(req pullRequest) {
	p.mu.Lock()
	defer p.mu.Unlock()
	switch c := p.pending.stamp.Compare(req.stamp); {
	case c > 0:
		return
	case c < 0:
		p.pending = req
	default:
		p.merge(req)
	}
	select {
	case p.wake <- struct{}{}:
	default:
	}
}

func (p *puller) merge(req pullRequest) {
	if p.pending.root == nil {
		p.pending.root = req.root
	}
	for _, a := range req.sources {
		if len(p.pending.sources) < maxSources && !slices.Contains(p.pending.sources, a) {
			p.pending.sources = append(p.pending.sources, a)
		}
	}
}

// drop removes a publication whose root is unknown, unless a higher one has
// replaced it.
func (p *puller) drop(st config.Stamp) {
	p.mu.Lock()
	defer p.mu.Unlock()
	if p.pending.stamp == st && p.pending.root == nil {
		p.pending = pullRequest{}
	}
}

// wait sleeps for d, or until a higher publication or another source is
// announced. It reports whether ctx is not done.
func (p *puller) wait(ctx context.Context, d time.Duration, st config.Stamp) bool {
	t := time.NewTimer(d)
	defer t.Stop()
	select {
	case <-t.C:
	case <-p.wake:
		if p.current().stamp == st {
			return clock.Sleep(ctx, d/4) // the same peers can repeat the announcement frequently
		}
	case <-ctx.Done():
	}
	return ctx.Err() == nil
}

func (p *puller) current() pullRequest {
	p.mu.Lock()
	defer p.mu.Unlock()
	req := p.pending
	req.sources = slices.Clone(req.sources)
	return req
}

// pullLoop fetches pending publications.
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

// pull fetches the highest pending publication until it is in force or refused.
// If its root is unavailable, the publication is dropped until it is announced
// again. If the root is known, it is kept, because the root can come from the
// service, which reports it only once.
func (n *Node) pull(ctx context.Context) {
	pause := minPullPause
	rootFailures := 0
	for {
		req := n.puller.current()
		if !n.Store.ShouldFetch(req.stamp) || n.pullOnce(ctx, req) {
			return
		}
		if req.root == nil {
			rootFailures++
		}
		if rootFailures == maxRootFailures {
			n.puller.drop(req.stamp)
			return
		}
		if !n.puller.wait(ctx, n.jitter(pause), req.stamp) {
			return
		}
		pause = min(2*pause, maxPullPause)
	}
}

// pullOnce tries once to fetch everything that is missing. It reports whether
// the publication needs no further attempt.
func (n *Node) pullOnce(ctx context.Context, req pullRequest) bool {
	peers := n.pullPeers(req)
	if req.root == nil {
		req.root = n.fetchRoot(ctx, req, peers)
	}
	if req.root == nil {
		return false
	}
	missing, err := n.Store.Missing(time.Now(), req.root)
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
	err = n.Store.Apply(time.Now(), req.root, nil)
	if config.IsErrPart(err) {
		n.notify(NoticePartUnavailable, req.stamp.String(), err)
		return false
	}
	return true
}

// pullPeers returns the sources of the publication, latest first, followed by
// neighbours in random order, which can hold some of the parts.
func (n *Node) pullPeers(req pullRequest) []string {
	list := slices.Clone(req.sources)
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

// fetchRoot fetches the root from the first peer that returns one. The root is
// saved with the request only if its digest matches; another one is returned as
// well, as it can still replace the publication in force.
func (n *Node) fetchRoot(ctx context.Context, req pullRequest, peers []string) []byte {
	for _, a := range peers {
		reply, err := n.fetch(ctx, a, &wire.FetchRequest{Version: req.stamp.Version})
		if err != nil || len(reply.GetRoot()) == 0 {
			continue
		}
		n.puller.request(pullRequest{stamp: req.stamp, root: verifiedRoot(reply.GetRoot(), req.stamp.Digest)})
		return reply.GetRoot()
	}
	return nil
}

// verifiedRoot returns the root if it has the digest, and nil otherwise.
func verifiedRoot(root []byte, digest string) []byte {
	if config.Hash(root) != digest {
		return nil
	}
	return root
}

// fetchParts fetches parts from a peer and returns the hashes that are still
// missing.
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

// addParts stores the parts whose content matches their hash and returns their
// hashes.
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

// readParts reads missing parts from the service within this process's share of
// the budget. The order is random, so that processes that fetch the same
// publication read different parts and get the others from each other.
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
