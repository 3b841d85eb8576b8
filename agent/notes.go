package agent

import "time"

const (
	// maxRecentEntries bounds notes of requests, and noteLife is how long one helps: a
	// caller whose entry died repeats within seconds.
	maxRecentEntries = 4096
	recentEntryTTL   = time.Minute
)

// recentMap keep a name for each of the latest requests.
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

// remove forgets the name of a request. Its place in the order stays.
func (m *recentMap) remove(key string) {
	if _, known := m.entries[key]; known {
		m.entries[key] = recentEntry{}
	}
}

// get returns the name, or "" when there is no note or it is too old.
func (m *recentMap) get(key string, now time.Time) string {
	n, ok := m.entries[key]
	if !ok || now.After(n.expiresAt) {
		return ""
	}
	return n.value
}
