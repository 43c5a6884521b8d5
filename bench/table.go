package bench

import (
	"fmt"
	"io"
	"strings"
	"text/tabwriter"
)

// Target is a bound of the design page, section 1.2.
type Target struct {
	Name    string
	Bound   float64
	AtLeast bool // the value is at least the bound, otherwise at most
}

// Met tells whether a value meets the target.
func (t Target) Met(v float64) bool {
	if t.AtLeast {
		return v >= t.Bound
	}
	return v <= t.Bound
}

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

// Row is one line of the table.
type Row struct {
	Name   string
	Target Target
	Format string
	Value  func(Result) float64
}

// Blocking returns the 95th percentile of the waiting time of short work with
// long work present over that without, with long work replaced by short work
// of equal size. Waits under a millisecond count as one millisecond.
func (f Result) Blocking() float64 {
	return max(f.WaitWithLong[1], 0.001) / max(f.WaitEqualShort[1], 0.001)
}

// BlockingShortOnly is the same against the short work alone, which loads the
// hardware less.
func (f Result) BlockingShortOnly() float64 {
	return max(f.WaitWithLong[1], 0.001) / max(f.WaitShortOnly[1], 0.001)
}

// Rows returns the lines of the table in order.
func Rows() []Row {
	rows := []Row{{"throughput at saturation, part of hardware bound", TargetThroughput, "%.3f", func(f Result) float64 { return f.Throughput }}}
	for i, n := range []string{"median", "95th", "99th", "worst"} {
		rows = append(rows,
			Row{"wait of short work with long work, " + n + ", s", Target{}, "%.3f", func(f Result) float64 { return f.WaitWithLong[i] }},
			Row{"  long work replaced by equal short work, s", Target{}, "%.3f", func(f Result) float64 { return f.WaitEqualShort[i] }},
			Row{"  without the long work, s", Target{}, "%.3f", func(f Result) float64 { return f.WaitShortOnly[i] }})
	}
	return append(rows,
		Row{"95th with over 95th with equal short work", TargetBlocking, "%.2f", Result.Blocking},
		Row{"95th with over 95th without the long work", TargetBlocking, "%.2f", Result.BlockingShortOnly},
		Row{"short work in time at peak, of deadline plan", TargetPeak, "%.3f", func(f Result) float64 { return f.PeakVsEDF }},
		Row{"  of the better of both plans", TargetPeak, "%.3f", func(f Result) float64 { return f.PeakVsBest }},
		Row{"short work in time over a swing, of deadline plan", TargetPeak, "%.3f", func(f Result) float64 { return f.SwingVsEDF }},
		Row{"long work in time at peak, of all", Target{}, "%.3f", func(f Result) float64 { return f.PeakLongServed }},
		Row{"plain calls in time at peak, of deadline plan", TargetPeak, "%.3f", func(f Result) float64 { return f.PlainVsEDF }},
		Row{"  of the better of both plans", TargetPeak, "%.3f", func(f Result) float64 { return f.PlainVsBest }},
		Row{"short work without answer until its deadline at peak", Target{}, "%.3f", func(f Result) float64 { return f.Expired }},
		Row{"needless rejections by plan, of short work", TargetNeedless, "%.4f", func(f Result) float64 { return f.NeedlessRejections }},
		Row{"needless rejections by actual course", TargetNeedless, "%.4f", func(f Result) float64 { return f.IdleRejections }},
		Row{"Jain's index, equal weights", TargetJain, "%.3f", func(f Result) float64 { return f.JainIndex }},
		Row{"smallest account, of its max-min part", Target{}, "%.3f", func(f Result) float64 { return f.MinShare }},
		Row{"recovery after a peak, s", Target{}, "%.0f", func(f Result) float64 { return f.PeakRecovery }},
		Row{"recovery after losing a worker, s", Target{}, "%.0f", func(f Result) float64 { return f.WorkerRecovery }},
		Row{"recovery after losing a failure domain, s", Target{}, "%.0f", func(f Result) float64 { return f.DomainRecovery }},
		Row{"recovery after losing the platform and a worker, s", Target{}, "%.0f", func(f Result) float64 { return f.PlatformRecovery }},
		Row{"prediction error, mean |log2|", Target{}, "%.2f", func(f Result) float64 { return f.PredictionErrors[0] }},
		Row{"short work predicted long, part", Target{}, "%.3f", func(f Result) float64 { return f.PredictionErrors[1] }},
		Row{"long work predicted short, part", Target{}, "%.3f", func(f Result) float64 { return f.PredictionErrors[2] }},
	)
}

// Print writes one table. The last variant's values are compared with the
// targets; a recovery of -1 means that it did not happen before the end.
func Print(w io.Writer, all []Result) error {
	t := tabwriter.NewWriter(w, 0, 0, 2, ' ', 0)
	for i := 0; i < len(all); {
		j := i
		for j < len(all) && all[j].Deployment == all[i].Deployment {
			j++
		}
		printShape(t, all[i:j])
		i = j
	}
	if err := t.Flush(); err != nil {
		return fmt.Errorf("write table: %w", err)
	}
	return nil
}

func printShape(t io.Writer, all []Result) {
	head := []string{all[0].Deployment}
	for _, f := range all {
		head = append(head, f.Variant)
	}
	line(t, append(head, "target", "verdict")...)
	for _, r := range Rows() {
		cells := []string{r.Name}
		for _, f := range all {
			cells = append(cells, fmt.Sprintf(r.Format, r.Value(f)))
		}
		verdict := "-"
		if r.Target.Name != "" {
			verdict = "missed"
			if r.Target.Met(r.Value(all[len(all)-1])) {
				verdict = "met"
			}
		}
		line(t, append(cells, r.Target.text(), verdict)...)
	}
	line(t)
}

func line(t io.Writer, cells ...string) { _, _ = fmt.Fprintln(t, strings.Join(cells, "\t")) }
