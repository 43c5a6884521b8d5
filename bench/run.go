package bench

import (
	"sort"
	"sync"
	"time"
)

// Config describes a run of the whole experiment.
type Config struct {
	Seed        uint64
	Shapes      []Deployment // nil for Shapes
	AllVersions bool         // every version of the policy
	Variants    []Variant    // nil for Variants(All)
	Parallelism int          // runs at the same time, 0 for 3
}

// Result are what one variant achieved on one shape.
type Result struct {
	Deployment, Variant          string
	Throughput                   float64    // part of the hardware bound at saturation
	WaitWithLong, WaitEqualShort [4]float64 // waiting of short work, s: median, p95, p99, worst; with and without long work of equal size
	WaitShortOnly                [4]float64 // the same without the long work
	PeakVsEDF                    float64    // short work in time at the peak, part of the EDF plan
	PeakVsBest                   float64    // the same, part of the shortest-first plan
	SwingVsEDF                   float64    // short work in time from the rise to the deadline after the fall, part of the EDF plan
	PeakLongServed               float64    // part of the long requests at the peak served in time
	PlainVsEDF                   float64    // plain calls in time at the peak, part of the EDF plan
	PlainVsBest                  float64    // the same, part of the shortest-first plan
	NeedlessRejections           float64    // part of all short requests at the peak, by the plan
	IdleRejections               float64    // the same, by the actual course
	Expired                      float64    // short requests at the peak that waited until their deadline, part of all
	JainIndex, MinShare          float64
	PeakRecovery                 float64 // longest recovery after a peak, s
	WorkerRecovery               float64 // recovery, s
	DomainRecovery               float64
	PlatformRecovery             float64
	PredictionErrors             [3]float64 // mean error in powers of 2, parts of short and long predicted wrongly
	runs                         map[string]*sim
}

// Run plays all scenes.
func Run(cfg Config) []Result {
	if cfg.Shapes == nil {
		cfg.Shapes = Deployments()
	}
	if cfg.Variants == nil {
		cfg.Variants = Variants(cfg.AllVersions)
	}
	if cfg.Parallelism == 0 {
		cfg.Parallelism = 3
	}
	out := make([]Result, 0, len(cfg.Shapes)*len(cfg.Variants))
	for _, s := range cfg.Shapes {
		for _, v := range cfg.Variants {
			out = append(out, Result{Deployment: s.Name, Variant: v.Name})
		}
	}
	var wg sync.WaitGroup
	turn := make(chan struct{}, cfg.Parallelism)
	for i := range out {
		s, v := cfg.Shapes[i/len(cfg.Variants)], cfg.Variants[i%len(cfg.Variants)]
		wg.Go(func() {
			turn <- struct{}{}
			defer func() { <-turn }()
			out[i].play(s, v, scenes(cfg.Seed))
		})
	}
	wg.Wait()
	return out
}

// play runs scenes of one shape and variant.
func (f *Result) play(s Deployment, v Variant, list []Scenario) {
	f.runs = map[string]*sim{}
	for _, sc := range list {
		m := newSim(s, sc, v)
		m.run()
		f.runs[sc.Name] = m
		f.take(sc.Name, m)
	}
}

// take computes the figures of one scene.
func (f *Result) take(scene string, m *sim) {
	switch scene {
	case steady:
		f.WaitWithLong = m.waits()
		if e := m.predicted; e.Count > 0 {
			f.PredictionErrors = [3]float64{e.Log2 / float64(e.Count), float64(e.ShortAsLong) / float64(e.Count-e.LongAnswers), float64(e.LongAsShort) / float64(max(e.LongAnswers, 1))}
		}
	case alone:
		f.WaitEqualShort = m.waits()
	case light:
		f.WaitShortOnly = m.waits()
	case full:
		f.Throughput = m.worked / (m.shape.rate() * (m.scene.End - warm).Seconds())
		f.fairness(m)
	case swing:
		f.peak(m)
	case worker:
		f.WorkerRecovery = m.recovery(failAt, m.scene.End)
	case domain:
		f.DomainRecovery = m.recovery(failAt, m.scene.End)
	case platform:
		f.PlatformRecovery = m.recovery(failAt, m.scene.End)
	}
}

