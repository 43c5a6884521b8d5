// Package shard plans which layers of a model each engine holds.
//
// It answers the load of streams that need every layer once and memory for
// their context beside the weights: each failure domain holds whole copies of
// the model, so that no token has to cross a pipe; within a copy the faster
// cards hold more layers, up to a bound that leaves memory for requests. Once
// engines hold layers, a plan only gives layers to empty engines, where they are
// missed most, since a load takes seconds in which the engine serves nobody.
package shard

import (
	"errors"
	"math"
	"sort"
)

// Range is a range of layers, To exclusive.
type Range struct{ From, To int }

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

// Engine is one engine that may take orders.
type Engine struct {
	ID     string
	Domain string
	Memory float64 // MB
	Pace   float64 // factor on the time of a step
	Holds  Range   // held, being loaded or ordered
}

// Model gives the sizes of a model.
type Model struct {
	Layers int
	Layer  float64 // MB of weights of one layer
	Token  float64 // MB of KV cache that a token takes in one layer
}

// minTokens is the least KV cache, in tokens of context on every layer, that a
// plan leaves a copy when there is a choice: some 60 streams of 900 tokens.
const minTokens = 54_000

// spareLayers is the share of layers that the bounds of all engines together
// leave free, so that the fast engines have a choice.
const spareLayers = 1.1

// fits returns how many layers an engine may hold beside a context of tokens.
func (m Model) fits(e Engine, tokens float64) int {
	return min(int(e.Memory/(m.Layer+m.Token*tokens)), m.Layers)
}

// Most returns how many layers fit into an engine at all. A worker that is
// ordered to hold more fails.
func (m Model) Most(e Engine) int { return m.fits(e, 0) }

// Plan returns the range that each engine should hold. Engines that are to stay
// as they are have the range that they hold.
func Plan(m Model, engines []Engine) map[string]Range {
	plan := make(map[string]Range, len(engines))
	if m.Layers <= 0 {
		return plan
	}
	sorted := append([]Engine(nil), engines...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	holding := false
	for _, e := range sorted {
		if e.Holds.Len() > 0 {
			plan[e.ID] = e.Holds
			holding = true
		}
	}
	if !holding {
		for _, group := range groups(m, sorted) {
			layout(m, group, plan)
		}
	}
	fill(m, sorted, plan)
	return plan
}

// groups returns sets of engines that can hold a copy of the model each: the
// engines of one failure domain, or of several that are too small alone.
func groups(m Model, engines []Engine) [][]Engine {
	domains := map[string][]Engine{}
	for _, e := range engines {
		domains[e.Domain] = append(domains[e.Domain], e)
	}
	var names []string
	for name := range domains {
		names = append(names, name)
	}
	sort.Strings(names)
	var whole [][]Engine
	var rest []Engine
	for _, name := range names {
		if capacity(m, domains[name], minTokens) >= m.Layers {
			whole = append(whole, domains[name])
		} else {
			rest = append(rest, domains[name]...)
		}
	}
	switch {
	case len(rest) == 0:
	case capacity(m, rest, minTokens) >= m.Layers || len(whole) == 0:
		whole = append(whole, rest)
	default:
		// The engines of small domains serve as reserves, which fill places.
	}
	return whole
}

func capacity(m Model, engines []Engine, tokens float64) int {
	n := 0
	for _, e := range engines {
		n += m.fits(e, tokens)
	}
	return n
}

// layout gives the engines of a group the layers of as many copies as fit.
func layout(m Model, group []Engine, plan map[string]Range) {
	copies := max(1, capacity(m, group, 2*minTokens)/m.Layers)
	for _, part := range deal(group, copies) {
		layoutCopy(m, part, plan)
	}
}

// deal divides engines into sets with the same mix of cards.
func deal(group []Engine, copies int) [][]Engine {
	sorted := append([]Engine(nil), group...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].Memory != sorted[j].Memory {
			return sorted[i].Memory > sorted[j].Memory
		}
		return sorted[i].Pace < sorted[j].Pace
	})
	sets := make([][]Engine, copies)
	for i, e := range sorted {
		at := i % copies
		if i/copies%2 == 1 {
			at = copies - 1 - at
		}
		sets[at] = append(sets[at], e)
	}
	return sets
}

