package stream

import (
	"math"
	"time"
)

// Bounds of the token timeout, after which the stages of a route are probed.
const (
	minTokenTimeout     = 150 * time.Millisecond // pauses of a busy process reach about 100 ms
	maxTokenTimeout     = 2 * time.Second
	initialTokenTimeout = 500 * time.Millisecond // lower bound until warmupIntervals are measured
	warmupIntervals     = 4                      // measured intervals before their mean is used
)

// Conditions under which a route counts as slow.
const (
	slowFactor        = 4.0                   // minimum ratio of the mean interval to the expected one
	slowMinExcess     = 20 * time.Millisecond // minimum difference between the two
	slowMinIntervals  = 8                     // minimum number of measured intervals
	slowCheckInterval = time.Second           // time between two searches for a faster route
)

// pace estimates the time between two tokens of a route. Like the retransmission
// timer of TCP (RFC 6298), it keeps a smoothed mean and deviation.
type pace struct {
	mean, deviation float64   // seconds
	intervals       int       // number of measured intervals
	expected        float64   // seconds; the lower of the estimate for the route and the best mean so far
	lastCheck       time.Time // last search for a faster route
}

// newPace returns a pace for a route with an estimated time between tokens.
func newPace(expected time.Duration) *pace {
	return &pace{expected: expected.Seconds()}
}

// addInterval adds a measured interval between two tokens.
func (p *pace) addInterval(d time.Duration) {
	s := d.Seconds()
	if p.intervals == 0 {
		p.mean, p.deviation = s, s/2
	} else {
		p.deviation += (math.Abs(s-p.mean) - p.deviation) / 4
		p.mean += (s - p.mean) / 8
	}
	p.intervals++
	if p.intervals >= warmupIntervals && (p.mean < p.expected || p.expected == 0) {
		p.expected = p.mean
	}
}

// tokenTimeout returns how long the next token may take before the stages are
// probed.
func (p *pace) tokenTimeout() time.Duration {
	if p.intervals < warmupIntervals {
		return clamp(time.Duration(16*p.expected*float64(time.Second)), initialTokenTimeout, maxTokenTimeout)
	}
	return clamp(time.Duration(max(p.mean+8*p.deviation, 4*p.mean)*float64(time.Second)), minTokenTimeout, maxTokenTimeout)
}

func clamp(d, lo, hi time.Duration) time.Duration { return max(lo, min(d, hi)) }

// slow tells whether the route is much slower than expected. It returns true at most
// once per slowCheckInterval.
func (p *pace) slow(now time.Time) bool {
	if p.intervals < slowMinIntervals || p.mean < slowFactor*p.expected || p.mean-p.expected < slowMinExcess.Seconds() || now.Sub(p.lastCheck) < slowCheckInterval {
		return false
	}
	p.lastCheck = now
	return true
}
