package shard_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/shard"
)

// small is a model for which all placements on a few engines can be tried.
var small = shard.Model{Layers: 6, LayerMB: 1000, TokenMB: 1e-3}

// quality is what a placement gives: whole copies of the model, and for the
// first copy the context that fits beside it and the time of a token.
type quality struct {
	copies  int
	context float64 // tokens on every layer that the fullest engine keeps
	slowest float64 // pace of the slowest pass
}

// better orders placements by copies, then context.
func (q quality) better(p quality) bool {
	if q.copies != p.copies {
		return q.copies > p.copies
	}
	return q.context > p.context
}

func judge(engines []shard.Engine, ranges []shard.Range) quality {
	n := make([]int, small.Layers)
	q := quality{copies: math.MaxInt, context: math.Inf(1)}
	for i, r := range ranges {
		if r.Len() == 0 {
			continue
		}
		for k := r.From; k < r.To; k++ {
			n[k]++
		}
		layers := float64(r.Len())
		q.context = min(q.context, (engines[i].Memory-layers*small.LayerMB)/(layers*small.TokenMB))
		q.slowest = max(q.slowest, layers*engines[i].StepFactor)
	}
	for _, c := range n {
		q.copies = min(q.copies, c)
	}
	return q
}

// exhaustive returns the best of all placements of contiguous ranges.
func exhaustive(engines []shard.Engine) quality {
	ranges := make([]shard.Range, len(engines))
	best := quality{copies: -1}
	var try func(i int)
	try = func(i int) {
		if i == len(engines) {
			if q := judge(engines, ranges); q.better(best) {
				best = q
			}
			return
		}
		for from := range small.Layers {
			for to := from; to <= min(small.Layers, from+small.MaxLayers(engines[i])); to++ {
				if to == from && from > 0 {
					continue // one empty range is enough
				}
				ranges[i] = shard.Range{From: from, To: to}
				try(i + 1)
			}
		}
	}
	try(0)
	return best
}

func randomFleet(r *rand.Rand, n int) []shard.Engine {
	var out []shard.Engine
	for i := range n {
		cards := []struct{ memory, pace float64 }{{5600, 3}, {3400, 16}, {2300, 15}}
		c := cards[r.Intn(len(cards))]
		out = append(out, shard.Engine{ID: fmt.Sprintf("e%d", i), Domain: "d", Memory: c.memory, StepFactor: c.pace})
	}
	return out
}

// TestPlanAgainstExhaustiveSearch guards against a planner that misses a copy of
// the model which fits, and prints how far its first layout is from the best of
// all placements on small fleets.
func TestPlanAgainstExhaustiveSearch(t *testing.T) {
	const fleets, engines = 60, 4
	r := rand.New(rand.NewSource(1))
	var copies, best int
	var context, possible float64
	for range fleets {
		fleet := randomFleet(r, engines)
		plan, _ := shard.Plan(small, fleet, false)
		ranges := make([]shard.Range, len(fleet))
		for i, e := range fleet {
			ranges[i] = plan[e.ID]
		}
		got, want := judge(fleet, ranges), exhaustive(fleet)
		assert.Equal(t, got.copies > 0, want.copies > 0, "fleet %+v: plan %+v", fleet, plan)
		copies, best = copies+got.copies, best+want.copies
		if got.copies > 0 && got.copies == want.copies {
			context, possible = context+got.context, possible+want.context
		}
	}
	t.Logf("%d fleets of %d engines: %d of %d possible copies (ratio %.2f); context beside as many copies: ratio %.2f",
		fleets, engines, copies, best, float64(copies)/float64(best), context/possible)
}
