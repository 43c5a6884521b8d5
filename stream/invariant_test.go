package stream_test

import (
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
)

// TestInvariantChecksDetectFaults shows that the other tests can fail: without one
// of the checks of the runner, callers receive a wrong answer.
func TestInvariantChecksDetectFaults(t *testing.T) {
	for _, c := range []struct {
		name    string
		fault   fakes.EngineFaults
		disable func(tc *testCluster)
	}{
		{"I1 skipped layer", fakes.EngineFaults{SkipLastLayer: true}, func(tc *testCluster) { tc.runner.DisableLayerCheck() }},
		{"I1 doubled layer", fakes.EngineFaults{RepeatLastLayer: true}, func(tc *testCluster) { tc.runner.DisableLayerCheck() }},
		{"I2 crossed frames", fakes.EngineFaults{ForeignFrames: true}, func(tc *testCluster) { tc.runner.DisableFrameCheck() }},
	} {
		for _, broken := range []bool{false, true} {
			t.Run(c.name, func(t *testing.T) {
				withCluster(t, 2, nil, func(t *testing.T, tc *testCluster) {
					if broken {
						c.disable(tc)
					}
					for _, n := range []string{"e0-0", "e0-1"} {
						if c.fault.ForeignFrames || n == "e0-0" {
							tc.setFaults(n, c.fault)
						}
					}
					var wrong error
					for i := range 6 {
						a := tc.request(t.Context(), i, "the tube flickers", nil)
						if !broken {
							assert.NilError(t, a.err)
						}
						if err := a.check(); err != nil {
							wrong = err
						}
					}
					if broken {
						assert.Assert(t, wrong != nil, "the answers are correct without the check")
					} else {
						assert.NilError(t, wrong)
					}
				})
			})
		}
	}
}
