// Package path chooses the engines that a stream passes through: an ordered list of
// engines whose layer ranges cover every layer of the model once.
//
// It spreads many streams over engines of different speed and memory. Each stream takes
// the path with the least expected time. Engines that are busy or short of memory cost
// more, and transfers between failure domains are charged for the network link that all
// streams share.
package path

import (
	"math"
	"slices"
	"sort"
)

// Engine is a candidate for a path.
type Engine struct {
	Name         string  // address, unique
	Domain       int     // index of the failure domain
	From, To     int     // layers held, To exclusive
	LayerSeconds float64 // seconds for one layer in a pass with the current batch
	LayerPrefill float64 // seconds for one layer and one prompt token
	Capacity     float64 // layer tokens of KV cache in total; 0 when unknown
	Used         float64 // layer tokens in use
	Unseen       float64 // layer tokens that are assumed in use besides, may be negative; they change the cost but never exclude the engine
	Slots        int     // streams that it accepts as the first engine
	FirstStreams int     // streams of which it is the first engine
	Suspect      bool    // failed recently
	FirstWait    float64 // seconds until it takes a stream as the first engine; infinite if it does not
}

// LinkCosts holds the costs of transfers between engines.
type LinkCosts struct {
	SameDomain   float64     // seconds for one transfer within a failure domain
	CrossDomain  [][]float64 // seconds for one transfer between two failure domains
	LinkPerToken float64     // seconds for which one token's activation occupies the link between two failure domains
}

// Request describes a stream, or a layer range of one, that needs a path.
type Request struct {
	From       int             // first layer
	To         int             // end of the layer range, exclusive
	Domain     int             // failure domain before the first hop
	NextDomain int             // failure domain after the last hop, or NoDomain
	Prompt     float64         // prompt tokens
	Answer     float64         // answer tokens
	Excluded   map[string]bool // engines that must not be chosen, by name
	Corrected  bool            // the loads of the engines are corrected for the age of reports
	Local      bool            // all engines must be of one failure domain, and none suspected
}

// NoDomain is the next failure domain of a path that ends the stream's pass.
const NoDomain = -1

// Hop is a layer range that one engine runs.
type Hop struct {
	Engine   int // index into the engines
	From, To int // layers, To exclusive
}

const (
	// scarceUse is the share of an engine's KV cache above which it costs more:
	// estimates of other processes' use lag behind.
	scarceUse = 0.7
	// fullUse is the share above which an engine accepts no new stream, since it would
	// preempt its newest one.
	fullUse = 0.95
	// scarceCostFactor is the extra cost of an engine at fullUse, relative to its cost
	// below scarceUse; between the two it grows linearly.
	scarceCostFactor = 4
	// correctedScarceUse and correctedScarceCostFactor replace scarceUse and scarceCostFactor
	// where loads are corrected for the age of reports. Streams are spread evenly there, and
	// a path over slower engines holds the memory of all its engines for longer.
	correctedScarceUse        = 0.85
	correctedScarceCostFactor = 1
	// suspectCost in seconds makes a suspected engine the last resort.
	suspectCost = 1e3
	// linkCostFactor multiplies the time on the link between failure domains, which
	// carries the transfers of all streams one after another: a prompt of 800 tokens
	// occupies it for 15 to 25 ms, so that it carries 40 streams a second. When a copy
	// of the model in one domain can take a stream, no faster engine elsewhere makes up
	// for that.
	linkCostFactor = 150
	// passWaitShare is the part of a pass that a token waits on average for the
	// previous pass to end.
	passWaitShare = 0.5
	// maxHops is the longest list of hops that engines accept.
	maxHops = 32
)

// node is the best known path to a layer and failure domain.
type node struct {
	cost float64
	hops int
	prev int // index of the previous node, -1 for none
	hop  Hop
}

// Choose returns the path with the least expected time of the whole answer, in seconds. If
// that path passes through an engine twice, it searches again without splitting layer
// ranges. It returns false when no path covers all layers.
func Choose(req Request, engines []Engine, links LinkCosts) (hops []Hop, seconds float64, ok bool) {
	hops, seconds, ok = search(req, engines, links, true)
	if ok && repeatsEngine(hops) {
		return search(req, engines, links, false)
	}
	return hops, seconds, ok
}

// repeatsEngine reports whether an engine occurs twice.
func repeatsEngine(hops []Hop) bool {
	seen := map[int]bool{}
	for _, h := range hops {
		if seen[h.Engine] {
			return true
		}
		seen[h.Engine] = true
	}
	return false
}

