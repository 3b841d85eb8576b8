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
	// Tries bounds how often a request is sent when it was refused with a time
	// to come back, or its answer broke.
	Tries int
	// Timeout of a request; 0 leaves it to the profile.
	Timeout time.Duration
	// Run goes before the names of requests. Two runs need two: a request whose
	// name an agent still knows, with other content, is refused as spent.
	Run string
	// Report is where results go.
	Report *Report

	callers map[string]*fake.Caller
	active  sync.WaitGroup
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
		p.callers[name] = &fake.Caller{Entries: p.Entries, Key: key, Client: fake.NewClient(), Gap: p.Report.Gap.Add}
	}
	for i, c := range chats {
		s := &session{player: p, chat: c, entry: i, history: c.History}
		p.active.Add(1)
		go s.run(ctx)
	}
	p.active.Wait()
}

func (s *session) run(ctx context.Context) {
	defer s.player.active.Done()
	for i, t := range s.chat.Turns {
		if !clock.Sleep(ctx, t.Pause) {
			return
		}
		s.turn(ctx, i, t)
	}
}

func (s *session) turn(ctx context.Context, n int, t Turn) {
	prompt := s.history + t.Ask
	body, _ := json.Marshal(fake.Ask{Prompt: prompt, Output: t.Output, Note: fmt.Sprintf("%s/%d", s.chat.Name, n)})
	ask := fake.Request{
		Profile: s.player.Profile,
		Chat:    s.chat.Name,
		ID:      fmt.Sprintf("%s%s-%d", s.player.Run, s.chat.Name, n),
		Hint:    s.hint,
		Timeout: s.player.Timeout,
		Body:    body,
		Cancel:  t.Cancel,
	}
	res := s.try(ctx, ask, prompt)
	if res.Hint != "" {
		s.hint = res.Hint
	}
	s.history = prompt + res.Tokens
}

// try sends a request until it has an answer that a caller would settle for.
// Only the last result counts as the request's.
func (s *session) try(ctx context.Context, ask fake.Request, prompt int) fake.Result {
	c := s.player.callers[s.chat.Workspace]
	var res fake.Result
	for range max(s.player.Tries, 1) {
		s.entry++
		ask.Entry = s.entry % len(c.Entries)
		res = c.Do(ctx, ask)
		if ctx.Err() != nil {
			return res
		}
		if !again(res) || !clock.Sleep(ctx, res.Retry) {
			break
		}
	}
	s.player.Report.Add(s.chat.Workspace, prompt, res)
	return res
}

// again says whether a sensible caller sends the request once more.
func again(res fake.Result) bool {
	switch res.Kind {
	case fake.Refused:
		return res.Retry > 0 && res.Run == chestnutstep.RunNo
	case fake.Broken, fake.Absent:
		return true
	}
	return false
}
