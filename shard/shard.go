// Package shard plans which layers of a model each engine holds.
//
// It answers the load of streams that need every layer once and memory for
// their context beside the weights: each failure domain holds whole copies of
// the model, so that no token has to cross a pipe; within a copy the faster
// cards hold more layers, up to a bound that leaves memory for requests. Once
// engines hold layers, a plan changes little, since a load takes seconds: empty
// engines take the layers that are missed most, and a gap that remains is closed
// by spare engines and by the neighbours of the gap.
package shard

import (
	"errors"
	"math"
	"slices"
	"sort"
)

// Range is a range of layers, To exclusive.
type Range struct{ From, To int }

// Len returns the number of layers.
func (r Range) Len() int { return r.To - r.From }

// Engine is one engine that may take orders.
type Engine struct {
	ID         string
	Domain     string
	Memory     float64 // MB
	StepFactor float64 // factor on the time of a step
	Assigned   Range   // held, being loaded or ordered
	// JustJoined tells that the engine joined a short while ago. It takes missing
	// layers at once, but waits before it becomes a spare copy: in a release, the
	// engine that it replaces leaves within seconds.
	JustJoined bool
	Streams    int // that pass through the engine now
}

// Model gives the sizes of a model.
type Model struct {
	Layers  int
	LayerMB float64 // MB of weights of one layer
	TokenMB float64 // MB of KV cache that a token takes in one layer
}

// minTokens is the least KV cache, in tokens of context on every layer, that a
// plan leaves a copy when there is a choice: some 60 streams of 900 tokens.
const minTokens = 54_000

// spareLayers is the share of layers that the bounds of all engines together
// leave free, so that the fast engines have a choice.
const spareLayers = 1.1

// fits returns how many layers an engine may hold beside a context of tokens.
func (m Model) fits(e Engine, tokens float64) int {
	return min(int(e.Memory/(m.LayerMB+m.TokenMB*tokens)), m.Layers)
}

// MaxLayers returns how many layers fit into an engine at all. An engine that is
// ordered to hold more fails.
func (m Model) MaxLayers(e Engine) int { return m.fits(e, 0) }

