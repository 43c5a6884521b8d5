// Package shard decides which layers of a model each engine holds.
//
// Every stream passes through each layer once and needs memory for its KV cache
// in addition to the weights. A plan therefore gives each failure domain complete copies
// of the model, so that no token crosses a pipe between domains. Within a copy,
// faster cards hold more layers, up to a limit that leaves memory for the KV
// cache.
//
// Loading weights takes seconds, so later plans change as little as possible:
// empty engines take the layers that lack copies most, and remaining gaps are
// closed by engines whose layers have another copy and by the engines next to
// the gap.
package shard

import (
	"errors"
	"math"
	"slices"
	"sort"
)

// Range is a range of layers: From is inclusive, To is exclusive.
type Range struct{ From, To int }

// Len returns the number of layers in the range.
func (r Range) Len() int { return r.To - r.From }

// Engine describes an engine that accepts placement orders.
type Engine struct {
	ID         string
	Domain     string
	Memory     float64 // MB
	StepFactor float64 // factor on the time of a step
	Assigned   Range   // held, being loaded or ordered
	// JustJoined marks an engine that joined a short while ago. It takes missing
	// layers at once but no additional copies yet: during a rollout, the engine
	// that it replaces leaves within seconds.
	JustJoined bool
	Streams    int // that pass through the engine now
}

// Model describes the number of layers of a model and their memory use.
type Model struct {
	Layers  int
	LayerMB float64 // MB of weights of one layer
	TokenMB float64 // MB of KV cache that a token takes in one layer
	// CopyTokens is the context, in tokens, that the first layout leaves to each copy. All engines of a copy
	// then have about the same KV cache per layer, as the least of them bounds the streams of the copy. 0
	// for defaultCopyTokens, where faster engines hold more layers and less cache.
	CopyTokens float64
}

// minContextTokens is the KV cache, in tokens of context on every layer, that a
// plan leaves to each copy if possible: about 60 streams of 900 tokens.
const minContextTokens = 54_000

// capacityMargin is the ratio of the layers that a set of engines can hold to the
// layers of a copy, unless Model.CopyTokens is set. The excess allows faster engines to
// take more layers.
const capacityMargin = 1.1

// margin returns the ratio of the layers that a set of engines must be able to hold to
// the layers of a copy.
func (m Model) margin() float64 {
	if m.CopyTokens > 0 {
		return 1
	}
	return capacityMargin
}

// layersWithContext returns how many layers fit into an engine together with the KV
// cache of the given number of tokens.
func (m Model) layersWithContext(e Engine, tokens float64) int {
	perLayer := m.LayerMB + m.TokenMB*tokens
	if perLayer <= 0 {
		return m.Layers
	}
	// Compared as floats, because the conversion of larger ones differs between machines.
	return int(min(e.Memory/perLayer, float64(m.Layers)))
}

// MaxLayers returns how many layers fit into an engine without any KV cache. An
// engine that is ordered to hold more fails.
func (m Model) MaxLayers(e Engine) int { return m.layersWithContext(e, 0) }

// Contains reports whether a range, which may be empty, lies within the model.
func (m Model) Contains(r Range) bool { return r.From >= 0 && r.From <= r.To && r.To <= m.Layers }

// Plan returns the range that each engine should hold; engines that need no
// change keep their assigned range. Engines whose assigned range is not within the
// model are not part of the plan. The result short reports whether a failure
// domain still lacks layers. With shift set, Plan then reassigns the ranges of
// all engines of one such domain.
func Plan(m Model, engines []Engine, shift bool) (plan map[string]Range, short bool) {
	plan = make(map[string]Range, len(engines))
	if m.Layers <= 0 {
		return plan, false
	}
	sorted := slices.DeleteFunc(slices.Clone(engines), func(e Engine) bool { return !m.Contains(e.Assigned) })
	sort.Slice(sorted, func(i, j int) bool { return sorted[i].ID < sorted[j].ID })
	holding := false
	for _, e := range sorted {
		if e.Assigned.Len() > 0 {
			plan[e.ID] = e.Assigned
			holding = true
		}
	}
	if !holding {
		for _, group := range copyGroups(m, sorted) {
			layoutGroup(m, group, plan)
		}
	}
	assignEmptyEngines(m, sorted, plan)
	for _, group := range copyGroups(m, sorted) {
		if closeGaps(m, group, plan) {
			continue
		}
		short = true
		if shift {
			// Reassign one failure domain at a time: while its engines load,
			// the others have to serve.
			reassignGroup(m, group, plan)
			shift = false
		}
	}
	return plan, short
}

