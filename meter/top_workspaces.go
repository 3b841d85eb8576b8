package meter

import "sync"

const (
	// maxSeries is how many workspaces have series of their own at a time:
	// today's customers are about ten, and fifty fit a page of a report.
	maxSeries = 50
	// maxSeriesEver bounds the workspaces that ever get series of their own: one
	// that drops out keeps its old series, since a counter that vanishes reads
	// as a restart.
	maxSeriesEver = 2 * maxSeries
	// maxCounted bounds the workspaces whose requests are counted for the
	// ranking. It bounds memory, not what is published.
	maxCounted = 1024
	// minLead is how much busier than the least busy of the named a workspace has
	// to be to take its place, so that two of like traffic do not take turns.
	minLead = 2
)

// topWorkspaces decides which workspaces have series of their own: those with the most
// requests. Without it each workspace of a large customer base would cost
// every process tens of series; with the first ones named for good, a quiet
// early one would keep a large late one out of the report.
type topWorkspaces struct {
	mu         sync.Mutex
	counts     map[string]int64
	withSeries map[string]bool
	admitted   int
}

// label counts one request and returns the label value to use for it.
func (t *topWorkspaces) label(workspace string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]int64)
		t.withSeries = make(map[string]bool)
	}
	if _, ok := t.counts[workspace]; !ok && len(t.counts) >= maxCounted {
		return other
	}
	t.counts[workspace]++
	if t.withSeries[workspace] || t.admit(workspace) {
		return workspace
	}
	return other
}

func (t *topWorkspaces) admit(workspace string) bool {
	if t.admitted >= maxSeriesEver {
		return false
	}
	if len(t.withSeries) >= maxSeries && !t.evictLeast(t.counts[workspace]) {
		return false
	}
	t.withSeries[workspace] = true
	t.admitted++
	return true
}

// evictLeast takes its series from the least busy workspace when the newcomer is
// clearly busier.
func (t *topWorkspaces) evictLeast(count int64) bool {
	victim := ""
	for w := range t.withSeries {
		if victim == "" || t.counts[w] < t.counts[victim] || t.counts[w] == t.counts[victim] && w < victim {
			victim = w
		}
	}
	if count <= minLead*t.counts[victim] {
		return false
	}
	delete(t.withSeries, victim)
	return true
}
