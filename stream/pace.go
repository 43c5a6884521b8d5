package stream

import (
	"math"
	"time"
)

// Bounds of the silence after which the stages of a route are probed.
const (
	minSilence   = 150 * time.Millisecond // pauses of a busy process reach about 100 ms
	maxSilence   = 2 * time.Second
	firstSilence = 500 * time.Millisecond // before a route has shown its pace, at least
	warmup       = 4                      // intervals before the measured pace is used
)

// Detection of a route that slowed down.
const (
	slowFactor = 4.0                   // times the pace that was expected
	slowExcess = 20 * time.Millisecond // and so much above it at least
	slowCount  = 8                     // intervals
	slowCheck  = time.Second           // between two looks for a better route
)

// pace measures the time between tokens of a route, as a smoothed mean and
// deviation in the manner of a retransmission timer.
type pace struct {
	mean, dev float64 // seconds
	n         int
	expected  float64 // seconds; the estimate for the route, or the best pace seen
	checked   time.Time
}

func newPace(expected time.Duration) *pace {
	return &pace{expected: expected.Seconds()}
}

// note records an interval.
func (p *pace) note(d time.Duration) {
	s := d.Seconds()
	if p.n == 0 {
		p.mean, p.dev = s, s/2
	} else {
		p.dev += (math.Abs(s-p.mean) - p.dev) / 4
		p.mean += (s - p.mean) / 8
	}
	p.n++
	if p.n >= warmup && (p.mean < p.expected || p.expected == 0) {
		p.expected = p.mean
	}
}

// silence returns how long the next token may take before the stages are
// probed.
func (p *pace) silence() time.Duration {
	if p.n < warmup {
		return clamp(time.Duration(16*p.expected*float64(time.Second)), firstSilence, maxSilence)
	}
	return clamp(time.Duration(max(p.mean+8*p.dev, 4*p.mean)*float64(time.Second)), minSilence, maxSilence)
}

func clamp(d, lo, hi time.Duration) time.Duration { return max(lo, min(d, hi)) }

// slow tells whether the route is much slower than expected. It is true at
// most once each slowCheck.
func (p *pace) slow(now time.Time) bool {
	if p.n < slowCount || p.mean < slowFactor*p.expected || p.mean-p.expected < slowExcess.Seconds() || now.Sub(p.checked) < slowCheck {
		return false
	}
	p.checked = now
	return true
}
