package load

import (
	"context"
	"encoding/json"
	"fmt"
	"sync"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/fake"
)

// Player sends the requests of chats to entries as their callers would.
type Player struct {
	// Entries are base URLs; each attempt of a chat goes to the next one.
	Entries []string
	// Keys are the callers' keys by workspace.
	Keys map[string]string
	// Profile is the profile of all requests.
	Profile string
	// MaxTries is the maximum number of attempts for a request that was refused
	// with a Retry-After time, that found the entry unreachable, or whose
	// answer broke off; values below 1 mean 1.
	MaxTries int
	// Timeout is the timeout of a request; 0 means the timeout of the profile.
	Timeout time.Duration
	// IDPrefix is the prefix of request IDs. Two runs need different prefixes:
	// a request with an ID that an agent still holds and with different content
	// is refused as spent.
	IDPrefix string
	// Report receives the results.
	Report *Report

	callers  map[string]*fake.Caller
	sessions sync.WaitGroup
}

// session is a chat in progress.
type session struct {
	player        *Player
	chat          Chat
	entry         int
	historyTokens int
	hint          string
}

// Play sends the requests of the chats, all chats concurrently, and returns
// when all have ended or ctx is done.
func (p *Player) Play(ctx context.Context, chats []Chat) {
	p.callers = map[string]*fake.Caller{}
	for name, key := range p.Keys {
		p.callers[name] = &fake.Caller{Entries: p.Entries, Key: key, Client: fake.NewClient(), OnGap: p.Report.EventGap.Add}
	}
	for i, c := range chats {
		s := &session{player: p, chat: c, entry: i, historyTokens: c.HistoryTokens}
		p.sessions.Add(1)
		go s.run(ctx)
	}
	p.sessions.Wait()
}

func (s *session) run(ctx context.Context) {
	defer s.player.sessions.Done()
	for i, t := range s.chat.Turns {
		if !clock.Sleep(ctx, t.Pause) {
			return
		}
		s.turn(ctx, i, t)
	}
}

func (s *session) turn(ctx context.Context, n int, t Turn) {
	promptTokens := s.historyTokens + t.PromptTokens
	body, _ := json.Marshal(fake.ChatRequest{Prompt: promptTokens, Output: t.OutputTokens, Note: fmt.Sprintf("%s/%d", s.chat.Name, n)})
	req := fake.Request{
		Profile:        s.player.Profile,
		Chat:           s.chat.Name,
		IdempotencyKey: fmt.Sprintf("%s%s-%d", s.player.IDPrefix, s.chat.Name, n),
		Hint:           s.hint,
		Timeout:        s.player.Timeout,
		Body:           body,
		CancelAfter:    t.CancelAfter,
	}
	res := s.sendWithRetries(ctx, req, promptTokens)
	if res.Hint != "" {
		s.hint = res.Hint
	}
	s.historyTokens = promptTokens + res.Tokens
}

// sendWithRetries sends a request until its result needs no retry or MaxTries
// is reached. Only the last result is reported, and none if ctx is done.
func (s *session) sendWithRetries(ctx context.Context, req fake.Request, promptTokens int) fake.Result {
	c := s.player.callers[s.chat.Workspace]
	var res fake.Result
	for range max(s.player.MaxTries, 1) {
		s.entry++
		req.Entry = s.entry % len(c.Entries)
		res = c.Do(ctx, req)
		if ctx.Err() != nil {
			return res
		}
		if !shouldRetry(res) || !clock.Sleep(ctx, res.RetryAfter) {
			break
		}
	}
	s.player.Report.Add(s.chat.Workspace, promptTokens, res)
	return res
}

// shouldRetry reports whether a well-behaved caller would send the request
// again.
func shouldRetry(res fake.Result) bool {
	switch res.Kind {
	case fake.Refused:
		return res.RetryAfter > 0 && res.Run == chestnutstep.RunNo
	case fake.Broken, fake.Unreachable:
		return true
	}
	return false
}
