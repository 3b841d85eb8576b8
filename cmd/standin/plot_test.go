package main

import (
	"os"
	"path/filepath"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"chestnutstep.example/chestnutstep/trial"
)

// Whoever compares policies wants one picture with a line of each in each chart.
func TestDrawPlots(t *testing.T) {
	file := filepath.Join(t.TempDir(), "lab.svg")
	series := []trial.Span{{Reuse: 0.5, Wait: time.Second, Largest: 1.2}, {Begin: time.Minute, Reuse: 0.7, Largest: 1.4}}
	assert.NilError(t, drawPlots(file, []plotLine{{"one policy", series}, {"another", series}}))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	for _, c := range charts {
		assert.Equal(t, strings.Count(string(raw), c.title), 1)
	}
	assert.Equal(t, strings.Count(string(raw), "another"), len(charts))
	assert.Assert(t, drawPlots(filepath.Join(t.TempDir(), "no", "such"), nil) != nil)
}
