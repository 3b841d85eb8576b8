package meter

import (
	"sync"
	"time"

	"github.com/uber-go/tally/v4"
)

// maxLabelValues is the maximum number of values of a label other than workspace. Profiles,
// reasons and kinds are published or fixed, and far fewer. The limit covers a defect
// that puts text of callers into a label, by which the process would otherwise
// grow until it is killed.
const maxLabelValues = 200

// other is the label value that all values beyond the limit share.
const other = "other"

// maxLabels is the maximum number of labels of a metric.
const maxLabels = 2

// labelValues holds the label values of a series. It is an array, so that looking up a series
// does not allocate.
type labelValues [maxLabels]string

// series holds the series of one metric by label values.
type series[T any] struct {
	scope tally.Scope
	desc  description

	mu         sync.RWMutex
	byLabels   map[labelValues]T
	seenValues [maxLabels]map[string]bool
	// ranked is set if the first label is a workspace. All metrics share
	// it, so that they have series for the same workspaces.
	ranked *topWorkspaces
}

func (s *series[T]) init(scope tally.Scope, e description, t *topWorkspaces) {
	s.scope = scope
	s.desc = e
	s.byLabels = make(map[labelValues]T)
	for i, l := range e.labels {
		s.seenValues[i] = make(map[string]bool)
		if l == labelWorkspace {
			s.ranked = t
		}
	}
}

// get returns the series with the given label values, or creates it. It returns false if the
// metric is not bound.
func (s *series[T]) get(values []string, create func(tally.Scope, string) T) (T, bool) {
	var zero T
	if s.scope == nil {
		return zero, false
	}
	var k labelValues
	copy(k[:], values)
	if s.ranked != nil {
		k[0] = s.ranked.label(k[0])
	}
	s.mu.RLock()
	v, ok := s.byLabels[k]
	s.mu.RUnlock()
	if ok {
		return v, true
	}
	return s.add(k, create), true
}

func (s *series[T]) add(k labelValues, create func(tally.Scope, string) T) T {
	s.mu.Lock()
	defer s.mu.Unlock()
	tags := map[string]string{}
	for i, l := range s.desc.labels {
		k[i] = s.boundValue(i, k[i])
		tags[l] = k[i]
	}
	if v, ok := s.byLabels[k]; ok {
		return v
	}
	scope := s.scope
	if len(tags) > 0 {
		scope = scope.Tagged(tags)
	}
	v := create(scope, s.desc.name)
	s.byLabels[k] = v
	return v
}

func (s *series[T]) boundValue(i int, v string) string {
	if s.seenValues[i][v] {
		return v
	}
	if len(s.seenValues[i]) >= maxLabelValues {
		return other
	}
	s.seenValues[i][v] = true
	return v
}

// Counter is a counter that only increases. Label values are in the order of
// docs/METRICS.md. The zero Counter counts nothing, so that components can be used
// without a set.
type Counter struct{ series[tally.Counter] }

func (c *Counter) bind(scope tally.Scope, e description, t *topWorkspaces) { c.init(scope, e, t) }

// Add adds n, which must not be negative.
func (c *Counter) Add(n int64, values ...string) {
	if v, ok := c.get(values, tally.Scope.Counter); ok {
		v.Inc(n)
	}
}

// Gauge holds the latest value.
type Gauge struct{ series[tally.Gauge] }

func (g *Gauge) bind(scope tally.Scope, e description, t *topWorkspaces) { g.init(scope, e, t) }

// Set replaces the value.
func (g *Gauge) Set(v float64, values ...string) {
	if s, ok := g.get(values, tally.Scope.Gauge); ok {
		s.Update(v)
	}
}

// Histogram counts durations by bucket.
type Histogram struct{ series[tally.Histogram] }

func (h *Histogram) bind(scope tally.Scope, e description, t *topWorkspaces) { h.init(scope, e, t) }

// Observe counts one duration.
func (h *Histogram) Observe(d time.Duration, values ...string) {
	if v, ok := h.get(values, newHistogram); ok {
		v.RecordDuration(d)
	}
}

func newHistogram(scope tally.Scope, name string) tally.Histogram {
	return scope.Histogram(name, durationBuckets)
}
