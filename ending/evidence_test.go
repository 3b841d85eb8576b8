package ending_test

import (
	"fmt"
	"testing"

	"github.com/cockroachdb/datadriven"

	"chestnutstep.example/chestnutstep/ending"
)

var (
	witnesses = []string{"none", "open", "answered", "ended"}
	freshOnes = []string{"untried", "open", "answered", "dropped", "refused", "unreached"}
)

// TestEvidence guards against a state of one connection that alone passes for life or death.
func TestEvidence(t *testing.T) {
	datadriven.RunTest(t, "testdata/evidence", func(_ *testing.T, d *datadriven.TestData) string {
		out := ""
		for i, witness := range witnesses {
			for j, fresh := range freshOnes {
				e := ending.Evidence{
					Witness: ending.WitnessState(i), Fresh: ending.FreshState(j),
					IsPrompt: d.HasArg("prompt"), IsAcknowledged: d.HasArg("acknowledged"),
					WasRefused: d.HasArg("refused"), WasDropped: d.HasArg("dropped"),
				}
				state, final := e.Process()
				out += fmt.Sprintf("witness %-9s fresh %-10s %s", witness, fresh+":", state)
				if final {
					out += ", final"
				}
				out += "\n"
			}
		}
		return out
	})
}
