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

func variant(t *testing.T, name string) Variant {
	t.Helper()
	for _, v := range Variants(true) {
		if v.Name == name {
			return v
		}
	}
	t.Fatalf("no variant %q", name)
	return Variant{}
}

func current() Variant {
	all := Variants(false)
	return all[len(all)-1]
}

// Guards against an engine model that produces more or less than its bound.
func TestLaneRate(t *testing.T) {
	s := Deployments()[0]
	var c clock
	l := s.newLanes(&c, false)[0]
	done := 0
	for i := range 400 {
		l.add(&job{rq: &request{number: i, tokens: 200}, begun: func() {}, token: func(int) {}, done: func() { done++ }, lost: func() {}})
	}
	c.run(time.Minute)
	l.advance()
	want := s.laneRate(0) * 60
	assert.Assert(t, l.work > 0.999*want && l.work < 1.001*want, "did %.0f steps, want %.0f", l.work, want)
	assert.Assert(t, done > 200)
}

// Guards against an engine model that ignores priorities, or runs more
// requests than it has slots.
func TestLanePriority(t *testing.T) {
	var c clock
	l := &lane{clock: &c, slots: 1, base: 0.01}
	var order []int
	add := func(n, priority int) *job {
		j := &job{rq: &request{number: n, tokens: 10}, priority: priority, begun: func() { order = append(order, n) }, token: func(int) {}, done: func() {}, lost: func() {}}
		l.add(j)
		return j
	}
	add(0, 0)
	add(1, 0)
	add(2, 1)
	gone := add(3, 1)
	assert.Equal(t, len(l.running), 1)
	l.cancel(gone)
	c.run(time.Second)
	assert.DeepEqual(t, order, []int{0, 2, 1})
}

// Guards against a server that is lost and keeps answering, or whose requests
// are never noticed as lost.
func TestLaneLost(t *testing.T) {
	var c clock
	l := &lane{clock: &c, slots: 1, base: 0.01}
	lost, done := 0, 0
	for i := range 3 {
		l.add(&job{rq: &request{number: i, tokens: 100}, begun: func() {}, token: func(int) {}, done: func() { done++ }, lost: func() { lost++ }})
	}
	c.run(500 * time.Millisecond)
	l.kill()
	c.run(10 * time.Second)
	assert.Equal(t, done, 0)
	assert.Equal(t, lost, 3)
}

// Guards against a bound that is below what can be done: with one slot, the
// plan by deadline serves the two requests that fit, the plan by length three.
func TestPlan(t *testing.T) {
	s := Deployments()[0]
	s.ModelWorkers, s.Slots, s.Accelerators = s.Stages, 1, []Accelerator{{"k", 0.01}}
	ms := func(n int) time.Duration { return time.Duration(n) * time.Millisecond }
	all := []*request{
		{number: 0, tokens: 10, by: ms(900)},
		{number: 1, at: ms(1), tokens: 100, by: ms(900)},
		{number: 2, at: ms(1), tokens: 80, by: ms(1050)},
		{number: 3, at: ms(1), tokens: 10, by: ms(1100)},
		{number: 4, at: ms(1), tokens: 10, by: ms(1100)},
	}
	count := func(m map[int]bool) int {
		n := 0
		for _, ok := range m {
			n += boolInt(ok)
		}
		return n
	}
	assert.Equal(t, count(s.schedule(false, all, byDeadline)), 2)
	assert.Equal(t, count(s.schedule(false, all, byLength)), 4)
}

// Guards against divisions that give an account more than it demands.
func TestMaxMin(t *testing.T) {
	assert.DeepEqual(t, maxMin(10, []float64{1, 20, 20}), []float64{1, 4.5, 4.5})
	assert.DeepEqual(t, maxMin(100, []float64{1, 2}), []float64{1, 2})
	assert.Equal(t, jain([]float64{1, 1, 1}), 1.0)
	assert.Equal(t, jain([]float64{1, 0, 0, 0}), 0.25)
}

// brief returns the shape without its plain service and the named scenes with a
// short course, since a scene takes ten times longer with the race detector.
func brief(s Deployment, names ...string) (Deployment, []Scenario) {
	s.PlainWorkers = 0
	var out []Scenario
	for _, sc := range scenes(1) {
		if slices.Contains(names, sc.Name) {
			sc.End = warm + 80*time.Second
			out = append(out, sc)
		}
	}
	return s, out
}

// Guards against figures that depend on the order of maps or goroutines.
func TestSameSeedSameFigures(t *testing.T) {
	run := func() []float64 {
		s, list := brief(Deployments()[0], swing)
		m := newSim(s, list[0], current())
		m.run()
		w := m.waits()
		return append(w[:], m.work(), float64(m.needless(atPeak)), m.recovery(warm, list[0].End))
	}
	assert.DeepEqual(t, run(), run())
}

// Guards against a decision that misses a target which it used to meet. The
// bounds are those of the design page. Each shape asserts what the page weighs
// most for its user.
func TestTargets(t *testing.T) {
	shapes := Deployments()
	t.Run("association", func(t *testing.T) {
		s, list := brief(shapes[0], steady, light, swing)
		f := Result{Deployment: s.Name}
		f.play(s, current(), list)
		met(t, TargetBlocking, f.BlockingShortOnly())
		met(t, TargetPeak, f.PeakVsEDF)
		met(t, TargetPeak, f.SwingVsEDF)
		met(t, TargetNeedless, f.NeedlessRejections)
		met(t, TargetNeedless, f.IdleRejections)
	})
	t.Run("qalamrif", func(t *testing.T) {
		s, list := brief(shapes[1], full)
		f := Result{Deployment: s.Name}
		f.play(s, current(), list)
		met(t, TargetThroughput, f.Throughput)
		met(t, TargetJain, f.JainIndex)
	})
}

func met(t *testing.T, target Target, v float64) {
	t.Helper()
	assert.Check(t, target.Met(v), "%s is %.4f, want %s", target.Name, v, target.text())
}

// Shows that the targets can be missed: first in first out misses the waiting
// time of short work and fairness.
func TestTargetsCanBeMissed(t *testing.T) {
	s, list := brief(Deployments()[0], steady, light, full)
	f := Result{}
	f.play(s, variant(t, "fifo+rr"), list)
	assert.Assert(t, !TargetBlocking.Met(f.BlockingShortOnly()), "%.3f", f.BlockingShortOnly())
	assert.Assert(t, !TargetJain.Met(f.JainIndex), "%.3f", f.JainIndex)
}

// Guards against a table without a row, and against plots that are not written.
func TestOutput(t *testing.T) {
	s, list := brief(Deployments()[0], light)
	f := Result{Deployment: s.Name, Variant: "x"}
	f.play(s, variant(t, "least"), list)
	f.runs[steady], f.runs[swing], f.runs[domain] = f.runs[light], f.runs[light], f.runs[light]
	var b bytes.Buffer
	assert.NilError(t, Print(&b, []Result{f}))
	assert.Equal(t, strings.Count(b.String(), "\n"), len(Rows())+2)
	dir := t.TempDir()
	assert.NilError(t, Plot(dir, []Result{f}))
	files, err := os.ReadDir(dir)
	assert.NilError(t, err)
	assert.Equal(t, len(files), 3)
}

// Guards against slopes that are not measured.
func TestSlopes(t *testing.T) {
	var b bytes.Buffer
	all := MeasureScaling(10)
	PrintScaling(&b, all)
	assert.Assert(t, all[0].AdmitTime > 0 && all[0].ReportTime > 0 && all[0].ReportAccountBytes > 10, b.String())
}
