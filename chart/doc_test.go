package chart_test

import (
	"strings"
	"testing"

	"gotest.tools/v3/golden"

	"chestnutstep.example/chestnutstep/chart"
	"chestnutstep.example/chestnutstep/order"
	"chestnutstep.example/chestnutstep/ticket"
)

// page is relative to testdata, where golden files are expected.
const page = "../../docs/design/charts.md"

// TestChartsPageIsCurrent guards against a page that differs from the charts
// after a change, so that operators would act on outdated descriptions of
// states.
func TestChartsPageIsCurrent(t *testing.T) {
	var b strings.Builder
	b.WriteString("# State charts\n\nWritten from the chart files that the code interprets, by `go test ./chart -update`.\n")
	for _, c := range []*chart.Chart{chart.Target, ticket.Chart, order.Chart, chart.Publication} {
		b.WriteString("\n## " + strings.ToUpper(c.Name[:1]) + c.Name[1:] + "\n\n" + c.Doc())
	}
	golden.Assert(t, b.String(), page)
}
