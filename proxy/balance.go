package proxy

import (
	"math"
	"math/rand"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/retry"
)

// Sizes of the budgets of repeated and of hedged calls.
const (
	firstTokens = 10  // lets a process with few calls repeat some
	maxTokens   = 100 // bounds a burst after a quiet time
)

func newBudget(share float64) *retry.Budget {
	return retry.New(retry.Config{RetriesPerRequest: share, Burst: maxTokens, Initial: firstTokens})
}

// meter holds measured latencies of servers and services.
type meter struct {
	mu       sync.Mutex
	rand     *rand.Rand
	servers  map[string]*sample
	services map[string]*float64 // 95th percentile in seconds
}

// sample is the mean time to the header of a server's answers.
type sample struct {
	seconds float64
	at      time.Time
}

func newMeter(r *rand.Rand) *meter {
	return &meter{rand: r, servers: map[string]*sample{}, services: map[string]*float64{}}
}

const (
	riseWeight = 0.5             // of a new measurement above the mean; a server that turns slow loses work at once
	fallWeight = 0.2             // of a new measurement below the mean
	fading     = 5 * time.Second // a mean fades, so that a server that was slow is tried again
	quantile   = 0.95            // of the latency after which a lookup is hedged
	stepShare  = 0.1             // of the estimate by which one measurement moves it
	maxMeters  = 4096            // servers come and go; old means are dropped
)

// now returns the mean as it has faded since the last measurement.
func (s *sample) now(t time.Time) float64 {
	return s.seconds * math.Exp(-t.Sub(s.at).Seconds()/fading.Seconds())
}

// add records the time to the header of one answer.
func (m *meter) add(service, server string, took time.Duration) {
	x := took.Seconds()
	m.mu.Lock()
	defer m.mu.Unlock()
	if len(m.servers) > maxMeters {
		clear(m.servers)
	}
	s := m.servers[server]
	if s == nil {
		s = &sample{seconds: x, at: time.Now()}
		m.servers[server] = s
	}
	s.seconds = s.now(time.Now())
	if x > s.seconds {
		s.seconds += riseWeight * (x - s.seconds)
	} else {
		s.seconds += fallWeight * (x - s.seconds)
	}
	s.at = time.Now()
	q := m.services[service]
	if q == nil {
		m.services[service] = &x
		return
	}
	// Moves up 19 times as far as down, so that it rests where 5 % are above.
	if x > *q {
		*q += stepShare * *q * quantile
	} else {
		*q -= stepShare * *q * (1 - quantile)
	}
}

// slow returns the time after which a lookup of a service is unusually slow,
// or 0 when too little is known.
func (m *meter) slow(service string) time.Duration {
	m.mu.Lock()
	defer m.mu.Unlock()
	q := m.services[service]
	if q == nil {
		return 0
	}
	return max(time.Duration(*q*float64(time.Second)), minHedge)
}

// minHedge keeps very fast services from being hedged for noise.
const minHedge = 2 * time.Millisecond

// pick returns the server with the least expected time for one more request
// among those not avoided. Servers that failed a short while ago come last.
func (m *meter) pick(all []fleet.Candidate, avoid map[string]bool) (fleet.Candidate, bool) {
	now := time.Now()
	m.mu.Lock()
	defer m.mu.Unlock()
	best, cost, ties := -1, 0.0, 0
	for i, c := range all {
		if avoid[c.Name] {
			continue
		}
		x := m.cost(c, now)
		switch {
		case best < 0 || x < cost:
			best, cost, ties = i, x, 1
		case x == cost:
			// Each of n equal servers is chosen with probability 1/n.
			if ties++; m.rand.Intn(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return fleet.Candidate{}, false
	}
	return all[best], true
}

// downCost separates servers that failed from all others.
const downCost = 1e9

// cost is the load of a server with one more request times its latency. The
// load is the larger of what it reports and what this process has in flight,
// since reports lag.
func (m *meter) cost(c fleet.Candidate, now time.Time) float64 {
	load := float64(max(c.Inflight, c.Running)+c.Waiting+1) / float64(max(c.Slots, 1))
	seconds := 1e-3 // not measured yet: tried early
	if s := m.servers[c.Name]; s != nil {
		seconds = 1e-3 + s.now(now)
	}
	if c.Ejected {
		return downCost + load*seconds
	}
	return load * seconds
}
