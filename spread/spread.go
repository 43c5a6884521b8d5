// Package spread keeps the load of backend servers even although each process that chooses among them knows the
// load of the others only from reports that are some 100 ms old. Processes that choose by the same report all take
// the server with the least load, so that servers are overloaded in turn while others are idle (herd effect).
//
// An Estimator gives a View for each choice, which corrects the reported load of each server by what this process has
// there, times the number of the others, and by a random number of streams of the size of what the others have begun
// since their report. The package reads no clock and makes no calls. docs/design/spread.md has the alternatives.
package spread

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// ownWeight is the weight of this process's own load times the number of the others against their reported
	// load. The report is exact but old; the own load is a sample of the present one and differs from process to
	// process, so that they choose differently. At 0.5 a tenth of the streams of the simulation met a full server
	// where 2 % do at 0.75; at 1 a server that is back without streams gets more of them.
	ownWeight = 0.75
	// drawnShare is the mean of the random number of streams relative to the number that the others have begun
	// since their report. At 0.5 and above streams take slow servers while fast ones are free, and answers take up
	// to twice the time; without any, processes with no stream of their own still choose alike.
	drawnShare = 0.25
	// rateTime is the time over which the rate of this process's own streams is smoothed. One process of a hundred
	// that share 300 streams per second begins 6 in it; a load that changes with a period of 15 s is followed.
	rateTime = 2 * time.Second
	// maxAge bounds the age of a report. Heartbeats drop the load of a silent process after the same time.
	maxAge = 3 * time.Second
)

// Config holds the settings of an Estimator.
type Config struct {
	// Random returns an exponentially distributed number with mean 1; nil for that of math/rand.
	Random func() float64
}

// Estimator estimates what the other processes have done since they reported their load. It is safe for concurrent
// use if Random is.
type Estimator struct {
	cfg Config

	mu    sync.Mutex
	rates map[string]rate // of the streams that this process began, by service
}

// rate is an exponentially smoothed rate of events.
type rate struct {
	value float64 // events per second at the time at
	at    time.Duration
}

// New returns an Estimator of a process that has begun no streams.
func New(cfg Config) *Estimator {
	if cfg.Random == nil {
		cfg.Random = rand.ExpFloat64
	}
	return &Estimator{cfg: cfg, rates: map[string]rate{}}
}

// Begin records that this process begins a stream of a service. now is on any monotonic clock.
func (e *Estimator) Begin(service string, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	e.rates[service] = rate{value: e.rates[service].valueAt(now) + 1/rateTime.Seconds(), at: now}
}

// View returns the View for one choice among the servers of a service. age is the age of the other processes' report,
// and processes the number of all processes, including this one. It takes each of the others to begin as many streams
// as this one; with the waves of the load they differ by a factor of two at most.
func (e *Estimator) View(service string, now, age time.Duration, processes int) View {
	e.mu.Lock()
	own := e.rates[service].valueAt(now)
	e.mu.Unlock()
	others := float64(max(processes-1, 0))
	return View{random: e.cfg.Random, others: others, unseen: own * others * min(max(age, 0), maxAge).Seconds()}
}

// valueAt returns the rate at a time that is not before the last event.
func (r rate) valueAt(now time.Duration) float64 {
	return r.value * math.Exp(-max(now-r.at, 0).Seconds()/rateTime.Seconds())
}

// Load is work in flight at a server.
type Load struct {
	Streams float64
	Tokens  float64 // layer tokens of KV cache
}

// View is what a process assumes about the others in one choice. The zero View assumes that their reports are true.
type View struct {
	random func() float64
	others float64 // number of the other processes
	unseen float64 // expected number of streams that they have begun since their report
}

// Unseen returns the expected number of streams that the others have begun since their report.
func (v View) Unseen() float64 { return v.unseen }

// Correction returns what a choice adds to the load own + reported of a server, where reported is that of the other
// processes and streamTokens what one stream takes there. The result is random and may be negative, but not below
// -reported. It is meant for comparing servers; what a server can still take is decided by the reported load.
func (v View) Correction(own, reported Load, streamTokens float64) Load {
	if v.others == 0 {
		return Load{}
	}
	drawn := drawnShare * v.unseen * v.random()
	return Load{
		Streams: drawn + ownWeight*(own.Streams*v.others-reported.Streams),
		Tokens:  drawn*streamTokens + ownWeight*(own.Tokens*v.others-reported.Tokens),
	}
}
