package agent

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/price"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// meanReturnDelay and chatShare describe returning chats, for the price of moving
	// one: nine in ten come back, after two minutes on average. Where they come
	// back less or later, too many chats are moved, which costs the link alone.
	meanReturnDelay = 2 * time.Minute
	returnRatio     = 0.9
	// migrationTimeout is how long handing over may take: an operator who takes a
	// failure domain out at short notice gives it seconds, not minutes.
	migrationTimeout = 30 * time.Second
	// takeTimeout bounds one chat.
	takeTimeout = 2 * time.Second
)

// cacheMigrator hands the KV cache of the latest chats to the targets that rank next
// for them, where their callers' next requests go. It answers a failure domain
// that leaves: without it, all its chats rebuild their prefixes at once at
// targets that just got more load. One chat at a time, the most valuable first.
type cacheMigrator struct {
	wake chan struct{}
}

// notify starts a hand-over when operators took the target out of service. It
// never blocks.
func (m *cacheMigrator) notify(out bool) {
	if !out {
		return
	}
	select {
	case m.wake <- struct{}{}:
	default:
	}
}

func (m *cacheMigrator) loop(ctx context.Context, a *Agent) {
	for {
		select {
		case <-ctx.Done():
			return
		case <-m.wake:
			a.migrateChats(ctx)
		}
	}
}

func (a *Agent) migrateChats(ctx context.Context) {
	if a.Dial == nil || a.Ranker == nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, migrationTimeout)
	defer cancel()
	for _, c := range a.chatsToMigrate() {
		if ctx.Err() != nil {
			return
		}
		a.migrateChat(ctx, chatKey{c.Workspace, c.Name})
	}
}

// chatsToMigrate lists the chats worth handing over, the most valuable first.
func (a *Agent) chatsToMigrate() []price.Chat {
	m, v := a.model(), a.View()
	if m == nil || v == nil || m.CacheBytesPerToken <= 0 {
		return nil
	}
	a.mu.Lock()
	all := a.chats.list()
	now := a.Clock()
	a.mu.Unlock()
	chats := make([]price.Chat, 0, len(all))
	for _, h := range all {
		chats = append(chats, price.Chat{
			Workspace:         h.workspace,
			Name:              h.name,
			Tokens:            float64(h.tokens),
			Bytes:             float64(h.tokens * m.CacheBytesPerToken),
			ReturnProbability: price.ReturnProbability(now.Sub(h.lastServed), meanReturnDelay, returnRatio),
		})
	}
	return price.Plan(chats, float64(v.Publication.Budget.ExportRate), migrationTimeout)
}

// migrateChat asks the agent that ranks next for a chat to take its KV cache. A
// failure costs the chat a rebuild, as if nothing had been tried.
func (a *Agent) migrateChat(ctx context.Context, c chatKey) {
	v := a.View()
	if v == nil || v.Targets[a.Name] == nil {
		return
	}
	self := v.Targets[a.Name]
	next := a.nextTarget(v, self, c)
	if next == nil {
		return
	}
	peer, err := a.Dial(next.Agent)
	if err != nil {
		return
	}
	ctx, cancel := context.WithTimeout(ctx, takeTimeout)
	defer cancel()
	reply, err := peer.Take(ctx, &wire.TakeRequest{
		Workspace: c.workspace, Chat: c.name, Model: self.Model, Source: self.Agent,
	})
	if err != nil || reply.Bytes == 0 {
		return
	}
	a.Notify(Notice{Kind: NoticeHandedOver, Subject: c.name, Before: a.Name, After: next.Name, Workspace: c.workspace, Bytes: reply.Bytes})
}

// nextTarget is the target that ranks first for a chat, this one left out.
func (a *Agent) nextTarget(v *chestnutstep.View, self *chestnutstep.Target, c chatKey) *chestnutstep.Target {
	place := chestnutstep.RankQuery{Workspace: c.workspace, Chat: c.name, Model: self.Model, Region: v.Region(self.Host)}
	for _, t := range a.Ranker(v).Rank(nil, place, 2) {
		if t.Name != self.Name {
			return t
		}
	}
	return nil
}
