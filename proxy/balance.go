package proxy

import (
	"math"
	"math/rand"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/retry"
)

// Token counts of the retry and hedging budgets.
const (
	initialBudget = 10  // lets a process with few calls retry some of them
	maxBudget     = 100 // limits a burst after an idle period
)

// newBudget returns a budget for extra calls as a share of all calls.
func newBudget(share float64) *retry.Budget {
	return retry.New(retry.Config{RetriesPerRequest: share, Burst: maxBudget, Initial: initialBudget})
}

// latencyTracker holds the measured latencies of servers and services.
type latencyTracker struct {
	mu       sync.Mutex
	rand     *rand.Rand
	servers  map[string]*serverLatency
	services map[string]*float64 // 95th percentile of the latency in seconds
}

// serverLatency is the running mean of the time until a server sends the header of
// an answer.
type serverLatency struct {
	seconds   float64
	updatedAt time.Time
}

func newLatencyTracker(r *rand.Rand) *latencyTracker {
	return &latencyTracker{rand: r, servers: map[string]*serverLatency{}, services: map[string]*float64{}}
}

const (
	increaseWeight    = 0.5             // weight of a measurement above the mean; high, so that a server that becomes slow loses work at once
	decreaseWeight    = 0.2             // weight of a measurement below the mean
	decayTime         = 5 * time.Second // time constant of the decay of a mean, so that a server that was slow is tried again
	hedgeQuantile     = 0.95            // quantile of the latency after which a lookup is hedged
	quantileStep      = 0.1             // fraction of the estimate by which one measurement moves it
	maxTrackedServers = 4096            // number of servers above which all means are dropped, as servers come and go
)

// decayed returns the mean with its decay since the last measurement.
func (s *serverLatency) decayed(t time.Time) float64 {
	return s.seconds * math.Exp(-t.Sub(s.updatedAt).Seconds()/decayTime.Seconds())
}

// add records the time until the header of an answer arrived.
func (t *latencyTracker) add(service, server string, took time.Duration) {
	seconds := took.Seconds()
	t.mu.Lock()
	defer t.mu.Unlock()
	if len(t.servers) > maxTrackedServers {
		clear(t.servers)
	}
	s := t.servers[server]
	if s == nil {
		s = &serverLatency{seconds: seconds, updatedAt: time.Now()}
		t.servers[server] = s
	}
	s.seconds = s.decayed(time.Now())
	if seconds > s.seconds {
		s.seconds += increaseWeight * (seconds - s.seconds)
	} else {
		s.seconds += decreaseWeight * (seconds - s.seconds)
	}
	s.updatedAt = time.Now()
	estimate := t.services[service]
	if estimate == nil {
		t.services[service] = &seconds
		return
	}
	// Increases are 19 times as large as decreases, so that the estimate converges
	// to the value that 5 % of the measurements exceed.
	if seconds > *estimate {
		*estimate += quantileStep * *estimate * hedgeQuantile
	} else {
		*estimate -= quantileStep * *estimate * (1 - hedgeQuantile)
	}
}

// hedgeDelay returns the time after which a lookup, an idempotent GET or HEAD call, is
// sent to a second server too. It returns 0 without measurements.
func (t *latencyTracker) hedgeDelay(service string) time.Duration {
	t.mu.Lock()
	defer t.mu.Unlock()
	estimate := t.services[service]
	if estimate == nil {
		return 0
	}
	return max(time.Duration(*estimate*float64(time.Second)), minHedge)
}

// minHedge is the minimum delay, so that noise does not cause hedging of very fast
// services.
const minHedge = 2 * time.Millisecond

// choose returns the server with the lowest expected cost among those not
// excluded. Servers that failed recently are used only if no other is left.
func (t *latencyTracker) choose(candidates []fleet.Candidate, exclude map[string]bool) (fleet.Candidate, bool) {
	now := time.Now()
	t.mu.Lock()
	defer t.mu.Unlock()
	best, cost, ties := -1, 0.0, 0
	for i, c := range candidates {
		if exclude[c.Name] {
			continue
		}
		x := t.expectedCost(c, now)
		switch {
		case best < 0 || x < cost:
			best, cost, ties = i, x, 1
		case x == cost:
			// Selects each of n equal servers with probability 1/n.
			if ties++; t.rand.Intn(ties) == 0 {
				best = i
			}
		}
	}
	if best < 0 {
		return fleet.Candidate{}, false
	}
	return candidates[best], true
}

// downCost ranks servers that failed recently behind all others.
const downCost = 1e9

// expectedCost returns the load of a server with one more request, multiplied by
// its latency. The load is the larger of the reported one and the number of
// requests that this process has in flight, since reports lag.
func (t *latencyTracker) expectedCost(c fleet.Candidate, now time.Time) float64 {
	load := float64(max(c.Inflight, c.Running)+c.Waiting+1) / float64(max(c.Slots, 1))
	seconds := 1e-3 // no measurement yet; a low value gets the server tried early
	if s := t.servers[c.Name]; s != nil {
		seconds = 1e-3 + s.decayed(now)
	}
	if c.Ejected {
		return downCost + load*seconds
	}
	return load * seconds
}
