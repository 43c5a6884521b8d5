package stream

import (
	"context"
	"maps"
	"sync"
	"time"

	"github.com/cespare/xxhash/v2"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/route"
)

// requestState is the state of one request over all of its attempts.
type requestState struct {
	runner        *Runner
	req           *Request
	acceptor      *acceptor
	attemptNumber int         // current attempt, from 1
	route         route.Route // route of the current attempt
	constraints   RouteConstraints
	permanent     map[string]bool // excluded servers that are not readmitted when they answer a probe
	reachable     map[string]bool // servers of the failed route that still answer
	mayHoldState  map[string]bool // addresses of stages that may hold state of the request
	reroutes      int             // moves away from a slow route
	credit        int             // attempts that take no retry from the budget
	suspicion     *guard.Case     // servers that crashed under the request
	lastErr       error           // why the last attempt failed
	overdue       bool            // the last run ended at the deadline of its next token
	mayHaveRun    bool            // a backend server may have run part of the request
	failedAt      time.Time       // last progress of the attempt that failed
	stageTimes    []int           // last measured times of the stages, µs
	linkTimes     []int           // last measured round trips between them, µs

	mu              sync.Mutex
	stages          map[string]route.Stage   // stages of all runs, by name
	exports         map[[2]int]engine.Export // checkpoints, by layer range
	promptTokens    int
	cachedTokens    int           // prompt tokens found in a prefix cache
	prefillPerToken time.Duration // measured; 0 when unknown
}

func newRequestState(r *Runner, req *Request, sink Sink) *requestState {
	return &requestState{
		runner: r, req: req, suspicion: r.cfg.Guard.Open(req.Identity),
		acceptor:     &acceptor{runner: r, layers: req.Layers, tag: uint32(xxhash.Sum64String(req.ID)), sink: sink},
		mayHoldState: map[string]bool{}, permanent: map[string]bool{}, reachable: map[string]bool{}, stages: map[string]route.Stage{}, failedAt: time.Now(),
	}
}

func (st *requestState) outcome() Outcome {
	return Outcome{Stop: st.acceptor.stop, Prompt: st.promptTokens, Cached: st.cachedTokens, Tokens: len(st.acceptor.tokens), Attempts: st.attemptNumber}
}

// choose begins the next attempt: it chooses a route, moves the KV cache to its new
// stages and releases the stages that it replaces.
func (st *requestState) choose(ctx context.Context) error {
	st.constraints.AcceptedTokens = len(st.acceptor.tokens)
	if st.constraints.AcceptedTokens > 0 {
		st.constraints.Version = st.route.Version
	}
	rt, err := st.runner.cfg.Choose(st.req, st.constraints)
	if err != nil && st.readmitReachable(ctx) {
		rt, err = st.runner.cfg.Choose(st.req, st.constraints)
	}
	if err != nil {
		return err
	}
	if !rt.CoversLayers(st.req.Layers) {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Internal, Reason: "the chosen route does not cover each layer once"})
	}
	old := st.route
	st.attemptNumber++
	st.route = rt
	st.stageTimes, st.linkTimes = st.stageTimes[:0], st.linkTimes[:0]
	st.acceptor.beginAttempt(st.attemptNumber)
	if st.attemptNumber > 1 {
		st.importCaches(ctx, cacheMove{from: old, to: rt, number: st.attemptNumber, tokens: len(st.acceptor.tokens), reachable: st.reachable})
	}
	st.releaseReplaced(old)
	return nil
}

// readmitReachable probes the excluded servers, except those that are excluded
// permanently, and readmits the ones that answer. It is called when the model
// can't be covered without them, and returns whether there was one. While some are
// silent it waits for them, for as long as the answer may go without a token.
func (st *requestState) readmitReachable(ctx context.Context) bool {
	for {
		var stages []route.Stage
		st.mu.Lock()
		for n := range st.constraints.ExcludedServers {
			if s, ok := st.stages[n]; ok && !st.permanent[n] {
				stages = append(stages, s)
			}
		}
		st.mu.Unlock()
		if len(stages) == 0 {
			return false
		}
		next := time.Now().Add(minProbe)
		p := st.probe(ctx, stages, maxProbe)
		found := false
		for _, s := range stages {
			if p.answered(s.Name) {
				delete(st.constraints.ExcludedServers, s.Name)
				found = true
			}
		}
		if found || len(p.silent) == 0 || ctx.Err() != nil || !time.Now().Before(st.tokenDeadline()) {
			return found
		}
		time.Sleep(time.Until(next))
	}
}

