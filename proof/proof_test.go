package proof_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/cockroachdb/datadriven"

	"chestnutstep.example/chestnutstep/proof"
)

var framings = map[string]proof.Framing{"framed": proof.Framed, "marked": proof.Marked, "unframed": proof.Unframed}

// TestJudge guards against an end that counts as that of the answer without a proof.
func TestJudge(t *testing.T) {
	datadriven.RunTest(t, "testdata/ends", func(_ *testing.T, d *datadriven.TestData) string {
		e := proof.End{Framing: framings[d.Cmd], HasMarker: d.HasArg("marker")}
		if d.HasArg("error") {
			e.Err = io.ErrUnexpectedEOF
		}
		out := ""
		for _, e.Process = range []proof.Process{proof.Unknown, proof.Lives, proof.Ended} {
			out += fmt.Sprintf("process %s: %s\n", e.Process, proof.Judge(e))
		}
		return out
	})
}
