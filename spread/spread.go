// Package spread keeps the load of backend servers even although each process that chooses among them knows the
// load of the others only from reports that are some 100 ms old. Processes that choose by the same report all take
// the server with the least load, so that servers are overloaded in turn while others are idle (herd effect).
//
// An Estimator gives a View for each choice, which corrects the reported load of each server by what this process has
// there, scaled to all, and by a random number of streams of the size of what the others have begun since their
// report. The package reads no clock and makes no calls. docs/design/spread.md has the alternatives.
package spread

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// ownWeight is the weight of this process's own load, scaled to all, against the load that the others reported.
	// The report is exact but old; the own load is a sample of the present one and differs from process to process, so
	// that they choose differently. Of the streams of a simulated fleet with little room, 7.7 % met a full server at
	// 0.5, 0.6 % at 0.75 and 1.2 % at 1.
	ownWeight = 0.75
	// drawnShare is the mean of the random number of streams relative to the number that the others have begun
	// since their report. In the same fleet, 16 % met a full server at 0 and 24 % at 0.5, where streams also take
	// slow servers while fast ones are free.
	drawnShare = 0.25
	// rateTime is the time over which the rate of this process's own streams is smoothed. One process of a hundred
	// that share 300 streams per second begins 6 in it; a load that changes with a period of 15 s is followed.
	rateTime = 2 * time.Second
	// ratioTime is the time over which streams in flight are smoothed for the ratio of the others' to the own ones.
	// A process of a hundred has two or three streams in flight, whose number changes within a second.
	ratioTime = 5 * time.Second
	// priorStreams is the number of streams in flight up to which the number of processes counts more than that ratio.
	priorStreams = 1.0
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

	mu       sync.Mutex
	services map[string]*observed
}

// observed is what this process has seen of a service.
type observed struct {
	begun       rate    // of streams of this process
	own, others float64 // smoothed streams in flight, summed over servers
	at          time.Duration
}

// Report is what a process knows at the time of a choice.
type Report struct {
	Age       time.Duration // of the load that the other processes reported
	Processes int           // including this one
	Own       float64       // streams of this process, summed over all servers
	Others    float64       // reported streams of the others, summed over all servers
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
	return &Estimator{cfg: cfg, services: map[string]*observed{}}
}

// of returns the record of a service. The caller holds mu.
func (e *Estimator) of(service string) *observed {
	o := e.services[service]
	if o == nil {
		o = &observed{}
		e.services[service] = o
	}
	return o
}

// Begin records that this process begins a stream of a service. now is on any monotonic clock.
func (e *Estimator) Begin(service string, now time.Duration) {
	e.mu.Lock()
	defer e.mu.Unlock()
	o := e.of(service)
	o.begun = rate{value: o.begun.valueAt(now) + 1/rateTime.Seconds(), at: now}
}

// View returns the View for one choice among the servers of a service. It takes the others together for as many
// processes like this one as their streams are to its own; for one less than all processes while this one has hardly
// any.
func (e *Estimator) View(service string, now time.Duration, r Report) View {
	e.mu.Lock()
	defer e.mu.Unlock()
	peers := float64(max(r.Processes-1, 0))
	if peers == 0 {
		return View{}
	}
	o := e.of(service)
	keep := math.Exp(-max(now-o.at, 0).Seconds() / ratioTime.Seconds())
	o.own, o.others, o.at = keep*o.own+(1-keep)*r.Own, keep*o.others+(1-keep)*r.Others, now
	ratio := (o.others + peers*priorStreams) / (o.own + priorStreams)
	return View{random: e.cfg.Random, others: ratio, unseen: o.begun.valueAt(now) * ratio * min(max(r.Age, 0), maxAge).Seconds()}
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
	others float64 // how many processes like this one the others are together
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
