package main

import (
	"os"
	"time"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"chestnutstep.example/chestnutstep/trial"
)

// Size of one chart, for display on a screen.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plotLine is the time series of one policy.
type plotLine struct {
	name   string
	series []trial.Interval
}

// charts are drawn below each other.
var charts = []struct {
	title string
	value func(s trial.Interval) float64
}{
	{"prefixes found or fetched, share of returning chats", func(s trial.Interval) float64 { return s.Reuse + s.Imported }},
	{"wait for the start, seconds", func(s trial.Interval) float64 { return s.Wait.Seconds() }},
	{"largest load against the mean", func(s trial.Interval) float64 { return s.MaxToMean }},
}

// drawPlots writes an SVG file that plots the results of policies over time.
func drawPlots(file string, lines []plotLine) error {
	var plots []*plot.Plot
	for _, c := range charts {
		var curves []curve
		for _, l := range lines {
			points := make(plotter.XYs, len(l.series))
			for k, s := range l.series {
				points[k] = plotter.XY{X: s.Begin.Minutes(), Y: c.value(s)}
			}
			curves = append(curves, curve{l.name, points})
		}
		p, err := newPlot(c.title, "minutes", curves)
		if err != nil {
			return err
		}
		plots = append(plots, p)
	}
	return writePlots(file, plots)
}

// drawSurge writes an SVG file that plots goodput and the time to the first
// byte against the offered load.
func drawSurge(file string, rows []trial.SurgeRow) error {
	var plots []*plot.Plot
	for _, c := range []struct {
		title string
		value func(r trial.SurgeResult) float64
	}{
		{"requests in time a second", func(r trial.SurgeResult) float64 { return r.Goodput }},
		{"time to the first byte of 95 in 100, seconds", func(r trial.SurgeResult) float64 { return r.First95.Seconds() }},
	} {
		withAdmission, withoutAdmission := make(plotter.XYs, len(rows)), make(plotter.XYs, len(rows))
		for i, r := range rows {
			withAdmission[i] = plotter.XY{X: r.Offered, Y: c.value(r.WithAdmission)}
			withoutAdmission[i] = plotter.XY{X: r.Offered, Y: c.value(r.WithoutAdmission)}
		}
		p, err := newPlot(c.title, "offered load against what targets carry", []curve{{"refusing", withAdmission}, {"taking all", withoutAdmission}})
		if err != nil {
			return err
		}
		plots = append(plots, p)
	}
	return writePlots(file, plots)
}

// drawHedges writes an SVG file that plots tail latency against extra work. Policies without extra work are
// horizontal lines.
func drawHedges(file string, rows []trial.HedgeRow) error {
	var plots []*plot.Plot
	for _, c := range []struct {
		title string
		value func(r trial.HedgeResult) time.Duration
	}{
		{"p99 of safe requests, milliseconds", func(r trial.HedgeResult) time.Duration { return r.P99 }},
		{"p99.9 of safe requests, milliseconds", func(r trial.HedgeResult) time.Duration { return r.P999 }},
	} {
		p, err := newPlot(c.title, "extra work, percent", hedgeCurves(rows, c.value))
		if err != nil {
			return err
		}
		p.Y.Min = 0
		plots = append(plots, p)
	}
	return writePlots(file, plots)
}

// hedgeCurves returns a curve for each group of policies.
func hedgeCurves(rows []trial.HedgeRow, value func(r trial.HedgeResult) time.Duration) []curve {
	var curves []curve
	most := 0.0
	for _, r := range rows {
		most = max(most, 100*r.Result.Extra)
	}
	for _, group := range []string{trial.HedgeNone, trial.HedgeFixed, trial.HedgeBudget, trial.HedgePerfect} {
		var points plotter.XYs
		for _, r := range rows {
			if r.Group == group {
				points = append(points, plotter.XY{X: 100 * r.Result.Extra, Y: milliseconds(value(r.Result))})
			}
		}
		if len(points) == 1 {
			points = append(points, plotter.XY{X: most, Y: points[0].Y})
		}
		curves = append(curves, curve{group, points})
	}
	return curves
}

// writePlots writes charts below each other into one SVG file.
func writePlots(file string, plots []*plot.Plot) error {
	canvas := vgsvg.New(plotWidth, plotHeight*vg.Length(len(plots)))
	tiles := draw.Tiles{Rows: len(plots), Cols: 1}
	for i, p := range plots {
		p.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	if _, err := canvas.WriteTo(f); err != nil {
		_ = f.Close() // the first error is returned
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(f.Close(), "plot")
}

// curve is a named line of a chart.
type curve struct {
	name   string
	points plotter.XYs
}

// newPlot returns a chart with the curves over a common x axis.
func newPlot(title, xLabel string, curves []curve) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = xLabel
	p.Legend.Top = true
	for i, c := range curves {
		line, err := plotter.NewLine(c.points)
		if err != nil {
			return nil, errors.Wrapf(err, "plot %q", title)
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.SoftColors))
		p.Add(line)
		p.Legend.Add(c.name, line)
	}
	return p, nil
}

// unevenFleet is the comparison of one fleet with uneven targets.
type unevenFleet struct {
	name string
	rows []trial.UnevenRow
}

// unevenPolicies are the compared policies, and equal targets.
var unevenPolicies = []struct {
	name   string
	result func(r trial.UnevenRow) trial.UnevenResult
}{
	{"equal targets", func(r trial.UnevenRow) trial.UnevenResult { return r.Equal }},
	{"speed not used", func(r trial.UnevenRow) trial.UnevenResult { return r.WithoutSpeed }},
	{"speed used", func(r trial.UnevenRow) trial.UnevenResult { return r.WithSpeed }},
	{"perfect but for the age of speeds", func(r trial.UnevenRow) trial.UnevenResult { return r.BestAtAge }},
	{"perfect knowledge", func(r trial.UnevenRow) trial.UnevenResult { return r.Perfect }},
}

// drawUneven writes an SVG file that plots the time to the first byte and the part of the requests
// at slow targets against the age of readings.
func drawUneven(file string, fleets []unevenFleet) error {
	var plots []*plot.Plot
	for _, f := range fleets {
		for _, c := range []struct {
			title string
			value func(r trial.UnevenResult) float64
		}{
			{"time to the first byte of 99 in 100, milliseconds", func(r trial.UnevenResult) float64 { return 1000 * r.P99.Seconds() }},
			{"requests at slow targets, percent", func(r trial.UnevenResult) float64 { return 100 * r.SlowPart }},
		} {
			var curves []curve
			for _, p := range unevenPolicies {
				var points plotter.XYs
				for _, row := range f.rows {
					if row.Age >= 0 {
						points = append(points, plotter.XY{X: 1000 * row.Age.Seconds(), Y: c.value(p.result(row))})
					}
				}
				curves = append(curves, curve{p.name, points})
			}
			p, err := newPlot(f.name+": "+c.title, "age of readings, milliseconds", curves)
			if err != nil {
				return err
			}
			plots = append(plots, p)
		}
	}
	return writePlots(file, plots)
}
