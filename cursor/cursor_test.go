package cursor_test

import (
	"fmt"
	"strconv"
	"strings"
	"testing"

	"github.com/cockroachdb/datadriven"
	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"chestnutstep.example/chestnutstep/cursor"
)

// TestAdvance guards against events that repeat, lack, or go back for a caller.
func TestAdvance(t *testing.T) {
	datadriven.RunTest(t, "testdata/streams", func(t *testing.T, d *datadriven.TestData) string {
		var c cursor.Cursor
		if d.Cmd == "after" {
			c = cursor.After(scanID(t, d.CmdArgs[0].Key))
		}
		out := ""
		for _, word := range strings.Fields(d.Input) {
			if word == "note" {
				c.AddUnnumbered()
				out += fmt.Sprintf("note: can continue: %t\n", c.CanContinue())
				continue
			}
			if err := c.Advance(scanID(t, word)); err != nil {
				out += err.Error() + "\n"
				continue
			}
			out += fmt.Sprintf("%s: can continue: %t\n", word, c.CanContinue())
		}
		return out
	})
}

func scanID(t *testing.T, text string) int64 {
	t.Helper()
	id, err := strconv.ParseInt(text, 10, 64)
	assert.NilError(t, err)
	return id
}

// TestCallerGetsEachEventOnce guards against a repeat or a gap over any number of targets, each of which
// begins anywhere.
func TestCallerGetsEachEventOnce(t *testing.T) {
	rapid.Check(t, func(t *rapid.T) {
		start := rapid.Int64Range(0, 3).Draw(t, "start")
		c := cursor.Cursor{}
		if start > 0 {
			c = cursor.After(start)
		}
		next := start + 1
		for _, id := range rapid.SliceOf(rapid.Int64Range(-1, 9)).Draw(t, "ids") {
			err := c.Advance(id)
			if start == 0 && next == 1 && id == 0 && err == nil {
				continue
			}
			if (err == nil) != (id == next) {
				t.Fatalf("event %d where %d is next: %v", id, next, err)
			}
			if err == nil {
				next++
			}
		}
	})
}
