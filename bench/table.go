package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Target is a target of section 1.2 of the design page.
type Target struct {
	Name    string
	Bound   float64
	AtLeast bool // the value must be at least the bound, otherwise at most
}

// Met reports whether a value meets the target.
func (t Target) Met(v float64) bool {
	if t.AtLeast {
		return v >= t.Bound
	}
	return v <= t.Bound
}

// text returns the target as the table shows it.
func (t Target) text() string {
	switch {
	case t.Name == "":
		return "-"
	case t.AtLeast:
		return fmt.Sprintf(">= %.2f", t.Bound)
	default:
		return fmt.Sprintf("<= %.2f", t.Bound)
	}
}

// Targets of section 1.2 of the design page.
var (
	TargetThroughput = Target{"throughput", 0.95, true}
	TargetBlocking   = Target{"blocking", 1.2, false}
	TargetPeak       = Target{"peak", 0.95, true}
	TargetNeedless   = Target{"needless", 0.01, false}
	TargetJain       = Target{"jain", 0.95, true}
)

// Row is a row of the table. An empty Target means that the row has none.
type Row struct {
	Name   string
	Target Target
	Format string
	Value  func(Result) float64
}

// Blocking returns how much long work delays short work: the ratio of the 95th
// percentile of the waiting time of short work with long work to that with the
// long work replaced by short work of equal size. Waits below a millisecond count
// as one millisecond.
func (r Result) Blocking() float64 {
	return max(r.WaitWithLong[1], 0.001) / max(r.WaitEqualShort[1], 0.001)
}

// BlockingShortOnly returns the same ratio with the long work left out instead of
// replaced. The hardware is less loaded in that reference.
func (r Result) BlockingShortOnly() float64 {
	return max(r.WaitWithLong[1], 0.001) / max(r.WaitShortOnly[1], 0.001)
}

// Rows returns the rows of the table in order.
func Rows() []Row {
	rows := []Row{{"throughput at saturation, part of hardware bound", TargetThroughput, "%.3f", func(r Result) float64 { return r.Throughput }}}
	for i, n := range []string{"median", "95th", "99th", "worst"} {
		rows = append(rows,
			Row{"wait of short work with long work, " + n + ", s", Target{}, "%.3f", func(r Result) float64 { return r.WaitWithLong[i] }},
			Row{"  long work replaced by equal short work, s", Target{}, "%.3f", func(r Result) float64 { return r.WaitEqualShort[i] }},
			Row{"  without the long work, s", Target{}, "%.3f", func(r Result) float64 { return r.WaitShortOnly[i] }})
	}
	return append(rows,
		Row{"95th with over 95th with equal short work", TargetBlocking, "%.2f", Result.Blocking},
		Row{"95th with over 95th without the long work", TargetBlocking, "%.2f", Result.BlockingShortOnly},
		Row{"short work in time at peak, of deadline plan", TargetPeak, "%.3f", func(r Result) float64 { return r.PeakVsEDF }},
		Row{"  of the better of both plans", TargetPeak, "%.3f", func(r Result) float64 { return r.PeakVsBest }},
		Row{"short work in time over a swing, of deadline plan", TargetPeak, "%.3f", func(r Result) float64 { return r.SwingVsEDF }},
		Row{"long work in time at peak, of all", Target{}, "%.3f", func(r Result) float64 { return r.PeakLongServed }},
		Row{"plain calls in time at peak, of deadline plan", TargetPeak, "%.3f", func(r Result) float64 { return r.PlainVsEDF }},
		Row{"  of the better of both plans", TargetPeak, "%.3f", func(r Result) float64 { return r.PlainVsBest }},
		Row{"short work without answer until its deadline at peak", Target{}, "%.3f", func(r Result) float64 { return r.Expired }},
		Row{"needless rejections by plan, of short work", TargetNeedless, "%.4f", func(r Result) float64 { return r.NeedlessRejections }},
		Row{"needless rejections by actual course", TargetNeedless, "%.4f", func(r Result) float64 { return r.IdleRejections }},
		Row{"Jain's index, equal weights", TargetJain, "%.3f", func(r Result) float64 { return r.JainIndex }},
		Row{"smallest account, of its max-min part", Target{}, "%.3f", func(r Result) float64 { return r.MinShare }},
		Row{"recovery after a peak, s", Target{}, "%.0f", func(r Result) float64 { return r.PeakRecovery }},
		Row{"recovery after losing a worker, s", Target{}, "%.0f", func(r Result) float64 { return r.WorkerRecovery }},
		Row{"recovery after losing a failure domain, s", Target{}, "%.0f", func(r Result) float64 { return r.DomainRecovery }},
		Row{"recovery after losing the platform and a worker, s", Target{}, "%.0f", func(r Result) float64 { return r.PlatformRecovery }},
		Row{"prediction error, mean |log2|", Target{}, "%.2f", func(r Result) float64 { return r.PredictionErrors[0] }},
		Row{"short work predicted long, part", Target{}, "%.3f", func(r Result) float64 { return r.PredictionErrors[1] }},
		Row{"long work predicted short, part", Target{}, "%.3f", func(r Result) float64 { return r.PredictionErrors[2] }},
	)
}

// Print writes a table for each deployment and compares the values of the last
// variant with the targets. The results of a deployment must be adjacent. A
// recovery of -1 means that it did not complete before the end of the scenario.
func Print(w io.Writer, all []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := 0; i < len(all); {
		j := i
		for j < len(all) && all[j].Deployment == all[i].Deployment {
			j++
		}
		printDeployment(t, all[i:j])
		i = j
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

// printDeployment writes the table of one deployment.
func printDeployment(t io.Writer, all []Result) {
	header := []string{all[0].Deployment}
	for _, r := range all {
		header = append(header, r.Variant)
	}
	printRow(t, append(header, "target", "verdict")...)
	for _, row := range Rows() {
		cells := []string{row.Name}
		for _, r := range all {
			cells = append(cells, fmt.Sprintf(row.Format, row.Value(r)))
		}
		verdict := "-"
		if row.Target.Name != "" {
			verdict = "missed"
			if row.Target.Met(row.Value(all[len(all)-1])) {
				verdict = "met"
			}
		}
		printRow(t, append(cells, row.Target.text(), verdict)...)
	}
	printRow(t)
}

func printRow(t io.Writer, cells ...string) { _, _ = fmt.Fprintln(t, strings.Join(cells, "\t")) }
