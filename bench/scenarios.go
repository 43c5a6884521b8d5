package bench

import (
	"math"
	"time"
)

// Names of the scenarios.
const (
	steady       = "steady"
	equalShort   = "alone" // long work replaced by short work of the same total size
	shortOnly    = "light" // the short work of steady, without the long work
	swing        = "swing"
	saturated    = "full"
	workerLoss   = "worker"
	domainLoss   = "domain"
	platformLoss = "platform"
)

// Times of the scenarios.
const (
	warmUp       = 2 * time.Minute // time for the request histories of the accounts to fill
	swingPeriod  = 60 * time.Second
	swingRise    = 2 * time.Second
	peakDuration = 20 * time.Second
	swingOffset  = 10 * time.Second // from the start of a period to the rise
	failTime     = 180 * time.Second
)

// Loads relative to the capacity of the hardware.
const (
	steadyLoad    = 0.85
	lowLoad       = 0.4
	peakLoad      = 2.0 // five times lowLoad
	saturatedLoad = 1.5
	failureLoad   = 0.5 // the loss of a failure domain leaves six tenths of the pipelines
)

// constantLoad returns a load that does not change.
func constantLoad(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

// swingLoad is a load that rises fivefold within swingRise once every
// swingPeriod, and falls again after peakDuration.
func swingLoad(t time.Duration) float64 {
	if t < warmUp {
		return lowLoad
	}
	phase := (t-warmUp)%swingPeriod - swingOffset
	switch {
	case phase < 0 || phase >= peakDuration+2*swingRise:
		return lowLoad
	case phase < swingRise:
		return lowLoad + (peakLoad-lowLoad)*phase.Seconds()/swingRise.Seconds()
	case phase < swingRise+peakDuration:
		return peakLoad
	default:
		return peakLoad - (peakLoad-lowLoad)*(phase-swingRise-peakDuration).Seconds()/swingRise.Seconds()
	}
}

// atPeak reports whether a request arrives at the peak of a swing.
func atPeak(req *request) bool {
	return req.arrival >= warmUp && swingLoad(req.arrival) > peakLoad-1e-9
}

// inSwing returns a function that reports whether a request arrives between the
// rise of a swing and one deadline after its fall, when the last request of the
// swing is due.
func inSwing(deadline time.Duration) func(*request) bool {
	return func(req *request) bool {
		phase := (req.arrival-warmUp)%swingPeriod - swingOffset
		return req.arrival >= warmUp && phase >= 0 && phase < peakDuration+2*swingRise+deadline
	}
}

// peakEnds returns the times at which the peaks of a scenario end. A peak is
// left out unless more than 20 s follow it.
func peakEnds(end time.Duration) []time.Duration {
	var out []time.Duration
	for t := warmUp + swingOffset + swingRise + peakDuration; t+20*time.Second < end; t += swingPeriod {
		out = append(out, t)
	}
	return out
}

// scenarios returns all scenarios with a seed.
func scenarios(seed uint64) []Scenario {
	all := []Scenario{
		{Name: steady, Load: constantLoad(steadyLoad), WithLong: true, End: 6 * time.Minute},
		{Name: equalShort, Load: constantLoad(steadyLoad), ReplaceLong: true, End: 6 * time.Minute},
		{Name: shortOnly, Load: constantLoad(steadyLoad), End: 6 * time.Minute},
		{Name: swing, Load: swingLoad, WithLong: true, End: 8 * time.Minute},
		{Name: saturated, Load: constantLoad(saturatedLoad), WithLong: true, End: 6 * time.Minute},
		{Name: workerLoss, Load: constantLoad(failureLoad), WithLong: true, End: 4 * time.Minute, Failures: []Failure{{At: failTime, Server: 0, Domain: -1}}},
		{Name: domainLoss, Load: constantLoad(failureLoad), WithLong: true, End: 4 * time.Minute, Failures: []Failure{{At: failTime, Server: -1, Domain: 0}}},
		// The platform is unavailable from failTime on. A worker is lost, and
		// its replacement runs after 10 s but is missing in the VM list until
		// 45 s after the failure.
		{Name: platformLoss, Load: constantLoad(failureLoad), WithLong: true, End: 4 * time.Minute, Failures: []Failure{{At: failTime, RecoversAt: failTime + 10*time.Second, ListedAt: failTime + 45*time.Second, Server: 0, Domain: -1}}},
	}
	for i := range all {
		all[i].Seed, all[i].WarmUp = seed, warmUp
	}
	return all
}

// recoverySeconds returns the seconds from a time until, in every later window of
// one second, at least 95 % of the short requests are served in time. It returns
// -1 when the last window before the end is below that.
func (m *sim) recoverySeconds(from, to time.Duration) float64 {
	type bin struct{ inTime, all int }
	bins := make([]bin, int((to-from)/time.Second))
	for _, req := range m.requests {
		i := int((req.arrival - from) / time.Second)
		if req.plain || req.long || req.arrival < from || i >= len(bins) {
			continue
		}
		bins[i].all++
		if req.inTime() {
			bins[i].inTime++
		}
	}
	lastMissed := -1
	for i, b := range bins {
		if float64(b.inTime) < 0.95*float64(b.all) {
			lastMissed = i
		}
	}
	if lastMissed == len(bins)-1 {
		return -1
	}
	return float64(lastMissed + 1)
}

// jainIndex returns Jain's fairness index.
func jainIndex(x []float64) float64 {
	sum, squares := 0.0, 0.0
	for _, v := range x {
		sum += v
		squares += v * v
	}
	if squares == 0 {
		return 0
	}
	return sum * sum / (float64(len(x)) * squares)
}

// maxMinShares returns the max-min fair shares of a capacity for demands of equal
// weight: no share exceeds its demand, and what is left is divided equally among
// the others.
func maxMinShares(capacity float64, demand []float64) []float64 {
	out := make([]float64, len(demand))
	remaining := len(demand)
	done := make([]bool, len(demand))
	for remaining > 0 {
		share, satisfied := capacity/float64(remaining), false
		for i, d := range demand {
			if !done[i] && d <= share {
				out[i], done[i], satisfied = d, true, true
				capacity -= d
				remaining--
			}
		}
		if !satisfied {
			for i := range demand {
				if !done[i] {
					out[i] = share
				}
			}
			return out
		}
	}
	return out
}

// percentile returns the smallest of the sorted values that at least the given
// fraction of them does not exceed, or NaN for no values.
func percentile(sorted []float64, fraction float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(math.Ceil(fraction*float64(len(sorted))))-1+boolInt(fraction == 0))]
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
