package meter

import "sync"

const (
	// maxSeries is the maximum number of workspaces that have their own series at a time.
	// There are about ten customers, and fifty rows fit on a page of a report.
	maxSeries = 50
	// maxSeriesEver is the maximum number of workspaces that ever get their own series. A
	// workspace that loses its place keeps its old series, since a counter that disappears
	// looks like a restart.
	maxSeriesEver = 2 * maxSeries
	// maxCounted is the maximum number of workspaces whose requests are counted for the
	// ranking. It limits memory, not the exported series.
	maxCounted = 1024
	// minLeadRatio is the factor by which a workspace must exceed the least busy one with its own
	// series to replace it, so that two with similar traffic do not alternate.
	minLeadRatio = 2
)

// topWorkspaces chooses the workspaces that have their own series: those with the most
// requests. Without a limit, each workspace of a large customer base would cost
// every process tens of series. If the first ones kept their series forever, a quiet
// early one would exclude a busy late one from the report.
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

// evictLeast evicts the least busy workspace if count is clearly higher than its count, and
// reports whether it did.
func (t *topWorkspaces) evictLeast(count int64) bool {
	victim := ""
	for w := range t.withSeries {
		if victim == "" || t.counts[w] < t.counts[victim] || t.counts[w] == t.counts[victim] && w < victim {
			victim = w
		}
	}
	if count <= minLeadRatio*t.counts[victim] {
		return false
	}
	delete(t.withSeries, victim)
	return true
}
