package stream

import (
	"errors"
	"fmt"
	"maps"
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/route"
)

// prepareSuccessor starts a run on another route in the background, if there is a
// route, an attempt and a retry for it. A request that is repeated alone runs on one
// route at a time. The caller holds w.mu.
func (w *watchdog) prepareSuccessor() {
	if w.alone && len(w.tokens) < answeredTokens {
		return
	}
	st, c := w.st, w.constraints.clone()
	c.AcceptedTokens, c.Version = len(w.tokens), ""
	if c.AcceptedTokens > 0 {
		c.Version = w.run.route.Version
	}
	rt, err := st.runner.cfg.Choose(st.req, c)
	if err != nil || !rt.CoversLayers(st.req.Layers) || slices.Equal(rt.Stages, w.run.route.Stages) {
		return
	}
	if w.lastNumber >= maxAttempts || !st.runner.takeRetry() {
		return
	}
	w.lastNumber++
	countRecovery("silent")
	next := st.startRun(w.ctx, w.lastNumber, rt)
	w.preparing, w.cancelNext = make(chan struct{}), next.cancel
	go w.completeSuccessor(next, w.tokens)
}

// completeSuccessor waits for the first token of a successor. The successor takes
// over unless the run has delivered a token meanwhile.
func (w *watchdog) completeSuccessor(next *run, accepted []string) {
	err := w.st.firstToken(next, w.run.route, accepted)
	late := errors.Is(err, errLateSuccessor)
	var silent map[string]bool
	if late {
		p := w.st.probe(w.ctx, next.route.Stages, maxProbe)
		silent = p.silent
		maps.Copy(silent, p.gone)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	close(w.preparing)
	w.preparing, w.cancelNext = nil, nil
	if err == nil && !w.abandoned && len(w.tokens) == len(accepted) {
		w.next, w.nextAt, w.stopped = next, len(accepted), true
		w.run.cancel()
		return
	}
	cancelled := next.ctx.Err() != nil
	w.st.drop(next, w.run.route)
	w.fenced = w.fenced || slices.ContainsFunc(next.route.Stages, func(s route.Stage) bool { return w.run.route.Contains(s.Name) })
	switch {
	case w.ctx.Err() != nil || len(w.tokens) != len(accepted):
	case late:
		w.avoid(next.route, silent)
	case !cancelled:
		w.blame(next, err)
	}
}

// blame makes later successors avoid the stage on which one failed. The caller holds
// w.mu.
func (w *watchdog) blame(next *run, err error) {
	s, refused := next.route.Stages[0], fault.CodeOf(err) == fault.Leaving
	var se *engine.StageError
	var re *layerRangeError
	switch {
	case errors.As(err, &se):
		s, refused = stageAt(next.route, se.Failed), se.Reason == engine.ReasonLeaving
	case errors.As(err, &re):
		s = re.wrongStage(next.route)
	}
	w.constraints.exclude(s.Name)
	if refused || re != nil {
		w.unusable[s.Name] = true
	}
	fb := w.st.runner.cfg.Feedback
	if refused {
		notify(fb.ServerLeaving, s.Name)
	} else if se == nil || se.Reason == "" {
		notify(fb.ServerFailed, s.Name)
	}
}

// firstToken sends the job of a successor of a run on route old and reads its frames
// up to that of the first token, which it puts back. It fails when that takes longer
// than the first token of a run may take.
func (st *requestState) firstToken(next *run, old route.Route, accepted []string) error {
	late := time.AfterFunc(st.firstTimeout(next.route, len(accepted)), next.cancel)
	err := st.readFirst(next, old, accepted)
	if !late.Stop() {
		return errors.Join(errLateSuccessor, err)
	}
	return err
}

// readFirst is firstToken without a bound on its time.
func (st *requestState) readFirst(next *run, old route.Route, accepted []string) error {
	st.importCaches(next.ctx, cacheMove{from: old, to: next.route, number: next.number, tokens: len(accepted)})
	if err := st.generate(next, accepted); err != nil {
		return err
	}
	frames := *next.frames
	var read []engine.Frame
	for {
		var f engine.Frame
		if err := frames.Next(&f); err != nil {
			return fmt.Errorf("first token of attempt %d: %w", next.number, err)
		}
		if read = append(read, f); len(read) > reorderWindow {
			return fmt.Errorf("%d frames without the token at position %d", len(read), len(accepted))
		}
		if f.Tag == st.acceptor.tag && f.Attempt == next.number && f.Position == len(accepted) {
			if f.Stop == "" && !st.runner.coversLayers(f.Ranges, st.req.Layers) {
				return &layerRangeError{position: f.Position, ranges: f.Ranges, layers: st.req.Layers}
			}
			break
		}
	}
	next.frames.Next = func(f *engine.Frame) error {
		if len(read) == 0 {
			return frames.Next(f)
		}
		*f, read = read[0], read[1:]
		return nil
	}
	next.frames.Buffered = func() bool { return len(read) > 0 || frames.Buffered != nil && frames.Buffered() }
	return nil
}

var errLateSuccessor = errors.New("the first token of the successor is late")

// drop ends a successor that does not take over and releases its stages, except
// those that the route kept shares with it.
func (st *requestState) drop(next *run, kept route.Route) {
	st.endRun(next)
	var gone []string
	for _, s := range next.route.Stages {
		if !kept.Contains(s.Name) {
			gone = append(gone, s.Address)
		}
	}
	st.release(gone, next.number)
}

// takeOver makes a successor the current run.
func (st *requestState) takeOver(next *run, w *watchdog) {
	old := st.route
	st.route, st.constraints = next.route, w.constraints
	st.stageTimes, st.linkTimes = st.stageTimes[:0], st.linkTimes[:0]
	st.acceptor.beginAttempt(next.number)
	st.releaseReplaced(old)
}
