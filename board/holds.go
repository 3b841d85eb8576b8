package board

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/roster"
	"chestnutstep.example/chestnutstep/share"
)

// cachedPart is a prompt part in a target's cache.
type cachedPart struct {
	at clock.Stamp
	// ready reports whether the target has read the part. Before that there is nothing to fetch:
	// a target that tries has to read the part a second time.
	ready bool
	// listed reports whether only a list of the cache named the part, from the target or from a
	// peer. Most of these parts belong to one request; they are not reported to peers until
	// another request uses them.
	listed bool
}

// cachedTokens returns the number of tokens in the leading parts that are in a target's cache:
// a part can be reused only if all parts before it are cached. With onlyReady, parts that are
// still being read do not count.
func (b *Board) cachedTokens(now clock.Stamp, key uint32, parts []chestnutstep.PromptPart, onlyReady bool) int {
	n := 0
	for _, p := range parts {
		c, ok := b.cachedParts[uint32(p.ID)][key]
		if !ok || now.Sub(c.at) > cachedPartTTL || onlyReady && !c.ready {
			return n
		}
		n += p.Tokens
	}
	return n
}

// recordParts records that a target reads parts. The last part belongs to this request only and
// is not recorded.
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

// recordPart records a part in a cache, and reports whether peers need the update.
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

// dropUnready removes parts that a target did not finish reading.
func (b *Board) dropUnready(key uint32, parts []chestnutstep.PromptPart) {
	for _, p := range parts {
		if m := b.cachedParts[uint32(p.ID)]; m != nil && !m[key].ready {
			delete(m, key)
		}
	}
}

// RecordCache records the contents of a cache as listed by the target.
func (b *Board) RecordCache(now clock.Stamp, t *chestnutstep.Instance, parts []chestnutstep.PromptPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	for _, p := range parts {
		b.recordListed(now, CacheKey(t), uint32(p.ID))
	}
	b.listed[CacheKey(t)] = true
}

// Holders returns those of the targets that hold a part of a prompt, as far as is known. Only lists of
// caches name parts that belong to a single request.
func (b *Board) Holders(now clock.Stamp, targets []*roster.Target, part uint64) []*roster.Target {
	b.mu.Lock()
	defer b.mu.Unlock()
	m := b.cachedParts[uint32(part)]
	var list []*roster.Target
	for _, t := range targets {
		if c, ok := m[CacheKey(&t.Instance)]; ok && c.ready && now.Sub(c.at) <= cachedPartTTL {
			list = append(list, t)
		}
	}
	return list
}

// CacheListed reports whether a target's complete cache was listed, by itself or by a peer.
func (b *Board) CacheListed(t *chestnutstep.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed[CacheKey(t)]
}

// CacheLists returns all known cache contents, for a peer that has just started.
func (b *Board) CacheLists(now clock.Stamp) []share.CacheList {
	b.mu.Lock()
	defer b.mu.Unlock()
	byTarget := make(map[uint32]*share.CacheList)
	for part, m := range b.cachedParts {
		for key, c := range m {
			if !c.ready || now.Sub(c.at) > cachedPartTTL {
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

// MergeCacheLists applies the cache lists of a peer.
func (b *Board) MergeCacheLists(now clock.Stamp, lists []share.CacheList) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.initMaps()
	b.mergeCacheLists(now, lists)
}

// recordListed records a part from a list of a cache, unless the part is already known.
func (b *Board) recordListed(now clock.Stamp, key, part uint32) {
	if _, known := b.cachedParts[part][key]; known {
		return
	}
	b.recordPart(now, part, key, true)
	b.cachedParts[part][key] = cachedPart{at: now, ready: true, listed: true}
}

// evictOld removes parts that were not read recently, and all parts if that is not enough.
func (b *Board) evictOld(now clock.Stamp) {
	for part, m := range b.cachedParts {
		for key, c := range m {
			if now.Sub(c.at) > cachedPartTTL/4 {
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
