package bencher

import (
	"fmt"
	"image/color"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

var colours = []color.Color{
	color.RGBA{R: 0xb0, G: 0xb0, B: 0xb0, A: 0xff}, color.RGBA{R: 0x6f, G: 0x8f, B: 0xb8, A: 0xff},
	color.RGBA{R: 0x1b, G: 0x7f, B: 0x5c, A: 0xff}, color.RGBA{R: 0xd9, G: 0x9a, B: 0x2b, A: 0xff},
}

// figure is a bar chart of one value of each summary.
type figure struct {
	file, title string
	value       func(Summary) float64
}

var figures = []figure{
	{"attainment.svg", "Top tier: part within its target, in crests", func(s Summary) float64 {
		_, crest := s.topTier()
		return crest
	}},
	{"goodput.svg", "Goodput, tokens/s", func(s Summary) float64 { return s.Goodput }},
	{"tail.svg", "Top tier: 99th percentile of the first token, ms", func(s Summary) float64 {
		return float64(s.Top.Milliseconds())
	}},
}

// Draw writes bar charts of the summaries as SVG files into a folder, which it
// creates if necessary.
func Draw(folder string, list []Summary) error {
	if err := os.MkdirAll(folder, 0o755); err != nil {
		return fmt.Errorf("create %s: %w", folder, err)
	}
	for _, f := range figures {
		if err := f.draw(filepath.Join(folder, f.file), list); err != nil {
			return fmt.Errorf("draw %s: %w", f.file, err)
		}
	}
	return nil
}

const (
	// groupPoints is the width in points of the bars of one workload with its name.
	groupPoints = 80
	// legendWidth is the space for the legend, as a number of groups of bars.
	legendWidth = 1.2
)

func (f figure) draw(path string, list []Summary) error {
	p := plot.New()
	p.Title.Text = f.title
	p.Legend.Top = true
	var names []string
	values := make(map[string]plotter.Values)
	var policies []string
	for _, s := range list {
		if len(names) == 0 || names[len(names)-1] != s.Workload {
			names = append(names, s.Workload)
		}
		if _, ok := values[s.Policy]; !ok {
			policies = append(policies, s.Policy)
		}
		values[s.Policy] = append(values[s.Policy], f.value(s))
	}
	for i, name := range policies {
		bars, err := plotter.NewBarChart(values[name], vg.Points(9))
		if err != nil {
			return fmt.Errorf("bars of %s: %w", name, err)
		}
		bars.Color = colours[i%len(colours)]
		bars.Offset = vg.Points(9 * (float64(i) - float64(len(policies)-1)/2))
		p.Add(bars)
		p.Legend.Add(name, bars)
	}
	for i := range names {
		names[i] = strings.Replace(names[i], "/", "\n", 1)
	}
	p.NominalX(names...)
	// The legend is placed to the right of the bars.
	p.X.Min, p.X.Max = -0.6, float64(len(names))+legendWidth
	return p.Save(vg.Points(float64(groupPoints*len(names)+80)), vg.Points(260), path)
}
