package relay

import (
	"context"
	"errors"
	"sync"
	"sync/atomic"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/label"
)

// Stop holds the last moments of a process that stops.
type Stop struct {
	SendBy   time.Time // a request that has not run on any server is sent to one until then
	AnswerBy time.Time // requests without an answer get their last one then
}

// Allows reports whether a request may be sent to a server at a moment, if the answer takes about answer.
// sent means that a server has it or may have run it, so that no other process can take it instead. A nil
// Stop allows everything.
func (s *Stop) Allows(at time.Time, sent bool, answer time.Duration) bool {
	if s == nil {
		return true
	}
	return !at.Add(answer).After(s.AnswerBy) && (sent || !at.After(s.SendBy))
}

// latest returns the last moment that Allows allows, or the zero time if there is none.
func (s *Stop) latest(sent bool, answer time.Duration) time.Time {
	if s == nil {
		return time.Time{}
	}
	latest := s.AnswerBy.Add(-answer)
	if !sent && s.SendBy.Before(latest) {
		latest = s.SendBy
	}
	return latest
}

const (
	// leavingRetryAfter is the retry time given to callers for what only this process can't do, as it stops:
	// another process takes the request at once.
	leavingRetryAfter = 100 * time.Millisecond

	reasonStops = "this process stops"
)

var errStops = errors.New(reasonStops)

// waits ends the waits of all requests early when the process stops, and has them checked again after
// other changes.
type waits struct {
	mu    sync.Mutex // held by change
	state atomic.Pointer[waitState]

	ending context.Context // ends at AnswerBy of the stop
	end    context.CancelFunc
}

// waitState is the state of a process between two changes.
type waitState struct {
	stop    *Stop         // nil if the process does not stop
	changed chan struct{} // closed at the next change
}

func (w *waits) init() {
	w.state.Store(&waitState{changed: make(chan struct{})})
	w.ending, w.end = context.WithCancel(context.Background())
}

// change notifies all waits. A stop that is not nil begins, unless one has begun.
func (w *waits) change(stop *Stop) {
	w.mu.Lock()
	defer w.mu.Unlock()
	old := w.state.Load()
	if old.stop != nil {
		stop = old.stop
	} else if stop != nil {
		time.AfterFunc(time.Until(stop.AnswerBy), w.end)
	}
	w.state.Store(&waitState{stop: stop, changed: make(chan struct{})})
	close(old.changed)
}

// Stop begins the stop of the process: requests that wait for what comes too late are refused at once, and
// those that are with servers at its end get their last answer then.
func (r *Relay) Stop(s Stop) { r.waits.change(&s) }

// Recheck makes the requests that wait look again at the configuration and the registry, which have changed.
func (r *Relay) Recheck() { r.waits.change(nil) }

// awaited is what a request waits for.
type awaited struct {
	at      time.Time       // the awaited moment; not used if place is set
	place   chan<- struct{} // takes a value when there is a place; the wait ends with the context otherwise
	over    func() bool     // whether the wait has no purpose any more after a change; may be nil
	retryIn time.Duration   // time to come back that callers get if the process stops before
}

// wait is the one way in which a request waits before it is sent. It returns nil when what is awaited has come
// or is over. Errors of package fault are the answer to the request, and others those of the context.
func (r *Relay) wait(ctx context.Context, req *Request, a awaited) error {
	for first := true; ; first = false {
		state := r.waits.state.Load()
		stop := state.stop
		now, sent := time.Now(), req.mayHaveRun.Load()
		end := a.at
		if a.place != nil {
			end = stop.latest(sent, req.Route.TargetLatency())
		}
		if tooLate := a.place != nil && !end.IsZero() && !now.Before(end); tooLate || (a.place == nil && !stop.Allows(end, sent, req.Route.TargetLatency())) {
			return r.refuseStopping(req, a.retryIn, nil)
		}
		if !first {
			if err := r.recheck(req); err != nil {
				return err
			}
			if a.over != nil && a.over() {
				return nil
			}
		}
		if a.place == nil && !now.Before(end) {
			return ctx.Err()
		}
		over, err := waitOnce(ctx, end, a.place, state.changed)
		if over || err != nil {
			return err
		}
	}
}

// waitOnce waits for a moment, a place, a change or the end of the context, whose error it returns. A zero
// moment and a nil place never come. taken means that there was a place.
func waitOnce(ctx context.Context, at time.Time, place chan<- struct{}, changed <-chan struct{}) (taken bool, err error) {
	var timer <-chan time.Time
	if !at.IsZero() {
		t := time.NewTimer(time.Until(at))
		defer t.Stop()
		timer = t.C
	}
	select {
	case place <- struct{}{}:
		return true, nil
	case <-timer:
	case <-changed:
	case <-ctx.Done():
		return false, ctx.Err()
	}
	return false, nil
}

// recheck returns the error for a request that the configuration does not allow any more, or nil. One that
// may have run goes on.
func (r *Relay) recheck(req *Request) error {
	if req.Allowed == nil || req.mayHaveRun.Load() {
		return nil
	}
	return req.Allowed()
}

// maySend returns the error for a request that must not be sent to a server now, or nil. running means that
// an attempt of it is with a server.
func (r *Relay) maySend(req *Request, running bool) error {
	sent := running || req.mayHaveRun.Load()
	if !r.waits.state.Load().stop.Allows(time.Now(), sent, req.Route.TargetLatency()) {
		return r.refuseStopping(req, leavingRetryAfter, nil)
	}
	if running {
		return nil
	}
	return r.recheck(req)
}

// isStopping reports whether the process stops.
func (r *Relay) isStopping() bool { return r.waits.state.Load().stop != nil }

// refuseStopping returns the error for a request that is given up because the process stops: not run, unless
// an attempt may have run.
func (r *Relay) refuseStopping(req *Request, retryIn time.Duration, cause error) error {
	if cause == nil {
		cause = errStops
	}
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Leaving, Reason: reasonStops, Cause: cause}
	if !req.mayHaveRun.Load() {
		cfg.Verdict, cfg.RetryAt = fault.NotRun, jitteredRetryTime(retryIn)
	}
	r.cfg.Count("stopped")
	r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("service", req.Service.Name).Str("verdict", cfg.Verdict.String()).Msg("request given up because the process stops")
	return fault.New(cfg)
}

// lastAnswer returns the error of a request that the end of the stop has ended. Other errors stay.
func (r *Relay) lastAnswer(caller context.Context, req *Request, err error) error {
	code := fault.CodeOf(err)
	if err == nil || r.waits.ending.Err() == nil || caller.Err() != nil || time.Now().After(req.Deadline) || (code != fault.Overload && code != fault.Unavailable) {
		return err
	}
	return r.refuseStopping(req, leavingRetryAfter, err)
}

// isAnswer reports whether an error of wait is the answer to the request.
func isAnswer(err error) bool {
	var e *fault.Error
	return errors.As(err, &e)
}
