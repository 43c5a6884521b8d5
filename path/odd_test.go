package path_test

import (
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/path"
)

// Guards against a request that ends in a panic because an engine is listed with layers that no model has.
func TestEngineOutsideTheModelIsNotChosen(t *testing.T) {
	for name, r := range map[string][2]int{
		"negative": {-4, 6}, "all negative": {-9, -2}, "reversed": {8, 2}, "huge": {math.MinInt, math.MaxInt}, "beyond": {1 << 40, 1 << 41},
	} {
		t.Run(name, func(t *testing.T) {
			engines := []path.Engine{engine("odd", 0, r[0], r[1]), engine("a", 0, 0, 6), engine("b", 0, 6, layers)}
			engines[0].LayerSeconds = 0
			hops, _, ok := path.Choose(request(), engines, linkCosts(1))
			assert.Assert(t, ok)
			checkCoverage(t, request(), engines, hops)
			for _, h := range hops {
				assert.Assert(t, engines[h.Engine].Name != "odd", "%v", hops)
			}
		})
	}
}
