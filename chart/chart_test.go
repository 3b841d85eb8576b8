package chart

import (
	"fmt"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
)

// TestScripts runs the scripts in testdata/parse, which parse charts with one
// fault each and follow the transitions of a valid one.
func TestScripts(t *testing.T) {
	datadriven.Walk(t, "testdata/parse", func(t *testing.T, path string) {
		var c *Chart
		datadriven.RunTest(t, path, func(t *testing.T, d *datadriven.TestData) string {
			switch d.Cmd {
			case "parse":
				parsed, err := Parse(d.Input)
				if err != nil {
					assert.Assert(t, IsErrChart(err))
					return err.Error()
				}
				c = parsed
				return c.Doc()
			case "walk":
				return walk(c, strings.Fields(d.Input))
			}
			return "unknown command"
		})
	})
}

func walk(c *Chart, events []string) string {
	var out strings.Builder
	state := c.InitialState()
	for _, event := range events {
		next, err := c.Next(state, event)
		if err != nil {
			fmt.Fprintf(&out, "%v %v\n", err, IsErrTransition(err))
			continue
		}
		state = next
		fmt.Fprintf(&out, "%s -> %s, final %v\n", event, state, c.IsFinal(state))
	}
	return out.String()
}

// TestRestartDoesNotReturnTarget guards against a restart that returns a target
// to service. A target that operators took out, or that is leaving, becomes
// unresponsive, answers again and seems healthy. It must not get requests,
// because its host can be about to be replaced.
func TestRestartDoesNotReturnTarget(t *testing.T) {
	for _, state := range []string{"out", "leaving"} {
		at := state
		for _, event := range []string{"lost", "ready", "chill", "earn", "prove", "lost"} {
			at, _ = Target.Next(at, event)
			assert.Equal(t, at, state)
		}
	}
	at, err := Target.Next("leaving", "out")
	assert.NilError(t, err)
	assert.Equal(t, at, "out")
}

func ExampleChart_Next() {
	state, err := Publication.Next("fetched", "force")
	fmt.Println(state, err)
	_, err = Publication.Next("superseded", "force")
	fmt.Println(err)
	// Output:
	// forced <nil>
	// chart publication: no move from "superseded" on "force"
}
