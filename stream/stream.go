// Package stream carries one answer from the stages of a pipeline to its
// caller. It accepts each position once, only from the current attempt and
// only when the layer ranges passed tile the model, and it replaces stages
// that fail in mid-answer.
package stream

import (
	"context"
	"errors"
	"fmt"
	"io"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/route"
)

// Request is one request of a caller for an answer.
type Request struct {
	ID       string
	Model    string
	Layers   int
	Prompt   string
	Limit    int // tokens at most
	Priority int
	FirstBy  time.Time // deadline of the first token
}

// Config holds the ports of a Runner.
type Config struct {
	// Choose returns a route that avoids the named servers.
	Choose func(avoid map[string]bool) (route.Route, error)
	// Generate starts a job on the first stage of its route.
	Generate func(ctx context.Context, j engine.Job) (Answer, error)
	// Failed is told the name of a server that failed.
	Failed func(name string)
	// Began and Ended count a route's use.
	Began, Ended func(route.Route)
}

// Answer is the stream of frames of one attempt.
type Answer interface {
	Next() (engine.Frame, error)
	Close()
}

// Runner runs requests.
type Runner struct{ cfg Config }

// New returns a runner.
func New(cfg Config) *Runner { return &Runner{cfg: cfg} }

const (
	maxAttempts  = 6               // routes tried for one request
	frameTimeout = 2 * time.Second // silence of a stage that is taken as its death
)

// Outcome is the end of an answer.
type Outcome struct {
	Stop     string // "end" or "limit"
	Tokens   int
	Attempts int
}

// Run streams the answer of rq into sink, in order, each token once. An error
// carries the verdict.
func (r *Runner) Run(ctx context.Context, rq Request, sink func(token string) error) (Outcome, error) {
	a := &acceptor{layers: rq.Layers, sink: sink}
	avoid := map[string]bool{}
	var last error
	sent := false
	for attempt := 1; attempt <= maxAttempts; attempt++ {
		rt, err := r.cfg.Choose(avoid)
		if err != nil {
			return a.outcome(attempt), giveUp(err, last, sent)
		}
		a.attempt = attempt
		failed, err := r.attempt(ctx, rq, rt, a)
		if err == nil {
			return a.outcome(attempt), nil
		}
		if ctx.Err() != nil {
			return a.outcome(attempt), fault.New(fault.Config{Code: fault.Cancelled, Reason: "the caller went away", Cause: ctx.Err()})
		}
		var se sinkError
		if errors.As(err, &se) {
			return a.outcome(attempt), fault.New(fault.Config{Code: fault.Cancelled, Reason: "the caller went away", Cause: err})
		}
		sent = sent || fault.Of(err) != fault.NotRun
		last = err
		if failed != "" {
			avoid[failed] = true
			r.cfg.Failed(failed)
		}
	}
	return a.outcome(maxAttempts), giveUp(last, last, sent)
}

// giveUp returns the error of a request that no route is left for.
func giveUp(err, last error, sent bool) error {
	v := fault.NotRun
	if sent {
		v = fault.MayHaveRun
	}
	if last == nil {
		last = err
	}
	return fault.New(fault.Config{Verdict: v, Code: fault.Unavailable, Reason: "no working set of backend servers for the model", RetryAt: time.Now().Add(time.Second), Cause: last})
}

// attempt runs one route and returns the name of the server that failed.
func (r *Runner) attempt(ctx context.Context, rq Request, rt route.Route, a *acceptor) (string, error) {
	r.cfg.Began(rt)
	defer r.cfg.Ended(rt)
	j := engine.Job{
		Request: rq.ID, Attempt: a.attempt, Model: rq.Model, Prompt: rq.Prompt,
		Accepted: a.tokens, Limit: rq.Limit, Priority: rq.Priority,
	}
	for _, s := range rt {
		j.Route = append(j.Route, engine.Stage{Address: s.Address, First: s.First, Last: s.Last})
	}
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	watch := time.AfterFunc(frameTimeout, cancel)
	defer watch.Stop()
	ans, err := r.cfg.Generate(ctx, j)
	if err != nil {
		return rt[0].Name, err
	}
	defer ans.Close()
	for {
		f, err := ans.Next()
		if err != nil {
			if errors.Is(err, io.EOF) {
				err = errors.New("answer ended without a stop reason")
			}
			return rt[0].Name, fmt.Errorf("attempt %d: %w", a.attempt, err)
		}
		watch.Reset(frameTimeout)
		if f.Fault != "" {
			return nameOf(rt, f.Failed), fmt.Errorf("attempt %d: stage %s: %s", a.attempt, f.Failed, f.Fault)
		}
		stop, err := a.take(f)
		if err != nil || stop {
			return "", err
		}
	}
}

func nameOf(rt route.Route, address string) string {
	for _, s := range rt {
		if s.Address == address {
			return s.Name
		}
	}
	return rt[0].Name
}

// sinkError is a failure to deliver a token to the caller.
type sinkError struct{ err error }

func (e sinkError) Error() string { return "deliver token: " + e.err.Error() }

// acceptor decides which tokens are delivered.
type acceptor struct {
	layers  int
	attempt int
	tokens  []string
	stop    string
	sink    func(string) error
}

func (a *acceptor) outcome(attempts int) Outcome {
	return Outcome{Stop: a.stop, Tokens: len(a.tokens), Attempts: attempts}
}

// take accepts one frame. It reports whether the answer is complete.
func (a *acceptor) take(f engine.Frame) (bool, error) {
	if f.Attempt != a.attempt {
		return false, nil // a late frame of an attempt that was replaced
	}
	if f.Position < len(a.tokens) {
		return false, nil // delivered already
	}
	if f.Position > len(a.tokens) {
		return false, fmt.Errorf("token at position %d, want %d", f.Position, len(a.tokens))
	}
	if f.Stop != "" {
		a.stop = f.Stop
		return true, nil
	}
	if !tiles(f.Ranges, a.layers) {
		return false, fmt.Errorf("token at position %d passed ranges %v, want layers 0 to %d once", f.Position, f.Ranges, a.layers)
	}
	if err := a.sink(f.Token); err != nil {
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
