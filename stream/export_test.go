package stream

import "github.com/cranberrybay/cranberrybay/engine"

// BreakTiles makes a runner accept any layer ranges, to show that the check
// of invariant I1 is what refuses them.
func (r *Runner) BreakTiles() { r.tiles = func([][2]int, int) bool { return true } }

// BreakOwns makes a runner accept frames of other requests and attempts, to
// show that the check of invariant I2 is what drops them.
func (r *Runner) BreakOwns() { r.owns = func(*acceptor, *engine.Frame) bool { return true } }
