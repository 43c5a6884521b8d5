// Package admit decides whether a stream may start on engines that are short of capacity.
//
// Engines that take every stream preempt some and slow down all of them until hardly any answer arrives
// within the times that callers accept. Callers repeat then, and the overload outlasts its cause. A
// Controller therefore refuses streams while the engines can still serve those that they have. The load
// that it decides by is that of all entry processes, so that each process reaches the same decision
// without asking the others.
//
// Less urgent streams are refused first: the capacity above their limit is reserved for more urgent
// ones. Each urgency keeps a minimum share. A stream waits for a moment if capacity comes in time; refused
// callers are told to return when the streams in progress will have ended, the more urgent ones first.
package admit

import (
	"math"
	"math/rand/v2"
	"sync"
	"time"
)

const (
	// fullLoad is the load up to which the most urgent streams are admitted. Engines preempt before the
	// estimated load reaches 1, since streams are not spread evenly and reports of load are old.
	fullLoad = 0.92
	// reserve is the share of the capacity that the least urgent rank leaves to the others. The ranks in
	// between leave evenly spaced parts of it. A larger reserve refuses streams that the engines could serve.
	reserve = 0.1
	// overShareReserve is the additional share that accounts leave to others while they ask for more than
	// overShareFactor times the streams that an equal share would give them. Refused streams count too.
	overShareReserve = 0.02
	overShareFactor  = 2
	// minShare is the share of the streams of each rank that is admitted up to fullLoad, so that lasting
	// pressure of more urgent streams does not starve a rank.
	minShare = 0.25
	// shareMemory is the time constant of the counts of streams by rank and account.
	shareMemory = 10 * time.Second
	// defaultDuration is the duration of a stream before one has ended. Streams last a few seconds.
	defaultDuration = 4 * time.Second
	// maxReturn bounds the time after which refused callers return. Callers wait for 20 s at most and
	// give up after a third of that.
	maxReturn = 6 * time.Second
	// waitShare is the share of the capacity that becomes free that a stream which waits can count on. Streams
	// that arrive meanwhile take the rest.
	waitShare = 0.5
	// durationWeight is the weight of the last stream in the mean duration.
	durationWeight = 0.05
)

// Bound names the resource that a stream lacks.
type Bound string

const (
	BoundMemory Bound = "memory" // KV cache
	BoundPause  Bound = "pause"  // pauses between events
)

// Load is the load of the engines of a service and of the path that a stream would take. 1 is full.
type Load struct {
	Memory float64 // share of the KV cache that the streams of all processes need; see Occupancy
	Pause  float64 // expected pause between events, relative to the longest that the caller accepts
}

// Demand is a stream that is to start.
type Demand struct {
	Rank    int    // number of urgencies that come first; 0 is the most urgent
	Ranks   int    // number of urgencies of the service
	Account string // client account; empty if there is none
	Load    Load
	WaitBy  time.Time // until when the stream can wait for capacity and still begin in time; zero if it can't wait
	Waited  bool      // an earlier decision on the stream was that it waits
}

// Decision is the decision on a stream. The fields after Waits are those of a refusal.
type Decision struct {
	Admitted bool
	Waits    bool // it is decided on again shortly, as there will be capacity
	Bound    Bound
	Load     float64   // of the resource that Bound names
	Limit    float64   // that the load exceeds
	RetryAt  time.Time // when the caller should return
}

// Config holds the settings of a Controller.
type Config struct {
	Random func() float64 // at least 0 and below 1; nil for a random source of its own
}

// Controller decides on the streams of one service. It is safe for concurrent use.
type Controller struct {
	random func() float64

	mu       sync.Mutex
	duration float64 // mean duration of a stream in seconds; 0 before the first one has ended
	ranks    map[int]*rankCount
	accounts map[string]*count
	cleaned  time.Time // when idle accounts were removed last
	all      count
}

// count is a number of streams that decays with shareMemory.
type count struct {
	value float64
	at    time.Time
}

// rankCount counts the streams of one rank.
type rankCount struct{ arrived, admitted count }

// New returns a Controller that has seen no stream.
func New(cfg Config) *Controller {
	if cfg.Random == nil {
		cfg.Random = rand.Float64
	}
	return &Controller{random: cfg.Random, ranks: map[int]*rankCount{}, accounts: map[string]*count{}}
}

// decayed returns the number of streams at a time.
func (c *count) decayed(now time.Time) float64 {
	return c.value * math.Exp(-now.Sub(c.at).Seconds()/shareMemory.Seconds())
}

// add counts one more stream.
func (c *count) add(now time.Time) { c.value, c.at = c.decayed(now)+1, now }

// Decide decides whether a stream may start now.
func (c *Controller) Decide(now time.Time, d Demand) Decision {
	c.mu.Lock()
	defer c.mu.Unlock()
	rank := c.ranks[d.Rank]
	if rank == nil {
		rank = &rankCount{}
		c.ranks[d.Rank] = rank
	}
	if !d.Waited {
		rank.arrived.add(now)
		c.addAccount(now, d.Account)
	}
	limit := c.limit(now, d, rank)
	out := Decision{Bound: BoundMemory, Load: d.Load.Memory, Limit: limit}
	if d.Load.Pause > d.Load.Memory {
		out.Bound, out.Load = BoundPause, d.Load.Pause
	}
	if out.Load <= limit {
		rank.admitted.add(now)
		return Decision{Admitted: true}
	}
	if c.freeBy(now, d.WaitBy, out.Load) >= out.Load-limit {
		return Decision{Waits: true}
	}
	out.RetryAt = c.retryAt(now, d.Rank)
	return out
}

