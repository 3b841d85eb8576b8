package agent

import (
	"bytes"
	"context"
	"net/http"
	"net/url"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"
	"google.golang.org/grpc"
	"google.golang.org/grpc/codes"
	"google.golang.org/grpc/status"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/fetch"
	"chestnutstep.example/chestnutstep/price"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// chunkSize is the size in bytes of one KV cache message. Larger messages would delay the
	// frames of answers on the same connection; smaller ones would not fill the link.
	chunkSize = 64 << 10
	// maxCacheSize is the maximum size in bytes of one chat's KV cache held in memory, as the
	// process is limited to 64 MB. Larger caches are rebuilt instead of moved.
	maxCacheSize = 16 << 20
)

// kvCache is a chat's KV cache as exported by an engine.
type kvCache struct {
	tokens int64
	data   []byte
}

// cacheURL returns the URL at which an engine exports and imports a chat's KV cache.
func (a *Agent) cacheURL(c chatKey) string {
	q := url.Values{"workspace": {c.workspace}, "chat": {c.name}}
	return a.URL + "/control/kv?" + q.Encode()
}

// Export streams a chat's KV cache to the requesting agent. It fails with NotFound if the target
// can't export it and with ResourceExhausted if the export budget is spent.
func (s *service) Export(rq *wire.ExportRequest, st grpc.ServerStreamingServer[wire.Chunk]) error {
	a := s.Agent
	kv, err := a.readCache(st.Context(), chatKey{rq.Workspace, rq.Chat}, rq.Most)
	if err != nil {
		return status.Error(codes.NotFound, err.Error())
	}
	if !a.spendExport(int64(len(kv.data))) {
		return status.Error(codes.ResourceExhausted, "the export budget is spent")
	}
	first := &wire.Chunk{Tokens: kv.tokens, Size: int64(len(kv.data))}
	if err := st.Send(first); err != nil {
		return err
	}
	for rest := kv.data; len(rest) > 0; {
		piece := rest[:min(len(rest), chunkSize)]
		rest = rest[len(piece):]
		if err := st.Send(&wire.Chunk{Data: piece, Last: len(rest) == 0}); err != nil {
			return err
		}
	}
	return nil
}

// spendExport takes n bytes from this agent's budget for KV cache moves and reports whether they
// were available. The budget is a token bucket that holds one second of the export rate; without
// it, the moves out of a leaving failure domain fill the links that live answers need.
func (a *Agent) spendExport(n int64) bool {
	v := a.View()
	if v == nil {
		return false
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.exportBudget.spend(a.Clock(), float64(n), float64(v.Publication.Budget.ExportRate))
}

// tokenBucket is a token bucket of bytes. Its balance can fall below zero by the size of one chat:
// if chats larger than one second of the rate were rejected, the longest ones, which are the most
// expensive to rebuild, could never be moved.
type tokenBucket struct {
	tokens    float64
	updatedAt time.Time
}

func (b *tokenBucket) spend(now time.Time, n, rate float64) bool {
	if rate <= 0 {
		return false
	}
	b.tokens = min(rate, b.tokens+rate*now.Sub(b.updatedAt).Seconds())
	b.updatedAt = now
	if b.tokens <= 0 {
		return false
	}
	b.tokens -= n
	return true
}

// readCache exports a chat's KV cache from the target. It fails if the cache exceeds maxBytes or
// maxCacheSize.
func (a *Agent) readCache(ctx context.Context, c chatKey, maxBytes int64) (kvCache, error) {
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, a.cacheURL(c), nil)
	if err != nil {
		return kvCache{}, errors.Wrap(err, "export")
	}
	rs, err := a.sendControl(a.PooledClient, rq)
	if err != nil {
		return kvCache{}, errors.Wrap(err, "export")
	}
	defer rs.Body.Close()
	if rs.StatusCode != http.StatusOK {
		return kvCache{}, errors.Newf("export: the target answered %d", rs.StatusCode)
	}
	limit := min(maxBytes, maxCacheSize)
	data, err := fetch.ReadAll(rs.Body, int(limit))
	if err != nil {
		return kvCache{}, errors.Wrap(err, "export")
	}
	tokens, err := strconv.ParseInt(rs.Header.Get(chestnutstep.HeaderCachedTokens), 10, 64)
	return kvCache{tokens: tokens, data: data}, errors.Wrap(err, "export")
}

