package load

import (
	"fmt"
	"io"
	"slices"
	"sync"
	"time"

	"github.com/HdrHistogram/hdrhistogram-go"

	"chestnutstep.example/chestnutstep/fake"
)

// Histograms cover 1 microsecond to 1 minute with three significant digits.
// This is finer than the noise on loopback, and takes a few hundred kilobytes.
const (
	histogramMinMicros = 1
	histogramMaxMicros = 60_000_000
	histogramDigits    = 3
)

// Histogram is a histogram of durations. It is safe for concurrent use.
type Histogram struct {
	mu sync.Mutex
	h  *hdrhistogram.Histogram
}

// Add records a duration. Durations above one minute count as one minute.
func (t *Histogram) Add(d time.Duration) {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.h == nil {
		t.h = hdrhistogram.New(histogramMinMicros, histogramMaxMicros, histogramDigits)
	}
	_ = t.h.RecordValue(min(max(d.Microseconds(), histogramMinMicros), histogramMaxMicros))
}

// Quantile returns the q-quantile of the durations, with q from 0 to 1, or 0 if
// there are none.
func (t *Histogram) Quantile(q float64) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.h == nil {
		return 0
	}
	return time.Duration(t.h.ValueAtQuantile(q*100)) * time.Microsecond
}

// Count returns the number of recorded durations.
func (t *Histogram) Count() int64 {
	t.mu.Lock()
	defer t.mu.Unlock()
	if t.h == nil {
		return 0
	}
	return t.h.TotalCount()
}

// Count is the number of occurrences of the named item.
type Count struct {
	Name string `json:"name"`
	N    int    `json:"n"`
}

// Report counts the results that callers get. It is safe for concurrent use.
type Report struct {
	// FirstByte holds the times to the first byte, EventGap the times between
	// successive reads of an answer.
	FirstByte, EventGap Histogram

	mu           sync.Mutex
	kinds        map[string]int
	codes        map[string]int
	workspaces   map[string]int
	promptTokens int
	cachedTokens int
	errs         []error
}

// Add counts the result of a request with a prompt of the given number of
// tokens.
func (r *Report) Add(workspace string, promptTokens int, res fake.Result) {
	if res.FirstByte > 0 {
		r.FirstByte.Add(res.FirstByte)
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.kinds == nil {
		r.kinds, r.codes, r.workspaces = map[string]int{}, map[string]int{}, map[string]int{}
	}
	r.kinds[string(res.Kind)]++
	r.workspaces[workspace]++
	switch res.Kind {
	case fake.Refused:
		r.codes[fmt.Sprintf("%d %s", res.Status, res.Code)]++
	case fake.Complete:
		r.promptTokens += promptTokens
		r.cachedTokens += res.Cached
	case fake.Broken, fake.Misdelivered, fake.Truncated, fake.Unreachable:
		r.errs = append(r.errs, fmt.Errorf("%s: %s %d: %w", res.Kind, res.Code, res.Status, orUnknown(res.Err)))
	}
}

func orUnknown(err error) error {
	if err == nil {
		return fmt.Errorf("no transport error")
	}
	return err
}

// CountKind returns the number of results of a kind.
func (r *Report) CountKind(k fake.ResultKind) int {
	r.mu.Lock()
	defer r.mu.Unlock()
	return r.kinds[string(k)]
}

// ReuseRatio returns the share of prompt tokens that were found in a cache,
// from 0 to 1, over the complete answers.
func (r *Report) ReuseRatio() float64 {
	r.mu.Lock()
	defer r.mu.Unlock()
	if r.promptTokens == 0 {
		return 0
	}
	return float64(r.cachedTokens) / float64(r.promptTokens)
}

// Codes returns the numbers of refusals by status and code, in descending
// order.
func (r *Report) Codes() []Count {
	r.mu.Lock()
	defer r.mu.Unlock()
	return sortCounts(r.codes)
}

// Errors returns up to n of the first errors of failed requests.
func (r *Report) Errors(n int) []error {
	r.mu.Lock()
	defer r.mu.Unlock()
	return slices.Clone(r.errs[:min(n, len(r.errs))])
}

func sortCounts(m map[string]int) []Count {
	out := make([]Count, 0, len(m))
	for name, n := range m {
		out = append(out, Count{name, n})
	}
	slices.SortFunc(out, func(a, b Count) int {
		if a.N != b.N {
			return b.N - a.N
		}
		if a.Name < b.Name {
			return -1
		}
		return 1
	})
	return out
}

// Summary is the printable form of a report.
type Summary struct {
	Kinds      []Count `json:"kinds"`
	Refusals   []Count `json:"refusals"`
	Workspaces []Count `json:"workspaces"`
	Reuse      float64 `json:"reuse"`
	// Quantiles in milliseconds.
	FirstP50 float64 `json:"first_p50"`
	FirstP99 float64 `json:"first_p99"`
	GapP50   float64 `json:"gap_p50"`
	GapP99   float64 `json:"gap_p99"`
}

// Summary returns a summary of the results so far.
func (r *Report) Summary() Summary {
	s := Summary{Reuse: r.ReuseRatio(), Refusals: r.Codes()}
	s.FirstP50, s.FirstP99 = ms(r.FirstByte.Quantile(0.5)), ms(r.FirstByte.Quantile(0.99))
	s.GapP50, s.GapP99 = ms(r.EventGap.Quantile(0.5)), ms(r.EventGap.Quantile(0.99))
	r.mu.Lock()
	defer r.mu.Unlock()
	s.Kinds, s.Workspaces = sortCounts(r.kinds), sortCounts(r.workspaces)
	return s
}

func ms(d time.Duration) float64 {
	return float64(d.Microseconds()) / 1000
}

// Print writes the summary as a table.
func (s Summary) Print(w io.Writer) {
	for _, c := range s.Kinds {
		fmt.Fprintf(w, "%-34s %d\n", "answers "+c.Name, c.N)
	}
	for _, c := range s.Refusals {
		fmt.Fprintf(w, "%-34s %d\n", "refusals "+c.Name, c.N)
	}
	for _, c := range s.Workspaces {
		fmt.Fprintf(w, "%-34s %d\n", "requests of "+c.Name, c.N)
	}
	fmt.Fprintf(w, "%-34s %.1f%%\n", "prompt tokens found in a cache", s.Reuse*100)
	fmt.Fprintf(w, "%-34s %.2f ms, %.2f ms\n", "first byte, median and p99", s.FirstP50, s.FirstP99)
	fmt.Fprintf(w, "%-34s %.2f ms, %.2f ms\n", "between pieces, median and p99", s.GapP50, s.GapP99)
}