// copyGroups divides engines into groups that can each hold a copy of the model: the
// engines of one failure domain, or of all domains that are too small on their own. If
// no engines can hold a copy together, all of them form one group.
func copyGroups(m Model, engines []Engine) [][]Engine {
	domains := map[string][]Engine{}
	for _, e := range engines {
		domains[e.Domain] = append(domains[e.Domain], e)
	}
	var names []string
	for name := range domains {
		names = append(names, name)
	}
	sort.Strings(names)
	var groups [][]Engine
	var small []Engine
	for _, name := range names {
		if layerCapacity(m, domains[name], minContextTokens) >= m.Layers {
			groups = append(groups, domains[name])
		} else {
			small = append(small, domains[name]...)
		}
	}
	switch {
	case len(small) == 0:
	case layerCapacity(m, small, minContextTokens) >= m.Layers || len(groups) == 0:
		groups = append(groups, small)
	default:
		// The engines of small domains get layers from assignEmptyEngines only.
	}
	return groups
}

// layerCapacity returns how many layers fit into a set of engines in addition to the
// KV cache of the given number of tokens.
func layerCapacity(m Model, engines []Engine, tokens float64) int {
	n := 0
	for _, e := range engines {
		n += m.layersWithContext(e, tokens)
	}
	return n
}

// defaultCopyTokens is the context, in tokens, that the first layout leaves to each
// copy: about 120 streams of 900 tokens.
const defaultCopyTokens = 2 * minContextTokens

// LargeCopyTokens is the Model.CopyTokens for services that are expected to run short of
// KV cache: about 180 streams of 900 tokens. Fewer copies leave less memory to weights, and
// more streams to each copy, whose tokens then take longer.
const LargeCopyTokens = 3 * minContextTokens

// EqualCopyTokens is the Model.CopyTokens that keeps the number of copies of the default.
const EqualCopyTokens = defaultCopyTokens

// copyTokens returns the context that the first layout leaves to each copy.
func (m Model) copyTokens() float64 {
	if m.CopyTokens > 0 {
		return m.CopyTokens
	}
	return defaultCopyTokens
}

// layoutGroup assigns as many copies of the model to the engines of a group as fit.
// If only one fits, the fastest engines that can hold it take it and the others stay
// empty, so that assignEmptyEngines adds second holders for the layers that need
// them most. If the remaining memory all went to context, the loss of any engine
// would stop its failure domain until other engines had loaded its layers.
func layoutGroup(m Model, group []Engine, plan map[string]Range) {
	copies := max(1, layerCapacity(m, group, m.copyTokens())/m.Layers)
	if copies == 1 {
		group = fastest(m, group, m.copyTokens())
	}
	for _, part := range splitByCards(m, group, copies) {
		layoutOneCopy(m, part, plan)
	}
}

// fastest returns the engines with the most memory relative to their step time, as many
// as are needed to hold a copy of the model with the capacity margin in addition to the
// given context, or all engines if they can't hold one.
func fastest(m Model, group []Engine, tokens float64) []Engine {
	sorted := append([]Engine(nil), group...)
	sort.SliceStable(sorted, func(i, j int) bool {
		return sorted[i].Memory/sorted[i].StepFactor > sorted[j].Memory/sorted[j].StepFactor
	})
	for i := range sorted {
		if float64(layerCapacity(m, sorted[:i+1], tokens)) >= m.margin()*float64(m.Layers) {
			return sorted[:i+1]
		}
	}
	return sorted
}

// splitByCards divides engines into one set per copy, each with a similar mix of
// cards. With Model.CopyTokens, the sets have about the same memory as well: a copy whose
// layers just fit needs some small engines to hold one layer more than the others.
func splitByCards(m Model, group []Engine, copies int) [][]Engine {
	sorted := append([]Engine(nil), group...)
	sort.SliceStable(sorted, func(i, j int) bool {
		if sorted[i].Memory != sorted[j].Memory {
			return sorted[i].Memory > sorted[j].Memory
		}
		return sorted[i].StepFactor < sorted[j].StepFactor
	})
	sets := make([][]Engine, copies)
	memory := make([]float64, copies)
	for i, e := range sorted {
		set := i % copies
		if i/copies%2 == 1 {
			set = copies - 1 - set
		}
		for other := range memory {
			if m.CopyTokens > 0 && memory[other] < memory[set] {
				set = other
			}
		}
		memory[set] += e.Memory
		sets[set] = append(sets[set], e)
	}
	return sets
}