// writeCache imports a chat's KV cache into the target.
func (a *Agent) writeCache(ctx context.Context, c chatKey, kv kvCache) error {
	rq, err := http.NewRequestWithContext(ctx, http.MethodPut, a.cacheURL(c), bytes.NewReader(kv.data))
	if err != nil {
		return errors.Wrap(err, "import")
	}
	rq.Header.Set(chestnutstep.HeaderCachedTokens, strconv.FormatInt(kv.tokens, 10))
	rs, err := a.sendControl(a.PooledClient, rq)
	if err != nil {
		return errors.Wrap(err, "import")
	}
	defer rs.Body.Close()
	if rs.StatusCode/100 != 2 {
		return errors.Newf("import: the target answered %d", rs.StatusCode)
	}
	return nil
}

// importCache imports a chat's KV cache from another agent if that is cheaper than rebuilding it,
// and returns its size in bytes. The import is canceled once it has taken as long as rebuilding
// would.
func (a *Agent) importCache(ctx context.Context, source string, c chatKey) (int64, error) {
	if a.Dial == nil {
		return 0, errors.New("import: no way to other agents")
	}
	peer, err := a.Dial(source)
	if err != nil {
		return 0, errors.Wrap(err, "import")
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	st, err := peer.Export(ctx, &wire.ExportRequest{Workspace: c.workspace, Chat: c.name, Most: maxCacheSize})
	if err != nil {
		return 0, errors.Wrap(err, "import")
	}
	first, err := st.Recv()
	if err != nil {
		return 0, errors.Wrap(err, "import")
	}
	p := price.Choose(a.importInputs(first))
	if p.Choice != price.Import {
		return 0, errors.New("import: rebuilding is cheaper")
	}
	defer time.AfterFunc(p.ImportTimeout, cancel).Stop()
	data, err := receiveCache(st, first.Size)
	if err != nil {
		return 0, errors.Wrap(err, "import")
	}
	if err := a.writeCache(ctx, c, kvCache{tokens: first.Tokens, data: data}); err != nil {
		return 0, err
	}
	a.mu.Lock()
	defer a.mu.Unlock()
	a.chats.setTokens(c, first.Tokens, a.Clock())
	a.Notify(Notice{Kind: NoticeImported, Subject: c.name, Before: source, After: a.Name, Workspace: c.workspace, Bytes: first.Size})
	return int64(len(data)), nil
}

// importInputs returns the inputs of the cost comparison between importing and rebuilding.
func (a *Agent) importInputs(first *wire.Chunk) price.Inputs {
	q := price.Inputs{PromptTokens: float64(first.Tokens), HolderCached: float64(first.Tokens)}
	// The holder has refused the request or is leaving, so waiting there is not an option. With a
	// wait of zero it would always be the cheapest choice.
	q.HolderWait = time.Nanosecond
	m, v := a.model(), a.View()
	if m == nil || v == nil {
		return q
	}
	q.PrefillRate = m.PrefillRate
	q.BytesPerToken = float64(m.CacheBytesPerToken)
	q.LinkRate = float64(v.Publication.Budget.ExportRate)
	load := a.Load()
	q.OtherLoad = float64(load.Running) / float64(max(m.Slots, 1))
	return q
}

func receiveCache(st grpc.ServerStreamingClient[wire.Chunk], size int64) ([]byte, error) {
	if size <= 0 || size > maxCacheSize {
		return nil, errors.Newf("size %d is not between 1 and %d", size, maxCacheSize)
	}
	data := make([]byte, 0, size)
	for {
		c, err := st.Recv()
		if err != nil {
			return nil, err
		}
		data = append(data, c.Data...)
		if int64(len(data)) > size {
			return nil, errors.Newf("more than the %d bytes announced", size)
		}
		if c.Last && int64(len(data)) == size {
			return data, nil
		}
		if c.Last {
			return nil, errors.Newf("%d of %d bytes", len(data), size)
		}
	}
}

// acceptsChats reports whether this target accepts new work, and so has a use for imported chats.
func (a *Agent) acceptsChats() bool {
	a.mu.Lock()
	defer a.mu.Unlock()
	return a.mintRefusal() == ""
}

// Take imports a chat from a leaving target before the chat's next request arrives. A reply of zero
// bytes means that this target accepts no new work.
func (s *service) Take(ctx context.Context, rq *wire.TakeRequest) (*wire.TakeReply, error) {
	a := s.Agent
	if !a.acceptsChats() {
		return &wire.TakeReply{}, nil
	}
	n, err := a.importCache(ctx, rq.Source, chatKey{rq.Workspace, rq.Chat})
	if err != nil {
		return nil, status.Error(codes.Unavailable, err.Error())
	}
	return &wire.TakeReply{Bytes: n}, nil
}
