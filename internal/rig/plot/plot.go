// Package plot draws what a story came to, second by second, as SVG.
package plot

import (
	"fmt"
	"io"

	"github.com/wcharczuk/go-chart/v2"
	"github.com/wcharczuk/go-chart/v2/drawing"

	"brasswell/internal/rig"
)

// size of a plot, in pixels.
const width, height = 1100, 420

// Write draws the samples of a play: requests a second on the right, and on the left how many members the views hold, the
// most and the least of all living ones. Where the two lines meet, the views may agree; where they part, they do not.
func Write(w io.Writer, title string, samples []rig.Sample) error {
	var at, served, refused, failed, most, least []float64
	for _, s := range samples {
		if len(s.Views) == 0 {
			continue
		}
		hi, lo := 0, -1
		for _, n := range s.Views {
			hi = max(hi, n)
			if lo < 0 || n < lo {
				lo = n
			}
		}
		at = append(at, float64(s.At))
		served, refused, failed = append(served, float64(s.Served)), append(refused, float64(s.Refused)), append(failed, float64(s.Failed))
		most, least = append(most, float64(hi)), append(least, float64(lo))
	}
	if len(at) < 2 {
		return fmt.Errorf("plot: %d seconds are too few to draw", len(at))
	}
	line := func(name string, y []float64, color string, axis chart.YAxisType) chart.Series {
		return chart.ContinuousSeries{
			Name: name, XValues: at, YValues: y, YAxis: axis,
			Style: chart.Style{StrokeColor: drawing.ColorFromHex(color), StrokeWidth: 2},
		}
	}
	// A line that is all zeros would leave its axis without a range.
	top := 1.0
	for i := range at {
		top = max(top, served[i], refused[i], failed[i])
	}
	views := 1.0
	for _, n := range most {
		views = max(views, n)
	}
	c := chart.Chart{
		Title: title, Width: width, Height: height,
		Background:     chart.Style{Padding: chart.Box{Top: 50, Left: 30, Right: 30, Bottom: 20}},
		XAxis:          chart.XAxis{Name: "seconds"},
		YAxis:          chart.YAxis{Name: "requests a second", Range: &chart.ContinuousRange{Max: 1.1 * top}},
		YAxisSecondary: chart.YAxis{Name: "members held", Range: &chart.ContinuousRange{Max: 1.2 * views}},
		Series: []chart.Series{
			line("served", served, "2a9d55", chart.YAxisPrimary), line("refused", refused, "e09f1f", chart.YAxisPrimary),
			line("failed", failed, "c0392b", chart.YAxisPrimary), line("views, most", most, "1f5fa8", chart.YAxisSecondary),
			line("views, least", least, "8ab4e8", chart.YAxisSecondary),
		},
	}
	c.Elements = []chart.Renderable{chart.LegendThin(&c)}
	if err := c.Render(chart.SVG, w); err != nil {
		return fmt.Errorf("plot: %w", err)
	}
	return nil
}