// layoutOneCopy distributes the layers of one copy over engines. The slowest engine
// limits the throughput of a copy, so each layer goes to the engine whose pass
// stays shortest.
func layoutOneCopy(m Model, engines []Engine, plan map[string]Range) {
	tokens := maxContextTokens(m, engines)
	count := make([]int, len(engines))
	for placed := 0; placed < m.Layers; placed++ {
		best, shortest := -1, math.Inf(1)
		for i, e := range engines {
			if count[i] >= m.layersWithContext(e, tokens) {
				continue
			}
			if pass := float64(count[i]+1) * e.StepFactor; pass < shortest {
				best, shortest = i, pass
			}
		}
		if best < 0 {
			return // no copy fits; assignEmptyEngines places as many layers as it can
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

// maxContextTokens returns the largest context, in tokens, that engines can hold
// in addition to a copy of the model with the capacity margin.
func maxContextTokens(m Model, engines []Engine) float64 {
	low, high := 0.0, 1e6
	for range 30 {
		mid := (low + high) / 2
		if float64(layerCapacity(m, engines, mid)) >= m.margin()*float64(m.Layers) {
			low = mid
		} else {
			high = mid
		}
	}
	return low
}

// repairContextTokens is the context, in tokens on every layer, that an engine keeps
// when it takes over layers to close a gap: about 25 streams. This is less than
// minContextTokens because a domain with a gap can serve only through the pipe to
// other domains, which carries fewer streams.
const repairContextTokens = 22_000

// maxIdleStreams is the largest number of streams with which an engine counts as
// idle and may change its range first. An engine releases layers only after the
// streams that use them have ended: with 16 to 36 streams, engines had their new
// layers 8 to 13 s later.
const maxIdleStreams = 4

// closeGaps closes the gaps that remain after empty engines were assigned, for
// example when engines leave or crash. First, idle engines whose layers all have
// another holder move to the gap; then the engines next to the gap take more layers;
// then busy engines move. It reports whether no gap is left.
func closeGaps(m Model, group []Engine, plan map[string]Range) bool {
	for range len(group) + m.Layers {
		gap := firstGap(m, group, plan)
		if gap.Len() == 0 {
			return true
		}
		if !moveRedundantEngine(m, group, plan, gap, maxIdleStreams) && !extendNeighbour(m, group, plan, gap) && !moveRedundantEngine(m, group, plan, gap, math.MaxInt) {
			return false
		}
	}
	return false
}

// reassignGroup distributes one copy over the engines of a group in the order of
// their current ranges, so that each engine releases and loads few layers.
func reassignGroup(m Model, group []Engine, plan map[string]Range) {
	ordered := append([]Engine(nil), group...)
	sort.SliceStable(ordered, func(i, j int) bool { return plan[ordered[i].ID].From < plan[ordered[j].ID].From })
	if layerCapacity(m, ordered, 0) < m.Layers {
		return
	}
	layoutOneCopy(m, ordered, plan)
}

// countHolders returns, for each layer, how many engines of a group hold it.
func countHolders(m Model, group []Engine, plan map[string]Range) []int {
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
	n := countHolders(m, group, plan)
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

// enginesIn returns the engines of a group that are in a failure domain.
func enginesIn(group []Engine, domain string) []Engine {
	var out []Engine
	for _, e := range group {
		if e.Domain == domain {
			out = append(out, e)
		}
	}
	return out
}

// moveRedundantEngine moves an engine to a gap if it has at most maxStreams streams
// and each of its layers has another holder in its failure domain. It returns false
// if there is no such engine.
func moveRedundantEngine(m Model, group []Engine, plan map[string]Range, gap Range, maxStreams int) bool {
	domains := map[string][]int{}
	for _, e := range group {
		if domains[e.Domain] == nil {
			domains[e.Domain] = countHolders(m, enginesIn(group, e.Domain), plan)
		}
	}
	best, bestTake := "", 0
	var to Range
	for _, e := range group {
		r, ok := plan[e.ID]
		if !ok || r.Len() == 0 || e.Streams > maxStreams || !hasOtherHolders(domains[e.Domain], r) {
			continue
		}
		take := min(gap.Len(), m.layersWithContext(e, minContextTokens))
		if take > bestTake {
			best, bestTake, to = e.ID, take, Range{From: gap.From, To: gap.From + take}
		}
	}
	if best == "" {
		return false
	}
	plan[best] = to
	return true
}

// hasOtherHolders reports whether each layer of a range has at least two holders.
func hasOtherHolders(holders []int, r Range) bool {
	for i := r.From; i < r.To; i++ {
		if holders[i] < 2 {
			return false
		}
	}
	return true
}

// extendNeighbour assigns a layer at the edge of a gap to the adjacent engine with
// the most memory per layer. It returns false if no adjacent engine has room.
func extendNeighbour(m Model, group []Engine, plan map[string]Range, gap Range) bool {
	best, mostPerLayer := "", 0.0
	var to Range
	for _, e := range group {
		r, ok := plan[e.ID]
		switch {
		case !ok || r.Len() >= m.layersWithContext(e, repairContextTokens):
			continue
		case r.To == gap.From:
			r.To++
		case r.From == gap.To:
			r.From--
		default:
			continue
		}
		if perLayer := e.Memory / float64(r.Len()); perLayer > mostPerLayer {
			best, mostPerLayer, to = e.ID, perLayer, r
		}
	}
	if best == "" {
		return false
	}
	plan[best] = to
	return true
}

// Weights of a layer for the choice of the range that an empty engine takes.
const (
	weightNoCopy       = 1e4 // no stream can be served
	weightNoLocalCopy  = 1e2 // each stream crosses a pipe between domains twice
	weightOneLocalCopy = 1   // the loss of the only holder stops the failure domain
)

// assignEmptyEngines assigns layers to engines that hold none, those with the most
// memory relative to their step time first.
func assignEmptyEngines(m Model, engines []Engine, plan map[string]Range) {
	var empty []Engine
	for _, e := range engines {
		if _, ok := plan[e.ID]; !ok {
			empty = append(empty, e)
		}
	}
	sort.SliceStable(empty, func(i, j int) bool { return empty[i].Memory/empty[i].StepFactor > empty[j].Memory/empty[j].StepFactor })
	for _, e := range empty {
		if e.JustJoined && firstGap(m, enginesIn(engines, e.Domain), plan).Len() == 0 {
			continue
		}
		if r := bestRange(m, e, engines, plan); r.Len() > 0 {
			plan[e.ID] = r
		}
	}
}

// bestRange returns the range with the largest total weight that fits into an
// engine.
func bestRange(m Model, e Engine, engines []Engine, plan map[string]Range) Range {
	weights := make([]float64, m.Layers)
	for i := range weights {
		weights[i] = copyWeight(i, e, engines, plan, m)
	}
	if slices.Max(weights) >= weightNoLocalCopy {
		// Layers with a copy in this domain would take memory from missing ones.
		for i := range weights {
			if weights[i] < weightNoLocalCopy {
				weights[i] = 0
			}
		}
	}
	limit := max(m.layersWithContext(e, minContextTokens), min(1, m.MaxLayers(e)))
	best, bestGain := Range{}, 0.0
	for n := 1; n <= limit; n++ {
		sum := 0.0
		for i := range m.Layers {
			sum += weights[i]
			if i >= n {
				sum -= weights[i-n]
			}
			// A small cost for each layer keeps ranges short if further
			// layers add nothing.
			if gain := sum - float64(n)*0.01; i >= n-1 && gain > bestGain+1e-9 {
				best, bestGain = Range{From: i - n + 1, To: i + 1}, gain
			}
		}
	}
	return best
}

// copyWeight returns the weight of another copy of a layer on engine e: high if the
// layer has no holder, lower the more context its holders in the domain of e can keep.
func copyWeight(layer int, e Engine, engines []Engine, plan map[string]Range, m Model) float64 {
	localContext, totalContext, localHolders := 0.0, 0.0, 0
	for _, o := range engines {
		r, ok := plan[o.ID]
		if !ok || layer < r.From || layer >= r.To {
			continue
		}
		// Memory for context, as a multiple of minContextTokens.
		context := max(o.Memory/float64(r.Len())-m.LayerMB, 0) / m.TokenMB / minContextTokens
		totalContext += max(context, 0.1)
		if o.Domain == e.Domain {
			localContext += max(context, 0.1)
			localHolders++
		}
	}
	switch {
	case totalContext == 0:
		return weightNoCopy
	case localContext == 0:
		return weightNoLocalCopy
	case localHolders == 1:
		return weightOneLocalCopy + 1/localContext
	default:
		return 1 / localContext
	}
}

// ErrFenced reports that an engine has seen a higher fencing number, which means
// that another process has taken over placement.
var ErrFenced = errors.New("engine has seen a higher fencing number")

// ErrChanged reports that the order does not match the state of the engine or that
// the engine has since accepted another order.
var ErrChanged = errors.New("engine has accepted another order")

// ErrMisdirected reports that another engine than the one that the order was meant for has the address.
var ErrMisdirected = errors.New("another engine has the address")
