package ending_test

import (
	"fmt"
	"io"
	"testing"

	"github.com/cockroachdb/datadriven"

	"chestnutstep.example/chestnutstep/ending"
)

var framings = map[string]ending.Framing{"framed": ending.Framed, "marked": ending.Marked, "unframed": ending.Unframed}

// TestJudge guards against an end that counts as that of the answer without a proof.
func TestJudge(t *testing.T) {
	datadriven.RunTest(t, "testdata/ends", func(_ *testing.T, d *datadriven.TestData) string {
		e := ending.End{Framing: framings[d.Cmd], HasMarker: d.HasArg("marker")}
		if d.HasArg("error") {
			e.Err = io.ErrUnexpectedEOF
		}
		out := ""
		for _, e.Process = range []ending.Process{ending.Unknown, ending.Lives, ending.Ended} {
			out += fmt.Sprintf("process %s: %s\n", e.Process, ending.Judge(e))
		}
		return out
	})
}