// freeBy returns the part of a load that ends until a time and that a stream that waits can count on. The caller
// holds mu.
func (c *Controller) freeBy(now, by time.Time, load float64) float64 {
	ended := min(by.Sub(now).Seconds()/c.meanDuration(), 1)
	return waitShare * load * ended
}

// meanDuration returns the mean duration of a stream in seconds. The caller holds mu.
func (c *Controller) meanDuration() float64 {
	if c.duration > 0 {
		return c.duration
	}
	return defaultDuration.Seconds()
}

// limit returns the load up to which a stream is admitted. The caller holds mu.
func (c *Controller) limit(now time.Time, d Demand, rank *rankCount) float64 {
	if rank.admitted.decayed(now) < minShare*rank.arrived.decayed(now) {
		return fullLoad
	}
	limit := fullLoad
	if d.Ranks > 1 {
		limit -= reserve * float64(min(d.Rank, d.Ranks-1)) / float64(d.Ranks-1)
	}
	if c.isOverShare(now, d.Account) {
		limit -= overShareReserve
	}
	return limit
}

// maxAccounts bounds the accounts that are counted. Deployments have tens; the bound holds the memory if
// there are many.
const maxAccounts = 1024

// addAccount counts a stream of an account. The caller holds mu.
func (c *Controller) addAccount(now time.Time, name string) {
	if name == "" {
		return
	}
	// Accounts that send nothing more must not lower the equal share of the others.
	if now.Sub(c.cleaned) >= shareMemory {
		c.forgetIdle(now)
	}
	a := c.accounts[name]
	if a == nil {
		if len(c.accounts) >= maxAccounts {
			return
		}
		a = &count{}
		c.accounts[name] = a
	}
	a.add(now)
	c.all.add(now)
}

// forgetIdle removes accounts without a stream for several times shareMemory. The caller holds mu.
func (c *Controller) forgetIdle(now time.Time) {
	const negligible = 0.01 // streams
	c.cleaned = now
	for name, a := range c.accounts {
		if a.decayed(now) < negligible {
			delete(c.accounts, name)
		}
	}
}

// isOverShare reports whether an account asks for far more streams than an equal share of them. The caller
// holds mu.
func (c *Controller) isOverShare(now time.Time, name string) bool {
	a := c.accounts[name]
	return a != nil && a.decayed(now)*float64(len(c.accounts)) > overShareFactor*c.all.decayed(now)
}

// ObserveDuration records how long a stream lasted from its first attempt to its end.
func (c *Controller) ObserveDuration(took time.Duration) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if c.duration == 0 {
		c.duration = took.Seconds()
		return
	}
	c.duration += durationWeight * (took.Seconds() - c.duration)
}

// RetryAt returns when the caller of a refused stream should return.
func (c *Controller) RetryAt(now time.Time, rank int) time.Time {
	c.mu.Lock()
	defer c.mu.Unlock()
	return c.retryAt(now, rank)
}

// retryAt is RetryAt for callers that hold mu. About a third of the streams in progress have ended after
// a third of their duration. Each rank returns a third later than the next more urgent one. The times
// are spread over half to three halves of that, so that the callers do not return at once. The mean is bounded
// instead of the times, of which many would be equal to the bound otherwise.
func (c *Controller) retryAt(now time.Time, rank int) time.Time {
	const maxSpread = 1.5 // longest wait, relative to the mean
	mean := min(c.meanDuration()*float64(rank+1)/3, maxReturn.Seconds()/maxSpread)
	wait := mean * (maxSpread - 1 + c.random())
	return now.Add(time.Duration(wait * float64(time.Second)))
}

// Engine is an engine with the layers that it holds and its KV cache in layer tokens. A layer token is
// the cache of one token on one layer.
type Engine struct {
	From, To       int // To is exclusive
	Capacity, Used float64
}

// Occupancy returns the share of the KV cache that is in use on the layer that has the least left, over
// all engines that hold it. Every stream needs each layer, so that this layer bounds the streams. It is 1
// if a layer has no holder. Engines of unknown capacity, which is 0, count as holders only; if there are no
// others, the occupancy is 0.
func Occupancy(layers int, engines []Engine) float64 {
	used, capacity, held := make([]float64, layers), make([]float64, layers), make([]bool, layers)
	for _, e := range engines {
		if e.From < 0 || e.To > layers || e.From >= e.To {
			continue
		}
		n := float64(e.To - e.From)
		for layer := e.From; layer < e.To; layer++ {
			held[layer] = true
			if e.Capacity > 0 {
				used[layer] += e.Used / n
				capacity[layer] += e.Capacity / n
			}
		}
	}
	most := 0.0
	for layer := range used {
		switch {
		case !held[layer]:
			return 1
		case capacity[layer] > 0:
			most = max(most, used[layer]/capacity[layer])
		}
	}
	return most
}
