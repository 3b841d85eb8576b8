package agent

import "time"

const (
	// notesKept bounds notes of requests, and noteLife is how long one helps: a
	// caller whose entry died repeats within seconds.
	notesKept = 4096
	noteLife  = time.Minute
)

// notes keep a name for each of the latest requests.
type notes struct {
	at    map[string]noted
	order []string
}

type noted struct {
	name  string
	until time.Time
}

func (m *notes) put(key, name string, now time.Time) {
	if m.at == nil {
		m.at = make(map[string]noted)
	}
	if _, known := m.at[key]; !known {
		m.order = append(m.order, key)
	}
	m.at[key] = noted{name: name, until: now.Add(noteLife)}
	if len(m.order) > notesKept {
		delete(m.at, m.order[0])
		m.order = m.order[1:]
	}
}

// end forgets the name of a request. Its place in the order stays.
func (m *notes) end(key string) {
	if _, known := m.at[key]; known {
		m.at[key] = noted{}
	}
}

// get returns the name, or "" when there is no note or it is too old.
func (m *notes) get(key string, now time.Time) string {
	n, ok := m.at[key]
	if !ok || now.After(n.until) {
		return ""
	}
	return n.name
}
