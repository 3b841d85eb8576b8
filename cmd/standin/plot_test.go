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

// TestDrawPlots guards against charts that omit a policy: every chart must
// contain a line for each.
func TestDrawPlots(t *testing.T) {
	file := filepath.Join(t.TempDir(), "lab.svg")
	series := []trial.Interval{{Reuse: 0.5, Wait: time.Second, MaxToMean: 1.2}, {Begin: time.Minute, Reuse: 0.7, MaxToMean: 1.4}}
	assert.NilError(t, drawPlots(file, []plotLine{{"one policy", series}, {"another", series}}))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	for _, c := range charts {
		assert.Equal(t, strings.Count(string(raw), c.title), 1)
	}
	assert.Equal(t, strings.Count(string(raw), "another"), len(charts))
	assert.Assert(t, drawPlots(filepath.Join(t.TempDir(), "no", "such"), nil) != nil)
}

// TestDrawSurge guards against charts that omit one of the two variants, with
// and without refusals.
func TestDrawSurge(t *testing.T) {
	file := filepath.Join(t.TempDir(), "surge.svg")
	rows := []trial.SurgeRow{
		{Offered: 1, WithAdmission: trial.SurgeResult{Goodput: 300}, WithoutAdmission: trial.SurgeResult{Goodput: 250}},
		{Offered: 2, WithAdmission: trial.SurgeResult{Goodput: 310}, WithoutAdmission: trial.SurgeResult{Goodput: 150}},
	}
	assert.NilError(t, drawSurge(file, rows))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	assert.Equal(t, strings.Count(string(raw), "taking all"), 2)
	assert.Equal(t, strings.Count(string(raw), "requests in time a second"), 1)
}

// TestDrawHedges guards against charts that omit a policy or draw nothing of one without extra work.
func TestDrawHedges(t *testing.T) {
	file := filepath.Join(t.TempDir(), "hedge.svg")
	var rows []trial.HedgeRow
	for i, group := range []string{trial.HedgeNone, trial.HedgeFixed, trial.HedgeFixed, trial.HedgeBudget, trial.HedgePerfect} {
		rows = append(rows, trial.HedgeRow{Group: group, Result: trial.HedgeResult{P99: time.Second, P999: 2 * time.Second, Extra: 0.01 * float64(i%4)}})
	}
	assert.NilError(t, drawHedges(file, rows))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	for _, group := range []string{trial.HedgeNone, trial.HedgeFixed, trial.HedgeBudget, trial.HedgePerfect} {
		assert.Equal(t, strings.Count(string(raw), ">"+group+"<"), 2)
	}
}

// TestDrawUneven guards against charts that omit a policy, and against drawing the row without
// readings as an age.
func TestDrawUneven(t *testing.T) {
	file := filepath.Join(t.TempDir(), "uneven.svg")
	rows := []trial.UnevenRow{{Age: 0}, {Age: time.Second, WithSpeed: trial.UnevenResult{P99: time.Second}}, {Age: -1}}
	assert.NilError(t, drawUneven(file, []unevenFleet{{"plain service", rows}, {"engines", rows}}))
	raw, err := os.ReadFile(file)
	assert.NilError(t, err)
	for _, p := range unevenPolicies {
		assert.Assert(t, strings.Count(string(raw), ">"+p.name+"<") == 4, p.name)
	}
}
