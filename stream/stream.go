// Package stream streams the answer to a request from the stages of a pipeline to
// the caller. It delivers the token of each position once, and only from a frame of
// the current attempt whose layer ranges cover the model. When a stage fails, hangs
// or slows down in the middle of an answer, the request continues on another route.
package stream

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/route"
)

// Request is one request of a caller for an answer.
type Request struct {
	ID                 string
	Service            string
	Model              string
	Layers             int
	Prompt             string
	Blocks             []uint64 // cache blocks of the prompt, see engine.BlockHashes
	Limit              int      // maximum number of tokens
	Priority           int
	FirstTokenDeadline time.Time // deadline of the first token, zero for none
	Identity           guard.Request
}

// Sink receives the answer to a request.
type Sink struct {
	// Token receives the next token. An error means that the caller has gone away
	// and ends the request.
	Token func(token string) error
	// Flush is called after one or more tokens when no further token has arrived
	// yet. It may be nil.
	Flush func() error
	// Route is called with each route that is tried. It may be nil.
	Route func(route.Route)
}

// FrameStream reads the frames of one attempt.
type FrameStream struct {
	Next     func(*engine.Frame) error // reads a frame; io.EOF after the last one
	Buffered func() bool               // tells whether a whole frame is buffered; may be nil
	Close    func()                    // ends the exchange with the engine
}

// RouteConstraints are the conditions that a request sets for its next route.
type RouteConstraints struct {
	ExcludedServers  map[string]bool     // names of servers that the route must not use
	ExcludedLinks    map[route.Pair]bool // links that the route must not use
	PreferredServers map[string]bool     // names of servers to prefer, since they hold the KV cache of the request
	Version          string              // model version of the accepted tokens, "" when there are none
	AcceptedTokens   int                 // number of accepted tokens
}

// The default retry budget. The burst covers the requests that one failed server
// has in flight, with a few attempts each.
const (
	defaultRetryShare = 0.1 // retries per request
	defaultRetryBurst = 200 // retries
)

// Config holds the settings and dependencies of a Runner. Several requests may call
// the functions concurrently.
type Config struct {
	// Choose returns a route for a request.
	Choose func(req *Request, constraints RouteConstraints) (route.Route, error)
	// Generate starts a job on the first stage of its route.
	Generate func(ctx context.Context, j engine.Job) (*FrameStream, error)
	// Cancel tells a stage that an attempt has ended.
	Cancel func(ctx context.Context, address string, r engine.AttemptID) error
	// Probe reads the load report of a stage. engine.IsGone returns true for its error
	// when it is certain that the server does not run any more.
	Probe func(ctx context.Context, s route.Stage) (engine.LoadReport, error)
	// Export and Import move the KV cache of a request. Both may be nil.
	Export func(ctx context.Context, address, request string) (engine.Export, error)
	Import func(ctx context.Context, address string, i engine.Import) error
	// Guard refuses requests that crash backend servers; nil for one that shares its
	// evidence with no other process.
	Guard *guard.Guard
	// Feedback receives what answers show about servers and links.
	Feedback Feedback
	// Budget bounds the retries over all requests; nil for the default retry budget.
	Budget *retry.Budget
	// CheckpointInterval is the number of tokens between exports of the KV cache of
	// a running request. With 0, the cache is exported only when a stage is
	// replaced that still answers.
	CheckpointInterval int
}

// Feedback is a set of callbacks for what answers show about servers and links. Nil
// functions are not called.
type Feedback struct {
	AttemptBegan  func(route.Route)                                   // an attempt on a route began
	AttemptEnded  func(route.Route)                                   // an attempt on a route ended
	ServerWorked  func(name string)                                   // a server took part in the first token of an attempt
	ServerFailed  func(name string)                                   // a server failed
	ServerLeaving func(name string)                                   // a server refused because it leaves
	TokenTime     func(s route.Stage, took time.Duration)             // time of a stage for one token
	PrefillTime   func(s route.Stage, perToken time.Duration)         // time of a stage for a token of the prompt
	LinkTime      func(from, to route.Stage, roundTrip time.Duration) // round trip between two stages
	LoadReported  func(engine.LoadReport)                             // a load report came with the answer
}

// Runner runs requests for answers of models. Its methods may be called
// concurrently.
type Runner struct {
	cfg          Config
	coversLayers func(ranges [][2]int, n int) bool       // checks invariant I1: each layer ran once, in order
	isCurrent    func(a *acceptor, f *engine.Frame) bool // checks invariant I2: the frame belongs to the request and its current attempt
	maxSilence   time.Duration                           // longest time without a token
}

