package shard_test

import (
	"fmt"
	"slices"
	"strings"
	"testing"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/golden"

	"github.com/cranberrybay/cranberrybay/shard"
)

// mixes returns the engines of sections 1.1 and 1.2 of docs/design/overload.md in three failure domains, and the
// CopyTokens of their services.
func mixes() map[string]struct {
	engines []shard.Engine
	tokens  float64
} {
	return map[string]struct {
		engines []shard.Engine
		tokens  float64
	}{
		"competing": {enginesOf(map[string][]card{
			"a": {{72000, 2.4, 3}, {43200, 5.6, 10}, {21600, 16, 16}},
			"b": {{72000, 2.4, 3}, {43200, 5.6, 10}, {21600, 16, 16}},
			"c": {{72000, 2.4, 2}, {43200, 5.6, 10}, {21600, 16, 16}},
		}), shard.LargeCopyTokens},
		"uneven": {enginesOf(map[string][]card{
			"a": {{72000, 1.4, 1}, {36000, 3.1, 3}, {21600, 16, 15}, {14400, 15, 15}},
			"b": {{72000, 1.4, 1}, {36000, 3.1, 3}, {21600, 16, 15}, {14400, 15, 14}},
			"c": {{36000, 3.1, 2}, {21600, 16, 14}, {14400, 15, 15}},
		}), shard.EqualCopyTokens},
	}
}

// evenness returns the least KV cache of a layer over the mean of the layers, for the copy with the least such ratio.
// A copy is a sequence of engines of a failure domain whose ranges follow one another from the first layer to the last.
func evenness(t *testing.T, m shard.Model, engines []shard.Engine, plan map[string]shard.Range) float64 {
	t.Helper()
	worst := 1.0
	left := slices.Clone(engines)
	for {
		var copied []shard.Engine
		domain := ""
		for at := 0; at < m.Layers; at = plan[copied[len(copied)-1].ID].To {
			i := slices.IndexFunc(left, func(e shard.Engine) bool {
				r := plan[e.ID]
				return r.From == at && r.Len() > 0 && (at == 0 || e.Domain == domain)
			})
			if at == 0 && i < 0 {
				return worst
			}
			assert.Assert(t, i >= 0, "a copy of domain %s ends at layer %d", domain, at)
			domain = left[i].Domain
			copied = append(copied, left[i])
			left = slices.Delete(left, i, i+1)
		}
		least, sum := 0.0, 0.0
		for i, e := range copied {
			n := float64(plan[e.ID].Len())
			cache := (e.Memory/n - m.LayerMB) / m.TokenMB
			if sum += cache * n; i == 0 || cache < least {
				least = cache
			}
		}
		worst = min(worst, least/sum*float64(m.Layers))
	}
}

// Guards against a layer with less KV cache than the others, which bounds the streams of its copy, and against a
// change of the layout of services for which it does not matter: the golden files are the plans of f43c72e.
func TestCopiesHaveEqualCache(t *testing.T) {
	for name, mix := range mixes() {
		t.Run(name, func(t *testing.T) {
			m := shard.Model{Layers: 80, LayerMB: 1750, TokenMB: 590_000.0 / 80 / 1e6}
			plan, _ := shard.Plan(m, mix.engines, false)
			assert.Assert(t, evenness(t, m, mix.engines, plan) < 0.7)
			golden.Assert(t, formatPlan(mix.engines, plan), name+".golden")
			m.CopyTokens = mix.tokens
			plan, short := shard.Plan(m, mix.engines, false)
			assert.Assert(t, !short)
			got := evenness(t, m, mix.engines, plan)
			assert.Assert(t, got >= 0.8, "%.3f", got)
		})
	}
}

// formatPlan returns a line for each engine, in the order of their IDs.
func formatPlan(engines []shard.Engine, plan map[string]shard.Range) string {
	var lines []string
	for _, e := range engines {
		lines = append(lines, fmt.Sprintf("%s %d-%d\n", e.ID, plan[e.ID].From, plan[e.ID].To))
	}
	slices.Sort(lines)
	return strings.Join(lines, "")
}
