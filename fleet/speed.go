package fleet

import (
	"math"
	"time"
)

// speed is the measured speed of a server as a stage.
type speed struct {
	token    time.Duration // time of one token, smoothed
	prefill  time.Duration // time of one prompt token, smoothed
	measures int
	at       time.Time // last measure
}

const (
	smoothing = 0.3              // weight of a new measure
	speedHalf = 30 * time.Second // age at which a measure has lost half of its weight against the mean of the kind
	linkHalf  = 30 * time.Second // the same for links, against the default
)

// defaultHop is the round trip of a link between failure domains that was not
// measured: a little over 0.5 ms each way. Within a domain it is sameHop.
const (
	defaultHop = 1200 * time.Microsecond
	sameHop    = 200 * time.Microsecond
)

func smooth(old, measured time.Duration, first bool) time.Duration {
	if first {
		return measured
	}
	return old + time.Duration(smoothing*float64(measured-old))
}

// RecordStep records the time that a server took for one token as a stage.
func (t *Table) RecordStep(name string, token time.Duration) {
	now := time.Now()
	t.with(name, func(s *server) {
		s.speed.token = smooth(s.speed.token, token, s.speed.measures == 0)
		s.speed.measures++
		s.speed.at = now
		t.judge(s, now)
	})
}

// RecordPrefill records the time that a server took for one token of a prompt.
func (t *Table) RecordPrefill(name string, perToken time.Duration) {
	t.with(name, func(s *server) { s.speed.prefill = smooth(s.speed.prefill, perToken, s.speed.prefill == 0) })
}

// step returns the estimated time of one token. A measure that ages, or that
// is missing, gives way to the mean of the accelerator kind for so many
// layers. It returns 0 when neither is known.
func (v *speed) step(now time.Time, perLayer time.Duration, layers int) time.Duration {
	kind := perLayer * time.Duration(layers)
	switch {
	case v.measures == 0:
		return kind
	case kind == 0:
		return v.token
	}
	w := math.Exp2(-float64(now.Sub(v.at)) / float64(speedHalf))
	return kind + time.Duration(w*float64(v.token-kind))
}

// kindSteps returns the median time of one token in one layer by kind.
func kindSteps(all []server) map[string]time.Duration {
	by := map[string][]time.Duration{}
	for i := range all {
		s := &all[i]
		if n := s.state.Last - s.state.First; s.speed.measures > 0 && n > 0 {
			by[s.state.Kind] = append(by[s.state.Kind], s.speed.token/time.Duration(n))
		}
	}
	out := make(map[string]time.Duration, len(by))
	for k, v := range by {
		out[k] = middle(v)
	}
	return out
}

// link is the measured round trip between two failure domains.
type link struct {
	hop time.Duration
	at  time.Time
}

// RecordRoundTrip records a round trip from one failure domain to another, as seen by
// the caller in the first domain.
func (t *Table) RecordRoundTrip(from, to string, rtt time.Duration) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	l := t.links[[2]string{from, to}]
	if l == nil {
		l = &link{hop: rtt}
		t.links[[2]string{from, to}] = l
	}
	l.hop, l.at = smooth(l.hop, rtt, false), now
}

// RecordRoundTripTo records a round trip from this process to a server.
func (t *Table) RecordRoundTripTo(name string, rtt time.Duration) {
	domain := ""
	t.with(name, func(s *server) { domain = s.state.Domain })
	if domain != "" {
		t.RecordRoundTrip(t.cfg.Domain, domain, rtt)
	}
}

// RoundTrip returns the estimated round trip between two failure domains. A
// measure that ages gives way to the default, so that a link that was avoided
// is tried again.
func (t *Table) RoundTrip(from, to string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	base := defaultHop
	if from == to {
		base = sameHop
	}
	l := t.links[[2]string{from, to}]
	if l == nil {
		return base
	}
	w := math.Exp2(-float64(time.Since(l.at)) / float64(linkHalf))
	return base + time.Duration(w*float64(l.hop-base))
}
