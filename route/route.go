// Package route chooses the stages of a pipeline: backend servers whose layer
// ranges cover every layer of the model exactly once, in order.
package route

import (
	"math/rand"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
)

// Stage is one backend server of a route and the layers it runs.
type Stage struct {
	Name    string
	Address string
	Domain  string
	First   int // first layer, inclusive
	Last    int // last layer, exclusive
}

// Route is the ordered list of stages. All hold the same model version.
type Route struct {
	Stages  []Stage
	Version string
	Step    time.Duration // estimated time of one token over all stages and links
}

// CoversLayers tells whether the stages cover layers 0 to n-1 once, in order.
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

// Contains tells whether the named server is a stage of the route.
func (r Route) Contains(name string) bool {
	for _, s := range r.Stages {
		if s.Name == name {
			return true
		}
	}
	return false
}

// Pair names two neighbouring stages, whose link may be bad.
type Pair [2]string

// Requirements describes the route to choose.
type Requirements struct {
	Service      string
	Model        string // a server that holds another model is not used
	Version      string // "" for any version, else the only one to use
	Layers       int
	Domain       string          // failure domain of this process
	Avoid        map[string]bool // names of servers not to use
	AvoidPairs   map[Pair]bool   // neighbours to use only when nothing else is left
	CacheHolders map[string]bool // names of servers that hold the KV cache of the request
	PromptTokens int             // tokens to prefill on a server that holds nothing
	PromptBlocks []uint64        // cache blocks of the prompt
}

// Config holds the parts of a Chooser.
type Config struct {
	Fleet       *fleet.Table
	PrefixIndex *PrefixIndex // may be nil
	Rand        *rand.Rand   // seeded source, used under a lock
}

// Chooser chooses routes.
type Chooser struct {
	cfg Config
	mu  sync.Mutex // guards cfg.Rand
}

// New returns a chooser.
func New(cfg Config) *Chooser {
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewSource(1))
	}
	return &Chooser{cfg: cfg}
}

// Choose returns a good route over the servers of a service. It fails with
// fault.Unavailable, not run, when the ranges can't be tiled.
//
// Each server gets a cost from what is known. The servers on some route whose
// cost is close to the best one are the best candidates; two of them, drawn at
// random, are kept in each range, and the cheapest route over those is taken.
// A single cheapest route would draw the requests of all processes to the
// same servers until the next load reports. For the same reason the first
// step sees loads in coarse steps only.
func (c *Chooser) Choose(w Requirements) (Route, error) {
	all := c.cfg.Fleet.Servers(w.Service)
	usable := all[:0]
	down := false
	for _, s := range all {
		if w.Avoid[s.Name] || s.First >= s.Last || s.Last > w.Layers || w.Version != "" && s.Version != w.Version || w.Model != "" && s.Model != w.Model {
			continue
		}
		usable = append(usable, s)
		down = down || s.Ejected
	}
	for _, withDown := range []bool{false, true} {
		if withDown && !down {
			break
		}
		if r, ok := c.over(usable, w, withDown); ok {
			return r, nil
		}
	}
	return Route{}, fault.New(fault.Config{
		Verdict: fault.NotRun, Code: fault.Unavailable,
		Reason:  "no set of ready backend servers covers all layers of the model",
		RetryAt: time.Now().Add(retryTime),
	})
}

// retryTime is the time after which a fleet that lacked a range may have it
// again: a restarted server reports ready within about a second.
const retryTime = time.Second

// over chooses among the given servers, one model version at a time.
func (c *Chooser) over(usable []fleet.Candidate, w Requirements, withDown bool) (Route, bool) {
	byVersion := map[string][]fleet.Candidate{}
	var versions []string
	for _, s := range usable {
		if s.Ejected && !withDown {
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
		g := newGraph(c.cfg, byVersion[v], w)
		if r, cost, ok := c.draw(g); ok && (!found || cost < lowest) {
			r.Version = v
			best, lowest, found = r, cost, true
		}
	}
	return best, found
}

// draw keeps two of the best candidates in each range and takes the cheapest
// route over them.
func (c *Chooser) draw(g *graph) (Route, float64, bool) {
	lowest, ok := g.solve(nil)
	if !ok {
		return Route{}, 0, false
	}
	limit := lowest + max(nearRatio*lowest, nearCost)
	byRange := map[[2]int][]int{}
	var ranges [][2]int
	for i, n := range g.nodes {
		if n.through > limit {
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
			g.nodes[i].cost += g.nodes[i].fine
			g.nodes[i].cost *= 1 + tieRatio*c.cfg.Rand.Float64()
		}
	}
	c.mu.Unlock()
	cost, ok := g.solve(keep)
	if !ok {
		// Drawn ranges of different tilings need not fit together.
		cost, _ = g.solve(nil)
	}
	return g.path(), cost, true
}

// Candidates whose route costs at most this much more than the best one are
// drawn from.
const (
	nearRatio = 0.05
	nearCost  = 0.02 // seconds
	tieRatio  = 0.01 // random part of a cost, so that equal servers share the work
)
