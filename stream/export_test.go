package stream

import (
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
)

// DisableLayerCheck makes a runner accept any layer ranges. Tests use it to show
// that the check of invariant I1 is what refuses them.
func (r *Runner) DisableLayerCheck() { r.coversLayers = func([][2]int, int) bool { return true } }

// DisableFrameCheck makes a runner accept frames of other requests and attempts.
// Tests use it to show that the check of invariant I2 is what drops them.
func (r *Runner) DisableFrameCheck() {
	r.isCurrent = func(*acceptor, *engine.Frame) bool { return true }
}

// SetMaxSilence sets the longest time without a token.
func (r *Runner) SetMaxSilence(d time.Duration) { r.maxSilence = d }
