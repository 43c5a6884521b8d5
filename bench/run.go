package bench

import (
	"sort"
	"sync"
	"time"
)

// Config configures a run of all scenarios.
type Config struct {
	Seed        uint64
	Deployments []Deployment // nil for the result of Deployments
	AllVersions bool         // include every version of the policy
	Variants    []Variant    // nil for the result of Variants
	Parallelism int          // simulations that run concurrently, 0 for 3
}

// Result holds the results of one variant on one deployment. EDF is the offline
// schedule by earliest deadline first, and the best schedule is the better of EDF
// and shortest job first. A recovery time of -1 means that the recovery did not
// complete before the end of the scenario.
type Result struct {
	Deployment, Variant          string
	Throughput                   float64    // fraction of the capacity of the hardware, at saturation
	WaitWithLong, WaitEqualShort [4]float64 // waiting times of short work, s: median, p95, p99, worst; with long work, and with equal short work in its place
	WaitShortOnly                [4]float64 // the same without long work
	PeakVsEDF                    float64    // short requests served in time at the peak, relative to EDF
	PeakVsBest                   float64    // the same, relative to the best schedule
	SwingVsEDF                   float64    // short requests served in time from the rise to the deadline after the fall, relative to EDF
	PeakLongServed               float64    // fraction of the long requests at the peak that were served in time
	PlainVsEDF                   float64    // plain calls served in time at the peak, relative to EDF
	PlainVsBest                  float64    // the same, relative to the best schedule
	NeedlessRejections           float64    // fraction of the short requests at the peak, see sim.needlessRejections
	IdleRejections               float64    // the same, see sim.idleRejections
	Expired                      float64    // fraction of the short requests at the peak, see sim.countExpired
	JainIndex, MinShare          float64    // of what the accounts received relative to their max-min fair shares
	PeakRecovery                 float64    // longest recovery time after a peak, s
	WorkerRecovery               float64    // recovery time after a failure, s
	DomainRecovery               float64
	PlatformRecovery             float64
	PredictionErrors             [3]float64 // mean absolute error in powers of 2; fractions of short and of long requests that were predicted as the other
	runs                         map[string]*sim
}

// Run runs all scenarios of every variant on every deployment.
func Run(cfg Config) []Result {
	if cfg.Deployments == nil {
		cfg.Deployments = Deployments()
	}
	if cfg.Variants == nil {
		cfg.Variants = Variants(cfg.AllVersions)
	}
	if cfg.Parallelism == 0 {
		cfg.Parallelism = 3
	}
	out := make([]Result, 0, len(cfg.Deployments)*len(cfg.Variants))
	for _, d := range cfg.Deployments {
		for _, v := range cfg.Variants {
			out = append(out, Result{Deployment: d.Name, Variant: v.Name})
		}
	}
	var wg sync.WaitGroup
	semaphore := make(chan struct{}, cfg.Parallelism)
	for i := range out {
		d, v := cfg.Deployments[i/len(cfg.Variants)], cfg.Variants[i%len(cfg.Variants)]
		wg.Go(func() {
			semaphore <- struct{}{}
			defer func() { <-semaphore }()
			out[i].runScenarios(d, v, scenarios(cfg.Seed))
		})
	}
	wg.Wait()
	return out
}

// runScenarios runs scenarios of one deployment and variant.
func (r *Result) runScenarios(d Deployment, v Variant, list []Scenario) {
	r.runs = map[string]*sim{}
	for _, sc := range list {
		m := newSim(d, sc, v)
		m.run()
		r.runs[sc.Name] = m
		r.record(sc.Name, m)
	}
}

// record computes the results of one scenario.
func (r *Result) record(scenario string, m *sim) {
	switch scenario {
	case steady:
		r.WaitWithLong = m.waitPercentiles()
		if errs := m.predictionErrors; errs.Count > 0 {
			r.PredictionErrors = [3]float64{errs.Log2 / float64(errs.Count), float64(errs.ShortAsLong) / float64(errs.Count-errs.LongAnswers), float64(errs.LongAsShort) / float64(max(errs.LongAnswers, 1))}
		}
	case equalShort:
		r.WaitEqualShort = m.waitPercentiles()
	case shortOnly:
		r.WaitShortOnly = m.waitPercentiles()
	case saturated:
		r.Throughput = m.measuredSteps / (m.deployment.tokenRate() * (m.scenario.End - warmUp).Seconds())
		r.recordFairness(m)
	case swing:
		r.recordPeak(m)
	case workerLoss:
		r.WorkerRecovery = m.recoverySeconds(failTime, m.scenario.End)
	case domainLoss:
		r.DomainRecovery = m.recoverySeconds(failTime, m.scenario.End)
	case platformLoss:
		r.PlatformRecovery = m.recoverySeconds(failTime, m.scenario.End)
	}
}

