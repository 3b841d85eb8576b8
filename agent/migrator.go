package agent

import (
	"context"
	"time"

	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/price"
	"chestnutstep.example/chestnutstep/wire"
)

const (
	// meanReturnDelay and returnRatio describe returning chats, for the estimated benefit of moving
	// one: nine in ten return, after two minutes on average. If chats return less often or later,
	// too many are moved, which only costs bandwidth.
	meanReturnDelay = 2 * time.Minute
	returnRatio     = 0.9
	// migrationTimeout is the maximum duration of a migration: an operator who takes a failure
	// domain out of service at short notice can wait for seconds, not minutes.
	migrationTimeout = 30 * time.Second
	// takeTimeout is the timeout for moving one chat.
	takeTimeout = 2 * time.Second
)

// cacheMigrator moves the KV caches of recent chats to the targets that rank next for them, which
// receive the callers' next requests. It runs when a failure domain is taken out of service:
// otherwise all its chats would rebuild their prefixes at once, at targets whose load has just
// increased. It moves one chat at a time, the most valuable first.
type cacheMigrator struct {
	wake chan struct{}
}

// notify starts a migration if operators took the target out of service. It never blocks.
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

// chatsToMigrate returns the chats for which a move pays off, the most valuable first.
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

// migrateChat asks the agent that ranks next for a chat to import its KV cache. After a failure the
// chat is rebuilt, as without a migration.
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

// nextTarget returns the target other than this one that ranks first for a chat, or nil.
func (a *Agent) nextTarget(v *chestnutstep.View, self *chestnutstep.Target, c chatKey) *chestnutstep.Target {
	query := chestnutstep.RankQuery{Workspace: c.workspace, Chat: c.name, Model: self.Model, Region: v.Region(self.Host)}
	for _, t := range a.Ranker(v).Rank(nil, query, 2) {
		if t.Name != self.Name {
			return t
		}
	}
	return nil
}