// layoutCopy spreads one copy over engines. The slowest pass bounds the rate of
// a copy, so each layer goes to the engine whose pass stays shortest.
func layoutCopy(m Model, engines []Engine, plan map[string]Range) {
	tokens := contextBound(m, engines)
	count := make([]int, len(engines))
	for placed := 0; placed < m.Layers; placed++ {
		best, cost := -1, math.Inf(1)
		for i, e := range engines {
			if count[i] >= m.fits(e, tokens) {
				continue
			}
			if x := float64(count[i]+1) * e.Pace; x < cost {
				best, cost = i, x
			}
		}
		if best < 0 {
			return // the engines can't hold a copy together; fill does what it can
		}
		count[best]++
	}
	from := 0
	for i, e := range engines {
		if count[i] > 0 {
			plan[e.ID] = Range{From: from, To: from + count[i]}
			from += count[i]
		}
	}
}

// contextBound returns the largest context, in tokens, that engines can keep
// beside a copy with some layers to spare.
func contextBound(m Model, engines []Engine) float64 {
	low, high := 0.0, 1e6
	for range 30 {
		mid := (low + high) / 2
		if float64(capacity(m, engines, mid)) >= spareLayers*float64(m.Layers) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// Weights of a missing layer for the choice of what an empty engine takes.
const (
	missingEverywhere = 1e4 // no stream can be served
	missingHere       = 1e2 // each stream has to cross a pipe twice
)

// fill gives layers to engines that hold none, largest first.
func fill(m Model, engines []Engine, plan map[string]Range) {
	var empty []Engine
	for _, e := range engines {
		if _, ok := plan[e.ID]; !ok {
			empty = append(empty, e)
		}
	}
	sort.SliceStable(empty, func(i, j int) bool { return empty[i].Memory/empty[i].Pace > empty[j].Memory/empty[j].Pace })
	for _, e := range empty {
		if r := place(m, e, engines, plan); r.Len() > 0 {
			plan[e.ID] = r
		}
	}
}

// place returns the range where an engine helps most.
func place(m Model, e Engine, engines []Engine, plan map[string]Range) Range {
	value := make([]float64, m.Layers)
	for i := range value {
		value[i] = need(i, e, engines, plan, m)
	}
	limit := max(m.fits(e, minTokens), min(1, m.Most(e)))
	best, most := Range{}, 0.0
	for n := 1; n <= limit; n++ {
		sum := 0.0
		for i := range m.Layers {
			sum += value[i]
			if i >= n {
				sum -= value[i-n]
			}
			// A small charge for each layer keeps ranges short where more
			// layers add nothing.
			if gain := sum - float64(n)*0.01; i >= n-1 && gain > most+1e-9 {
				best, most = Range{From: i - n + 1, To: i + 1}, gain
			}
		}
	}
	return best
}

// need tells how much a layer misses another copy from the view of an engine.
func need(layer int, e Engine, engines []Engine, plan map[string]Range, m Model) float64 {
	here, all := 0.0, 0.0
	for _, o := range engines {
		r, ok := plan[o.ID]
		if !ok || layer < r.From || layer >= r.To {
			continue
		}
		// Room for context in units of the least that a copy should have.
		room := max(o.Memory/float64(r.Len())-m.Layer, 0) / m.Token / minTokens
		all += max(room, 0.1)
		if o.Domain == e.Domain {
			here += max(room, 0.1)
		}
	}
	switch {
	case all == 0:
		return missingEverywhere
	case here == 0:
		return missingHere
	default:
		return 1 / here
	}
}

// ErrFenced reports that an engine has seen a higher fencing number: another
// process gives orders now.
var ErrFenced = errors.New("engine has seen a higher fencing number")

// ErrChanged reports that the order does not fit the state of the engine, or
// that the engine has accepted another order since.
var ErrChanged = errors.New("engine has accepted another order")
