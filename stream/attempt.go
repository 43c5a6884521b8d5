package stream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"maps"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/route"
)

var (
	errNoStopReason = errors.New("answer ended without a stop reason")
	errSlowRoute    = errors.New("the route slowed down and a better one exists")
)

// run is one attempt on a route, from its start until it ends or another run takes
// over.
type run struct {
	number int
	route  route.Route
	ctx    context.Context
	cancel context.CancelFunc
	frames *FrameStream // nil until the first stage has answered
}

// startRun begins a run without sending it.
func (st *requestState) startRun(ctx context.Context, number int, rt route.Route) *run {
	r := &run{number: number, route: rt}
	r.ctx, r.cancel = context.WithCancel(ctx)
	st.mu.Lock()
	for _, s := range rt.Stages {
		st.stages[s.Name] = s
	}
	st.mu.Unlock()
	notify(st.runner.cfg.Feedback.AttemptBegan, rt)
	return r
}

// endRun ends the exchange of a run with its first stage.
func (st *requestState) endRun(r *run) {
	r.cancel()
	if r.frames != nil {
		r.frames.Close()
	}
	notify(st.runner.cfg.Feedback.AttemptEnded, r.route)
}

// generate sends the job of a run, which resumes after the accepted tokens.
func (st *requestState) generate(r *run, accepted []string) (err error) {
	j := engine.Job{
		Request: st.req.ID, Tag: st.acceptor.tag, Attempt: r.number, Model: st.req.Model, Version: r.route.Version,
		Prompt: st.req.Prompt, Accepted: accepted, Limit: st.req.Limit, Priority: st.req.Priority,
		Route: make([]engine.Stage, len(r.route.Stages)),
	}
	for i, s := range r.route.Stages {
		j.Route[i] = engine.Stage{Address: s.Address, First: s.First, Last: s.Last}
	}
	r.frames, err = st.runner.cfg.Generate(r.ctx, j)
	return err
}

// runAttempt runs a job on the current route, and on those that take over from it,
// until the answer is complete. After a failure the constraints for the next route
// are set.
func (st *requestState) runAttempt(ctx context.Context) error {
	r := st.startRun(ctx, st.attemptNumber, st.route)
	for {
		w, err := st.readRun(ctx, r)
		st.endRun(r)
		var se sinkError
		if err == nil || ctx.Err() != nil || errors.As(err, &se) {
			w.abandon()
			st.attemptNumber = w.lastNumber
			return err
		}
		next := w.awaitSuccessor()
		st.attemptNumber = w.lastNumber
		st.failedAt = w.lastProgress
		maps.Copy(st.permanent, w.unusable)
		if next == nil {
			if !errors.Is(err, errSlowRoute) {
				st.constraints = w.constraints
			}
			st.overdue = w.overdue
			st.diagnose(ctx, err, w)
			st.keepValidStages()
			return fmt.Errorf("attempt %d: %w", r.number, err)
		}
		st.takeOver(next, w)
		r = next
	}
}

// readRun reads the frames of a run until it ends.
func (st *requestState) readRun(ctx context.Context, r *run) (*watchdog, error) {
	notify(st.acceptor.sink.Route, r.route)
	for _, s := range r.route.Stages {
		st.mayHoldState[s.Address] = true
	}
	w := newWatchdog(ctx, st, r)
	defer w.stop()
	if r.frames == nil {
		if err := st.generate(r, st.acceptor.tokens); err != nil {
			return w, err
		}
	}
	return w, st.readFrames(r.frames, w)
}

// notify calls f unless it is nil.
func notify[T any](f func(T), v T) {
	if f != nil {
		f(v)
	}
}

// readFrames reads frames until the answer is complete.
func (st *requestState) readFrames(frames *FrameStream, w *watchdog) error {
	var f engine.Frame
	unflushed := false
	for {
		err := frames.Next(&f)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the engine ended early", Cause: errNoStopReason})
			}
			return err
		}
		n, done, err := st.acceptor.accept(&f)
		if n > 0 {
			unflushed = true
			st.recordProgress(&f, n, w)
		}
		// Tokens that have arrived together are flushed together.
		if unflushed && (done || err != nil || frames.Buffered == nil || !frames.Buffered()) && st.acceptor.sink.Flush != nil {
			unflushed = false
			if ferr := st.acceptor.sink.Flush(); ferr != nil {
				return sinkError{ferr}
			}
		}
		if err != nil {
			return err
		}
		if done {
			st.suspicion.RecordAnswered()
			st.recordEnd(f.Loads)
			return nil
		}
		if n > 0 && w.pace.slow(w.lastProgress) && st.shouldReroute(w) {
			return errSlowRoute
		}
	}
}

// recordEnd records the end of a complete answer. The first stage has released the
// other stages and lists their loads; a stage that is not listed may still hold a
// slot.
func (st *requestState) recordEnd(loads []engine.LoadReport) {
	for _, l := range loads {
		delete(st.mayHoldState, l.Address)
		notify(st.runner.cfg.Feedback.LoadReported, l)
	}
}

// answeredTokens is the number of tokens after which the stages have shown that they
// can answer the request: they computed one and lived to compute another.
const answeredTokens = 2

// recordProgress records n accepted tokens: it restarts the token timeout, passes on
// the measurements in the frame and exports a checkpoint when one is due.
func (st *requestState) recordProgress(f *engine.Frame, n int, w *watchdog) {
	first := w.progress(n)
	if len(st.acceptor.tokens) >= answeredTokens {
		st.suspicion.RecordAnswered()
	}
	if first {
		if w.run.number == 1 {
			st.mu.Lock()
			st.promptTokens, st.cachedTokens = f.Prompt, f.Cached
			st.mu.Unlock()
		} else if !st.failedAt.IsZero() {
			recoveryTime.Update(w.lastProgress.Sub(st.failedAt).Seconds())
		}
	}
	if len(f.Took) == len(st.route.Stages) && len(f.Hops) == len(f.Took)-1 {
		st.recordTimes(f, first)
	}
	if c := st.runner.cfg.CheckpointInterval; c > 0 && len(st.acceptor.tokens)%c == 0 {
		st.exportCheckpoint()
	}
}

// recordTimes records the times of stages and links in a frame and passes them on.
func (st *requestState) recordTimes(f *engine.Frame, first bool) {
	fb := &st.runner.cfg.Feedback
	st.stageTimes, st.linkTimes = append(st.stageTimes[:0], f.Took...), append(st.linkTimes[:0], f.Hops...)
	for i, s := range st.route.Stages {
		took := time.Duration(f.Took[i]) * time.Microsecond
		if first {
			notify(fb.ServerWorked, s.Name)
			if n := f.Prompt + len(st.acceptor.tokens) - 1 - f.Cached; n > 1 && fb.PrefillTime != nil {
				st.mu.Lock()
				st.prefillPerToken = took / time.Duration(n)
				st.mu.Unlock()
				fb.PrefillTime(s, took/time.Duration(n))
			}
		} else if fb.TokenTime != nil {
			fb.TokenTime(s, took)
		}
		if i > 0 && fb.LinkTime != nil {
			fb.LinkTime(st.route.Stages[i-1], s, time.Duration(f.Hops[i-1])*time.Microsecond)
		}
	}
}
