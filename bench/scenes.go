package bench

import (
	"math"
	"time"
)

// Names of the scenes.
const (
	steady   = "steady"
	alone    = "alone" // short work of the same total size
	light    = "light" // the short work of steady, without the long work
	swing    = "swing"
	full     = "full"
	worker   = "worker"
	domain   = "domain"
	platform = "platform"
)

// Times of the scenes.
const (
	warm       = 2 * time.Minute // histories of accounts fill up
	swingEvery = 60 * time.Second
	swingRise  = 2 * time.Second
	swingPeak  = 20 * time.Second
	swingFrom  = 10 * time.Second // after the start of each period
	failAt     = 180 * time.Second
)

// Loads relative to what the hardware can serve.
const (
	steadyLoad = 0.85
	swingLow   = 0.4
	swingHigh  = 2.0 // fivefold
	fullLoad   = 1.5
	failLoad   = 0.5 // a lost failure domain leaves six tenths of the pipelines
)

func constant(v float64) func(time.Duration) float64 {
	return func(time.Duration) float64 { return v }
}

// swinging rises fivefold within swingRise once every period.
func swinging(t time.Duration) float64 {
	if t < warm {
		return swingLow
	}
	p := (t-warm)%swingEvery - swingFrom
	switch {
	case p < 0 || p >= swingPeak+2*swingRise:
		return swingLow
	case p < swingRise:
		return swingLow + (swingHigh-swingLow)*p.Seconds()/swingRise.Seconds()
	case p < swingRise+swingPeak:
		return swingHigh
	default:
		return swingHigh - (swingHigh-swingLow)*(p-swingRise-swingPeak).Seconds()/swingRise.Seconds()
	}
}

// atPeak tells whether a request arrives at the peak of a swing.
func atPeak(q *request) bool {
	return q.at >= warm && swinging(q.at) > swingHigh-1e-9
}

// inSwing tells whether a request arrives from the rise of a swing to the
// deadline after its fall, when the last request of the peak is due.
func inSwing(by time.Duration) func(*request) bool {
	return func(q *request) bool {
		p := (q.at-warm)%swingEvery - swingFrom
		return q.at >= warm && p >= 0 && p < swingPeak+2*swingRise+by
	}
}

// peaks returns the ends of the peaks of a scene.
func peaks(end time.Duration) []time.Duration {
	var out []time.Duration
	for t := warm + swingFrom + swingRise + swingPeak; t+20*time.Second < end; t += swingEvery {
		out = append(out, t)
	}
	return out
}

// scenes returns the scenes of one seed.
func scenes(seed uint64) []Scenario {
	all := []Scenario{
		{Name: steady, Load: constant(steadyLoad), WithLong: true, End: 6 * time.Minute},
		{Name: alone, Load: constant(steadyLoad), ReplaceLong: true, End: 6 * time.Minute},
		{Name: light, Load: constant(steadyLoad), End: 6 * time.Minute},
		{Name: swing, Load: swinging, WithLong: true, End: 8 * time.Minute},
		{Name: full, Load: constant(fullLoad), WithLong: true, End: 6 * time.Minute},
		{Name: worker, Load: constant(failLoad), WithLong: true, End: 4 * time.Minute, Failures: []Failure{{At: failAt, Server: 0, Domain: -1}}},
		{Name: domain, Load: constant(failLoad), WithLong: true, End: 4 * time.Minute, Failures: []Failure{{At: failAt, Server: -1, Domain: 0}}},
		// The platform is gone from failAt on. A worker is lost, and its
		// replacement is up after 10 s but the VM list does not show it.
		{Name: platform, Load: constant(failLoad), WithLong: true, End: 4 * time.Minute, Failures: []Failure{{At: failAt, RecoversAt: failAt + 10*time.Second, ListedAt: failAt + 45*time.Second, Server: 0, Domain: -1}}},
	}
	for i := range all {
		all[i].Seed, all[i].WarmUp = seed, warm
	}
	return all
}

// recovery returns the seconds from a moment until, in every following window
// of a second, at least 95 in 100 short requests are served in time, and -1 when
// that does not happen before the end.
func (m *sim) recovery(from, to time.Duration) float64 {
	type bin struct{ good, all int }
	bins := make([]bin, int((to-from)/time.Second))
	for _, q := range m.requests {
		i := int((q.at - from) / time.Second)
		if q.plain || q.long || q.at < from || i >= len(bins) {
			continue
		}
		bins[i].all++
		if q.inTime() {
			bins[i].good++
		}
	}
	last := -1
	for i, b := range bins {
		if float64(b.good) < 0.95*float64(b.all) {
			last = i
		}
	}
	if last == len(bins)-1 {
		return -1
	}
	return float64(last + 1)
}

// jain returns Jain's fairness index.
func jain(x []float64) float64 {
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

// maxMin divides a capacity between demands of equal weight: no one gets more
// than it demands, and the rest is divided equally.
func maxMin(capacity float64, demand []float64) []float64 {
	out := make([]float64, len(demand))
	open := len(demand)
	done := make([]bool, len(demand))
	for open > 0 {
		part, closed := capacity/float64(open), false
		for i, d := range demand {
			if !done[i] && d <= part {
				out[i], done[i], closed = d, true, true
				capacity -= d
				open--
			}
		}
		if !closed {
			for i := range demand {
				if !done[i] {
					out[i] = part
				}
			}
			return out
		}
	}
	return out
}

// percentile returns the value below which the given part of sorted values lie.
func percentile(sorted []float64, part float64) float64 {
	if len(sorted) == 0 {
		return math.NaN()
	}
	return sorted[min(len(sorted)-1, int(math.Ceil(part*float64(len(sorted))))-1+boolInt(part == 0))]
}

func boolInt(b bool) int {
	if b {
		return 1
	}
	return 0
}
