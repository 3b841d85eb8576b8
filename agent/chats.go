package agent

import (
	"container/list"
	"time"
)

const (
	// chatsKept bounds the chats whose prompt prefix is thought to be at the
	// target. 10 million chats over 2,700 targets are 3,700 each.
	chatsKept = 8192
)

// chat names a chat of a workspace.
type chat struct {
	workspace string
	name      string
}

// held is what is thought to be of a chat at the target.
type held struct {
	chat
	// tokens of its prefix as the engine said, 0 if it has not said yet.
	tokens int64
	// served is when the chat's last request ended.
	served time.Time
}

// chatCache remembers which chats were served here lately, corrected by what
// the engine says late and with gaps. An error costs a wait or a rebuild, never
// an answer.
type chatCache struct {
	at    map[chat]*list.Element
	order list.List
}

func (c *chatCache) has(key chat) bool {
	_, ok := c.at[key]
	return ok
}

// put notes that a chat was served here.
func (c *chatCache) put(key chat, now time.Time) {
	h := c.get(key)
	h.served = now
	if c.order.Len() <= chatsKept {
		return
	}
	last := c.order.Back().Value.(*held)
	c.remove(last.chat)
}

// hold notes the size of a chat's prefix. A chat that is not known was served
// before this agent's start.
func (c *chatCache) hold(key chat, tokens int64, now time.Time) {
	if !c.has(key) {
		c.put(key, now)
	}
	c.get(key).tokens = tokens
}

// get finds or adds a chat and moves it to the front.
func (c *chatCache) get(key chat) *held {
	if c.at == nil {
		c.at = make(map[chat]*list.Element)
	}
	if e, ok := c.at[key]; ok {
		c.order.MoveToFront(e)
		return e.Value.(*held)
	}
	h := &held{chat: key}
	c.at[key] = c.order.PushFront(h)
	return h
}

func (c *chatCache) remove(key chat) {
	e, ok := c.at[key]
	if !ok {
		return
	}
	c.order.Remove(e)
	delete(c.at, key)
}

// all lists the chats, the last served first.
func (c *chatCache) all() []held {
	out := make([]held, 0, c.order.Len())
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, *e.Value.(*held))
	}
	return out
}

// clear forgets all chats: the target restarted and lost its cache.
func (c *chatCache) clear() {
	c.at = nil
	c.order.Init()
}
