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
	errShort = errors.New("answer ended without a stop reason")
	errSlow  = errors.New("the route slowed down and a better one exists")
)

// attempt runs the current route. After an error, the run knows what to
// avoid.
func (u *run) attempt(ctx context.Context) error {
	rt, fb := u.rt, &u.r.cfg.Feedback
	call(fb.Began, rt)
	defer func() { call(fb.Ended, rt) }()
	call(u.accept.sink.Route, rt)
	j := engine.Job{
		Request: u.rq.ID, Tag: u.accept.tag, Attempt: u.number, Model: u.rq.Model, Version: rt.Version,
		Prompt: u.rq.Prompt, Accepted: u.accept.tokens, Limit: u.rq.Limit, Priority: u.rq.Priority,
		Route: make([]engine.Stage, len(rt.Stages)),
	}
	for i, s := range rt.Stages {
		j.Route[i] = engine.Stage{Address: s.Address, First: s.First, Last: s.Last}
		u.used[s.Address] = true
	}
	attemptCtx, cancel := context.WithCancel(ctx)
	defer cancel()
	w := newWatchdog(attemptCtx, cancel, u)
	defer w.stop()
	ans, err := u.r.cfg.Generate(attemptCtx, j)
	if err == nil {
		err = u.read(ans, w)
		ans.Close()
	}
	if err == nil {
		return nil
	}
	w.stop()
	var se sinkError
	if ctx.Err() != nil || errors.As(err, &se) {
		return err
	}
	u.broke = w.last
	u.blame(ctx, err, w)
	u.keep()
	return fmt.Errorf("attempt %d: %w", u.number, err)
}

func call[T any](f func(T), v T) {
	if f != nil {
		f(v)
	}
}

// read takes frames until the answer is complete.
func (u *run) read(ans *Answer, w *watchdog) error {
	var f engine.Frame
	dirty := false
	for {
		err := ans.Next(&f)
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the engine ended early", Cause: errShort})
			}
			return err
		}
		n, done, err := u.accept.take(&f)
		if n > 0 {
			dirty = true
			u.progress(&f, n, w)
		}
		// Tokens that have arrived together go out in one write.
		if dirty && (done || err != nil || ans.More == nil || !ans.More()) && u.accept.sink.Flush != nil {
			dirty = false
			if ferr := u.accept.sink.Flush(); ferr != nil {
				return sinkError{ferr}
			}
		}
		if err != nil {
			return err
		}
		if done {
			u.ended(f.Loads)
			return nil
		}
		if n > 0 && w.pace.slow(w.last) && u.move(w) {
			return errSlow
		}
	}
}

// ended notes the end of a whole answer. The first stage has released the
// others and lists their loads; one that is not listed may still hold a slot.
func (u *run) ended(loads []engine.LoadReport) {
	for _, l := range loads {
		delete(u.used, l.Address)
		call(u.r.cfg.Feedback.Reported, l)
	}
}

// progress measures the pace, resets the deadline for silence and passes on
// what a frame says about the stages.
func (u *run) progress(f *engine.Frame, n int, w *watchdog) {
	first := w.progress(n)
	if first {
		if u.number == 1 {
			u.prompt, u.cached = f.Prompt, f.Cached
		} else if !u.broke.IsZero() {
			recoveryTime.Update(w.last.Sub(u.broke).Seconds())
		}
	}
	if len(f.Took) == len(u.rt.Stages) && len(f.Hops) == len(f.Took)-1 {
		u.measured(f, first)
	}
	if c := u.r.cfg.Checkpoint; c > 0 && len(u.accept.tokens)%c == 0 {
		u.checkpoint()
	}
}

