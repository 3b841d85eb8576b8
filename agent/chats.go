package agent

import (
	"container/list"
	"time"
)

const (
	// chatsKept bounds the chats whose prompt prefix is thought to be at the
	// target. 10 million chats over 2,700 targets are 3,700 each.
	chatsKept = 8192
	// notesKept bounds the notes of requests that went elsewhere, and noteLife
	// is how long one helps: a caller whose entry died repeats within seconds.
	notesKept = 4096
	noteLife  = time.Minute
)

// chat names a chat of a workspace.
type chat struct {
	workspace string
	name      string
}

// chatCache remembers which chats were served here lately, as the engine's own
// cache events come late and with gaps. An error costs a wait or a rebuild,
// never an answer.
type chatCache struct {
	at    map[chat]*list.Element
	order list.List
}

func (c *chatCache) has(key chat) bool {
	_, ok := c.at[key]
	return ok
}

func (c *chatCache) put(key chat) {
	if c.at == nil {
		c.at = make(map[chat]*list.Element)
	}
	if e, ok := c.at[key]; ok {
		c.order.MoveToFront(e)
		return
	}
	c.at[key] = c.order.PushFront(key)
	if c.order.Len() <= chatsKept {
		return
	}
	last := c.order.Back()
	c.order.Remove(last)
	delete(c.at, last.Value.(chat))
}

// latest lists at most n chats, the last served first: the sooner a chat was
// served, the likelier it returns.
func (c *chatCache) latest(n int) []chat {
	out := make([]chat, 0, min(n, c.order.Len()))
	for e := c.order.Front(); e != nil && len(out) < n; e = e.Next() {
		out = append(out, e.Value.(chat))
	}
	return out
}

// clear forgets all chats: the target restarted and lost its cache.
func (c *chatCache) clear() {
	c.at = nil
	c.order.Init()
}

// movedNotes remembers where requests went that this agent refused, so that a
// repeat through another entry finds the run instead of starting a second one.
type movedNotes struct {
	at    map[string]movedNote
	order []string
}

type movedNote struct {
	target string
	until  time.Time
}

func (m *movedNotes) put(key, target string, now time.Time) {
	if m.at == nil {
		m.at = make(map[string]movedNote)
	}
	if _, known := m.at[key]; !known {
		m.order = append(m.order, key)
	}
	m.at[key] = movedNote{target: target, until: now.Add(noteLife)}
	if len(m.order) > notesKept {
		delete(m.at, m.order[0])
		m.order = m.order[1:]
	}
}

// get returns the target, or "" when there is no note or it is too old.
func (m *movedNotes) get(key string, now time.Time) string {
	n, ok := m.at[key]
	if !ok || now.After(n.until) {
		return ""
	}
	return n.target
}
