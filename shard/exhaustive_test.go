package shard_test

import (
	"fmt"
	"math"
	"math/rand"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/shard"
)

// smallModel is small enough to enumerate all placements on a few engines.
var smallModel = shard.Model{Layers: 6, LayerMB: 1000, TokenMB: 1e-3}

// placementScore rates a placement by its complete copies of the model, the context
// that fits in addition to the layers and the time of the slowest pass.
type placementScore struct {
	copies  int
	context float64 // tokens on every layer that fit into the fullest engine
	slowest float64 // time of the slowest pass
}

// better compares placements by copies, then by context.
func (q placementScore) better(p placementScore) bool {
	if q.copies != p.copies {
		return q.copies > p.copies
	}
	return q.context > p.context
}

// scorePlacement rates the placement of ranges[i] on engines[i].
func scorePlacement(engines []shard.Engine, ranges []shard.Range) placementScore {
	n := make([]int, smallModel.Layers)
	q := placementScore{copies: math.MaxInt, context: math.Inf(1)}
	for i, r := range ranges {
		if r.Len() == 0 {
			continue
		}
		for k := r.From; k < r.To; k++ {
			n[k]++
		}
		layers := float64(r.Len())
		q.context = min(q.context, (engines[i].Memory-layers*smallModel.LayerMB)/(layers*smallModel.TokenMB))
		q.slowest = max(q.slowest, layers*engines[i].StepFactor)
	}
	for _, c := range n {
		q.copies = min(q.copies, c)
	}
	return q
}

// bestPlacement tries all placements of contiguous ranges and returns the best score.
func bestPlacement(engines []shard.Engine) placementScore {
	ranges := make([]shard.Range, len(engines))
	best := placementScore{copies: -1}
	var try func(i int)
	try = func(i int) {
		if i == len(engines) {
			if q := scorePlacement(engines, ranges); q.better(best) {
				best = q
			}
			return
		}
		for from := range smallModel.Layers {
			for to := from; to <= min(smallModel.Layers, from+smallModel.MaxLayers(engines[i])); to++ {
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

// randomEngines returns n engines with random cards.
func randomEngines(r *rand.Rand, n int) []shard.Engine {
	var out []shard.Engine
	for i := range n {
		cards := []struct{ memory, stepFactor float64 }{{5600, 3}, {3400, 16}, {2300, 15}}
		c := cards[r.Intn(len(cards))]
		out = append(out, shard.Engine{ID: fmt.Sprintf("e%d", i), Domain: "d", Memory: c.memory, StepFactor: c.stepFactor})
	}
	return out
}

// TestPlanAgainstExhaustiveSearch guards against a planner that places no copy of
// the model although one fits. It logs the ratio of the first layout to the best
// placement on small fleets.
func TestPlanAgainstExhaustiveSearch(t *testing.T) {
	const fleets, engines = 60, 4
	r := rand.New(rand.NewSource(1))
	var plannedCopies, possibleCopies int
	var plannedContext, possibleContext float64
	for range fleets {
		fleet := randomEngines(r, engines)
		plan, _ := shard.Plan(smallModel, fleet, false)
		ranges := make([]shard.Range, len(fleet))
		for i, e := range fleet {
			ranges[i] = plan[e.ID]
		}
		got, want := scorePlacement(fleet, ranges), bestPlacement(fleet)
		assert.Equal(t, got.copies > 0, want.copies > 0, "fleet %+v: plan %+v", fleet, plan)
		plannedCopies, possibleCopies = plannedCopies+got.copies, possibleCopies+want.copies
		if got.copies > 0 && got.copies == want.copies {
			plannedContext, possibleContext = plannedContext+got.context, possibleContext+want.context
		}
	}
	t.Logf("%d fleets of %d engines: %d of %d possible copies (ratio %.2f); context with as many copies: ratio %.2f",
		fleets, engines, plannedCopies, possibleCopies, float64(plannedCopies)/float64(possibleCopies), plannedContext/possibleContext)
}
