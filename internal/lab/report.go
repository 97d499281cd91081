package lab

import (
	_ "embed"
	"html/template"
	"os"
	"path/filepath"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

//go:embed report.html
var reportTemplate string

// WriteReport writes an HTML page and plots (SVG and PNG) of a run to dir, which it creates if necessary.
func WriteReport(dir string, s StormExperiment, r Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return err
	}
	p := plot.New()
	p.Title.Text = "Retry storm of kind " + s.Kind + ", policy " + s.Policy
	p.X.Label.Text, p.Y.Label.Text = "seconds", "per second"
	p.Legend.Top = true
	line := func(row []float64, scale float64) plotter.XYs {
		points := make(plotter.XYs, 0, len(row))
		for i := 0; i+loadWindow <= len(row); i += loadWindow {
			points = append(points, plotter.XY{X: float64(i) * step.Seconds(), Y: sum(row, i, i+loadWindow) / loadWindow * scale})
		}
		return points
	}
	per := 1 / step.Seconds()
	if err := plotutil.AddLines(p, "offered (attempts)", line(r.Series.Offered, per), "admitted (equivalent commands)",
		line(r.Series.Admitted, per/meanWorkSeconds), "capacity (equivalent commands)", line(r.Series.Capacity, 1/meanWorkSeconds),
		"served in time", line(r.Series.Served, per)); err != nil {
		return err
	}
	for _, name := range []string{"storm.svg", "storm.png"} {
		if err := p.Save(9*vg.Inch, 4*vg.Inch, filepath.Join(dir, name)); err != nil {
			return err
		}
	}
	t, err := template.New("report").Parse(reportTemplate)
	if err != nil {
		return err
	}
	f, err := os.Create(filepath.Join(dir, "report.html"))
	if err != nil {
		return err
	}
	defer f.Close()
	return t.Execute(f, struct {
		StormExperiment
		Result
	}{s, r})
}