// waitPercentiles returns the median, p95, p99 and maximum of the waiting times
// of short requests after the warm-up, in seconds: from arrival to the start in a
// slot, or to the end of a request that expired before it was started. Requests
// that were rejected for another reason do not count.
func (m *sim) waitPercentiles() [4]float64 {
	var all []float64
	for _, req := range m.requests {
		if req.plain || req.long || req.arrival < m.scenario.WarmUp {
			continue
		}
		switch {
		case req.startedAt >= 0:
			all = append(all, (req.startedAt - req.arrival).Seconds())
		case req.rejected == "" || req.rejected == "expired":
			all = append(all, (req.endedAt - req.arrival).Seconds())
		}
	}
	sort.Float64s(all)
	return [4]float64{percentile(all, 0.5), percentile(all, 0.95), percentile(all, 0.99), percentile(all, 1)}
}

// recordPeak computes the results of the scenario with load swings.
func (r *Result) recordPeak(m *sim) {
	shortInTime, shortAll, longInTime, longAll, plainInTime := 0, 0, 0, 0, 0
	for _, req := range m.requests {
		switch {
		case !atPeak(req):
		case req.plain:
			plainInTime += boolInt(req.inTime())
		case req.long:
			longAll++
			longInTime += boolInt(req.inTime())
		default:
			shortAll++
			shortInTime += boolInt(req.inTime())
		}
	}
	byEDF, byShortest := m.offlineBounds(false, atPeak)
	plainByEDF, plainByShortest := m.offlineBounds(true, atPeak)
	r.PeakVsEDF = float64(shortInTime) / float64(byEDF)
	r.PeakVsBest = float64(shortInTime) / float64(max(byEDF, byShortest))
	r.PeakLongServed = float64(longInTime) / float64(longAll)
	r.PlainVsEDF = float64(plainInTime) / float64(plainByEDF)
	r.PlainVsBest = float64(plainInTime) / float64(max(plainByEDF, plainByShortest))
	r.SwingVsEDF = m.servedOverSwings()
	r.Expired = float64(m.countExpired(atPeak)) / float64(shortAll)
	r.NeedlessRejections = float64(m.needlessRejections(atPeak)) / float64(shortAll)
	r.IdleRejections = float64(m.idleRejections(atPeak)) / float64(shortAll)
	for _, t := range peakEnds(m.scenario.End) {
		recovery := m.recoverySeconds(t+swingRise, t+20*time.Second)
		if recovery < 0 {
			r.PeakRecovery = -1
			return
		}
		r.PeakRecovery = max(r.PeakRecovery, recovery)
	}
}

// countExpired counts the included short requests whose callers got neither a
// first token nor a rejection before the deadline.
func (m *sim) countExpired(include func(*request) bool) int {
	n := 0
	for _, req := range m.requests {
		if !req.plain && !req.long && include(req) && !req.inTime() && (req.rejected == "" || req.endedAt > req.deadline) {
			n++
		}
	}
	return n
}

// servedOverSwings returns the short requests served in time over whole load
// swings, relative to EDF. Unlike the ratio at the peak, it does not penalize a
// variant that serves requests after a peak in place of requests of the peak.
func (m *sim) servedOverSwings() float64 {
	include := inSwing(m.deployment.FirstTokenDeadline)
	inTime := 0
	for _, req := range m.requests {
		if !req.plain && !req.long && include(req) && req.inTime() {
			inTime++
		}
	}
	byEDF, _ := m.offlineBounds(false, include)
	return float64(inTime) / float64(byEDF)
}

// recordFairness compares the decoding steps that each account received with its
// max-min fair share of what all accounts received.
func (r *Result) recordFairness(m *sim) {
	demand := make([]float64, len(m.deployment.Accounts))
	got := make([]float64, len(demand))
	sum := 0.0
	for _, req := range m.requests {
		if req.plain || req.arrival < m.scenario.WarmUp {
			continue
		}
		demand[req.account] += req.steps()
		if req.inTime() {
			got[req.account] += req.steps()
			sum += req.steps()
		}
	}
	fairShare := maxMinShares(sum, demand)
	r.MinShare = 1e9
	for i := range got {
		got[i] /= fairShare[i]
		r.MinShare = min(r.MinShare, got[i])
	}
	r.JainIndex = jainIndex(got)
}
