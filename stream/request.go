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

// requestState is the state of one request over all of its attempts.
type requestState struct {
	runner          *Runner
	req             *Request
	acceptor        *acceptor
	attemptNumber   int         // current attempt, from 1
	route           route.Route // route of the current attempt
	constraints     RouteConstraints
	permanent       map[string]bool // excluded servers that are not readmitted when they answer a probe
	reachable       map[string]bool // servers of the failed route that still answer
	mayHoldState    map[string]bool // addresses of stages that may hold state of the request
	reroutes        int             // moves away from a slow route
	lastErr         error           // why the last attempt failed
	mayHaveRun      bool            // a backend server may have run part of the request
	failedAt        time.Time       // last progress of the attempt that failed
	promptTokens    int
	cachedTokens    int           // prompt tokens found in a prefix cache
	stageTimes      []int         // last measured times of the stages, µs
	linkTimes       []int         // last measured round trips between them, µs
	prefillPerToken time.Duration // measured; 0 when unknown

	mu      sync.Mutex
	exports map[[2]int]engine.Export // checkpoints, by layer range
}

func newRequestState(r *Runner, req *Request, sink Sink) *requestState {
	return &requestState{
		runner: r, req: req,
		acceptor:     &acceptor{runner: r, layers: req.Layers, tag: uint32(xxhash.Sum64String(req.ID)), sink: sink},
		mayHoldState: map[string]bool{}, permanent: map[string]bool{}, reachable: map[string]bool{},
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
	st.importCaches(ctx, old)
	st.releaseReplaced(old)
	return nil
}

// readmitReachable probes the excluded servers, except those that are excluded
// permanently, and readmits the ones that answer. It is called when the model
// can't be covered without them, and returns whether there was one.
func (st *requestState) readmitReachable(ctx context.Context) bool {
	var names []string
	for n := range st.constraints.ExcludedServers {
		if !st.permanent[n] {
			names = append(names, n)
		}
	}
	if len(names) == 0 {
		return false
	}
	var stages []route.Stage
	for _, s := range st.route.Stages {
		for _, n := range names {
			if s.Name == n {
				stages = append(stages, s)
			}
		}
	}
	unresponsive, _ := st.probe(ctx, stages, maxProbe)
	found := false
	for _, s := range stages {
		if !unresponsive[s.Name] {
			delete(st.constraints.ExcludedServers, s.Name)
			found = true
		}
	}
	return found
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
	if st.constraints.ExcludedServers == nil {
		st.constraints.ExcludedServers = map[string]bool{}
	}
	st.constraints.ExcludedServers[name] = true
	if permanently {
		st.permanent[name] = true
	}
}

// excludeLink excludes the link between two neighbouring stages from the later
// attempts of this request.
func (st *requestState) excludeLink(from, to string) {
	p := maps.Clone(st.constraints.ExcludedLinks)
	if p == nil {
		p = map[route.Pair]bool{}
	}
	p[route.Pair{from, to}] = true
	st.constraints.ExcludedLinks = p
}

// keepValidStages asks the next route to keep the stages that hold valid state:
// all stages of the current route that are not excluded.
func (st *requestState) keepValidStages() {
	st.constraints.PreferredServers = map[string]bool{}
	for _, s := range st.route.Stages {
		if !st.constraints.ExcludedServers[s.Name] {
			st.constraints.PreferredServers[s.Name] = true
		}
	}
}