// New returns a runner.
func New(cfg Config) *Runner {
	if cfg.Budget == nil {
		cfg.Budget = retry.New(retry.Config{RetriesPerRequest: defaultRetryShare, Burst: defaultRetryBurst, Initial: defaultRetryBurst})
	}
	if cfg.Guard == nil {
		cfg.Guard = guard.New(guard.Config{})
	}
	if cfg.Probe == nil {
		cfg.Probe = func(context.Context, route.Stage) (engine.LoadReport, error) { return engine.LoadReport{}, nil }
	}
	if cfg.Cancel == nil {
		cfg.Cancel = func(context.Context, string, engine.AttemptID) error { return nil }
	}
	return &Runner{cfg: cfg, coversLayers: coversLayers, isCurrent: isCurrent, maxSilence: maxSilence}
}

// maxAttempts bounds the attempts of one request.
const maxAttempts = 8

// Outcome describes an answer that has ended.
type Outcome struct {
	Stop     string // "end" or "limit"
	Prompt   int    // tokens of the prompt
	Cached   int    // prompt tokens that were found in a prefix cache
	Tokens   int    // tokens delivered
	Attempts int
}

// Run streams the answer to req into sink, in order and each token once. An error
// carries the verdict and, when the request was given up, a retry time.
func (r *Runner) Run(ctx context.Context, req Request, sink Sink) (Outcome, error) {
	countRequests.Inc()
	r.cfg.Budget.AddRequest()
	st := newRequestState(r, &req, sink)
	defer st.releaseAll()
	defer st.suspicion.Close()
	for st.attemptNumber < maxAttempts {
		if err := st.suspicion.Admit(ctx, st.tokenDeadline(), st.mayHaveRun); err != nil {
			return st.outcome(), st.refused(ctx, err)
		}
		if err := st.choose(ctx); err != nil {
			return st.outcome(), st.giveUpError(err)
		}
		err := st.runAttempt(ctx)
		if err == nil {
			return st.outcome(), nil
		}
		if gone := st.callerGone(ctx, err); gone != nil {
			return st.outcome(), gone
		}
		if late := st.deadlineMissed(err); late != nil {
			return st.outcome(), late
		}
		st.lastErr = err
		st.mayHaveRun = st.mayHaveRun || fault.VerdictOf(err) != fault.NotRun
		if st.attemptNumber >= maxAttempts || !st.takeAttempt() {
			break
		}
	}
	return st.outcome(), st.giveUpError(st.lastErr)
}

// refused returns the error of a request that the guard did not admit.
func (st *requestState) refused(ctx context.Context, err error) error {
	if gone := st.callerGone(ctx, err); gone != nil {
		return gone
	}
	countGiveUps.Inc()
	return err
}

// callerGone returns the error of a request whose caller went away, or nil.
func (st *requestState) callerGone(ctx context.Context, err error) error {
	var se sinkError
	if ctx.Err() == nil && !errors.As(err, &se) {
		return nil
	}
	countCallersGone.Inc()
	return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Cancelled, Reason: "the caller went away", Cause: err})
}

// takeAttempt takes the credit of the request for an attempt, or a retry from the
// budget, and returns whether there was one.
func (st *requestState) takeAttempt() bool {
	if st.credit > 0 {
		st.credit--
		return true
	}
	return st.runner.takeRetry()
}

// deadlineMissed returns the error of a request whose next token missed its
// deadline, or nil.
func (st *requestState) deadlineMissed(err error) error {
	reason := "the answer stopped"
	if len(st.acceptor.tokens) == 0 {
		reason = "the first token missed its deadline"
		st.overdue = st.overdue || !st.req.FirstTokenDeadline.IsZero() && !time.Now().Before(st.req.FirstTokenDeadline)
	}
	if !st.overdue {
		return nil
	}
	countGiveUps.Inc()
	return fault.New(fault.Config{
		Verdict: fault.MayHaveRun, Code: fault.Timeout, Reason: reason,
		RetryAt: time.Now().Add(giveUpRetryDelay), Cause: err,
	})
}

// giveUpRetryDelay is the retry time of a request that was given up when no backend
// server stated one. It is about the time in which the table of servers learns of a
// replacement.
const giveUpRetryDelay = time.Second

// giveUpError returns the error of a request that can't be continued: there is no
// route, no retry or no attempt left.
func (st *requestState) giveUpError(err error) error {
	countGiveUps.Inc()
	cfg := fault.Config{
		Verdict: fault.NotRun, Code: fault.Unavailable, Cause: err,
		Reason: "no working set of backend servers for the model", RetryAt: time.Now().Add(giveUpRetryDelay),
	}
	if st.mayHaveRun {
		cfg.Verdict = fault.MayHaveRun
	}
	if at, ok := fault.RetryAt(err); ok {
		cfg.RetryAt = at
	}
	if st.lastErr != nil && fault.CodeOf(st.lastErr) == fault.Overload {
		cfg.Code, cfg.Reason = fault.Overload, "the backend servers of the model are full"
	}
	return fault.New(cfg)
}

// takeRetry takes one retry from the budget and returns whether there was one.
func (r *Runner) takeRetry() bool {
	if r.cfg.Budget.TryRetry() {
		return true
	}
	countBudgetEmpty.Inc()
	return false
}
