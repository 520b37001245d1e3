package load

import (
	"io"
	"sort"
	"strconv"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
	"gonum.org/v1/plot/vg/draw"
	"gonum.org/v1/plot/vg/vgsvg"
)

const (
	plotWidth            = 16 * vg.Centimeter
	plotHeight           = 10 * vg.Centimeter
	minFirstTokenSeconds = 0.001 // not 0, which a logarithmic axis cannot show
	maxFirstTokenSeconds = 100.0
)

// Plot writes the cumulative distribution of the time to first token, with a line for
// each class, as SVG.
func Plot(w io.Writer, title string, results []Result) error {
	p := plot.New()
	p.Title.Text = title
	p.X.Label.Text = "time to first token, seconds"
	p.Y.Label.Text = "share of the answers"
	p.X.Scale = plot.LogScale{}
	p.X.Tick.Marker = plot.LogTicks{Prec: -1}
	p.Legend.Left, p.Legend.Top = true, true
	for i, class := range Classes() {
		points := distribution(results, class)
		if len(points) == 0 {
			continue
		}
		line, err := plotter.NewLine(points)
		if err != nil {
			return err
		}
		line.Color = plotutil.Color(i)
		p.Add(line)
		p.Legend.Add(string(class)+" ("+strconv.Itoa(len(points))+")", line)
	}
	p.X.Min, p.X.Max = minFirstTokenSeconds, maxFirstTokenSeconds
	p.Y.Min, p.Y.Max = 0, 1
	canvas := vgsvg.New(plotWidth, plotHeight)
	p.Draw(draw.New(canvas))
	_, err := canvas.WriteTo(w)
	return err
}

// distribution returns the cumulative share of a class's complete answers by their
// time to first token.
func distribution(results []Result, class Class) plotter.XYs {
	var seconds []float64
	for _, r := range results {
		if r.Arrival.Class == class && r.Reason == "" {
			seconds = append(seconds, min(max(r.TimeToFirstToken.Seconds(), minFirstTokenSeconds), maxFirstTokenSeconds))
		}
	}
	sort.Float64s(seconds)
	points := make(plotter.XYs, len(seconds))
	for i, s := range seconds {
		points[i] = plotter.XY{X: s, Y: float64(i+1) / float64(len(seconds))}
	}
	return points
}
