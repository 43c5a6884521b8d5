package stream

import (
	"fmt"
	"slices"

	"github.com/cranberrybay/cranberrybay/engine"
)

// reorderWindow bounds how many positions a frame may be ahead of the next one. Such
// frames are held until their predecessors arrive.
const reorderWindow = 64

// acceptor delivers the tokens of a request from the frames of its attempts.
type acceptor struct {
	runner  *Runner
	layers  int
	tag     uint32   // identifies the request in frames
	attempt int      // current attempt
	tokens  []string // tokens delivered
	stop    string
	sink    Sink
	held    map[int]engine.Frame // frames of the current attempt whose predecessors are missing, by position
}

// sinkError reports that a token could not be delivered to the caller.
type sinkError struct{ err error }

func (e sinkError) Error() string { return "deliver token: " + e.err.Error() }

func (e sinkError) Unwrap() error { return e.err }

// layerRangeError reports a frame whose layer ranges do not cover each layer once,
// in order.
type layerRangeError struct {
	position int
	ranges   [][2]int
	layers   int
}

func (e *layerRangeError) Error() string {
	return fmt.Sprintf("token at position %d passed ranges %v, want layers 0 to %d once, in order", e.position, e.ranges, e.layers)
}

// beginAttempt begins an attempt. Frames of earlier attempts are dropped from now on.
func (a *acceptor) beginAttempt(attempt int) {
	a.attempt = attempt
	clear(a.held)
}

// isCurrent tells whether a frame belongs to the current attempt of the request. It
// counts the frames that do not.
func isCurrent(a *acceptor, f *engine.Frame) bool {
	if f.Tag != a.tag {
		countForeignFrames.Inc()
		return false
	}
	if f.Attempt != a.attempt {
		countStaleFrames.Inc()
		return false
	}
	return true
}

// accept processes one frame. It returns how many tokens were delivered and whether
// the answer is complete. It does not retain f, but may retain its content.
func (a *acceptor) accept(f *engine.Frame) (delivered int, done bool, err error) {
	next := len(a.tokens)
	switch {
	case !a.runner.isCurrent(a, f):
		return 0, false, nil
	case f.Position < next:
		countDuplicateFrames.Inc()
		return 0, false, nil
	case f.Position > next:
		return 0, false, a.holdEarly(f)
	}
	for {
		done, err = a.deliver(f)
		if err != nil || done {
			return len(a.tokens) - next, done, err
		}
		if f = a.nextHeld(); f == nil {
			return len(a.tokens) - next, false, nil
		}
	}
}

// nextHeld removes and returns the held frame of the next position, or returns nil.
func (a *acceptor) nextHeld() *engine.Frame {
	if len(a.held) == 0 {
		return nil
	}
	f, ok := a.held[len(a.tokens)]
	if !ok {
		return nil
	}
	delete(a.held, len(a.tokens))
	return &f
}

// holdEarly holds a frame whose predecessors have not arrived.
func (a *acceptor) holdEarly(f *engine.Frame) error {
	if f.Position-len(a.tokens) > reorderWindow {
		return fmt.Errorf("token at position %d, want %d", f.Position, len(a.tokens))
	}
	if _, ok := a.held[f.Position]; ok {
		countDuplicateFrames.Inc()
		return nil
	}
	if a.held == nil {
		a.held = map[int]engine.Frame{}
	}
	c := *f
	c.Ranges = slices.Clone(f.Ranges)
	c.Took, c.Hops = nil, nil
	a.held[f.Position] = c
	countHeldFrames.Inc()
	return nil
}

// deliver delivers the token of the frame at the next position, or ends the answer
// with its stop reason.
func (a *acceptor) deliver(f *engine.Frame) (done bool, err error) {
	if f.Stop != "" {
		a.stop = f.Stop
		return true, nil
	}
	if !a.runner.coversLayers(f.Ranges, a.layers) {
		countRefusedFrames.Inc()
		return false, &layerRangeError{position: f.Position, ranges: slices.Clone(f.Ranges), layers: a.layers}
	}
	if err := a.sink.Token(f.Token); err != nil {
		return false, sinkError{err}
	}
	a.tokens = append(a.tokens, f.Token)
	return false, nil
}

// coversLayers tells whether ranges cover the layers 0 to n-1 once, in order.
func coversLayers(ranges [][2]int, n int) bool {
	next := 0
	for _, r := range ranges {
		if r[0] != next || r[1] <= r[0] {
			return false
		}
		next = r[1]
	}
	return next == n
}