// measured passes on the times of stages and links in a frame.
func (u *run) measured(f *engine.Frame, first bool) {
	fb := &u.r.cfg.Feedback
	u.took, u.hops = append(u.took[:0], f.Took...), append(u.hops[:0], f.Hops...)
	for i, s := range u.rt.Stages {
		took := time.Duration(f.Took[i]) * time.Microsecond
		if first {
			call(fb.Worked, s.Name)
			if n := f.Prompt + len(u.accept.tokens) - 1 - f.Cached; n > 1 && fb.Prefill != nil {
				u.fill = took / time.Duration(n)
				fb.Prefill(s, u.fill)
			}
		} else if fb.Token != nil {
			fb.Token(s, took)
		}
		if i > 0 && fb.Hop != nil {
			fb.Hop(u.rt.Stages[i-1], s, time.Duration(f.Hops[i-1])*time.Microsecond)
		}
	}
}

// watchdog ends an attempt that makes no progress. Its lock guards all fields
// but pace and last, which belong to the reader.
type watchdog struct {
	u       *run
	ctx     context.Context
	cancel  context.CancelFunc
	pace    *pace
	last    time.Time // last progress
	firstBy time.Time // deadline of the first token, zero for none or when it was delivered

	mu      sync.Mutex
	timer   *time.Timer
	silence time.Duration
	seq     int // counts progress
	strikes int // silences in which every stage answered a probe
	stopped bool
	fired   bool            // the attempt was ended for silence
	silent  map[string]bool // names of stages that did not answer
}

func newWatchdog(ctx context.Context, cancel context.CancelFunc, u *run) *watchdog {
	w := &watchdog{u: u, ctx: ctx, cancel: cancel, pace: newPace(u.rt.Step), last: time.Now()}
	if len(u.accept.tokens) == 0 {
		w.firstBy = u.rq.FirstBy
	}
	fill := time.Duration(len(u.rq.Prompt)/4+len(u.accept.tokens)) * defaultFill
	w.silence = clamp(w.pace.silence()+fill, firstSilence, 2*maxSilence)
	w.mu.Lock()
	defer w.mu.Unlock()
	w.timer = time.AfterFunc(w.next(), w.fire)
	return w
}

// next returns the time until the next look: the silence allowed, or the
// deadline of the first token. The caller holds w.mu.
func (w *watchdog) next() time.Duration {
	if w.seq == 0 && !w.firstBy.IsZero() {
		return max(0, min(w.silence, time.Until(w.firstBy)))
	}
	return w.silence
}

// progress notes n accepted tokens and tells whether they are the first of
// the attempt.
func (w *watchdog) progress(n int) bool {
	now := time.Now()
	gap := now.Sub(w.last)
	w.last = now
	w.mu.Lock()
	defer w.mu.Unlock()
	first := w.seq == 0
	if !first {
		w.pace.note(gap)
	}
	w.seq += n
	w.strikes = 0
	w.silence = w.pace.silence()
	if !w.stopped {
		w.timer.Reset(w.silence)
	}
	return first
}

func (w *watchdog) stop() {
	w.mu.Lock()
	defer w.mu.Unlock()
	w.stopped = true
	w.timer.Stop()
}

// maxStrikes is the number of silences that a route survives while all its
// stages answer probes; the link between two of them may be cut.
const maxStrikes = 2

// fire runs when no token came for the silence allowed.
func (w *watchdog) fire() {
	w.mu.Lock()
	if w.stopped {
		w.mu.Unlock()
		return
	}
	seq, stages, silence := w.seq, w.u.rt.Stages, w.silence
	late := seq == 0 && !w.firstBy.IsZero() && !time.Now().Before(w.firstBy)
	w.mu.Unlock()
	countSilences.Inc()
	silent, waiting := w.u.probe(w.ctx, stages, silence)
	w.mu.Lock()
	defer w.mu.Unlock()
	if w.stopped || w.seq != seq {
		return
	}
	queued := seq == 0 && waiting && len(silent) == 0
	if !queued {
		w.strikes++
	}
	if !late && len(silent) == 0 && w.strikes < maxStrikes {
		w.timer.Reset(w.next())
		return
	}
	w.fired, w.silent = true, silent
	w.cancel()
}
