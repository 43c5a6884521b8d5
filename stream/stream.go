// Package stream carries one answer from the stages of a pipeline to its
// caller. It accepts each position once, only from the current attempt and
// only when the layer ranges passed tile the model, and it replaces stages
// that fail, hang or slow down in mid-answer.
package stream

import (
	"context"
	"errors"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/route"
)

// Request is one request of a caller for an answer.
type Request struct {
	ID       string
	Service  string
	Model    string
	Layers   int
	Prompt   string
	Blocks   []uint64 // cache blocks of the prompt, see engine.BlockHashes
	Limit    int      // tokens at most
	Priority int
	FirstBy  time.Time // deadline of the first token, zero for none
}

// Sink receives the answer.
type Sink struct {
	// Token takes the next token. An error ends the request: the caller is gone.
	Token func(token string) error
	// Flush is called after one or more tokens when no further token has
	// arrived yet. It may be nil.
	Flush func() error
	// Route is told each route that is tried. It may be nil.
	Route func(route.Route)
}

// Answer is the stream of frames of one attempt.
type Answer struct {
	Next  func(*engine.Frame) error // reads a frame; io.EOF after the last one
	More  func() bool               // a whole frame is buffered; may be nil
	Close func()                    // ends the exchange
}

// Avoid says what a new route has to do without and what it should keep.
type Avoid struct {
	Servers map[string]bool     // names of servers that failed this request
	Pairs   map[route.Pair]bool // neighbours whose link failed this request
	Keep    map[string]bool     // servers that hold the KV cache of the request
	Version string              // model version of the tokens that were accepted, "" for none
	Tokens  int                 // accepted tokens
}

// Share and burst of the retry budget: 10 % of requests. The burst covers the
// requests that one failed server has in flight, with a few attempts each.
const (
	defaultShare = 0.1
	defaultBurst = 200
)

// Config holds the ports of a Runner. All functions may be called by several
// requests at once.
type Config struct {
	// Choose returns a route for a request.
	Choose func(rq *Request, a Avoid) (route.Route, error)
	// Generate starts a job on the first stage of its route.
	Generate func(ctx context.Context, j engine.Job) (*Answer, error)
	// Cancel tells a stage that an attempt has ended.
	Cancel func(ctx context.Context, address string, r engine.AttemptID) error
	// Probe asks a stage for a sign of life and whether requests wait there.
	Probe func(ctx context.Context, address string) (waiting bool, err error)
	// Export and Import move the KV cache of a request. Both may be nil.
	Export func(ctx context.Context, address, request string) (engine.Export, error)
	Import func(ctx context.Context, address string, i engine.Import) error
	// Feedback is told what the answers show about servers and links.
	Feedback Feedback
	// Budget bounds the attempts after the first over all requests.
	Budget *retry.Budget
	// Checkpoint is the number of tokens between exports of a running request;
	// 0 exports only when a stage is replaced that still answers.
	Checkpoint int
}

// Feedback is told what answers show. Nil functions are not called.
type Feedback struct {
	Began    func(route.Route)                                   // a route is used
	Ended    func(route.Route)                                   // the use ended
	Worked   func(name string)                                   // a server was part of a token
	Failed   func(name string)                                   // a server failed
	Refused  func(name string)                                   // a server refused because it leaves
	Token    func(s route.Stage, took time.Duration)             // time of a stage for one token
	Prefill  func(s route.Stage, perToken time.Duration)         // time of a stage for a token of the prompt
	Hop      func(from, to route.Stage, roundTrip time.Duration) // time between two stages
	Reported func(engine.LoadReport)                             // load reports that came with the answer
}

// Runner runs requests.
type Runner struct {
	cfg   Config
	tiles func(ranges [][2]int, n int) bool       // checks invariant I1
	owns  func(a *acceptor, f *engine.Frame) bool // checks invariant I2
}

// New returns a runner.
func New(cfg Config) *Runner {
	if cfg.Budget == nil {
		cfg.Budget = retry.New(retry.Config{RetriesPerRequest: defaultShare, Burst: defaultBurst, Initial: defaultBurst})
	}
	if cfg.Probe == nil {
		cfg.Probe = func(context.Context, string) (bool, error) { return false, nil }
	}
	if cfg.Cancel == nil {
		cfg.Cancel = func(context.Context, string, engine.AttemptID) error { return nil }
	}
	return &Runner{cfg: cfg, tiles: tiles, owns: owns}
}

// maxAttempts bounds the routes tried for one request.
const maxAttempts = 8

// Outcome is the end of an answer.
type Outcome struct {
	Stop     string // "end" or "limit"
	Prompt   int    // tokens of the prompt
	Cached   int    // of them, found in a prefix cache
	Tokens   int    // tokens delivered
	Attempts int
}

// Run streams the answer of rq into sink, in order, each token once. An error
// carries the verdict and, when the request was given up, a retry time.
func (r *Runner) Run(ctx context.Context, rq Request, sink Sink) (Outcome, error) {
	countRequests.Inc()
	r.cfg.Budget.AddRequest()
	u := newRun(r, &rq, sink)
	defer u.finish()
	for u.number < maxAttempts {
		if err := u.choose(ctx); err != nil {
			return u.outcome(), u.giveUp(err)
		}
		err := u.attempt(ctx)
		if err == nil {
			return u.outcome(), nil
		}
		if gone := u.gone(ctx, err); gone != nil {
			return u.outcome(), gone
		}
		if late := u.late(err); late != nil {
			return u.outcome(), late
		}
		u.last = err
		u.sent = u.sent || fault.VerdictOf(err) != fault.NotRun
		if u.number >= maxAttempts || !r.budget() {
			break
		}
	}
	return u.outcome(), u.giveUp(u.last)
}

// gone returns the error of a request whose caller went away, or nil.
func (u *run) gone(ctx context.Context, err error) error {
	var se sinkError
	if ctx.Err() == nil && !errors.As(err, &se) {
		return nil
	}
	countGone.Inc()
	return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Cancelled, Reason: "the caller went away", Cause: err})
}

// late returns the error of a request whose first token missed its deadline,
// or nil.
func (u *run) late(err error) error {
	if len(u.accept.tokens) > 0 || u.rq.FirstBy.IsZero() || time.Now().Before(u.rq.FirstBy) {
		return nil
	}
	countGiveUps.Inc()
	return fault.New(fault.Config{
		Verdict: fault.MayHaveRun, Code: fault.Timeout, Reason: "the first token missed its deadline",
		RetryAt: time.Now().Add(giveUpRetry), Cause: err,
	})
}

// giveUpRetry is the retry time of a request that was given up without one
// stated by a backend server: about the time in which a table of servers
// learns of a replacement.
const giveUpRetry = time.Second

// giveUp returns the error of a request that no route is left for.
func (u *run) giveUp(err error) error {
	countGiveUps.Inc()
	cfg := fault.Config{
		Verdict: fault.NotRun, Code: fault.Unavailable, Cause: err,
		Reason: "no working set of backend servers for the model", RetryAt: time.Now().Add(giveUpRetry),
	}
	if u.sent {
		cfg.Verdict = fault.MayHaveRun
	}
	if at, ok := fault.RetryAt(err); ok {
		cfg.RetryAt = at
	}
	if u.last != nil && fault.CodeOf(u.last) == fault.Overload {
		cfg.Code, cfg.Reason = fault.Overload, "the backend servers of the model are full"
	}
	return fault.New(cfg)
}

// budget takes one further attempt out of the retry budget.
func (r *Runner) budget() bool {
	if r.cfg.Budget.TryRetry() {
		return true
	}
	countBudget.Inc()
	return false
}
