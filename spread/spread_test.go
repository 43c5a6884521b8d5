package spread_test

import (
	"math"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/spread"
)

func checkNear(t *testing.T, got, want float64) {
	t.Helper()
	assert.Assert(t, math.Abs(got-want) <= 1e-9+0.02*math.Abs(want), "%v, not %v", got, want)
}

// Guards against loads that make the imbalance infinite, negative or not a number, which a metric would show.
func TestSpread(t *testing.T) {
	for name, c := range map[string]struct {
		loads []float64
		want  float64
	}{
		"none": {nil, 0}, "idle": {[]float64{0, 0}, 0}, "equal": {[]float64{3, 3, 3}, 1}, "one busy": {[]float64{0, 0, 6}, 3},
		"uneven": {[]float64{1, 2, 3}, 1.5}, "odd": {[]float64{math.NaN(), math.Inf(1), -1, 2}, 4},
	} {
		t.Run(name, func(t *testing.T) { checkNear(t, spread.Spread(c.loads), c.want) })
	}
}

// Guards against servers that look uneven because their loads were compared at one instant, and against a window that
// counts samples of the one before it or leaves out a server that became idle.
func TestMeterAveragesWindows(t *testing.T) {
	var m spread.Meter
	add := func(at time.Duration, a, b float64) (spread.Imbalance, bool) {
		return m.Add(at, map[string]float64{"a": a, "b": b})
	}
	for i := range 4 { // each server is busy for half of the window
		_, ended := add(time.Duration(i)*250*time.Millisecond, float64(i%2), float64(1-i%2))
		assert.Assert(t, !ended)
	}
	got, ended := add(time.Second, 3, 0)
	assert.Assert(t, ended)
	checkNear(t, got.Spread, 1)
	_, ended = m.Add(1500*time.Millisecond, map[string]float64{"a": 3})
	assert.Assert(t, !ended)
	got, ended = add(2*time.Second, 0, 0)
	assert.Assert(t, ended)
	assert.Equal(t, got, spread.Imbalance{Spread: 2, Mean: 1.5, Busiest: "a", Highest: 3, Idlest: "b"})
}

// Guards against a correction by a rate that is not that of the other processes now, by a report without an age or
// one that is too old to count, and by others where there are none.
func TestUnseenStreams(t *testing.T) {
	for name, c := range map[string]struct {
		service   string
		after     time.Duration
		age       time.Duration
		processes int
		want      float64
	}{
		"others": {"s", 100 * time.Millisecond, time.Second / 2, 61, 150}, "another service": {"o", 0, time.Second, 61, 0},
		"new report": {"s", 0, -time.Second, 61, 0}, "old report": {"s", 100 * time.Millisecond, time.Hour, 11, 150},
		"alone": {"s", 0, time.Second, 1, 0}, "no process": {"s", 0, time.Second, 0, 0}, "idle since": {"s", time.Minute, time.Second, 61, 0},
	} {
		t.Run(name, func(t *testing.T) {
			e, now := busyEstimator()
			checkNear(t, e.View(c.service, now+c.after, spread.Report{Age: c.age, Processes: c.processes}).Unseen(), c.want)
		})
	}
}

// busyEstimator returns the Estimator of a process that has begun 5 streams per second until now.
func busyEstimator() (e *spread.Estimator, now time.Duration) {
	e = spread.New(spread.Config{Random: func() float64 { return 2 }})
	for now < 20*time.Second {
		now += 200 * time.Millisecond
		e.Begin("s", now)
	}
	return e, now
}

// Guards against a correction that multiplies the own load by the number of processes although most of them have none,
// and against one that takes a process for the whole load because it has no streams at the moment.
func TestCorrection(t *testing.T) {
	e, now := busyEstimator()
	now += 100 * time.Millisecond
	report := spread.Report{Age: time.Second / 2, Processes: 61, Own: 4, Others: 240}
	e.View("s", now, report)
	own, reported := spread.Load{Streams: 2, Tokens: 200}, spread.Load{Streams: 100, Tokens: 9000}
	got := e.View("s", now, report).Correction(own, reported, 100)
	checkNear(t, got.Streams, 0.25*150*2+0.75*(2*60-100))
	checkNear(t, got.Tokens, 0.25*150*2*100+0.75*(200*60-9000))
	report.Others, report.Processes = 40, 1000 // most processes are idle
	for range 60 {
		now += time.Second
		got = e.View("s", now, report).Correction(own, reported, 100)
	}
	checkNear(t, got.Streams, 0.75*(2*(40+999)/5-100))
	report.Own = 0
	got = e.View("s", now, report).Correction(spread.Load{}, reported, 100)
	checkNear(t, got.Streams, -75)
	report.Processes = 1
	assert.Equal(t, e.View("s", now, report).Correction(own, reported, 100), spread.Load{})
	assert.Equal(t, spread.View{}.Correction(own, reported, 1), spread.Load{})
}
