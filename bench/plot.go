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

// Plot writes the SVG plots of all figures to a directory: for each shape the
// distribution of waiting times, the course of a swing, and the course after a
// failure domain is lost.
func Plot(dir string, all []Result) error {
	if err := os.MkdirAll(dir, 0o755); err != nil {
		return fmt.Errorf("create directory of plots: %w", err)
	}
	for i := 0; i < len(all); {
		j := i
		for j < len(all) && all[j].Deployment == all[i].Deployment {
			j++
		}
		if err := plotShape(dir, all[i:j]); err != nil {
			return err
		}
		i = j
	}
	return nil
}

func plotShape(dir string, all []Result) error {
	name := all[0].Deployment
	waits := func(f Result) plotter.XYs { return f.runs[steady].distribution() }
	if err := draw(filepath.Join(dir, name+"-waits.svg"), name+": waiting time of short work, with long work", "s", "part of requests", all, waits); err != nil {
		return err
	}
	course := func(f Result) plotter.XYs { return f.runs[swing].course(warm, warm+swingEvery) }
	if err := draw(filepath.Join(dir, name+"-swing.svg"), name+": short work served in time during a swing", "s", "requests/s", all, course); err != nil {
		return err
	}
	loss := func(f Result) plotter.XYs {
		return f.runs[domain].course(failAt-10*time.Second, failAt+40*time.Second)
	}
	return draw(filepath.Join(dir, name+"-domain.svg"), name+": a failure domain is lost at 10 s", "s", "short requests in time/s", all, loss)
}

func draw(path, title, x, y string, all []Result, points func(Result) plotter.XYs) error {
	p := plot.New()
	p.Title.Text, p.X.Label.Text, p.Y.Label.Text = title, x, y
	p.Legend.Top = true
	for i, f := range all {
		l, err := plotter.NewLine(points(f))
		if err != nil {
			return fmt.Errorf("plot %s: %w", path, err)
		}
		l.Color, l.Dashes = plotutil.Color(i), plotutil.Dashes(i)
		p.Add(l)
		p.Legend.Add(f.Variant, l)
	}
	if err := p.Save(16*vg.Centimeter, 10*vg.Centimeter, path); err != nil {
		return fmt.Errorf("write plot: %w", err)
	}
	return nil
}

// distribution returns the cumulative distribution of the waiting times of
// short work that was started.
func (m *sim) distribution() plotter.XYs {
	var all []float64
	for _, q := range m.requests {
		if !q.plain && !q.long && q.at >= m.scene.WarmUp && q.begun >= 0 {
			all = append(all, (q.begun - q.at).Seconds())
		}
	}
	sort.Float64s(all)
	var out plotter.XYs
	for i := 0; i <= 200; i++ {
		part := 0.8 + 0.2*float64(i)/200
		out = append(out, plotter.XY{X: percentile(all, part), Y: part})
	}
	return out
}

// course returns the short requests served in time for each second of arrival.
func (m *sim) course(from, to time.Duration) plotter.XYs {
	out := make(plotter.XYs, int((to-from)/time.Second))
	for i := range out {
		out[i].X = float64(i)
	}
	for _, q := range m.requests {
		if i := int((q.at - from) / time.Second); q.at >= from && i < len(out) && !q.plain && !q.long && q.inTime() {
			out[i].Y++
		}
	}
	return out
}
