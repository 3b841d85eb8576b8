package meter

import (
	"fmt"
	"strings"
	"time"

	"github.com/uber-go/tally/v4"
)

// kind is the type of a metric.
type kind string

const (
	kindCounter   kind = "counter"
	kindGauge     kind = "gauge"
	kindHistogram kind = "histogram"
)

// description describes one metric to operators.
type description struct {
	name   string
	kind   kind
	unit   string
	labels []string
	help   string
}

// Labels of the metrics.
const (
	labelProfile   = "profile"
	labelWorkspace = "workspace"
	labelResult    = "result"
	labelKind      = "kind"
	labelWay       = "way"
	labelTopic     = "topic"
	labelFrom      = "from"
	labelProof     = "proof"
	labelService   = "service"
)

// durationBuckets are the bounds of the histograms of time: finer below a second, for
// short answers, and up to the minutes that a long one can take.
var durationBuckets = tally.DurationBuckets{
	time.Millisecond, 2 * time.Millisecond, 5 * time.Millisecond,
	10 * time.Millisecond, 20 * time.Millisecond, 50 * time.Millisecond,
	100 * time.Millisecond, 200 * time.Millisecond, 500 * time.Millisecond,
	time.Second, 2 * time.Second, 5 * time.Second,
	10 * time.Second, 30 * time.Second, time.Minute, 5 * time.Minute,
}

// Page returns the content of docs/METRICS.md.
func Page() string {
	var b strings.Builder
	b.WriteString(pageHead)
	for _, e := range catalog() {
		fmt.Fprintf(&b, "| `%s_%s` | %s | %s | %s | %s |\n",
			prefix, e.name, e.kind, e.unit, labelText(e.labels), e.help)
	}
	return b.String()
}

func labelText(labels []string) string {
	if len(labels) == 0 {
		return "-"
	}
	return "`" + strings.Join(labels, "`, `") + "`"
}

const pageHead = `# Metrics

Made from the fields of ` + "`Set` in meter/set.go by `go test ./meter -update`" + `; a test fails
when the two differ. A process serves them at ` + "`GET /metrics`" + ` of its admin address, in
the Prometheus text format, and brings them up to date once a second.

Histograms are kept by bucket: a ` + "`_sum`" + ` is made of the buckets' upper bounds and so
an upper estimate; take quantiles from the buckets.

No label grows with callers' input. A workspace has series of its own while it is
among the fifty with the most requests at this process; the others share
` + "`workspace=\"other\"`" + `. At most one hundred workspaces get series of their own in the
life of a process. Any other label takes at most two hundred values, then ` + "`other`" + `.

For a monthly report of fairness, sum over all agents by workspace:
` + "`increase(chestnutstep_workspace_tokens_total[30d])` against the published weights, and\n`chestnutstep_workspace_wait_seconds`" + ` for who waited.

| name | kind | unit | labels | meaning |
|---|---|---|---|---|
`
