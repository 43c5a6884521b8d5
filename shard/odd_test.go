package shard_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/shard"
)

// Guards against a process that ends because the registry lists an engine with layers that the model does not have.
func TestEngineOutsideTheModelIsNotPlanned(t *testing.T) {
	for name, r := range map[string]shard.Range{
		"negative": {From: -3, To: 10}, "beyond": {From: 70, To: 90}, "all beyond": {From: 1000, To: 1010}, "reversed": {From: 40, To: 20},
		"huge": {From: 0, To: math.MaxInt}, "reversed extremes": {From: math.MaxInt, To: math.MinInt},
	} {
		t.Run(name, func(t *testing.T) {
			engines := sampleEngines()
			want, _ := shard.Plan(model, engines, true)
			odd := shard.Engine{ID: "odd", Domain: "patan", Memory: 36000, StepFactor: 3.1, Assigned: r}
			got, short := shard.Plan(model, append(engines, odd), true)
			assert.Assert(t, !short)
			assert.DeepEqual(t, got, want)
			for i := range engines {
				engines[i].Assigned = want[engines[i].ID]
			}
			got, short = shard.Plan(model, append(engines, odd), true)
			assert.Assert(t, !short)
			assert.DeepEqual(t, got, want)
		})
	}
}

// Guards against plans that differ between machines or never end because a layer or a card has no or an infinite size.
func TestModelWithoutSizes(t *testing.T) {
	for name, m := range map[string]shard.Model{
		"no memory": {Layers: 8}, "no tokens": {Layers: 8, LayerMB: 1}, "no layer memory": {Layers: 8, TokenMB: 1e-9}, "infinite": {Layers: 8, LayerMB: math.MaxFloat64, TokenMB: math.MaxFloat64},
	} {
		t.Run(name, func(t *testing.T) {
			for _, memory := range []float64{0, 10, math.MaxFloat64} {
				e := shard.Engine{ID: "e", Domain: "d", Memory: memory}
				assert.Assert(t, m.MaxLayers(e) >= 0 && m.MaxLayers(e) <= m.Layers, "%d", m.MaxLayers(e))
				plan, _ := shard.Plan(m, []shard.Engine{e}, true)
				assert.Assert(t, plan["e"].From >= 0 && plan["e"].To <= m.Layers, "%v", plan)
			}
		})
	}
}
