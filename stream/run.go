package stream

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/route"
)

// run is the state of one request.
type run struct {
	r      *Runner
	rq     *Request
	accept *acceptor
	number int // current attempt
	rt     route.Route
	avoid  Avoid
	hard   map[string]bool // avoided servers that a sign of life does not clear
	alive  map[string]bool // replaced servers that still answer
	used   map[string]bool // addresses of stages that may hold state
	moves  int
	last   error // why the last attempt failed
	sent   bool  // a backend server may have run part of the request
	broke  time.Time
	prompt int
	cached int
	took   []int // last measured times of the stages, µs
	hops   []int // last measured round trips between them, µs
	fill   time.Duration

	mu      sync.Mutex
	exports map[[2]int]engine.Export // by layer range, filled by checkpoints too
}

func newRun(r *Runner, rq *Request, sink Sink) *run {
	return &run{
		r: r, rq: rq,
		accept: &acceptor{runner: r, layers: rq.Layers, tag: uint32(xxhash.Sum64String(rq.ID)), sink: sink},
		used:   map[string]bool{}, hard: map[string]bool{}, alive: map[string]bool{},
	}
}

func (u *run) outcome() Outcome {
	return Outcome{Stop: u.accept.stop, Prompt: u.prompt, Cached: u.cached, Tokens: len(u.accept.tokens), Attempts: u.number}
}

// choose begins the next attempt with a new route.
func (u *run) choose(ctx context.Context) error {
	u.avoid.Tokens = len(u.accept.tokens)
	if u.avoid.Tokens > 0 {
		u.avoid.Version = u.rt.Version
	}
	rt, err := u.r.cfg.Choose(u.rq, u.avoid)
	if err != nil && u.forgive(ctx) {
		rt, err = u.r.cfg.Choose(u.rq, u.avoid)
	}
	if err != nil {
		return err
	}
	if !rt.CoversLayers(u.rq.Layers) {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Internal, Reason: "the chosen route does not cover each layer once"})
	}
	old := u.rt
	u.number++
	u.rt = rt
	u.took, u.hops = u.took[:0], u.hops[:0]
	u.accept.begin(u.number)
	u.bring(ctx, old)
	u.leave(old)
	return nil
}

// forgive clears avoided servers that answer a probe, when the model can't be
// covered without them. It tells whether there was one.
func (u *run) forgive(ctx context.Context) bool {
	var names []string
	for n := range u.avoid.Servers {
		if !u.hard[n] {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return false
	}
	var stages []route.Stage
	for _, s := range u.rt.Stages {
		for _, n := range names {
			if s.Name == n {
				stages = append(stages, s)
			}
		}
	}
	silent, _ := u.probe(ctx, stages, maxProbe)
	found := false
	for _, s := range stages {
		if !silent[s.Name] {
			delete(u.avoid.Servers, s.Name)
			found = true
		}
	}
	return found
}

// leave releases stages that the new route no longer uses.
func (u *run) leave(old route.Route) {
	var gone []string
	for _, s := range old.Stages {
		if !u.rt.Contains(s.Name) {
			gone = append(gone, s.Address)
			delete(u.used, s.Address)
		}
	}
	u.release(gone, u.number-1)
}

// finish releases every stage that may still hold state of the request.
func (u *run) finish() {
	var all []string
	for a := range u.used {
		all = append(all, a)
	}
	u.release(all, u.number)
}

// Tries to tell a stage that an attempt has ended. The first three fit into
// the second within which its slot has to be free; the later ones reach a
// stage that was cut off for a while and still holds the slot.
const (
	releaseTimeout = 300 * time.Millisecond // of one try
	releaseFirst   = 30 * time.Millisecond  // wait before the second try, doubled for each further one
	releaseLast    = 500 * time.Millisecond // wait at most
	releaseFor     = 10 * time.Second       // no try begins later
)

// release tells stages that the attempts up to a number have ended. It does
// not wait: neither the caller nor the next attempt depends on the answer.
func (u *run) release(addresses []string, attempt int) {
	cfg, request := u.r.cfg, u.rq.ID
	for _, a := range addresses {
		go func() {
			until := time.Now().Add(releaseFor)
			for wait := releaseFirst; time.Now().Before(until); wait = min(2*wait, releaseLast) {
				ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
				err := cfg.Cancel(ctx, a, engine.Release{Request: request, Attempt: attempt})
				cancel()
				if err == nil {
					return
				}
				time.Sleep(wait)
			}
		}()
	}
}

// shun avoids a server in later attempts of this request.
func (u *run) shun(name string, forever bool) {
	if u.avoid.Servers == nil {
		u.avoid.Servers = map[string]bool{}
	}
	u.avoid.Servers[name] = true
	if forever {
		u.hard[name] = true
	}
}

// suspect avoids the link between two neighbours.
func (u *run) suspect(from, to string) {
	p := maps.Clone(u.avoid.Pairs)
	if p == nil {
		p = map[route.Pair]bool{}
	}
	p[route.Pair{from, to}] = true
	u.avoid.Pairs = p
}

// keep names the stages of the route that hold valid state: all that are not
// avoided.
func (u *run) keep() {
	u.avoid.Keep = map[string]bool{}
	for _, s := range u.rt.Stages {
		if !u.avoid.Servers[s.Name] {
			u.avoid.Keep[s.Name] = true
		}
	}
}
