package bench

import (
	"fmt"
	"os"
	"path/filepath"
	"sort"
	"time"

	"gonum.org/v1/plot"
	"gonum.org/v1/plot/plotter"
	"gonum.org/v1/plot/plotutil"
	"gonum.org/v1/plot/vg"
)

// Plot writes SVG plots of the results to a directory. For each deployment it
// plots the distribution of waiting times, and the requests served in time during
// a load swing and around the loss of a failure domain. The results of a
// deployment must be adjacent.
func Plot(dir string, all []Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create plot directory: %w", err)
	}
	for i := 0; i < len(all); {
		j := i
		for j < len(all) && all[j].Deployment == all[i].Deployment {
			j++
		}
		if err := plotDeployment(dir, all[i:j]); err != nil {
			return err
		}
		i = j
	}
	return nil
}

// plotDeployment writes the plots of one deployment.
func plotDeployment(dir string, all []Result) error {
	name := all[0].Deployment
	waits := func(r Result) plotter.XYs { return r.runs[steady].waitDistribution() }
	if err := savePlot(filepath.Join(dir, name+"-waits.svg"), name+": waiting time of short work, with long work", "s", "part of requests", all, waits); err != nil {
		return err
	}
	swingCourse := func(r Result) plotter.XYs { return r.runs[swing].servedPerSecond(warmUp, warmUp+swingPeriod) }
	if err := savePlot(filepath.Join(dir, name+"-swing.svg"), name+": short work served in time during a swing", "s", "requests/s", all, swingCourse); err != nil {
		return err
	}
	lossCourse := func(r Result) plotter.XYs {
		return r.runs[domainLoss].servedPerSecond(failTime-10*time.Second, failTime+40*time.Second)
	}
	return savePlot(filepath.Join(dir, name+"-domain.svg"), name+": a failure domain is lost at 10 s", "s", "short requests in time/s", all, lossCourse)
}

// savePlot writes a plot with one line for each variant.
func savePlot(path, title, xLabel, yLabel string, all []Result, points func(Result) plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, xLabel, yLabel
	p.Legend.Top = true
	for i, r := range all {
		line, err := plotter.NewLine(points(r))
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		line.Color, line.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(line)
		p.Legend.Add(r.Variant, line)
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// waitDistribution returns the cumulative distribution, from 0.8 to 1, of the
// waiting times of short requests that were started.
func (m *sim) waitDistribution() plotter.XYs {
	var all []float64
	for _, req := range m.requests {
		if !req.plain && !req.long && req.arrival >= m.scenario.WarmUp && req.startedAt >= 0 {
			all = append(all, (req.startedAt - req.arrival).Seconds())
		}
	}
	sort.Float64s(all)
	var out plotter.XYs
	for i := 0; i <= 200; i++ {
		fraction := 0.8 + 0.2*float64(i)/200
		out = append(out, plotter.XY{X: percentile(all, fraction), Y: fraction})
	}
	return out
}

// servedPerSecond returns the number of short requests served in time, for each
// second of arrival.
func (m *sim) servedPerSecond(from, to time.Duration) plotter.XYs {
	out := make(plotter.XYs, int((to-from)/time.Second))
	for i := range out {
		out[i].X = float64(i)
	}
	for _, req := range m.requests {
		if i := int((req.arrival - from) / time.Second); req.arrival >= from && i < len(out) && !req.plain && !req.long && req.inTime() {
			out[i].Y++
		}
	}
	return out
}