// waits returns the waiting times of short work after the warm-up: from arrival
// to the start in a slot, or to the end of a request that was never started.
func (m *sim) waits() [4]float64 {
	var all []float64
	for _, q := range m.requests {
		if q.plain || q.long || q.at < m.scene.WarmUp {
			continue
		}
		switch {
		case q.begun >= 0:
			all = append(all, (q.begun - q.at).Seconds())
		case q.rejected == "" || q.rejected == "expired":
			all = append(all, (q.ended - q.at).Seconds())
		}
	}
	sort.Float64s(all)
	return [4]float64{percentile(all, 0.5), percentile(all, 0.95), percentile(all, 0.99), percentile(all, 1)}
}

func (f *Result) peak(m *sim) {
	good, all, long, longs, plain := 0, 0, 0, 0, 0
	for _, q := range m.requests {
		switch {
		case !atPeak(q):
		case q.plain:
			plain += boolInt(q.inTime())
		case q.long:
			longs++
			long += boolInt(q.inTime())
		default:
			all++
			good += boolInt(q.inTime())
		}
	}
	deadline, shortest := m.bound(false, atPeak)
	calls, more := m.bound(true, atPeak)
	f.PeakVsEDF = float64(good) / float64(deadline)
	f.PeakVsBest = float64(good) / float64(max(deadline, shortest))
	f.PeakLongServed = float64(long) / float64(longs)
	f.PlainVsEDF = float64(plain) / float64(calls)
	f.PlainVsBest = float64(plain) / float64(max(calls, more))
	f.SwingVsEDF = m.whole()
	f.Expired = float64(m.expired(atPeak)) / float64(all)
	f.NeedlessRejections = float64(m.needless(atPeak)) / float64(all)
	f.IdleRejections = float64(m.passed(atPeak)) / float64(all)
	for _, t := range peaks(m.scene.End) {
		r := m.recovery(t+swingRise, t+20*time.Second)
		if r < 0 {
			f.PeakRecovery = -1
			return
		}
		f.PeakRecovery = max(f.PeakRecovery, r)
	}
}

// expired counts short requests whose callers got neither a first token nor a
// rejection before the deadline.
func (m *sim) expired(in func(*request) bool) int {
	n := 0
	for _, q := range m.requests {
		if !q.plain && !q.long && in(q) && !q.inTime() && (q.rejected == "" || q.ended > q.by) {
			n++
		}
	}
	return n
}

// whole returns the short work served in time over whole swings, as a part of
// the deadline plan. A variant that serves the requests after a peak in place of
// those of the peak loses nothing here.
func (m *sim) whole() float64 {
	in := inSwing(m.shape.FirstTokenDeadline)
	good := 0
	for _, q := range m.requests {
		if !q.plain && !q.long && in(q) && q.inTime() {
			good++
		}
	}
	plan, _ := m.bound(false, in)
	return float64(good) / float64(plan)
}

// fairness compares what each account got with its part by max-min fairness of
// what all accounts got.
func (f *Result) fairness(m *sim) {
	demand := make([]float64, len(m.shape.Accounts))
	got := make([]float64, len(demand))
	sum := 0.0
	for _, q := range m.requests {
		if q.plain || q.at < m.scene.WarmUp {
			continue
		}
		demand[q.account] += q.steps()
		if q.inTime() {
			got[q.account] += q.steps()
			sum += q.steps()
		}
	}
	part := maxMin(sum, demand)
	f.MinShare = 1e9
	for i := range got {
		got[i] /= part[i]
		f.MinShare = min(f.MinShare, got[i])
	}
	f.JainIndex = jain(got)
}
