package agent

import (
	"container/list"
	"time"
)

const (
	// maxChats bounds the chats whose prompt prefix is thought to be at the
	// target. 10 million chats over 2,700 targets are 3,700 each.
	maxChats = 8192
)

// chatKey names a chat of a workspace.
type chatKey struct {
	workspace string
	name      string
}

// chatEntry is what is thought to be of a chat at the target.
type chatEntry struct {
	chatKey
	// tokens of its prefix as the engine said, 0 if it has not said yet.
	tokens int64
	// lastServed is when the chat's last request ended.
	lastServed time.Time
}

// chatCache remembers which chats were served here lately, corrected by what
// the engine says late and with gaps. An error costs a wait or a rebuild, never
// an answer.
type chatCache struct {
	elements map[chatKey]*list.Element
	order    list.List
}

func (c *chatCache) has(key chatKey) bool {
	_, ok := c.elements[key]
	return ok
}

// recordServed notes that a chat was served here.
func (c *chatCache) recordServed(key chatKey, now time.Time) {
	h := c.touch(key)
	h.lastServed = now
	if c.order.Len() <= maxChats {
		return
	}
	last := c.order.Back().Value.(*chatEntry)
	c.remove(last.chatKey)
}

// setTokens notes the size of a chat's prefix. A chat that is not known was served
// before this agent's start.
func (c *chatCache) setTokens(key chatKey, tokens int64, now time.Time) {
	if !c.has(key) {
		c.recordServed(key, now)
	}
	c.touch(key).tokens = tokens
}

// touch finds or adds a chat and moves it to the front.
func (c *chatCache) touch(key chatKey) *chatEntry {
	if c.elements == nil {
		c.elements = make(map[chatKey]*list.Element)
	}
	if e, ok := c.elements[key]; ok {
		c.order.MoveToFront(e)
		return e.Value.(*chatEntry)
	}
	h := &chatEntry{chatKey: key}
	c.elements[key] = c.order.PushFront(h)
	return h
}

func (c *chatCache) remove(key chatKey) {
	e, ok := c.elements[key]
	if !ok {
		return
	}
	c.order.Remove(e)
	delete(c.elements, key)
}

// list lists the chats, the last served first.
func (c *chatCache) list() []chatEntry {
	out := make([]chatEntry, 0, c.order.Len())
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, *e.Value.(*chatEntry))
	}
	return out
}

// clear forgets all chats: the target restarted and lost its cache.
func (c *chatCache) clear() {
	c.elements = nil
	c.order.Init()
}
