package bench

import (
	"bytes"
	"os"
	"slices"
	"strings"
	"testing"
	"time"

	"gotest.tools/v3/assert"
)

// variantNamed returns the variant with a name, among all versions.
func variantNamed(t *testing.T, name string) Variant {
	t.Helper()
	for _, v := range Variants(true) {
		if v.Name == name {
			return v
		}
	}
	t.Fatalf("no variant %q", name)
	return Variant{}
}

// currentVariant returns the variant with the current version of the policy.
func currentVariant() Variant {
	all := Variants(false)
	return all[len(all)-1]
}

// A pipeline with more jobs than slots must do the decoding steps of a full batch,
// neither more nor less.
func TestServerRate(t *testing.T) {
	d := Deployments()[0]
	var c clock
	srv := d.newServers(&c, false)[0]
	done := 0
	for i := range 400 {
		srv.add(&job{request: &request{number: i, tokens: 200}, onStart: func() {}, onToken: func(int) {}, onDone: func() { done++ }, onLost: func() {}})
	}
	c.run(time.Minute)
	srv.advance()
	want := d.pipelineRate(0) * 60
	assert.Assert(t, srv.jobSteps > 0.999*want && srv.jobSteps < 1.001*want, "did %.0f steps, want %.0f", srv.jobSteps, want)
	assert.Assert(t, done > 200)
}

// A server must run no more jobs than it has slots, start waiting jobs of higher
// priority first, and not start a canceled job.
func TestServerPriority(t *testing.T) {
	var c clock
	srv := &server{clock: &c, slots: 1, baseStep: 0.01}
	var order []int
	add := func(n, priority int) *job {
		j := &job{request: &request{number: n, tokens: 10}, priority: priority, onStart: func() { order = append(order, n) }, onToken: func(int) {}, onDone: func() {}, onLost: func() {}}
		srv.add(j)
		return j
	}
	add(0, 0)
	add(1, 0)
	add(2, 1)
	canceled := add(3, 1)
	assert.Equal(t, len(srv.running), 1)
	srv.cancel(canceled)
	c.run(time.Second)
	assert.DeepEqual(t, order, []int{0, 2, 1})
}

// A failed server must complete no job, and all its jobs, running and waiting,
// must be reported as lost.
func TestServerFailure(t *testing.T) {
	var c clock
	srv := &server{clock: &c, slots: 1, baseStep: 0.01}
	lost, done := 0, 0
	for i := range 3 {
		srv.add(&job{request: &request{number: i, tokens: 100}, onStart: func() {}, onToken: func(int) {}, onDone: func() { done++ }, onLost: func() { lost++ }})
	}
	c.run(500 * time.Millisecond)
	srv.fail()
	c.run(10 * time.Second)
	assert.Equal(t, done, 0)
	assert.Equal(t, lost, 3)
}

// The bounds of the offline schedules must not be below what can be served: with
// one slot, earliest deadline first serves two of the five requests in time, and
// shortest job first four.
func TestOfflineSchedule(t *testing.T) {
	d := Deployments()[0]
	d.ModelWorkers, d.Slots, d.Accelerators = d.Stages, 1, []Accelerator{{"k", 0.01}}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	all := []*request{
		{number: 0, tokens: 10, deadline: ms(900)},
		{number: 1, arrival: ms(1), tokens: 100, deadline: ms(900)},
		{number: 2, arrival: ms(1), tokens: 80, deadline: ms(1050)},
		{number: 3, arrival: ms(1), tokens: 10, deadline: ms(1100)},
		{number: 4, arrival: ms(1), tokens: 10, deadline: ms(1100)},
	}
	count := func(m map[int]bool) int {
		n := 0
		for _, ok := range m {
			n += boolInt(ok)
		}
		return n
	}
	assert.Equal(t, count(d.offlineServed(false, all, byDeadline)), 2)
	assert.Equal(t, count(d.offlineServed(false, all, byLength)), 4)
}

// A max-min fair share must not exceed the demand of its account, and Jain's
// index is 1 for equal values and 1/n when one of n values holds everything.
func TestFairnessMeasures(t *testing.T) {
	assert.DeepEqual(t, maxMinShares(10, []float64{1, 20, 20}), []float64{1, 4.5, 4.5})
	assert.DeepEqual(t, maxMinShares(100, []float64{1, 2}), []float64{1, 2})
	assert.Equal(t, jainIndex([]float64{1, 1, 1}), 1.0)
	assert.Equal(t, jainIndex([]float64{1, 0, 0, 0}), 0.25)
}

