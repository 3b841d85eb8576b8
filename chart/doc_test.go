package chart_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"chestnutstep.example/chestnutstep/chart"
	"chestnutstep.example/chestnutstep/order"
	"chestnutstep.example/chestnutstep/ticket"
)

// page is seen from testdata, where golden files are.
const page = "../../docs/design/charts.md"

// A chart changes and its page does not. Whoever reads the page at night, to see
// what a ticket's state means, acts on what is no longer so.
func TestChartsPageIsCurrent(t *testing.T) {
	var b strings.Builder
	b.WriteString("# State charts\n\nWritten from the chart files that the code interprets, by `go test ./chart -update`.\n")
	for _, c := range []*chart.Chart{chart.Target, ticket.Chart, order.Chart, chart.Publication} {
		b.WriteString("\n## " + strings.ToUpper(c.Name[:1]) + c.Name[1:] + "\n\n" + c.Doc())
	}
	golden.Assert(t, b.String(), page)
}
