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

// Player plays chats through entries as their callers would.
type Player struct {
	// Entries are base URLs; each request goes to the next one.
	Entries []string
	// Keys of the workspaces.
	Keys map[string]string
	// Profile of all requests.
	Profile string
	// MaxTries bounds how often a request is sent when it was refused with a time
	// to come back, or its answer broke.
	MaxTries int
	// Timeout of a request; 0 leaves it to the profile.
	Timeout time.Duration
	// IDPrefix goes before the names of requests. Two runs need two: a request whose
	// name an agent still knows, with other content, is refused as spent.
	IDPrefix string
	// Report is where results go.
	Report *Report

	callers  map[string]*fake.Caller
	sessions sync.WaitGroup
}

// session is one chat under way.
type session struct {
	player  *Player
	chat    Chat
	entry   int
	history int
	hint    string
}

// Play plays the chats and returns when all have ended or ctx is done.
func (p *Player) Play(ctx context.Context, chats []Chat) {
	p.callers = map[string]*fake.Caller{}
	for name, key := range p.Keys {
		p.callers[name] = &fake.Caller{Entries: p.Entries, Key: key, Client: fake.NewClient(), OnGap: p.Report.EventGap.Add}
	}
	for i, c := range chats {
		s := &session{player: p, chat: c, entry: i, history: c.HistoryTokens}
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
	prompt := s.history + t.PromptTokens
	body, _ := json.Marshal(fake.ChatRequest{Prompt: prompt, Output: t.OutputTokens, Note: fmt.Sprintf("%s/%d", s.chat.Name, n)})
	req := fake.Request{
		Profile:        s.player.Profile,
		Chat:           s.chat.Name,
		IdempotencyKey: fmt.Sprintf("%s%s-%d", s.player.IDPrefix, s.chat.Name, n),
		Hint:           s.hint,
		Timeout:        s.player.Timeout,
		Body:           body,
		CancelAfter:    t.CancelAfter,
	}
	res := s.try(ctx, req, prompt)
	if res.Hint != "" {
		s.hint = res.Hint
	}
	s.history = prompt + res.Tokens
}

// try sends a request until it has an answer that a caller would settle for.
// Only the last result counts as the request's.
func (s *session) try(ctx context.Context, req fake.Request, prompt int) fake.Result {
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
	s.player.Report.Add(s.chat.Workspace, prompt, res)
	return res
}

// shouldRetry says whether a sensible caller sends the request once more.
func shouldRetry(res fake.Result) bool {
	switch res.Kind {
	case fake.Refused:
		return res.RetryAfter > 0 && res.Run == chestnutstep.RunNo
	case fake.Broken, fake.Unreachable:
		return true
	}
	return false
}
