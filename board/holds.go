package board

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/share"
)

// cachedPart is a prompt part in a target's cache.
type cachedPart struct {
	at clock.Stamp
	// ready says that the target has read it: before that there is nothing to
	// fetch, and whoever tries reads it a second time.
	ready bool
	// listed says that only the target itself named it: most of such parts belong
	// to one request, and are not reported to peers until another asks for it.
	listed bool
}

// cachedTokens counts the tokens of the leading parts in a target's cache: a part is of
// use only if all before it are there too. With ready, parts that are still being
// read don't count.
func (b *Board) cachedTokens(now clock.Stamp, key uint32, parts []chestnutstep.PromptPart, onlyReady bool) int {
	n := 0
	for _, p := range parts {
		h, ok := b.cachedParts[uint32(p.ID)][key]
		if !ok || now.Sub(h.at) > cachedPartTTL || onlyReady && !h.ready {
			return n
		}
		n += p.Tokens
	}
	return n
}

// recordParts notes that a target reads parts. The last part is the request's own: no
// other request asks for it.
func (b *Board) recordParts(now clock.Stamp, key uint32, parts []chestnutstep.PromptPart, ready bool) {
	if len(parts) == 0 {
		return
	}
	for _, p := range parts[:len(parts)-1] {
		if b.recordPart(now, uint32(p.ID), key, ready) {
			b.cacheChanges = append(b.cacheChanges, share.CachedPart{Target: key, Part: uint32(p.ID), Ready: ready})
		}
	}
}

// recordPart notes a part in a cache, and says whether that is new.
func (b *Board) recordPart(now clock.Stamp, part, key uint32, ready bool) bool {
	m := b.cachedParts[part]
	if m == nil {
		if len(b.cachedParts) >= maxParts {
			b.evictOld(now)
		}
		m = make(map[uint32]cachedPart, 2)
		b.cachedParts[part] = m
	}
	old, known := m[key]
	m[key] = cachedPart{at: now, ready: ready || old.ready}
	return !known || ready && !old.ready || old.listed
}

// dropUnready forgets parts that a target did not read after all.
func (b *Board) dropUnready(key uint32, parts []chestnutstep.PromptPart) {
	for _, p := range parts {
		if m := b.cachedParts[uint32(p.ID)]; m != nil && !m[key].ready {
			delete(m, key)
		}
	}
}

// RecordCache notes what a target itself says of its cache.
func (b *Board) RecordCache(now clock.Stamp, t *chestnutstep.Instance, parts []chestnutstep.PromptPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	for _, p := range parts {
		b.recordListed(now, CacheKey(t), uint32(p.ID))
	}
	b.listed[CacheKey(t)] = true
}

// CacheListed says whether a target's cache was listed whole, by itself or by a peer.
func (b *Board) CacheListed(t *chestnutstep.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed[CacheKey(t)]
}

// CacheLists returns all that is known of caches, for a peer that has just started.
func (b *Board) CacheLists(now clock.Stamp) []share.CacheList {
	b.mu.Lock()
	defer b.mu.Unlock()
	byTarget := make(map[uint32]*share.CacheList)
	for part, m := range b.cachedParts {
		for key, h := range m {
			if !h.ready || now.Sub(h.at) > cachedPartTTL {
				continue
			}
			l := byTarget[key]
			if l == nil {
				l = &share.CacheList{Target: key}
				byTarget[key] = l
			}
			l.Add(part)
		}
	}
	for key := range b.listed {
		if byTarget[key] == nil {
			byTarget[key] = &share.CacheList{Target: key}
		}
	}
	lists := make([]share.CacheList, 0, len(byTarget))
	for _, l := range byTarget {
		lists = append(lists, *l)
	}
	return lists
}

// MergeCacheLists notes what a peer knows of caches.
func (b *Board) MergeCacheLists(now clock.Stamp, lists []share.CacheList) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	b.mergeCacheLists(now, lists)
}

// recordListed notes a part that a target named, unless more is known of it.
func (b *Board) recordListed(now clock.Stamp, key, part uint32) {
	if _, known := b.cachedParts[part][key]; known {
		return
	}
	b.recordPart(now, part, key, true)
	b.cachedParts[part][key] = cachedPart{at: now, ready: true, listed: true}
}

// evictOld makes room.
func (b *Board) evictOld(now clock.Stamp) {
	for part, m := range b.cachedParts {
		for key, h := range m {
			if now.Sub(h.at) > cachedPartTTL/4 {
				delete(m, key)
			}
		}
		if len(m) == 0 {
			delete(b.cachedParts, part)
		}
	}
	if len(b.cachedParts) >= maxParts {
		clear(b.cachedParts)
	}
}
