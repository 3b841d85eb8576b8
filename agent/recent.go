package agent

import "time"

const (
	// maxRecentEntries bounds the entries of a recentMap, and recentEntryTTL their age: a caller
	// whose entry failed retries within seconds.
	maxRecentEntries = 4096
	recentEntryTTL   = time.Minute
)

// recentMap maps the keys of recent requests to a value, such as a target's name. It is bounded in
// size and its entries expire.
type recentMap struct {
	entries map[string]recentEntry
	order   []string
}

type recentEntry struct {
	value     string
	expiresAt time.Time
}

func (m *recentMap) put(key, value string, now time.Time) {
	if m.entries == nil {
		m.entries = make(map[string]recentEntry)
	}
	if _, known := m.entries[key]; !known {
		m.order = append(m.order, key)
	}
	m.entries[key] = recentEntry{value: value, expiresAt: now.Add(recentEntryTTL)}
	if len(m.order) > maxRecentEntries {
		delete(m.entries, m.order[0])
		m.order = m.order[1:]
	}
}

// remove deletes the value of a key. The key keeps its position in the eviction order.
func (m *recentMap) remove(key string) {
	if _, known := m.entries[key]; known {
		m.entries[key] = recentEntry{}
	}
}

// get returns the value of a key, or "" if it is missing or expired.
func (m *recentMap) get(key string, now time.Time) string {
	n, ok := m.entries[key]
	if !ok || now.After(n.expiresAt) {
		return ""
	}
	return n.value
}
