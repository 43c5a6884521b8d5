package stream

import (
	"fmt"
	"slices"

	"github.com/cranberrybay/cranberrybay/engine"
)

// window bounds the frames that are held until their predecessors arrive.
const window = 64

// acceptor decides which tokens are delivered.
type acceptor struct {
	runner  *Runner
	layers  int
	tag     uint32
	attempt int
	tokens  []string
	stop    string
	sink    Sink
	early   map[int]engine.Frame // frames of the current attempt ahead of their turn
}

// sinkError is a failure to deliver a token to the caller.
type sinkError struct{ err error }

func (e sinkError) Error() string { return "deliver token: " + e.err.Error() }

func (e sinkError) Unwrap() error { return e.err }

// rangeError is a frame whose layer ranges do not tile the model.
type rangeError struct {
	position int
	ranges   [][2]int
	layers   int
}

func (e *rangeError) Error() string {
	return fmt.Sprintf("token at position %d passed ranges %v, want layers 0 to %d once, in order", e.position, e.ranges, e.layers)
}

// begin fences earlier attempts.
func (a *acceptor) begin(attempt int) {
	a.attempt = attempt
	clear(a.early)
}

// owns tells whether a frame belongs to the current attempt of this request,
// and counts the others.
func owns(a *acceptor, f *engine.Frame) bool {
	if f.Tag != a.tag {
		countCrossed.Inc()
		return false
	}
	if f.Attempt != a.attempt {
		countLate.Inc()
		return false
	}
	return true
}

// take accepts one frame. It returns how many tokens were delivered and
// whether the answer is complete. It may keep f's content, not f.
func (a *acceptor) take(f *engine.Frame) (delivered int, done bool, err error) {
	next := len(a.tokens)
	switch {
	case !a.runner.owns(a, f):
		return 0, false, nil
	case f.Position < next:
		countDuplicate.Inc()
		return 0, false, nil
	case f.Position > next:
		return 0, false, a.hold(f)
	}
	for {
		done, err = a.deliver(f)
		if err != nil || done {
			return len(a.tokens) - next, done, err
		}
		if f = a.turn(); f == nil {
			return len(a.tokens) - next, false, nil
		}
	}
}

// turn returns the held frame whose turn has come, or nil.
func (a *acceptor) turn() *engine.Frame {
	if len(a.early) == 0 {
		return nil
	}
	f, ok := a.early[len(a.tokens)]
	if !ok {
		return nil
	}
	delete(a.early, len(a.tokens))
	return &f
}

// hold keeps a frame that came ahead of its turn.
func (a *acceptor) hold(f *engine.Frame) error {
	if f.Position-len(a.tokens) > window {
		return fmt.Errorf("token at position %d, want %d", f.Position, len(a.tokens))
	}
	if _, ok := a.early[f.Position]; ok {
		countDuplicate.Inc()
		return nil
	}
	if a.early == nil {
		a.early = map[int]engine.Frame{}
	}
	c := *f
	c.Ranges = slices.Clone(f.Ranges)
	c.Took, c.Hops = nil, nil
	a.early[f.Position] = c
	countEarly.Inc()
	return nil
}

// deliver passes the frame at the next position on.
func (a *acceptor) deliver(f *engine.Frame) (done bool, err error) {
	if f.Stop != "" {
		a.stop = f.Stop
		return true, nil
	}
	if !a.runner.tiles(f.Ranges, a.layers) {
		countRefused.Inc()
		return false, &rangeError{position: f.Position, ranges: slices.Clone(f.Ranges), layers: a.layers}
	}
	if err := a.sink.Token(f.Token); err != nil {
		return false, sinkError{err}
	}
	a.tokens = append(a.tokens, f.Token)
	return false, nil
}

// tiles tells whether ranges cover layers 0 to n-1 once, in order.
func tiles(ranges [][2]int, n int) bool {
	next := 0
	for _, r := range ranges {
		if r[0] != next || r[1] <= r[0] {
			return false
		}
		next = r[1]
	}
	return next == n
}