// tokenDeadline returns the deadline of the next token while no run is in progress.
func (st *requestState) tokenDeadline() time.Time {
	if len(st.acceptor.tokens) == 0 && !st.req.FirstTokenDeadline.IsZero() {
		return st.req.FirstTokenDeadline
	}
	return st.failedAt.Add(st.runner.maxSilence)
}

// releaseReplaced releases the stages that the new route no longer uses.
func (st *requestState) releaseReplaced(old route.Route) {
	var gone []string
	for _, s := range old.Stages {
		if !st.route.Contains(s.Name) {
			gone = append(gone, s.Address)
			delete(st.mayHoldState, s.Address)
		}
	}
	st.release(gone, st.attemptNumber-1)
}

// releaseAll releases every stage that may still hold state of the request.
func (st *requestState) releaseAll() {
	var all []string
	for a := range st.mayHoldState {
		all = append(all, a)
	}
	st.release(all, st.attemptNumber)
}

// Retries of the call that releases a stage. The first three tries fit into the
// second within which the slot of the stage must be free. The later ones reach a
// stage that was unreachable for a while and still holds the slot.
const (
	releaseTimeout     = 300 * time.Millisecond // of one try
	releaseFirstWait   = 30 * time.Millisecond  // wait after the first try, doubled after each further one
	releaseMaxWait     = 500 * time.Millisecond // longest wait between two tries
	releaseRetryPeriod = 10 * time.Second       // no try begins later than this after the first
)

// release tells stages that the attempts up to a number have ended. It works in
// the background, since neither the caller nor the next attempt depends on the
// answers.
func (st *requestState) release(addresses []string, attempt int) {
	cfg, request := st.runner.cfg, st.req.ID
	for _, a := range addresses {
		go func() {
			until := time.Now().Add(releaseRetryPeriod)
			for wait := releaseFirstWait; time.Now().Before(until); wait = min(2*wait, releaseMaxWait) {
				ctx, cancel := context.WithTimeout(context.Background(), releaseTimeout)
				err := cfg.Cancel(ctx, a, engine.AttemptID{Request: request, Attempt: attempt})
				cancel()
				if err == nil {
					return
				}
				time.Sleep(wait)
			}
		}()
	}
}

// exclude excludes a server from the later attempts of this request. A server that
// is not excluded permanently may be readmitted when it answers a probe.
func (st *requestState) exclude(name string, permanently bool) {
	st.constraints.exclude(name)
	if permanently {
		st.permanent[name] = true
	}
}

// keepValidStages asks the next route to keep the stages that hold valid state:
// all stages of the current route that are not excluded.
func (st *requestState) keepValidStages() { st.constraints.prefer(st.route) }

// clone returns a copy that shares no memory.
func (c *RouteConstraints) clone() RouteConstraints {
	out := *c
	out.ExcludedServers, out.ExcludedLinks, out.PreferredServers = maps.Clone(c.ExcludedServers), maps.Clone(c.ExcludedLinks), maps.Clone(c.PreferredServers)
	return out
}

// exclude excludes a server.
func (c *RouteConstraints) exclude(name string) {
	if c.ExcludedServers == nil {
		c.ExcludedServers = map[string]bool{}
	}
	c.ExcludedServers[name] = true
}

// excludeLink excludes the link between two neighbouring stages.
func (c *RouteConstraints) excludeLink(from, to string) {
	if c.ExcludedLinks == nil {
		c.ExcludedLinks = map[route.Pair]bool{}
	}
	c.ExcludedLinks[route.Pair{from, to}] = true
}

// prefer prefers the stages of a route that are not excluded.
func (c *RouteConstraints) prefer(rt route.Route) {
	c.PreferredServers = map[string]bool{}
	for _, s := range rt.Stages {
		if !c.ExcludedServers[s.Name] {
			c.PreferredServers[s.Name] = true
		}
	}
}
