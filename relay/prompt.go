package relay

import (
	"context"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/event"
	"chestnutstep.example/chestnutstep/pause"
	"chestnutstep.example/chestnutstep/roster"
)

// cacheBlock is the number of tokens that engines cache together. Of the last block of a part only a whole one
// is kept.
const cacheBlock = 16

const (
	// maxUnindexed is the number of engines of a route up to which all are asked if the index names no holder
	// of a part.
	maxUnindexed = 64
	// promptWorkers is the number of targets that a request asks concurrently.
	promptWorkers = 8
)

// findByPrompt binds a request that takes up a stream to the build of the targets that have read its whole
// prompt, if they are all of one build. The last part belongs to the request or to its session; a target that
// ran an earlier turn of the session holds less of it, and does not count.
func (q *request) findByPrompt() bool {
	if q.Caches == nil || len(q.callerHeaders.Parts) == 0 {
		return false
	}
	ctx, cancel := context.WithTimeout(q.r.Context(), evidenceTimeout)
	defer cancel()
	q.awaitIndex(ctx)
	part := q.callerHeaders.Parts[len(q.callerHeaders.Parts)-1]
	var origin chestnutstep.BuildID
	hasRead := false
	for _, t := range q.promptHolders(ctx, part.ID) {
		tokens, ok := q.heldTokens(ctx, t, part.ID)
		if !ok || tokens > 0 {
			q.log(event.StreamEvidence, event.Str("target", t.ID), event.Str("build", t.Build), event.Bool("answered", ok),
				event.Int("tokens", int64(tokens)), event.Int("prompt", int64(part.Tokens)), event.Int("after", q.callerHeaders.LastEventID))
		}
		if ok && tokens <= part.Tokens-cacheBlock {
			continue
		}
		id := chestnutstep.NewBuildID(t.Service, t.Build)
		if origin != 0 && id != origin || t.Build == "" {
			return false // also if t did not answer: it can have begun the stream
		}
		origin, hasRead = id, hasRead || ok
	}
	return hasRead && q.bindTo(origin)
}

// awaitIndex waits for the index of the parts that targets hold.
func (q *request) awaitIndex(ctx context.Context) {
	if q.CachesKnown == nil {
		return
	}
	select {
	case <-q.CachesKnown:
	case <-ctx.Done():
	}
}

// promptHolders returns the engines of the route's services that can hold a part: those that the index names, or
// all if it names none. An index lacks parts of a single request if a target did not answer with its list, or if
// it was copied from a peer that has not listed the targets.
func (q *request) promptHolders(ctx context.Context, part uint64) []*roster.Target {
	var holders, all []*roster.Target
	for _, split := range q.route.Splits {
		if s := q.view.Routing.Services[split.Service]; s != nil && s.IsEngine {
			engines := q.view.Services[split.Service]
			all = append(all, engines...)
			holders = append(holders, q.Board.Holders(clock.Now(), engines, part)...)
		}
	}
	if len(holders) > 0 || len(all) > maxUnindexed {
		return holders
	}
	q.listAll(ctx, all)
	return all
}

// listAll asks targets for their lists, several at a time.
func (q *request) listAll(ctx context.Context, targets []*roster.Target) {
	queue := make(chan *roster.Target, len(targets))
	for _, t := range targets {
		queue <- t
	}
	close(queue)
	var workers sync.WaitGroup
	for range min(promptWorkers, len(targets)) {
		workers.Go(func() {
			for t := range queue {
				q.heldTokens(ctx, t, 0)
			}
		})
	}
	workers.Wait()
}

// heldTokens returns how many tokens of a part a target holds, 0 for none, by its own list. It returns false
// if the target does not answer or must not be called.
func (q *request) heldTokens(ctx context.Context, t *roster.Target, part uint64) (tokens int, ok bool) {
	if q.Pauses != nil && q.Pauses.State(clock.Now(), pause.InstanceOf(&t.Instance)).Blocked() {
		return 0, false
	}
	l := q.listings.get(clock.Now(), t)
	l.once.Do(func() {
		list, err := q.Caches.ListParts(ctx, t.Address)
		if l.ok = err == nil; !l.ok {
			return
		}
		l.tokens = make(map[uint64]int, len(list.Parts))
		for _, p := range list.Parts {
			l.tokens[p.ID] = p.Tokens
		}
	})
	if !l.ok {
		q.listings.drop(t, l)
	}
	return l.tokens[part], l.ok
}

// listingTTL is how long a target's list is used. What a stream that broke off has generated stays in it.
const listingTTL = 2 * time.Second

// listings holds recent lists of targets, so that each is asked once for many streams.
type listings struct {
	mu   sync.Mutex
	byID map[string]*listing
}

// listing is the list of a target's cache.
type listing struct {
	startedMs int64
	at        clock.Stamp
	once      sync.Once
	// tokens holds the tokens of each part; ok reports whether the target has answered.
	tokens map[uint64]int
	ok     bool
}

// get returns the recent listing of a target, or a new one that is to be read.
func (s *listings) get(now clock.Stamp, t *roster.Target) *listing {
	s.mu.Lock()
	defer s.mu.Unlock()
	for id, l := range s.byID {
		if now.Sub(l.at) > listingTTL {
			delete(s.byID, id)
		}
	}
	l := s.byID[t.ID]
	if l == nil || l.startedMs != t.StartedMs {
		if s.byID == nil {
			s.byID = make(map[string]*listing)
		}
		l = &listing{startedMs: t.StartedMs, at: now}
		s.byID[t.ID] = l
	}
	return l
}

// drop removes a listing that could not be read, so that the next request asks again.
func (s *listings) drop(t *roster.Target, l *listing) {
	s.mu.Lock()
	defer s.mu.Unlock()
	if s.byID[t.ID] == l {
		delete(s.byID, t.ID)
	}
}
