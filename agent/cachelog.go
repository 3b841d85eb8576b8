package agent

import (
	"context"
	"encoding/json"
	"io"
	"net/http"
	"strconv"
	"time"

	"github.com/cockroachdb/errors"

	"chestnutstep.example/chestnutstep"
)

// cacheEventInterval is the interval at which an engine's cache events are fetched. Engines report
// them with delay, so a shorter interval gains nothing.
const cacheEventInterval = time.Second

// cacheEvent is one entry of an engine's cache event log, which is delayed and can have gaps.
type cacheEvent struct {
	Seq       uint64 `json:"seq"`
	Kind      string `json:"kind"`
	Workspace string `json:"workspace"`
	Chat      string `json:"chat"`
	Tokens    int64  `json:"tokens"`
}

// Kinds of cache events. The loss of the whole cache has no event; it is detected by a new boot id.
const (
	cacheEventStored  = "stored"
	cacheEventEvicted = "evicted"
)

// cacheEventReader follows an engine's prompt cache events. They only correct the agent's own list
// of cached chats: a missing or late event costs a wait at a target that has lost the prefix, or a
// rebuild, but never an answer.
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
	rs, err := a.sendControl(a.PooledClient, rq)
	if err != nil {
		return nil, errors.Wrap(err, "cache events")
	}
	defer rs.Body.Close()
	var list struct {
		Events []cacheEvent `json:"events"`
	}
	if err := json.NewDecoder(io.LimitReader(rs.Body, maxControlBytes)).Decode(&list); err != nil {
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
