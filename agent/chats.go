package agent

import (
	"container/list"
	"time"
)

const (
	// maxChats is the maximum number of chats listed as cached at the target. 10 million chats over
	// 2,700 targets are 3,700 per target.
	maxChats = 8192
)

// chatKey identifies a chat by its workspace and name.
type chatKey struct {
	workspace string
	name      string
}

// chatEntry describes a chat whose prompt prefix is assumed to be cached at the target.
type chatEntry struct {
	chatKey
	// tokens is the size of the prefix as reported by the engine, 0 before the first report.
	tokens int64
	// lastServed is when the chat's last request ended.
	lastServed time.Time
}

// chatCache lists the chats that the target served recently, the last served first. The engine's
// cache events, which are delayed and can have gaps, correct it. An error in it costs a wait or a
// rebuild, never an answer.
type chatCache struct {
	elements map[chatKey]*list.Element
	order    list.List
}

func (c *chatCache) has(key chatKey) bool {
	_, ok := c.elements[key]
	return ok
}

// recordServed records that a chat was served here and evicts the oldest chat if the list exceeds
// maxChats.
func (c *chatCache) recordServed(key chatKey, now time.Time) {
	h := c.touch(key)
	h.lastServed = now
	if c.order.Len() <= maxChats {
		return
	}
	last := c.order.Back().Value.(*chatEntry)
	c.remove(last.chatKey)
}

// setTokens records the size of a chat's prefix. A chat that is not listed was served before this
// agent started and is added.
func (c *chatCache) setTokens(key chatKey, tokens int64, now time.Time) {
	if !c.has(key) {
		c.recordServed(key, now)
	}
	c.touch(key).tokens = tokens
}

// touch returns the chat's entry, adding it if missing, and moves it to the front.
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

// list returns all chats, the last served first.
func (c *chatCache) list() []chatEntry {
	out := make([]chatEntry, 0, c.order.Len())
	for e := c.order.Front(); e != nil; e = e.Next() {
		out = append(out, *e.Value.(*chatEntry))
	}
	return out
}

// clear removes all chats. It is called when the target has restarted and lost its cache.
func (c *chatCache) clear() {
	c.elements = nil
	c.order.Init()
}
