package stream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
)

var (
	errNoStopReason = errors.New("answer ended without a stop reason")
	errSlowRoute    = errors.New("the route slowed down and a better one exists")
)

// runAttempt runs a job on the current route until the answer is complete. After a
// failure the constraints for the next route are set.
func (st *requestState) runAttempt(ctx context.Context) error {
	rt, fb := st.route, &st.runner.cfg.Feedback
	notify(fb.AttemptBegan, rt)
	defer func() { notify(fb.AttemptEnded, rt) }()
	notify(st.acceptor.sink.Route, rt)
	j := engine.Job{
		Request: st.req.ID, Tag: st.acceptor.tag, Attempt: st.attemptNumber, Model: st.req.Model, Version: rt.Version,
		Prompt: st.req.Prompt, Accepted: st.acceptor.tokens, Limit: st.req.Limit, Priority: st.req.Priority,
		Route: make([]engine.Stage, len(rt.Stages)),
	}
	for i, s := range rt.Stages {
		j.Route[i] = engine.Stage{Address: s.Address, First: s.First, Last: s.Last}
		st.mayHoldState[s.Address] = true
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWatchdog(attemptCtx, cancel, st)
	defer w.stop()
	frames, err := st.runner.cfg.Generate(attemptCtx, j)
	if err == nil {
		err = st.readFrames(frames, w)
		frames.Close()
	}
	if err == nil {
		return nil
	}
	w.stop()
	var se sinkError
	if ctx.Err() != nil || errors.As(err, &se) {
		return err
	}
	st.failedAt = w.lastProgress
	st.diagnose(ctx, err, w)
	st.keepValidStages()
	return fmt.Errorf("attempt %d: %w", st.attemptNumber, err)
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

// recordProgress records n accepted tokens: it restarts the token timeout, passes on
// the measurements in the frame and exports a checkpoint when one is due.
func (st *requestState) recordProgress(f *engine.Frame, n int, w *watchdog) {
	first := w.progress(n)
	if first {
		if st.attemptNumber == 1 {
			st.promptTokens, st.cachedTokens = f.Prompt, f.Cached
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
				st.prefillPerToken = took / time.Duration(n)
				fb.PrefillTime(s, st.prefillPerToken)
			}
		} else if fb.TokenTime != nil {
			fb.TokenTime(s, took)
		}
		if i > 0 && fb.LinkTime != nil {
			fb.LinkTime(st.route.Stages[i-1], s, time.Duration(f.Hops[i-1])*time.Microsecond)
		}
	}
}

// watchdog ends an attempt that makes no progress. Only the goroutine that reads
// the frames uses pace and lastProgress; mu guards the fields below it.
type watchdog struct {
	st                 *requestState
	ctx                context.Context
	cancel             context.CancelFunc
	pace               *pace
	lastProgress       time.Time
	firstTokenDeadline time.Time // zero for none, or when the token was delivered in an earlier attempt

	mu               sync.Mutex
	timer            *time.Timer
	tokenTimeout     time.Duration
	accepted         int // tokens accepted in this attempt
	answeredTimeouts int // token timeouts in a row after which every stage answered a probe
	stopped          bool
	timedOut         bool            // the watchdog ended the attempt
	unresponsive     map[string]bool // names of the stages that did not answer the last probe
}

// newWatchdog starts a watchdog for the current attempt. Its first token timeout
// includes an estimate of the prefill.
func newWatchdog(ctx context.Context, cancel context.CancelFunc, st *requestState) *watchdog {
	w := &watchdog{st: st, ctx: ctx, cancel: cancel, pace: newPace(st.route.Step), lastProgress: time.Now()}
	if len(st.acceptor.tokens) == 0 {
		w.firstTokenDeadline = st.req.FirstTokenDeadline
	}
	prefill := time.Duration(len(st.req.Prompt)/4+len(st.acceptor.tokens)) * defaultPrefillPerToken
	w.tokenTimeout = clamp(w.pace.tokenTimeout()+prefill, initialTokenTimeout, 2*maxTokenTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.nextCheck(), w.onTokenTimeout)
	return w
}

// nextCheck returns the time until onTokenTimeout runs next: the token timeout, or
// the rest of the time for the first token if that is shorter. The caller holds
// w.mu.
func (w *watchdog) nextCheck() time.Duration {
	if w.accepted == 0 && !w.firstTokenDeadline.IsZero() {
		return max(0, min(w.tokenTimeout, time.Until(w.firstTokenDeadline)))
	}
	return w.tokenTimeout
}

// progress records n accepted tokens and returns whether they are the first of the
// attempt.
func (w *watchdog) progress(n int) bool {
	now := time.Now()
	interval := now.Sub(w.lastProgress)
	w.lastProgress = now
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.accepted == 0
	if !first {
		w.pace.addInterval(interval)
	}
	w.accepted += n
	w.answeredTimeouts = 0
	w.tokenTimeout = w.pace.tokenTimeout()
	if !w.stopped {
		w.timer.Reset(w.tokenTimeout)
	}
	return first
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// maxAnsweredTimeouts is the number of token timeouts in a row that end an attempt
// although all stages answer probes: a link between two of them may be cut.
const maxAnsweredTimeouts = 2

// onTokenTimeout runs when no token has arrived within the token timeout. It probes
// the stages and ends the attempt when one does not answer, when
// maxAnsweredTimeouts is reached or when the first token is late. A request that
// waits in the queue of a stage does not count as silent.
func (w *watchdog) onTokenTimeout() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	accepted, stages, tokenTimeout := w.accepted, w.st.route.Stages, w.tokenTimeout
	late := accepted == 0 && !w.firstTokenDeadline.IsZero() && !time.Now().Before(w.firstTokenDeadline)
	w.mu.Unlock()
	countTokenTimeouts.Inc()
	unresponsive, waiting := w.st.probe(w.ctx, stages, tokenTimeout)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.accepted != accepted {
		return
	}
	queued := accepted == 0 && waiting && len(unresponsive) == 0
	if !queued {
		w.answeredTimeouts++
	}
	if !late && len(unresponsive) == 0 && w.answeredTimeouts < maxAnsweredTimeouts {
		w.timer.Reset(w.nextCheck())
		return
	}
	w.timedOut, w.unresponsive = true, unresponsive
	w.cancel()
}
