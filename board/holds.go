package board

import (
	"chestnutstep.example/chestnutstep"
	"chestnutstep.example/chestnutstep/clock"
	"chestnutstep.example/chestnutstep/share"
)

// hold is a prompt part in a target's cache.
type hold struct {
	at clock.Stamp
	// ready says that the target has read it: before that there is nothing to
	// fetch, and whoever tries reads it a second time.
	ready bool
	// listed says that only the target itself named it: most of such parts belong
	// to one request, and are not reported to peers until another asks for it.
	listed bool
}

// held counts the tokens of the leading parts in a target's cache: a part is of
// use only if all before it are there too. With ready, parts that are still being
// read don't count.
func (b *Board) held(now clock.Stamp, key uint32, parts []chestnutstep.PromptPart, ready bool) int {
	n := 0
	for _, p := range parts {
		h, ok := b.holds[uint32(p.ID)][key]
		if !ok || now.Sub(h.at) > holdKeep || ready && !h.ready {
			return n
		}
		n += p.Tokens
	}
	return n
}

// hold notes that a target reads parts. The last part is the request's own: no
// other request asks for it.
func (b *Board) hold(now clock.Stamp, key uint32, parts []chestnutstep.PromptPart, ready bool) {
	if len(parts) == 0 {
		return
	}
	for _, p := range parts[:len(parts)-1] {
		if b.recordPart(now, uint32(p.ID), key, ready) {
			b.news = append(b.news, share.CachedPart{Target: key, Part: uint32(p.ID), Ready: ready})
		}
	}
}

// recordPart notes a part in a cache, and says whether that is new.
func (b *Board) recordPart(now clock.Stamp, part, key uint32, ready bool) bool {
	m := b.holds[part]
	if m == nil {
		if len(b.holds) >= partsMost {
			b.forgetOld(now)
		}
		m = make(map[uint32]hold, 2)
		b.holds[part] = m
	}
	old, known := m[key]
	m[key] = hold{at: now, ready: ready || old.ready}
	return !known || ready && !old.ready || old.listed
}

// drop forgets parts that a target did not read after all.
func (b *Board) drop(key uint32, parts []chestnutstep.PromptPart) {
	for _, p := range parts {
		if m := b.holds[uint32(p.ID)]; m != nil && !m[key].ready {
			delete(m, key)
		}
	}
}

// Hold notes what a target itself says of its cache.
func (b *Board) Hold(now clock.Stamp, t *chestnutstep.Instance, parts []chestnutstep.PromptPart) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	for _, p := range parts {
		b.list(now, Key(t), uint32(p.ID))
	}
	b.listed[Key(t)] = true
}

// Listed says whether a target's cache was listed whole, by itself or by a peer.
func (b *Board) Listed(t *chestnutstep.Instance) bool {
	b.mu.Lock()
	defer b.mu.Unlock()
	return b.listed[Key(t)]
}

// Lists returns all that is known of caches, for a peer that has just started.
func (b *Board) Lists(now clock.Stamp) []share.CacheList {
	b.mu.Lock()
	defer b.mu.Unlock()
	byTarget := make(map[uint32]*share.CacheList)
	for part, m := range b.holds {
		for key, h := range m {
			if !h.ready || now.Sub(h.at) > holdKeep {
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

// MergeLists notes what a peer knows of caches.
func (b *Board) MergeLists(now clock.Stamp, lists []share.CacheList) {
	b.mu.Lock()
	defer b.mu.Unlock()
	b.begin()
	b.mergeLists(now, lists)
}

// list notes a part that a target named, unless more is known of it.
func (b *Board) list(now clock.Stamp, key, part uint32) {
	if _, known := b.holds[part][key]; known {
		return
	}
	b.recordPart(now, part, key, true)
	b.holds[part][key] = hold{at: now, ready: true, listed: true}
}

// forgetOld makes room.
func (b *Board) forgetOld(now clock.Stamp) {
	for part, m := range b.holds {
		for key, h := range m {
			if now.Sub(h.at) > holdKeep/4 {
				delete(m, key)
			}
		}
		if len(m) == 0 {
			delete(b.holds, part)
		}
	}
	if len(b.holds) >= partsMost {
		clear(b.holds)
	}
}
