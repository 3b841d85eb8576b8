package agent

import (
	"context"
	"encoding/json"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

// cacheEventInterval is how often an engine is asked for its cache events. They come
// late anyway.
const cacheEventInterval = time.Second

// cacheEvent is one line of an engine's cache events, which come late and with
// gaps.
type cacheEvent struct {
	Seq       uint64 `json:"seq"`
	Kind      string `json:"kind"`
	Workspace string `json:"workspace"`
	Chat      string `json:"chat"`
	Tokens    int64  `json:"tokens"`
}

// Kinds of cache events. An engine that lost all is known by its boot id.
const (
	cacheEventStored  = "stored"
	cacheEventEvicted = "evicted"
)

// cacheEventReader follows what an engine says of its prompt cache. What it says only
// corrects what the agent believes: a gap or a late event costs a wait at a
// target that has lost the prefix, or a rebuild, and never an answer.
type cacheEventReader struct {
	lastSeq uint64
}

func (c *cacheEventReader) loop(ctx context.Context, a *Agent) {
	tick := time.NewTicker(cacheEventInterval)
	defer tick.Stop()
	for {
		select {
		case <-ctx.Done():
			return
		case <-tick.C:
		}
		if a.modelKind() != chestnutstep.KindEngine {
			continue
		}
		events, err := c.read(ctx, a)
		if err != nil {
			continue
		}
		c.apply(a, events)
	}
}

func (c *cacheEventReader) read(ctx context.Context, a *Agent) ([]cacheEvent, error) {
	ctx, cancel := context.WithTimeout(ctx, probeTimeout)
	defer cancel()
	at := a.URL + "/control/events?after=" + strconv.FormatUint(c.lastSeq, 10)
	rq, err := http.NewRequestWithContext(ctx, http.MethodGet, at, nil)
	if err != nil {
		return nil, errors.Wrap(err, "cache events")
	}
	rs, err := a.PooledClient.Do(rq)
	if err != nil {
		return nil, errors.Wrap(err, "cache events")
	}
	defer rs.Body.Close()
	var list struct {
		Events []cacheEvent `json:"events"`
	}
	if err := json.NewDecoder(rs.Body).Decode(&list); err != nil {
		return nil, errors.Wrap(err, "cache events")
	}
	return list.Events, nil
}

func (c *cacheEventReader) apply(a *Agent, events []cacheEvent) {
	a.mu.Lock()
	defer a.mu.Unlock()
	now := a.Clock()
	for _, e := range events {
		c.lastSeq = max(c.lastSeq, e.Seq)
		key := chatKey{e.Workspace, e.Chat}
		switch e.Kind {
		case cacheEventStored:
			a.chats.setTokens(key, e.Tokens, now)
		case cacheEventEvicted:
			a.chats.remove(key)
		}
	}
}
