package hollow

import (
	"fmt"
	"math"
	"os"
	"path/filepath"
	"strings"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/vg"
)

// Metric is a value of a result that is plotted over the number of routers.
type Metric struct {
	Name  string
	Value func(Result) float64
	Limit float64 // upper limit that the plot shows; 0 for none
}

// busiestControl returns the maximum of a value over all control processes.
func busiestControl(of func(ProcessRate) float64) func(Result) float64 {
	return func(r Result) (most float64) {
		for _, x := range r.Control {
			most = max(most, of(x))
		}
		return most
	}
}

// firstProxy returns a value of the first proxy process, or NaN if the run had none.
func firstProxy(of func(ProcessRate) float64) func(Result) float64 {
	return func(r Result) float64 {
		if len(r.RealProxies) == 0 {
			return math.NaN()
		}
		return of(r.RealProxies[0])
	}
}

// Metrics lists the plotted metrics. Their names determine the names of the plot files.
var Metrics = []Metric{
	{"cores of the busiest control process, calm", busiestControl(func(x ProcessRate) float64 { return x.Cores }), 1},
	{"peak MB of the largest control process", busiestControl(func(x ProcessRate) float64 { return x.PeakMB }), 256},
	{"descriptors of a control process", busiestControl(func(x ProcessRate) float64 { return float64(x.Descriptors) }), 0},
	{"cores of a router, no traffic", firstProxy(func(x ProcessRate) float64 { return x.Cores }), 0.013},
	{"peak MB of a router", firstProxy(func(x ProcessRate) float64 { return x.PeakMB }), 256},
	{"bytes a second to a router, calm", func(r Result) float64 {
		p := r.Phases["calm"]
		return float64(p.BytesByDistance[0]+p.BytesByDistance[1]+p.BytesByDistance[2])/p.Seconds/float64(r.Routers) + 2*r.GossipBytesPerRouter
	}, 4096},
	{"kB of a snapshot, deflated", func(r Result) float64 {
		p := r.Phases["start"]
		return float64(p.FrameBytes["snapshot"]) / float64(max(1, p.Frames["snapshot"])) / 1024
	}, 0},
	{"ms until a change is told, p99", func(r Result) float64 { return r.ChangeApplied.P99 }, 4000},
	{"ms until a router follows at a start of all, worst", func(r Result) float64 { return r.StartReady.Worst }, 0},
	{"ms until a restarted router follows, worst", func(r Result) float64 { return r.Restarted.Worst }, 0},
}

// GrowthExponent returns the exponent b of m ~ routers^b, computed from the first and the last result. It returns 0 if there is
// no finite exponent, for example because one of the values is 0 or missing.
func GrowthExponent(results []Result, m Metric) float64 {
	a, b := results[0], results[len(results)-1]
	exponent := math.Log(m.Value(b)/m.Value(a)) / math.Log(float64(b.Routers)/float64(a.Routers))
	if math.IsNaN(exponent) || math.IsInf(exponent, 0) {
		return 0
	}
	return exponent
}

// WritePlot writes one SVG file for each metric to dir. A plot shows the values over the number of routers, the extrapolation to the
// target and the limit. The results have to be sorted by number of routers. Metrics with fewer than two values are skipped.
func WritePlot(dir string, results []Result) error {
	if len(results) < 2 {
		return fmt.Errorf("plotting growth needs at least two results, got %d", len(results))
	}
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	for _, m := range Metrics {
		p := plot.New()
		p.Title.Text = m.Name
		p.X.Label.Text = "routers"
		p.Legend.Top, p.Legend.Left = true, true
		var points plotter.XYs
		for _, r := range results {
			if y := m.Value(r); !math.IsNaN(y) {
				points = append(points, plotter.XY{X: float64(r.Routers), Y: y})
			}
		}
		if len(points) < 2 {
			continue
		}
		last := points[len(points)-1]
		target := float64(max(TargetPlan().Routers, int(last.X)))
		trend := plotter.XYs{last, {X: target, Y: last.Y * math.Pow(target/last.X, GrowthExponent(results, m))}}
		if err := addSeries(p, points, trend, m.Limit, target); err != nil {
			return err
		}
		name := strings.Map(func(r rune) rune {
			if r == ' ' || r == ',' {
				return '-'
			}
			return r
		}, m.Name) + ".svg"
		if err := p.Save(6*vg.Inch, 4*vg.Inch, filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	return nil
}

// addSeries adds the measured points, the extrapolation trend and, if positive, the limit to a plot.
func addSeries(p *plot.Plot, points, trend plotter.XYs, limit, target float64) error {
	measuredLine, measuredPoints, err := plotter.NewLinePoints(points)
	if err != nil {
		return err
	}
	trendLine, err := plotter.NewLine(trend)
	if err != nil {
		return err
	}
	trendLine.Dashes = []vg.Length{vg.Points(4), vg.Points(3)}
	p.Add(measuredLine, measuredPoints, trendLine)
	p.Legend.Add("measured", measuredLine, measuredPoints)
	p.Legend.Add("to the target", trendLine)
	if limit > 0 {
		limitLine, err := plotter.NewLine(plotter.XYs{{X: points[0].X, Y: limit}, {X: target, Y: limit}})
		if err != nil {
			return err
		}
		limitLine.Width = vg.Points(2)
		p.Add(limitLine)
		p.Legend.Add("bound", limitLine)
	}
	return nil
}