// search finds the cheapest path over nodes of (layer, failure domain of the last engine).
// With split set, a hop may also end where another engine's layer range begins, not only
// at the end of its own.
func search(req Request, engines []Engine, links LinkCosts, split bool) ([]Hop, float64, bool) {
	usable := make([]int, 0, len(engines))
	ends := make([]bool, req.To+1)
	for i, e := range engines {
		if req.Excluded[e.Name] || e.From < 0 || e.From >= e.To || e.To <= req.From || e.From >= req.To {
			continue
		}
		usable = append(usable, i)
		ends[e.From] = ends[e.From] || split
	}
	sort.Slice(usable, func(i, j int) bool { return engines[usable[i]].From < engines[usable[j]].From })
	domains := len(links.CrossDomain)
	nodes := make([]node, (req.To+1)*domains)
	for i := range nodes {
		nodes[i].cost = math.Inf(1)
	}
	relax := func(to int, s node) {
		if s.cost < nodes[to].cost {
			nodes[to] = s
		}
	}
	extend := func(from, prev, lastDomain, hops int, cost float64) {
		for _, i := range usable {
			e := &engines[i]
			if e.From > from {
				break
			}
			if req.Local && (e.Suspect || (prev >= 0 && e.Domain != lastDomain)) {
				continue
			}
			if e.To <= from || (prev < 0 && req.From == 0 && e.FirstStreams >= e.Slots) {
				continue
			}
			end := min(e.To, req.To)
			for to := from + 1; to <= end; to++ {
				if to != end && !ends[to] {
					continue
				}
				if x := cost + hopCost(req, e, links, lastDomain, to-from, prev < 0 && req.From == 0); !math.IsInf(x, 1) {
					relax(to*domains+e.Domain, node{cost: x, hops: hops + 1, prev: prev, hop: Hop{Engine: i, From: from, To: to}})
				}
			}
		}
	}
	extend(req.From, -1, req.Domain, 0, 0)
	for at := req.From + 1; at < req.To; at++ {
		for d := range domains {
			if s := nodes[at*domains+d]; !math.IsInf(s.cost, 1) && s.hops < maxHops {
				extend(at, at*domains+d, d, s.hops, s.cost)
			}
		}
	}
	best := -1
	for d := range domains {
		i := req.To*domains + d
		if req.NextDomain != NoDomain && req.NextDomain != d {
			nodes[i].cost += transferCost(req, links, d, req.NextDomain)
		}
		if !math.IsInf(nodes[i].cost, 1) && (best < 0 || nodes[i].cost < nodes[best].cost) {
			best = i
		}
	}
	if best < 0 {
		return nil, 0, false
	}
	var hops []Hop
	for i := best; i >= 0; i = nodes[i].prev {
		hops = append(hops, nodes[i].hop)
	}
	slices.Reverse(hops)
	return hops, nodes[best].cost, true
}

// PassSeconds returns the seconds that a token takes on an engine that runs so many layers for it, with the wait for
// the pass before.
func PassSeconds(e Engine, layers int) float64 {
	return float64(layers)*e.LayerSeconds + passWaitShare*float64(e.To-e.From)*e.LayerSeconds
}

// hopCost returns the seconds that a hop adds to the whole answer, or infinity when the
// engine has too little memory for the stream.
func hopCost(req Request, e *Engine, links LinkCosts, lastDomain, layers int, first bool) float64 {
	n := float64(layers)
	cost := req.Answer*PassSeconds(*e, layers) + req.Prompt*n*e.LayerPrefill
	usage, unseen := 0.0, 0.0
	if e.Capacity > 0 {
		usage = (e.Used + (req.Prompt+req.Answer)*n) / e.Capacity
		unseen = e.Unseen / e.Capacity
	}
	scarce, factor := scarceUse, float64(scarceCostFactor)
	if req.Corrected {
		scarce, factor = correctedScarceUse, correctedScarceCostFactor
	}
	switch {
	case usage > fullUse:
		return math.Inf(1)
	case usage+unseen > scarce:
		cost *= 1 + factor*(usage+unseen-scarce)/(fullUse-scarce)
	}
	if first {
		// The request itself is only a few kilobytes and does not load the link.
		cost += e.FirstWait
		if lastDomain != e.Domain {
			cost += links.CrossDomain[lastDomain][e.Domain]
		}
	} else {
		cost += transferCost(req, links, lastDomain, e.Domain)
	}
	if e.Suspect {
		cost += suspectCost
	}
	return cost
}

// transferCost returns the seconds that the transfers between two engines add to the whole
// answer.
func transferCost(req Request, links LinkCosts, from, to int) float64 {
	if from == to {
		return req.Answer * links.SameDomain
	}
	return req.Answer*links.CrossDomain[from][to] + linkCostFactor*(req.Prompt+req.Answer)*links.LinkPerToken
}
