package route

import (
	"math"
	"sort"
	"time"

	"github.com/cranberrybay/cranberrybay/fleet"
)

// Costs are in seconds of a nominal answer.
const (
	nominalTokens  = 64                     // length of the answer that costs are compared for
	defaultStep    = 500 * time.Microsecond // time of a layer on a server of unmeasured kind
	defaultPrefill = 50 * time.Microsecond  // time of a prompt token in a stage that was not measured
	pairCost       = 1000                   // a pair of neighbours that did not work for this request
	blockTokens    = 64                     // tokens of a cache block of engine.BlockBytes, estimated
	rampCost       = 0.2                    // seconds added to a server at the begin of its slow start
	moveCost       = 0.25                   // seconds added to a stage that does not hold the request's KV cache when others do
	loadSteps      = 4                      // a smaller difference in load than 1/4 of the slots does not make a server a better candidate
	queueCost      = 8                      // weight of a request that has to wait against one that joins a batch
)

// node is a candidate as a stage.
type node struct {
	server  *fleet.Candidate
	domain  int     // index into graph.domains
	cost    float64 // of the stage itself
	fine    float64 // part of the load that only the draw sees
	step    float64 // seconds of one token
	ahead   float64 // lowest cost of the stages up to and including this one
	prev    int     // stage before it on that path, -1 for none
	behind  float64 // lowest cost of the stages after it, with the link to them
	through float64 // lowest cost of a whole route over it
}

// graph holds the candidates of one version and the links between them.
type graph struct {
	cfg     Config
	want    Requirements
	nodes   []node
	domains []string      // failure domains; the first is that of this process
	links   [][]float64   // cost of the hop between two of them, as indexes
	byFirst map[int][]int // nodes by first layer
	last    int           // final node of the route that solve found
}

func newGraph(cfg Config, servers []fleet.Candidate, w Requirements) *graph {
	g := &graph{cfg: cfg, want: w, nodes: make([]node, len(servers)), domains: []string{w.Domain}, byFirst: map[int][]int{}}
	for i := range servers {
		s := &servers[i]
		g.nodes[i] = g.node(s)
		g.nodes[i].domain = g.domain(s.Domain)
	}
	g.links = make([][]float64, len(g.domains))
	for i, from := range g.domains {
		g.links[i] = make([]float64, len(g.domains))
		for j, to := range g.domains {
			g.links[i][j] = cfg.Fleet.RoundTrip(from, to).Seconds()
		}
	}
	// Stages come before their successors, so that one pass solves the graph.
	sort.SliceStable(g.nodes, func(i, j int) bool { return g.nodes[i].server.First < g.nodes[j].server.First })
	for i := range g.nodes {
		f := g.nodes[i].server.First
		g.byFirst[f] = append(g.byFirst[f], i)
	}
	return g
}

// node computes the cost of a server as a stage: its measured speed stretched
// by its load, the prefill that it can't skip, and its slow start.
func (g *graph) node(s *fleet.Candidate) node {
	step := s.Step.Seconds()
	if step == 0 {
		step = (defaultStep * time.Duration(s.Last-s.First)).Seconds()
	}
	slots := float64(max(s.Slots, 1))
	load := s.Load / slots
	// A batch absorbs load up to its slots at little cost; a request beyond
	// them waits for whole answers of others.
	coarse := math.Floor(load*loadSteps) / loadSteps
	cost := step * nominalTokens * (1 + coarse)
	if load >= 1 {
		cost += step * nominalTokens * queueCost * (s.Load - slots + 1) / slots
	}
	prefill := s.Prefill.Seconds()
	if prefill == 0 {
		prefill = defaultPrefill.Seconds()
	}
	missing := g.want.PromptTokens
	if g.want.CacheHolders[s.Name] {
		missing = 0
	} else if g.cfg.PrefixIndex != nil && len(g.want.PromptBlocks) > 0 {
		missing = max(0, missing-blockTokens*g.cfg.PrefixIndex.Match(s.Name, g.want.PromptBlocks))
	}
	cost += prefill * float64(missing)
	if len(g.want.CacheHolders) > 0 && !g.want.CacheHolders[s.Name] {
		cost += moveCost
	}
	cost += rampCost * (1 - s.Ramp)
	return node{server: s, cost: cost, fine: step * nominalTokens * (load - coarse), step: step, prev: -1}
}

// domain returns the index of a failure domain.
func (g *graph) domain(name string) int {
	for i, d := range g.domains {
		if d == name {
			return i
		}
	}
	g.domains = append(g.domains, name)
	return len(g.domains) - 1
}

// edge returns the cost of the link between two stages.
func (g *graph) edge(a, b *node) float64 {
	c := g.links[a.domain][b.domain] * nominalTokens
	if len(g.want.AvoidPairs) > 0 && g.want.AvoidPairs[Pair{a.server.Name, b.server.Name}] {
		c += pairCost
	}
	return c
}

// solve finds the cheapest route over the nodes that are kept, all when keep
// is nil, and the lowest cost of a route through each node.
func (g *graph) solve(keep []bool) (float64, bool) {
	inf := math.Inf(1)
	best := inf
	for i := range g.nodes {
		n := &g.nodes[i]
		n.ahead, n.behind, n.through, n.prev = inf, inf, inf, -1
		if n.server.First == 0 && (keep == nil || keep[i]) {
			n.ahead = n.cost + g.links[0][n.domain]*nominalTokens
		}
	}
	for i := range g.nodes {
		a := &g.nodes[i]
		if math.IsInf(a.ahead, 1) {
			continue
		}
		if a.server.Last == g.want.Layers {
			a.behind = 0
			if a.ahead < best {
				best, g.last = a.ahead, i
			}
			continue
		}
		for _, j := range g.byFirst[a.server.Last] {
			if keep != nil && !keep[j] {
				continue
			}
			b := &g.nodes[j]
			if c := a.ahead + g.edge(a, b) + b.cost; c < b.ahead {
				b.ahead, b.prev = c, i
			}
		}
	}
	if math.IsInf(best, 1) {
		return 0, false
	}
	for i := len(g.nodes) - 1; i >= 0; i-- {
		a := &g.nodes[i]
		if a.behind != 0 {
			for _, j := range g.byFirst[a.server.Last] {
				b := &g.nodes[j]
				if c := g.edge(a, b) + b.cost + b.behind; c < a.behind {
					a.behind = c
				}
			}
		}
		a.through = a.ahead + a.behind
	}
	return best, true
}

// path returns the route that solve found.
func (g *graph) path() Route {
	var r Route
	n := 0
	for i := g.last; i >= 0; i = g.nodes[i].prev {
		n++
	}
	r.Stages = make([]Stage, n)
	step := 0.0
	for i := g.last; i >= 0; i = g.nodes[i].prev {
		n--
		s := g.nodes[i].server
		r.Stages[n] = Stage{Name: s.Name, Address: s.Address, Domain: s.Domain, First: s.First, Last: s.Last}
		step += g.nodes[i].step
		if p := g.nodes[i].prev; p >= 0 {
			step += g.links[g.nodes[p].domain][g.nodes[i].domain]
		}
	}
	r.Step = time.Duration(step * float64(time.Second))
	return r
}
