// Package route chooses the stages of a pipeline: backend servers whose layer
// ranges together cover every layer of the model exactly once, in order.
package route

import (
	"math/rand"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
)

// Stage is one backend server of a route with the layers that it runs.
type Stage struct {
	Name    string
	Address string
	Domain  string
	Boot    string // incarnation; "" if the server does not report it
	First   int    // first layer, inclusive
	Last    int    // last layer, exclusive
}

// Route is an ordered list of stages that hold the same model version.
type Route struct {
	Stages  []Stage
	Version string
	Step    time.Duration // estimated time of one token over all stages and links
}

// CoversLayers reports whether the stages cover layers 0 to n-1 exactly once, in
// order.
func (r Route) CoversLayers(n int) bool {
	next := 0
	for _, s := range r.Stages {
		if s.First != next || s.Last <= s.First {
			return false
		}
		next = s.Last
	}
	return next == n
}

// Contains reports whether the named server is a stage of the route.
func (r Route) Contains(name string) bool {
	for _, s := range r.Stages {
		if s.Name == name {
			return true
		}
	}
	return false
}

// Pair names two adjacent stages of a route.
type Pair [2]string

// Requirements describes the request for which a route is chosen.
type Requirements struct {
	Service      string
	Model        string // servers with another model are not used; "" for any model
	Version      string // the only version to use; "" for any version
	Layers       int
	Domain       string          // failure domain of this process
	Avoid        map[string]bool // names of servers not to use
	AvoidPairs   map[Pair]bool   // adjacent stages to use only if there is no other route
	CacheHolders map[string]bool // names of servers that hold the KV cache of the request
	PromptTokens int             // tokens to prefill on a server without cached blocks
	PromptBlocks []uint64        // cache blocks of the prompt
}

// Config holds the dependencies of a Chooser.
type Config struct {
	Fleet       *fleet.Table
	PrefixIndex *PrefixIndex // may be nil
	Rand        *rand.Rand   // used under a lock; nil for a source with a fixed seed
}

// Chooser chooses routes over the servers of a fleet.Table. It is safe for
// concurrent use.
type Chooser struct {
	cfg Config
	mu  sync.Mutex // guards cfg.Rand
}

// New returns a Chooser.
func New(cfg Config) *Chooser {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewSource(1))
	}
	return &Chooser{cfg: cfg}
}

// Choose returns a route of low cost over the servers of a service. It fails with
// code fault.Unavailable and verdict fault.NotRun if no set of servers covers all
// layers.
//
// The candidates are the servers on routes whose cost is close to the lowest cost.
// Choose keeps two random candidates in each layer range and takes the cheapest
// route over those. If it always took the cheapest route, all processes would send
// their requests to the same servers until the next load reports. For the same
// reason, the candidates are determined with rounded loads.
func (c *Chooser) Choose(req Requirements) (Route, error) {
	all := c.cfg.Fleet.Servers(req.Service)
	usable := all[:0]
	anyEjected := false
	for _, s := range all {
		if req.Avoid[s.Name] || s.First >= s.Last || s.Last > req.Layers || req.Version != "" && s.Version != req.Version || req.Model != "" && s.Model != req.Model {
			continue
		}
		usable = append(usable, s)
		anyEjected = anyEjected || s.Ejected
	}
	for _, withEjected := range []bool{false, true} {
		if withEjected && !anyEjected {
			break
		}
		if r, ok := c.chooseAmong(usable, req, withEjected); ok {
			return r, nil
		}
	}
	return Route{}, fault.New(fault.Config{
		Verdict: fault.NotRun, Code: fault.Unavailable,
		Reason:  "no set of ready backend servers covers all layers of the model",
		RetryAt: time.Now().Add(retryDelay),
	})
}

// retryDelay is the time after which a missing layer range may be available again:
// a restarted server reports ready within about a second.
const retryDelay = time.Second

// chooseAmong returns the cheapest of the routes chosen for each model version of the
// usable servers. Ejected servers are used only if withEjected is set.
func (c *Chooser) chooseAmong(usable []fleet.Candidate, req Requirements, withEjected bool) (Route, bool) {
	byVersion := map[string][]fleet.Candidate{}
	var versions []string
	for _, s := range usable {
		if s.Ejected && !withEjected {
			continue
		}
		if byVersion[s.Version] == nil {
			versions = append(versions, s.Version)
		}
		byVersion[s.Version] = append(byVersion[s.Version], s)
	}
	best, found := Route{}, false
	lowest := 0.0
	for _, v := range versions {
		g := newGraph(c.cfg, byVersion[v], req)
		if r, cost, ok := c.chooseOnGraph(g); ok && (!found || cost < lowest) {
			r.Version = v
			best, lowest, found = r, cost, true
		}
	}
	return best, found
}

// chooseOnGraph keeps two random candidates in each layer range and returns the
// cheapest route over them with its cost.
func (c *Chooser) chooseOnGraph(g *graph) (Route, float64, bool) {
	lowest, ok := g.cheapestRoute(nil)
	if !ok {
		return Route{}, 0, false
	}
	maxCost := lowest + max(nearBestRatio*lowest, nearBestCost)
	byRange := map[[2]int][]int{}
	var ranges [][2]int
	for i, n := range g.nodes {
		if n.routeCost > maxCost {
			continue
		}
		k := [2]int{n.server.First, n.server.Last}
		if byRange[k] == nil {
			ranges = append(ranges, k)
		}
		byRange[k] = append(byRange[k], i)
	}
	keep := make([]bool, len(g.nodes))
	c.mu.Lock()
	for _, k := range ranges {
		list := byRange[k]
		c.cfg.Rand.Shuffle(len(list), func(i, j int) { list[i], list[j] = list[j], list[i] })
		for _, i := range list[:min(2, len(list))] {
			keep[i] = true
			g.nodes[i].cost += g.nodes[i].fineLoadCost
			g.nodes[i].cost *= 1 + tieBreakRatio*c.cfg.Rand.Float64()
		}
	}
	c.mu.Unlock()
	cost, ok := g.cheapestRoute(keep)
	if !ok {
		// The chosen ranges may belong to routes that split the layers
		// differently and need not form a complete route.
		cost, _ = g.cheapestRoute(nil)
	}
	return g.buildRoute(), cost, true
}

// Servers are candidates if a route through them costs at most
// max(nearBestRatio*lowest, nearBestCost) more than the lowest cost.
const (
	nearBestRatio = 0.05
	nearBestCost  = 0.02 // seconds
	tieBreakRatio = 0.01 // random increase of a cost, so that equal servers share the work
)