// shortened returns the deployment without its plain service, and the named
// scenarios cut to 80 s after the warm-up, because a scenario takes ten times as
// long with the race detector.
func shortened(d Deployment, names ...string) (Deployment, []Scenario) {
	d.PlainWorkers = 0
	var out []Scenario
	for _, sc := range scenarios(1) {
		if slices.Contains(names, sc.Name) {
			sc.End = warmUp + 80*time.Second
			out = append(out, sc)
		}
	}
	return d, out
}

// Two runs with the same seed must give the same results, whatever the iteration
// order of maps and the scheduling of goroutines.
func TestSameSeedSameResults(t *testing.T) {
	run := func() []float64 {
		d, list := shortened(Deployments()[0], swing)
		m := newSim(d, list[0], currentVariant())
		m.run()
		w := m.waitPercentiles()
		return append(w[:], m.jobSteps(), float64(m.needlessRejections(atPeak)), m.recoverySeconds(warmUp, list[0].End))
	}
	assert.DeepEqual(t, run(), run())
}

// The current policy must meet the targets of the design page. Each deployment is
// checked against the targets that the page ranks highest for it.
func TestTargets(t *testing.T) {
	deployments := Deployments()
	t.Run("association", func(t *testing.T) {
		d, list := shortened(deployments[0], steady, shortOnly, swing)
		r := Result{Deployment: d.Name}
		r.runScenarios(d, currentVariant(), list)
		checkTarget(t, TargetBlocking, r.BlockingShortOnly())
		checkTarget(t, TargetPeak, r.PeakVsEDF)
		checkTarget(t, TargetPeak, r.SwingVsEDF)
		checkTarget(t, TargetNeedless, r.NeedlessRejections)
		checkTarget(t, TargetNeedless, r.IdleRejections)
	})
	t.Run("qalamrif", func(t *testing.T) {
		d, list := shortened(deployments[1], saturated)
		r := Result{Deployment: d.Name}
		r.runScenarios(d, currentVariant(), list)
		checkTarget(t, TargetThroughput, r.Throughput)
		checkTarget(t, TargetJain, r.JainIndex)
	})
}

// checkTarget fails the test if a value does not meet a target.
func checkTarget(t *testing.T, target Target, v float64) {
	t.Helper()
	assert.Check(t, target.Met(v), "%s is %.4f, want %s", target.Name, v, target.text())
}

// The scenarios must be hard enough for the targets to be missed: first in, first
// out misses the targets for the waiting time of short work and for fairness.
func TestTargetsCanBeMissed(t *testing.T) {
	d, list := shortened(Deployments()[0], steady, shortOnly, saturated)
	r := Result{}
	r.runScenarios(d, variantNamed(t, "fifo+rr"), list)
	assert.Assert(t, !TargetBlocking.Met(r.BlockingShortOnly()), "%.3f", r.BlockingShortOnly())
	assert.Assert(t, !TargetJain.Met(r.JainIndex), "%.3f", r.JainIndex)
}

// Print must write every row of the table, and Plot a file for each of its plots.
func TestOutput(t *testing.T) {
	d, list := shortened(Deployments()[0], shortOnly)
	r := Result{Deployment: d.Name, Variant: "x"}
	r.runScenarios(d, variantNamed(t, "least"), list)
	r.runs[steady], r.runs[swing], r.runs[domainLoss] = r.runs[shortOnly], r.runs[shortOnly], r.runs[shortOnly]
	var b bytes.Buffer
	assert.NilError(t, Print(&b, []Result{r}))
	assert.Equal(t, strings.Count(b.String(), "\n"), len(Rows())+2)
	dir := t.TempDir()
	assert.NilError(t, Plot(dir, []Result{r}))
	files, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(files), 3)
}

// Processor times and report sizes must be measured, not left at zero.
func TestMeasureScaling(t *testing.T) {
	var b bytes.Buffer
	all := MeasureScaling(10)
	PrintScaling(&b, all)
	assert.Assert(t, all[0].AdmitTime > 0 && all[0].ReportTime > 0 && all[0].ReportAccountBytes > 10, b.String())
}
