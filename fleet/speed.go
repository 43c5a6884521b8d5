package fleet

import (
	"math"
	"time"
)

// speed holds the measured token times of a server as a stage.
type speed struct {
	token        time.Duration // time of one token, smoothed
	prefill      time.Duration // time of one prompt token, smoothed
	measurements int
	measuredAt   time.Time // time of the last measurement
}

const (
	smoothing     = 0.3              // weight of a new measurement
	speedHalfLife = 30 * time.Second // age at which a measurement and the value of its kind have equal weight
	linkHalfLife  = 30 * time.Second // age at which a round trip and the default have equal weight
)

// Round trips of links that were not measured, between failure domains (a little
// over 0.5 ms each way) and within one.
const (
	defaultRoundTrip    = 1200 * time.Microsecond
	sameDomainRoundTrip = 200 * time.Microsecond
)

// smooth returns the exponentially weighted average with a new measurement.
func smooth(old, measured time.Duration, first bool) time.Duration {
	if first {
		return measured
	}
	return old + time.Duration(smoothing*float64(measured-old))
}

// RecordTokenTime records the time that a server took for one token as a stage, and
// ejects the server if it is much slower than others.
func (t *Table) RecordTokenTime(name string, token time.Duration) {
	now := time.Now()
	t.withServer(name, func(s *server) {
		s.speed.token = smooth(s.speed.token, token, s.speed.measurements == 0)
		s.speed.measurements++
		s.speed.measuredAt = now
		t.ejectIfSlow(s, now)
	})
}

// RecordPrefill records the time that a server took for one prompt token.
func (t *Table) RecordPrefill(name string, perToken time.Duration) {
	t.withServer(name, func(s *server) { s.speed.prefill = smooth(s.speed.prefill, perToken, s.speed.prefill == 0) })
}

// step returns the estimated time of one token. As the last measurement ages, or
// without one, the estimate approaches the time per layer of the accelerator kind
// times the number of layers. It returns 0 if neither is known.
func (v *speed) step(now time.Time, perLayer time.Duration, layers int) time.Duration {
	expected := perLayer * time.Duration(layers)
	switch {
	case v.measurements == 0:
		return expected
	case expected == 0:
		return v.token
	}
	weight := math.Exp2(-float64(now.Sub(v.measuredAt)) / float64(speedHalfLife))
	return expected + time.Duration(weight*float64(v.token-expected))
}

// medianLayerTimes returns the median time of one token in one layer, by
// accelerator kind.
func medianLayerTimes(all []server) map[string]time.Duration {
	times := map[string][]time.Duration{}
	for i := range all {
		s := &all[i]
		if n := s.state.Last - s.state.First; s.speed.measurements > 0 && n > 0 {
			times[s.state.Kind] = append(times[s.state.Kind], s.speed.token/time.Duration(n))
		}
	}
	out := make(map[string]time.Duration, len(times))
	for k, v := range times {
		out[k] = medianOf(v)
	}
	return out
}

// link holds the measured round trip between two failure domains.
type link struct {
	roundTrip  time.Duration
	measuredAt time.Time
}

// RecordRoundTrip records a round trip from one failure domain to another, as
// measured by the caller in the first domain.
func (t *Table) RecordRoundTrip(from, to string, rtt time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[[2]string{from, to}]
	if l == nil {
		l = &link{roundTrip: rtt}
		t.links[[2]string{from, to}] = l
	}
	l.roundTrip, l.measuredAt = smooth(l.roundTrip, rtt, false), now
}

// RecordRoundTripTo records a round trip from this process to a server.
func (t *Table) RecordRoundTripTo(name string, rtt time.Duration) {
	domain := ""
	t.withServer(name, func(s *server) { domain = s.state.Domain })
	if domain != "" {
		t.RecordRoundTrip(t.cfg.Domain, domain, rtt)
	}
}

// RoundTrip returns the estimated round trip between two failure domains. As the
// last measurement ages, the estimate approaches the default, so that a link that
// was avoided is tried again.
func (t *Table) RoundTrip(from, to string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	base := defaultRoundTrip
	if from == to {
		base = sameDomainRoundTrip
	}
	l := t.links[[2]string{from, to}]
	if l == nil {
		return base
	}
	weight := math.Exp2(-float64(time.Since(l.measuredAt)) / float64(linkHalfLife))
	return base + time.Duration(weight*float64(l.roundTrip-base))
}