// Plan returns the range that each engine should hold. Engines that are to stay
// as they are have the range that they hold. With shift set, a gap that nothing
// else closes moves the ranges of all engines of its failure domain; short
// should tell whether there is one.
func Plan(m Model, engines []Engine, shift bool) (plan map[string]Range, short bool) {
	plan = make(map[string]Range, len(engines))
	if m.Layers <= 0 {
		return plan, false
	}
	sorted := append([]Engine(nil), engines...)
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	holding := false
	for _, e := range sorted {
		if e.Assigned.Len() > 0 {
			plan[e.ID] = e.Assigned
			holding = true
		}
	}
	if !holding {
		for _, group := range groups(m, sorted) {
			layout(m, group, plan)
		}
	}
	fill(m, sorted, plan)
	for _, group := range groups(m, sorted) {
		if repair(m, group, plan) {
			continue
		}
		short = true
		if shift {
			// One failure domain at a time: while its engines load, the others
			// have to serve.
			shiftAll(m, group, plan)
			shift = false
		}
	}
	return plan, short
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

// copyTokens is the context, in tokens, that a whole copy keeps in the first layout:
// some 120 streams of 900 tokens.
const copyTokens = 2 * minTokens

// layout gives the engines of a group the layers of as many copies as fit. Where
// that is one, the fastest engines that can hold it do, and the others stay empty,
// so that fill makes second copies of what would be missed most: with one copy and
// all the rest of the memory left to context, the loss of any engine stopped its
// failure domain until others had loaded its layers.
func layout(m Model, group []Engine, plan map[string]Range) {
	copies := max(1, capacity(m, group, copyTokens)/m.Layers)
	if copies == 1 {
		group = fastest(m, group, copyTokens)
	}
	for _, part := range deal(group, copies) {
		layoutCopy(m, part, plan)
	}
}

// fastest returns the fastest engines that together hold a copy of the model
// beside a context of tokens, or all engines when they can't.
func fastest(m Model, group []Engine, tokens float64) []Engine {
	sorted := append([]Engine(nil), group...)
	sort.SliceStable(sorted, func(i, j int) bool {
		return sorted[i].Memory/sorted[i].StepFactor > sorted[j].Memory/sorted[j].StepFactor
	})
	for i := range sorted {
		if float64(capacity(m, sorted[:i+1], tokens)) >= spareLayers*float64(m.Layers) {
			return sorted[:i+1]
		}
	}
	return sorted
}

// deal divides engines into sets with the same mix of cards.
func deal(group []Engine, copies int) [][]Engine {
	sorted := append([]Engine(nil), group...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].Memory != sorted[j].Memory {
			return sorted[i].Memory > sorted[j].Memory
		}
		return sorted[i].StepFactor < sorted[j].StepFactor
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
			if x := float64(count[i]+1) * e.StepFactor; x < cost {
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

// repairTokens is the context, in tokens on every layer, that an engine keeps
// beside the layers that it takes over for others: some 25 streams. A domain with
// a gap serves nobody without the pipe, which carries fewer.
const repairTokens = 22_000

// idleStreams is the number of streams up to which an engine may move at once. Layers
// that are given up wait for the streams that pass through them: with 16 to 36 of
// these, engines had their new layers 8 to 13 s later.
const idleStreams = 4

// repair closes gaps of a failure domain that no empty engine fills, as when
// engines leave or crash: idle engines whose layers all have another copy move
// there, then the neighbours of a gap take more layers, then busy engines move. It
// reports whether no gap is left.
func repair(m Model, group []Engine, plan map[string]Range) bool {
	for range len(group) + m.Layers {
		gap := firstGap(m, group, plan)
		if gap.Len() == 0 {
			return true
		}
		if !moveSpare(m, group, plan, gap, idleStreams) && !extend(m, group, plan, gap) && !moveSpare(m, group, plan, gap, math.MaxInt) {
			return false
		}
	}
	return false
}

// shiftAll spreads one copy over the engines of a group in the order of what they
// hold, so that each gives up and loads little.
func shiftAll(m Model, group []Engine, plan map[string]Range) {
	ordered := append([]Engine(nil), group...)
	sort.SliceStable(ordered, func(i, j int) bool { return plan[ordered[i].ID].From < plan[ordered[j].ID].From })
	if capacity(m, ordered, 0) < m.Layers {
		return
	}
	layoutCopy(m, ordered, plan)
}

// copies counts the engines of a group that hold each layer.
func copies(m Model, group []Engine, plan map[string]Range) []int {
	n := make([]int, m.Layers)
	for _, e := range group {
		for i := plan[e.ID].From; i < plan[e.ID].To; i++ {
			n[i]++
		}
	}
	return n
}

// firstGap returns the first range of layers that no engine of a group holds.
func firstGap(m Model, group []Engine, plan map[string]Range) Range {
	n := copies(m, group, plan)
	for from := range n {
		if n[from] > 0 {
			continue
		}
		to := from
		for to < m.Layers && n[to] == 0 {
			to++
		}
		return Range{From: from, To: to}
	}
	return Range{}
}

func inDomain(group []Engine, domain string) []Engine {
	var out []Engine
	for _, e := range group {
		if e.Domain == domain {
			out = append(out, e)
		}
	}
	return out
}

// moveSpare moves an engine with few enough streams to a gap when each of its layers
// has another copy in its failure domain.
func moveSpare(m Model, group []Engine, plan map[string]Range, gap Range, streams int) bool {
	domains := map[string][]int{}
	for _, e := range group {
		if domains[e.Domain] == nil {
			domains[e.Domain] = copies(m, inDomain(group, e.Domain), plan)
		}
	}
	best, most := "", 0
	var to Range
	for _, e := range group {
		r, ok := plan[e.ID]
		if !ok || r.Len() == 0 || e.Streams > streams || !spare(domains[e.Domain], r) {
			continue
		}
		take := min(gap.Len(), m.fits(e, minTokens))
		if take > most {
			best, most, to = e.ID, take, Range{From: gap.From, To: gap.From + take}
		}
	}
	if best == "" {
		return false
	}
	plan[best] = to
	return true
}

func spare(n []int, r Range) bool {
	for i := r.From; i < r.To; i++ {
		if n[i] < 2 {
			return false
		}
	}
	return true
}

// extend gives a layer at the edge of a gap to the neighbour with the most memory
// to spare.
func extend(m Model, group []Engine, plan map[string]Range, gap Range) bool {
	best, room := "", 0.0
	var to Range
	for _, e := range group {
		r, ok := plan[e.ID]
		switch {
		case !ok || r.Len() >= m.fits(e, repairTokens):
			continue
		case r.To == gap.From:
			r.To++
		case r.From == gap.To:
			r.From--
		default:
			continue
		}
		if x := e.Memory / float64(r.Len()); x > room {
			best, room, to = e.ID, x, r
		}
	}
	if best == "" {
		return false
	}
	plan[best] = to
	return true
}

// Weights of a missing layer for the choice of what an empty engine takes.
const (
	missingEverywhere = 1e4 // no stream can be served
	missingHere       = 1e2 // each stream has to cross a pipe twice
	missingSecond     = 1   // the loss of the only holder here stops the failure domain
)

// fill gives layers to engines that hold none, largest first.
func fill(m Model, engines []Engine, plan map[string]Range) {
	var empty []Engine
	for _, e := range engines {
		if _, ok := plan[e.ID]; !ok {
			empty = append(empty, e)
		}
	}
	sort.SliceStable(empty, func(i, j int) bool { return empty[i].Memory/empty[i].StepFactor > empty[j].Memory/empty[j].StepFactor })
	for _, e := range empty {
		if e.JustJoined && firstGap(m, inDomain(engines, e.Domain), plan).Len() == 0 {
			continue
		}
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
	if slices.Max(value) >= missingHere {
		// Layers that have a copy would only take memory from the missing ones.
		for i := range value {
			if value[i] < missingHere {
				value[i] = 0
			}
		}
	}
	limit := max(m.fits(e, minTokens), min(1, m.MaxLayers(e)))
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
	here, all, holders := 0.0, 0.0, 0
	for _, o := range engines {
		r, ok := plan[o.ID]
		if !ok || layer < r.From || layer >= r.To {
			continue
		}
		// Room for context in units of the least that a copy should have.
		room := max(o.Memory/float64(r.Len())-m.LayerMB, 0) / m.TokenMB / minTokens
		all += max(room, 0.1)
		if o.Domain == e.Domain {
			here += max(room, 0.1)
			holders++
		}
	}
	switch {
	case all == 0:
		return missingEverywhere
	case here == 0:
		return missingHere
	case holders == 1:
		return missingSecond + 1/here
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
