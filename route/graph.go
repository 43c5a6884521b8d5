package route

import (
	"math"
	"sort"
	"time"

	"github.com/cranberrybay/cranberrybay/fleet"
)

// Parameters of the cost model. Costs are in seconds, for an answer of
// nominalTokens.
const (
	nominalTokens   = 64                     // length of the answer for which costs are compared
	defaultStep     = 500 * time.Microsecond // time of a token in one layer on an unmeasured kind of accelerator
	defaultPrefill  = 50 * time.Microsecond  // time of a prompt token in an unmeasured stage
	avoidedPairCost = 1000                   // added to a link between stages that failed for this request
	tokensPerBlock  = 64                     // estimated tokens in a cache block of engine.BlockBytes
	rampCost        = 0.2                    // added to a server at the beginning of its slow start
	stageMoveCost   = 0.25                   // added to a server without the KV cache of the request if others hold it
	loadLevels      = 4                      // load is rounded down to 1/4 of the slots when candidates are compared
	queueWeight     = 8                      // weight of a waiting request relative to one that joins a batch
)

// stageNode is a candidate server as a node of the graph.
type stageNode struct {
	server       *fleet.Candidate
	domain       int     // index into graph.domains
	cost         float64 // cost of the stage itself
	fineLoadCost float64 // cost of the load lost in rounding, added after the random choice
	step         float64 // seconds of one token
	prefixCost   float64 // lowest cost of the stages up to and including this one
	prev         int     // previous stage on that path, -1 for none
	suffixCost   float64 // lowest cost of the later stages, including the link to them
	routeCost    float64 // lowest cost of a complete route through this stage
}

// graph holds the candidates of one model version and the links between them.
type graph struct {
	cfg        Config
	req        Requirements
	nodes      []stageNode
	domains    []string      // failure domains; the first is the domain of this process
	roundTrips [][]float64   // round trip in seconds between two failure domains, by index
	byFirst    map[int][]int // indexes of nodes by first layer
	lastNode   int           // last node of the route that cheapestRoute found
}

func newGraph(cfg Config, servers []fleet.Candidate, req Requirements) *graph {
	g := &graph{cfg: cfg, req: req, nodes: make([]stageNode, len(servers)), domains: []string{req.Domain}, byFirst: map[int][]int{}}
	for i := range servers {
		s := &servers[i]
		g.nodes[i] = g.newNode(s)
		g.nodes[i].domain = g.domainIndex(s.Domain)
	}
	g.roundTrips = make([][]float64, len(g.domains))
	for i, from := range g.domains {
		g.roundTrips[i] = make([]float64, len(g.domains))
		for j, to := range g.domains {
			g.roundTrips[i][j] = cfg.Fleet.RoundTrip(from, to).Seconds()
		}
	}
	// Stages come before their successors, so that one pass finds all costs.
	sort.SliceStable(g.nodes, func(i, j int) bool { return g.nodes[i].server.First < g.nodes[j].server.First })
	for i := range g.nodes {
		f := g.nodes[i].server.First
		g.byFirst[f] = append(g.byFirst[f], i)
	}
	return g
}

// newNode computes the cost of a server as a stage: its time per token, increased
// by its load, the prefill that its cache does not save, and its slow start.
func (g *graph) newNode(s *fleet.Candidate) stageNode {
	step := s.Step.Seconds()
	if step == 0 {
		step = (defaultStep * time.Duration(s.Last-s.First)).Seconds()
	}
	slots := float64(max(s.Slots, 1))
	load := s.Load / slots
	// Up to the number of slots, a request joins a batch at little cost; a
	// further request waits until other answers have ended.
	coarse := math.Floor(load*loadLevels) / loadLevels
	cost := step * nominalTokens * (1 + coarse)
	if load >= 1 {
		cost += step * nominalTokens * queueWeight * (s.Load - slots + 1) / slots
	}
	prefill := s.Prefill.Seconds()
	if prefill == 0 {
		prefill = defaultPrefill.Seconds()
	}
	missing := g.req.PromptTokens
	if g.req.CacheHolders[s.Name] {
		missing = 0
	} else if g.cfg.PrefixIndex != nil && len(g.req.PromptBlocks) > 0 {
		missing = max(0, missing-tokensPerBlock*g.cfg.PrefixIndex.Match(s.Name, g.req.PromptBlocks))
	}
	cost += prefill * float64(missing)
	if len(g.req.CacheHolders) > 0 && !g.req.CacheHolders[s.Name] {
		cost += stageMoveCost
	}
	cost += rampCost * (1 - s.Ramp)
	return stageNode{server: s, cost: cost, fineLoadCost: step * nominalTokens * (load - coarse), step: step, prev: -1}
}

