package fake

import "container/list"

// Kinds of cache events.
const (
	CacheStored  = "stored"
	CacheEvicted = "evicted"
	CacheCleared = "cleared"
)

// CacheEvent describes a change of an engine's prefix cache.
type CacheEvent struct {
	Seq       int    `json:"seq"`
	Kind      string `json:"kind"`
	Workspace string `json:"workspace,omitempty"`
	Chat      string `json:"chat,omitempty"`
	Tokens    int    `json:"tokens,omitempty"`
}

type chatKey struct {
	workspace string
	chat      string
}

type prefix struct {
	key    chatKey
	tokens int
}

// prefixCache is an LRU cache of prompt prefixes, bounded by maxTokens. The
// engine's mutex guards it.
type prefixCache struct {
	maxTokens int
	tokens    int
	order     list.List
	byChat    map[chatKey]*list.Element
	events    []CacheEvent
}

func (p *prefixCache) addEvent(kind string, k chatKey, tokens int) {
	p.events = append(p.events, CacheEvent{
		Seq:       len(p.events) + 1,
		Kind:      kind,
		Workspace: k.workspace,
		Chat:      k.chat,
		Tokens:    tokens,
	})
}

// cachedTokens returns the number of cached tokens of a prompt and marks the
// cache entry as used.
func (p *prefixCache) cachedTokens(k chatKey, prompt int) int {
	el := p.byChat[k]
	if el == nil {
		return 0
	}
	p.order.MoveToFront(el)
	return min(el.Value.(*prefix).tokens, prompt)
}

func (p *prefixCache) store(k chatKey, tokens int) {
	if tokens <= 0 || tokens > p.maxTokens {
		return
	}
	p.drop(p.byChat[k])
	if p.byChat == nil {
		p.byChat = map[chatKey]*list.Element{}
	}
	p.byChat[k] = p.order.PushFront(&prefix{key: k, tokens: tokens})
	p.tokens += tokens
	p.addEvent(CacheStored, k, tokens)
	for p.tokens > p.maxTokens {
		last := p.order.Back()
		old := last.Value.(*prefix)
		p.drop(last)
		p.addEvent(CacheEvicted, old.key, old.tokens)
	}
}

func (p *prefixCache) drop(el *list.Element) {
	if el == nil {
		return
	}
	old := el.Value.(*prefix)
	p.order.Remove(el)
	delete(p.byChat, old.key)
	p.tokens -= old.tokens
}

func (p *prefixCache) clear() {
	p.order.Init()
	p.byChat = nil
	p.tokens = 0
	p.addEvent(CacheCleared, chatKey{}, 0)
}
