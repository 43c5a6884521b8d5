// Package path chooses the engines that a stream passes through: an ordered
// list of engines whose parts cover every layer of the model once.
//
// It answers the load of many streams over engines of different speed and
// memory: each stream takes the path with the least expected time, engines that
// are busy or short of memory cost more, and transfers between failure domains
// are charged for the pipe that all streams share.
package path

import (
	"math"
	"slices"
	"sort"
)

// Engine is one engine as a candidate.
type Engine struct {
	Name         string  // address, unique
	Domain       int     // index of the failure domain
	From, To     int     // layers held, To exclusive
	LayerPass    float64 // seconds that one layer takes in a pass with the present batch
	LayerPrefill float64 // seconds that one layer takes for one prompt token
	Capacity     float64 // layer tokens of KV cache in all
	Used         float64 // layer tokens in use
	Slots        int     // streams that it takes as the first engine
	Entries      int     // streams that entered at it
	Suspect      bool    // failed a short while ago
}

// LinkCosts holds the costs of transfers.
type LinkCosts struct {
	Near  float64     // seconds of one transfer within a failure domain
	Far   [][]float64 // seconds of one way between two failure domains
	Token float64     // seconds that one token's activation occupies the pipe between two failure domains
}

// Request is a stream that needs a path, or a part of one.
type Request struct {
	From     int             // first layer
	Layers   int             // end of the layers, exclusive
	Domain   int             // failure domain before the first hop
	Next     int             // failure domain after the last hop, or Nowhere
	Prompt   float64         // tokens to read
	Answer   float64         // tokens to write
	Excluded map[string]bool // engines that must not be on the path
}

// NoDomain is the next failure domain of a path that ends.
const NoDomain = -1

// Hop is a part of a path.
type Hop struct {
	Engine   int // index into the engines
	From, To int // layers, To exclusive
}

const (
	// tightUse is the share of an engine's KV cache above which it costs more:
	// estimates of other processes' use lag behind.
	tightUse = 0.7
	// fullUse is the share above which an engine takes no new stream, since it
	// would preempt the newest.
	fullUse = 0.95
	// tightCost multiplies the cost of an engine that is almost full.
	tightCost = 4
	// suspectCost in seconds makes a suspected engine the last resort.
	suspectCost = 1e3
	// pipeCost multiplies the time on the pipe between failure domains, which
	// all streams share one transfer after another: a prompt of 800 tokens takes
	// it for 15 to 25 ms, so that it carries 40 streams a second. Where a copy of
	// the model in one domain can take a stream, no faster engine elsewhere makes
	// up for that.
	pipeCost = 150
	// waitShare is the part of a pass that a token waits for on average until
	// the pass before it has ended.
	waitShare = 0.5
	// maxHops is the longest list that engines accept.
	maxHops = 32
)

type state struct {
	cost float64
	hops int
	back int // index of the previous state, -1 for none
	hop  Hop
}

// Choose returns the path with the least expected time of the whole answer, in
// seconds. It reports false when no path covers all layers.
func Choose(w Request, engines []Engine, l LinkCosts) (hops []Hop, seconds float64, ok bool) {
	hops, seconds, ok = choose(w, engines, l, true)
	if ok && repeats(hops) {
		return choose(w, engines, l, false)
	}
	return hops, seconds, ok
}

func repeats(hops []Hop) bool {
	seen := map[int]bool{}
	for _, h := range hops {
		if seen[h.Engine] {
			return true
		}
		seen[h.Engine] = true
	}
	return false
}

// choose runs a search over (layer, failure domain of the last engine). With
// split set, a hop may end where another engine begins, not only at its end.
func choose(w Request, engines []Engine, l LinkCosts, split bool) ([]Hop, float64, bool) {
	usable := make([]int, 0, len(engines))
	ends := make([]bool, w.Layers+1)
	for i, e := range engines {
		if w.Excluded[e.Name] || e.From >= e.To || e.To <= w.From || e.From >= w.Layers {
			continue
		}
		usable = append(usable, i)
		ends[e.From] = ends[e.From] || split
	}
	sort.Slice(usable, func(i, j int) bool { return engines[usable[i]].From < engines[usable[j]].From })
	domains := len(l.Far)
	states := make([]state, (w.Layers+1)*domains)
	for i := range states {
		states[i].cost = math.Inf(1)
	}
	relax := func(to int, s state) {
		if s.cost < states[to].cost {
			states[to] = s
		}
	}
	extend := func(from, back, last, hops int, cost float64) {
		for _, i := range usable {
			e := &engines[i]
			if e.From > from {
				break
			}
			if e.To <= from || (back < 0 && w.From == 0 && e.Entries >= e.Slots) {
				continue
			}
			end := min(e.To, w.Layers)
			for to := from + 1; to <= end; to++ {
				if to != end && !ends[to] {
					continue
				}
				if x := cost + hopCost(w, e, l, last, to-from, back < 0 && w.From == 0); !math.IsInf(x, 1) {
					relax(to*domains+e.Domain, state{cost: x, hops: hops + 1, back: back, hop: Hop{Engine: i, From: from, To: to}})
				}
			}
		}
	}
	extend(w.From, -1, w.Domain, 0, 0)
	for at := w.From + 1; at < w.Layers; at++ {
		for d := range domains {
			if s := states[at*domains+d]; !math.IsInf(s.cost, 1) && s.hops < maxHops {
				extend(at, at*domains+d, d, s.hops, s.cost)
			}
		}
	}
	best := -1
	for d := range domains {
		i := w.Layers*domains + d
		if w.Next != NoDomain && w.Next != d {
			states[i].cost += transfer(w, l, d, w.Next)
		}
		if !math.IsInf(states[i].cost, 1) && (best < 0 || states[i].cost < states[best].cost) {
			best = i
		}
	}
	if best < 0 {
		return nil, 0, false
	}
	var hops []Hop
	for i := best; i >= 0; i = states[i].back {
		hops = append(hops, states[i].hop)
	}
	slices.Reverse(hops)
	return hops, states[best].cost, true
}

// hopCost returns the seconds that a hop adds to the whole answer, or infinity
// when the engine has no memory for the stream.
func hopCost(w Request, e *Engine, l LinkCosts, last, layers int, first bool) float64 {
	n := float64(layers)
	pass := float64(e.To-e.From) * e.LayerPass
	cost := w.Answer*(n*e.LayerPass+waitShare*pass) + w.Prompt*n*e.LayerPrefill
	use := 0.0
	if e.Capacity > 0 {
		use = (e.Used + (w.Prompt+w.Answer)*n) / e.Capacity
	}
	switch {
	case use > fullUse:
		return math.Inf(1)
	case use > tightUse:
		cost *= 1 + tightCost*(use-tightUse)/(fullUse-tightUse)
	}
	if first {
		// The request itself is a few kilobytes and needs no pipe.
		if last != e.Domain {
			cost += l.Far[last][e.Domain]
		}
	} else {
		cost += transfer(w, l, last, e.Domain)
	}
	if e.Suspect {
		cost += suspectCost
	}
	return cost
}

// transfer returns the seconds that the way between two engines adds to the
// whole answer.
func transfer(w Request, l LinkCosts, from, to int) float64 {
	if from == to {
		return w.Answer * l.Near
	}
	return w.Answer*l.Far[from][to] + pipeCost*(w.Prompt+w.Answer)*l.Token
}
