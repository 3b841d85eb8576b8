package meter

import (
	"fmt"
	"net/http/httptest"
	"os"
	"regexp"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"
)

const page = "../docs/METRICS.md"

func TestPage(t *testing.T) {
	if golden.FlagUpdate() {
		assert.NilError(t, os.WriteFile(page, []byte(Page()), 0o644))
	}
	raw, err := os.ReadFile(page)
	assert.NilError(t, err)
	assert.Equal(t, string(raw), Page(), "run: go test ./meter -update")
}

// scrape closes the set, which reports all counts, and returns the scraped text.
func scrape(t *testing.T, s *Set) string {
	t.Helper()
	assert.NilError(t, s.Close())
	w := httptest.NewRecorder()
	s.Handler().ServeHTTP(w, httptest.NewRequest("GET", "/metrics", nil))
	return w.Body.String()
}

func TestScrapeShowsEachMetric(t *testing.T) {
	s, err := NewSet()
	assert.NilError(t, err)
	for _, b := range s.metrics() {
		values := []string{"a", "b"}[:len(b.desc.labels)]
		switch v := b.v.(type) {
		case *Counter:
			v.Add(2, values...)
		case *Gauge:
			v.Set(2, values...)
		case *Histogram:
			v.Observe(3*time.Millisecond, values...)
		}
	}
	text := scrape(t, s)
	for _, e := range catalog() {
		help := fmt.Sprintf("# HELP %s_%s %s\n# TYPE %s_%s %s\n", prefix, e.name, e.help, prefix, e.name, e.kind)
		assert.Assert(t, strings.Contains(text, help), "%s is not shown", e.name)
	}
	shown := regexp.MustCompile(`(?m)^# TYPE `).FindAllString(text, -1)
	assert.Equal(t, len(shown), len(catalog()), "a metric that docs/METRICS.md lacks")
	assert.Assert(t, strings.Contains(text, `chestnutstep_entry_requests_total{profile="a",result="b"} 2`))
	assert.Assert(t, strings.Contains(text, `chestnutstep_agent_wait_seconds_bucket{profile="a",le="0.002"} 0`))
	assert.Assert(t, strings.Contains(text, `chestnutstep_agent_wait_seconds_bucket{profile="a",le="0.005"} 1`))
}

// TestLabelsAreBounded guards against a defect that puts text of callers into a label: the
// process would grow until the platform kills it.
func TestLabelsAreBounded(t *testing.T) {
	s, err := NewSet()
	assert.NilError(t, err)
	for i := range 10 * maxLabelValues {
		s.Entry.Requests.Add(1, "chat", fmt.Sprint("code ", i))
	}
	text := scrape(t, s)
	assert.Equal(t, strings.Count(text, "chestnutstep_entry_requests_total{"), maxLabelValues+1)
	assert.Assert(t, strings.Contains(text, fmt.Sprintf(`{profile="chat",result="other"} %d`, 9*maxLabelValues)))
}

// TestWorkspacesByTraffic guards against a large workspace that is missing in the monthly
// report because many small ones came first. No request may be missing in the sums.
func TestWorkspacesByTraffic(t *testing.T) {
	s, err := NewSet()
	assert.NilError(t, err)
	const small, large = 5 * maxSeries, 1000
	for i := range small {
		s.Workspaces.Requests.Add(1, fmt.Sprint("small ", i), "ok")
	}
	for range large {
		s.Workspaces.Requests.Add(1, "large", "ok")
	}
	text := scrape(t, s)
	counts := regexp.MustCompile(`chestnutstep_workspace_requests_total\{result="ok",workspace="([^"]*)"\} (\d+)`).
		FindAllStringSubmatch(text, -1)
	assert.Assert(t, len(counts) <= maxSeriesEver+1)
	sum, named := 0, 0
	for _, c := range counts {
		n := 0
		_, err := fmt.Sscan(c[2], &n)
		assert.NilError(t, err)
		sum += n
		if c[1] == "large" {
			named = n
		}
	}
	assert.Equal(t, sum, small+large)
	assert.Assert(t, named >= large-minLeadRatio-1, "%d", named)
}

func TestZeroSetCountsNothing(_ *testing.T) {
	var s Set
	s.Entry.Requests.Add(1, "a", "b")
	s.Agent.Running.Set(1)
	s.Agent.Wait.Observe(time.Second, "a")
}

func BenchmarkCounter(b *testing.B) {
	s, err := NewSet()
	assert.NilError(b, err)
	defer s.Close()
	b.ReportAllocs()
	for b.Loop() {
		s.Entry.Requests.Add(1, "chat", "ok")
	}
}
