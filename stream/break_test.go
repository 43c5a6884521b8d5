package stream_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
)

// TestBroken shows that the tests above can fail: with one check of the
// program left out, the callers get something else than the expected answer.
func TestBroken(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   fakes.EngineFaults
		disable func(w *world)
	}{
		{"I1 skipped layer", fakes.EngineFaults{SkipLastLayer: true}, func(w *world) { w.runner.BreakTiles() }},
		{"I1 doubled layer", fakes.EngineFaults{RepeatLastLayer: true}, func(w *world) { w.runner.BreakTiles() }},
		{"I2 crossed frames", fakes.EngineFaults{ForeignFrames: true}, func(w *world) { w.runner.BreakOwns() }},
	} {
		for _, broken := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				inWorld(t, 2, nil, func(t *testing.T, w *world) {
					if broken {
						c.disable(w)
					}
					for _, n := range []string{"e0-0", "e0-1"} {
						if c.fault.ForeignFrames || n == "e0-0" {
							w.set(n, c.fault)
						}
					}
					var wrong error
					for i := range 6 {
						a := w.ask(t.Context(), i, "the tube flickers", nil)
						if !broken {
							assert.NilError(t, a.err)
						}
						if err := a.check(); err != nil {
							wrong = err
						}
					}
					if broken {
						assert.Assert(t, wrong != nil, "the check found nothing")
					} else {
						assert.NilError(t, wrong)
					}
				})
			})
		}
	}
}
