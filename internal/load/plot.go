package load

import (
	"fmt"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Size of a plot.
const (
	plotWidth  = 16 * vg.Centimeter
	plotHeight = 10 * vg.Centimeter
)

// Plot writes the distribution of latency to a file whose name ends in .svg.
func (r Report) Plot(file string) error {
	p := plot.New()
	p.Title.Text = "Latency of answered requests"
	p.X.Label.Text = "milliseconds after the request was due"
	p.Y.Label.Text = "percent of requests"
	points := make(plotter.XYs, len(r.Curve))
	for i, point := range r.Curve {
		points[i] = plotter.XY{X: point.Milliseconds, Y: point.Percent}
	}
	line, err := plotter.NewLine(points)
	if err != nil {
		return fmt.Errorf("plot latency: %w", err)
	}
	p.Add(line, plotter.NewGrid())
	if err := p.Save(plotWidth, plotHeight, file); err != nil {
		return fmt.Errorf("write plot %s: %w", file, err)
	}
	return nil
}
