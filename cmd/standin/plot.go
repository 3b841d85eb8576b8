package main

import (
	"os"

	"github.com/cockroachdb/errors"
	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"

	"chestnutstep.example/chestnutstep/trial"
)

// Width and height of one chart, on a screen.
const (
	plotWidth  = 24 * vg.Centimeter
	plotHeight = 9 * vg.Centimeter
)

// plotLine is what one policy gave over time.
type plotLine struct {
	name   string
	series []trial.Span
}

// charts are drawn one below the other.
var charts = []struct {
	title string
	value func(s trial.Span) float64
}{
	{"prefixes found or fetched, share of returning chats", func(s trial.Span) float64 { return s.Reuse + s.Imported }},
	{"wait for the start, seconds", func(s trial.Span) float64 { return s.Wait.Seconds() }},
	{"largest load against the mean", func(s trial.Span) float64 { return s.Largest }},
}

// drawPlots writes all charts into one SVG file.
func drawPlots(file string, lines []plotLine) error {
	canvas := vgsvg.New(plotWidth, plotHeight*vg.Length(len(charts)))
	tiles := draw.Tiles{Rows: len(charts), Cols: 1}
	for i, c := range charts {
		p, err := chart(c.title, lines, c.value)
		if err != nil {
			return errors.Wrapf(err, "plot %q", c.title)
		}
		p.Draw(tiles.At(draw.New(canvas), 0, i))
	}
	f, err := os.Create(file)
	if err != nil {
		return errors.Wrap(err, "plot")
	}
	if _, err := canvas.WriteTo(f); err != nil {
		_ = f.Close() // the first error is the one to tell
		return errors.Wrap(err, "plot")
	}
	return errors.Wrap(f.Close(), "plot")
}

// chart draws a value of all policies over the minutes of the load.
func chart(title string, lines []plotLine, value func(s trial.Span) float64) (*plot.Plot, error) {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "minutes"
	p.Legend.Top = true
	for i, l := range lines {
		points := make(plotter.XYs, len(l.series))
		for k, s := range l.series {
			points[k] = plotter.XY{X: s.Begin.Minutes(), Y: value(s)}
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return nil, err
		}
		line.Color = plotutil.Color(i)
		line.Dashes = plotutil.Dashes(i / len(plotutil.SoftColors))
		p.Add(line)
		p.Legend.Add(l.name, line)
	}
	return p, nil
}
