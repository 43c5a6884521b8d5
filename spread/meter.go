package spread

import (
	"cmp"
	"maps"
	"math"
	"slices"
	"time"
)

// Spread returns the largest of the loads divided by their mean: 1 if all are equal, and 0 if there is no load. Loads
// that are negative or not finite count as none.
func Spread(loads []float64) float64 {
	most, sum := 0.0, 0.0
	for _, x := range loads {
		if x > 0 && !math.IsInf(x, 1) {
			most, sum = max(most, x), sum+x
		}
	}
	if sum == 0 {
		return 0
	}
	return most * float64(len(loads)) / sum
}

// window is the time over which loads are averaged before they are compared.
const window = time.Second

// Meter averages the loads of servers over windows of a second and compares them. Its zero value is ready to
// use by one goroutine.
type Meter struct {
	begin   time.Duration
	samples int
	sums    map[string]float64
}

// Imbalance compares the servers of a window.
type Imbalance struct {
	Spread  float64 // busiest over mean
	Mean    float64
	Busiest string
	Highest float64 // load of the busiest server
	Idlest  string
	Lowest  float64 // load of the idlest server
}

// Add adds a sample of the loads by server. now is on any monotonic clock. It returns the result of the window that
// has ended, if one has. A server that is missing from a sample has no load in it.
func (m *Meter) Add(now time.Duration, loads map[string]float64) (result Imbalance, ended bool) {
	if m.samples > 0 && (now-m.begin >= window || now < m.begin) {
		result, ended = m.result(), true
		m.samples, m.sums = 0, nil
	}
	if m.samples == 0 {
		m.begin, m.sums = now, map[string]float64{}
	}
	m.samples++
	for name, x := range loads {
		m.sums[name] += x
	}
	return result, ended
}

// result returns the comparison of the samples so far.
func (m *Meter) result() Imbalance {
	names := slices.SortedFunc(maps.Keys(m.sums), func(a, b string) int {
		return cmp.Or(cmp.Compare(m.sums[b], m.sums[a]), cmp.Compare(a, b))
	})
	if len(names) == 0 {
		return Imbalance{}
	}
	means := make([]float64, len(names))
	sum := 0.0
	for i, name := range names {
		means[i] = m.sums[name] / float64(m.samples)
		sum += means[i]
	}
	last := len(names) - 1
	return Imbalance{
		Spread: Spread(means), Mean: sum / float64(len(names)),
		Busiest: names[0], Highest: means[0], Idlest: names[last], Lowest: means[last],
	}
}
