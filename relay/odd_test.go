package relay_test

import (
	"context"
	"math"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/relay"
)

// Guards against streams that end in a panic, or at no server, because the registry lists an engine with layers that the
// model does not have.
func TestStreamsAvoidEnginesOutsideTheModel(t *testing.T) {
	for name, r := range map[string][2]int{"negative": {-4, 8}, "beyond": {0, 9}, "huge": {0, math.MaxInt}, "reversed": {9, -9}} {
		t.Run(name, func(t *testing.T) {
			cl := newCluster(t, slowAccelerator(engineEntry("a", "near", 0, 4)), slowAccelerator(engineEntry("b", "near", 4, 8)), engineEntry("odd", "near", r[0], r[1]))
			cl.onSend = func(_ context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
				for _, h := range a.Path {
					assert.Check(t, h.Address != "odd:1", "%v", a.Path)
				}
				x := signedAnswer(200, events(1, 3))
				x.Length = -1
				return x, nil
			}
			req := request(config.Stream, 2)
			req.Service.Engine.TokenMemory = 0 // no lack of memory rules the engine out
			checkServed(t, cl.serve(t.Context(), req), events(1, 3))
		})
	}
}