// domainIndex returns the index of a failure domain and adds the domain if needed.
func (g *graph) domainIndex(name string) int {
	for i, d := range g.domains {
		if d == name {
			return i
		}
	}
	g.domains = append(g.domains, name)
	return len(g.domains) - 1
}

// hopCost returns the cost of the link between two stages.
func (g *graph) hopCost(a, b *stageNode) float64 {
	c := g.roundTrips[a.domain][b.domain] * nominalTokens
	if len(g.req.AvoidPairs) > 0 && g.req.AvoidPairs[Pair{a.server.Name, b.server.Name}] {
		c += avoidedPairCost
	}
	return c
}

// cheapestRoute finds the cheapest route over the nodes marked in keep, or over all
// nodes if keep is nil, and sets the lowest cost of a route through each node. It
// returns the cost of the route and false if there is none.
func (g *graph) cheapestRoute(keep []bool) (float64, bool) {
	inf := math.Inf(1)
	best := inf
	for i := range g.nodes {
		n := &g.nodes[i]
		n.prefixCost, n.suffixCost, n.routeCost, n.prev = inf, inf, inf, -1
		if n.server.First == 0 && (keep == nil || keep[i]) {
			n.prefixCost = n.cost + g.roundTrips[0][n.domain]*nominalTokens
		}
	}
	for i := range g.nodes {
		a := &g.nodes[i]
		if math.IsInf(a.prefixCost, 1) {
			continue
		}
		if a.server.Last == g.req.Layers {
			a.suffixCost = 0
			if a.prefixCost < best {
				best, g.lastNode = a.prefixCost, i
			}
			continue
		}
		for _, j := range g.byFirst[a.server.Last] {
			if keep != nil && !keep[j] {
				continue
			}
			b := &g.nodes[j]
			if c := a.prefixCost + g.hopCost(a, b) + b.cost; c < b.prefixCost {
				b.prefixCost, b.prev = c, i
			}
		}
	}
	if math.IsInf(best, 1) {
		return 0, false
	}
	for i := len(g.nodes) - 1; i >= 0; i-- {
		a := &g.nodes[i]
		if a.suffixCost != 0 {
			for _, j := range g.byFirst[a.server.Last] {
				b := &g.nodes[j]
				if c := g.hopCost(a, b) + b.cost + b.suffixCost; c < a.suffixCost {
					a.suffixCost = c
				}
			}
		}
		a.routeCost = a.prefixCost + a.suffixCost
	}
	return best, true
}

// buildRoute returns the route that cheapestRoute found.
func (g *graph) buildRoute() Route {
	var r Route
	n := 0
	for i := g.lastNode; i >= 0; i = g.nodes[i].prev {
		n++
	}
	r.Stages = make([]Stage, n)
	step := 0.0
	for i := g.lastNode; i >= 0; i = g.nodes[i].prev {
		n--
		s := g.nodes[i].server
		r.Stages[n] = Stage{Name: s.Name, Address: s.Address, Domain: s.Domain, Boot: s.Boot, First: s.First, Last: s.Last}
		step += g.nodes[i].step
		if p := g.nodes[i].prev; p >= 0 {
			step += g.roundTrips[g.nodes[p].domain][g.nodes[i].domain]
		}
	}
	r.Step = time.Duration(step * float64(time.Second))
	return r
}
