package meter

import "sync"

const (
	// topSeries is how many workspaces have series of their own at a time:
	// today's customers are about ten, and fifty fit a page of a report.
	topSeries = 50
	// topEver bounds the workspaces that ever get series of their own: one
	// that drops out keeps its old series, since a counter that vanishes reads
	// as a restart.
	topEver = 2 * topSeries
	// topCounted bounds the workspaces whose requests are counted for the
	// ranking. It bounds memory, not what is published.
	topCounted = 1024
	// lead is how much busier than the least busy of the named a workspace has
	// to be to take its place, so that two of like traffic do not take turns.
	lead = 2
)

// top decides which workspaces have series of their own: those with the most
// requests. Without it each workspace of a large customer base would cost
// every process tens of series; with the first ones named for good, a quiet
// early one would keep a large late one out of the report.
type top struct {
	mu     sync.Mutex
	counts map[string]int64
	named  map[string]bool
	ever   int
}

// label counts one request and returns the label value to use for it.
func (t *top) label(workspace string) string {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.counts == nil {
		t.counts = make(map[string]int64)
		t.named = make(map[string]bool)
	}
	if _, ok := t.counts[workspace]; !ok && len(t.counts) >= topCounted {
		return other
	}
	t.counts[workspace]++
	if t.named[workspace] || t.admit(workspace) {
		return workspace
	}
	return other
}

func (t *top) admit(workspace string) bool {
	if t.ever >= topEver {
		return false
	}
	if len(t.named) >= topSeries && !t.displace(t.counts[workspace]) {
		return false
	}
	t.named[workspace] = true
	t.ever++
	return true
}

// displace takes its series from the least busy workspace when the newcomer is
// clearly busier.
func (t *top) displace(count int64) bool {
	least := ""
	for w := range t.named {
		if least == "" || t.counts[w] < t.counts[least] || t.counts[w] == t.counts[least] && w < least {
			least = w
		}
	}
	if count <= lead*t.counts[least] {
		return false
	}
	delete(t.named, least)
	return true
}
