// Package relay carries one request of a caller to backend servers and the
// answer back. It chooses servers and paths, repeats what may be repeated,
// resumes streams, and decides when to give up. It knows no wire format: an
// adapter sends attempts and reads reports through the functions of Config.
package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/server"
)

// Request is a request of a caller after routing.
type Request struct {
	ID      string
	Route   *config.Route
	Service config.Service
	Account *config.Account // nil on public routes
	Version uint64          // of the configuration that routed it
	Method  string
	Target  string // path and query as sent
	Host    string
	Header  http.Header // passed on
	Body    []byte
	Arrived time.Time
	By      time.Time // the caller's deadline or the route's timeout, whichever is first

	LastEvent string // event after which the caller's stream goes on
	Prompt    int    // tokens
	Answer    int    // tokens at most
	Hint      int    // tokens of the answer as the caller expects them; 0 when not told

	sent atomic.Int32 // attempts
	ran  atomic.Bool  // an attempt may have run
}

// Hop is an engine on the path of a stream, with the layers that it runs.
type Hop struct {
	Address  string
	From, To int // To exclusive
}

// Attempt is one send of a request.
type Attempt struct {
	Server    *server.Server
	Path      []Hop // empty when the server runs the whole request
	LastEvent string
	Kept      bool // may use a kept connection
}

// Answer is the answer to an attempt, decoded.
type Answer struct {
	Status  int
	Header  http.Header // passed on
	Body    io.ReadCloser
	Length  int64  // -1 when not known
	Signed  bool   // bears the signature of a server
	Refused bool   // the server states that it did not run the request
	Culprit string // address of the server on the path that caused a refusal
	Load    *Load  // nil when the server does not tell it
	// Until bounds the time in which the body is read; it may be nil.
	Until func(t time.Time) error
}

// Load is the load that a server tells with an answer.
type Load struct{ Running, Waiting, Slots int }

// Report is the state of an engine.
type Report struct {
	Stalled map[string]string // request to the address of the engine that it waits for
}

// Sink takes the answer of a request.
type Sink struct {
	Start func(status int, h http.Header, length int64)
	Write func(b []byte) error
	Flush func() error
}

// Config holds the parts of a Relay.
type Config struct {
	Servers *server.Table
	Send    func(ctx context.Context, rq *Request, a Attempt) (*Answer, error)
	Report  func(ctx context.Context, address string) (Report, error)
	Repath  func(ctx context.Context, address, id string, path []Hop) error
	Budget  func(service string) *retry.Budget
	// Quota bounds the bytes of answers that are held; nil for no bound.
	Quota *quota.Quota
	// Others returns the streams and layer tokens that other entry processes
	// have at a server.
	Others func(id string) (streams int, tokens int64)
	// Alert tells the other entry processes that a server does not answer; it
	// may be nil.
	Alert  func(s *server.Server)
	Domain string // failure domain of this process
	Log    zerolog.Logger
	// Count counts an outcome for the metrics; it may be nil.
	Count func(name string)
	// Observe takes a measurement for the metrics; it may be nil.
	Observe func(m Measure, value float64)
	// Violated counts an invariant that did not hold; it may be nil. It is
	// logged besides.
	Violated func(i Invariant)
}

// Relay serves requests.
type Relay struct {
	cfg     Config
	reports *reports
	firsts  firsts

	mu      sync.Mutex
	watches map[*stallWatch]struct{} // of the streams that run
}

// New returns a Relay.
func New(cfg Config) *Relay {
	if cfg.Count == nil {
		cfg.Count = func(string) {}
	}
	if cfg.Observe == nil {
		cfg.Observe = func(Measure, float64) {}
	}
	if cfg.Violated == nil {
		cfg.Violated = func(Invariant) {}
	}
	if cfg.Alert == nil {
		cfg.Alert = func(*server.Server) {}
	}
	if cfg.Others == nil {
		cfg.Others = func(string) (int, int64) { return 0, 0 }
	}
	r := &Relay{cfg: cfg, watches: map[*stallWatch]struct{}{}, firsts: firsts{all: map[string]time.Duration{}}}
	r.reports = newReports(cfg.Report)
	return r
}

// Serve carries a request. An error is one of package fault: when nothing was
// started, the caller gets it as the answer, otherwise the answer must be cut.
func (r *Relay) Serve(ctx context.Context, rq *Request, sink Sink) error {
	ctx, cancel := context.WithDeadline(ctx, rq.By)
	defer cancel()
	r.cfg.Budget(rq.Service.Name).Request()
	r.reports.bound.Request()
	err := r.carry(ctx, rq, sink)
	if fault.Of(err) == fault.NotRun && rq.ran.Load() {
		r.violated(InvariantRefusal, rq)
	}
	r.cfg.Observe(MeasureAttempts, float64(rq.sent.Load()))
	return err
}

func (r *Relay) carry(ctx context.Context, rq *Request, sink Sink) error {
	if rq.Route.Kind() == config.Stream {
		return r.stream(ctx, rq, sink)
	}
	return r.plain(ctx, rq, sink)
}

func (r *Relay) violated(i Invariant, rq *Request) {
	r.cfg.Log.Error().Str("id", rq.ID).Str("invariant", string(i)).Msg("invariant does not hold")
	r.cfg.Violated(i)
}

// repeat takes a repeat from the budget of a request's service.
func (r *Relay) repeat(rq *Request) bool {
	b := r.cfg.Budget(rq.Service.Name)
	if b.Repeat() {
		return true
	}
	r.cfg.Log.Info().Str("id", rq.ID).Str("service", rq.Service.Name).Float64("left", b.Left()).Msg("no repeat left")
	return false
}

// suspect keeps new work of this process away from a server that does not
// answer, and asks it once more before the other streams and entry processes are
// told: a single answer that is late would move all streams over it.
func (r *Relay) suspect(s *server.Server) {
	s.Avoid(deadAvoidance)
	if s.FoundDead(deadAvoidance) {
		return
	}
	go func() {
		if r.reports.gone(s.Address()) {
			r.Told(s)
			r.cfg.Alert(s)
		}
	}()
}

// Told keeps work away from a server that was found dead, here or by another
// entry process. The streams over it that pause move without asking it again, as
// soon as no event has passed through it for a while.
func (r *Relay) Told(s *server.Server) {
	s.Avoid(deadAvoidance)
	s.MarkDead()
	if wait := signOfLife + time.Millisecond - s.SilentFor(); wait > 0 {
		time.AfterFunc(wait, func() { r.hurry(s) })
		return
	}
	r.hurry(s)
}

// hurry has the streams over a server checked at once, unless an event has passed
// through it since it was found dead.
func (r *Relay) hurry(s *server.Server) {
	if !s.FoundDead(deadAvoidance) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for w := range r.watches {
		w.hurry(s.Address())
	}
}

// watched and unwatched keep the set of running streams.
func (r *Relay) watched(w *stallWatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.watches[w] = struct{}{}
}

func (r *Relay) unwatched(w *stallWatch) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.watches, w)
}

// deadAvoidance keeps streams away from an engine that does not answer. The
// registry drops a dead engine after three heartbeats; a live one whose answer
// was lost is missed for less.
const deadAvoidance = 2 * time.Second

// Reasons that callers and logs see.
const (
	reasonNoServer = "no backend server can take the request"
	reasonNoPath   = "no path of engines can take the request"
	reasonRefused  = "the backend servers refused the request"
	reasonUnclear  = "the backend server did not answer"
	reasonBadReply = "the answer of the backend server is damaged"
	reasonTimeout  = "the request did not finish in time"
)

// retryIn returns a time to come back, spread so that refused callers do not
// return together.
func retryIn(d time.Duration) time.Time {
	return time.Now().Add(d/2 + rand.N(d))
}

func refusal(reason string, in time.Duration, cause error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reason, RetryAt: retryIn(in), Cause: cause})
}

func unclear(reason string, cause error) error {
	code := fault.Unavailable
	if errors.Is(cause, context.DeadlineExceeded) {
		code, reason = fault.Timeout, reasonTimeout
	}
	return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: code, Reason: reason, Cause: cause})
}

var (
	errRefused  = errors.New("refused by the server")
	errUnsigned = errors.New("answer without a signature")
)

// send makes one attempt and checks the header of its answer. A refusal and a
// damaged answer are errors; any other answer of the server is returned.
func (r *Relay) send(ctx context.Context, rq *Request, a Attempt) (*Answer, error) {
	if rq.sent.Add(1) == 1 {
		r.cfg.Observe(MeasureWait, time.Since(rq.Arrived).Seconds())
	}
	if rq.ran.Load() && !rq.Route.Repeatable() {
		r.violated(InvariantAttempts, rq)
	}
	ans, err := r.exchange(ctx, rq, a)
	if err == nil || fault.Of(err) != fault.NotRun {
		rq.ran.Store(true)
	}
	return ans, err
}

func (r *Relay) exchange(ctx context.Context, rq *Request, a Attempt) (*Answer, error) {
	ans, err := r.cfg.Send(ctx, rq, a)
	if err != nil {
		return nil, err
	}
	if ans.Load != nil {
		a.Server.RecordLoad(ans.Load.Running, ans.Load.Waiting)
	}
	if ans.Refused {
		// The body is read to its end so that the connection can be kept. One that does
		// not end costs the connection.
		if ans.Until == nil || ans.Until(time.Now().Add(refusalTime)) == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(ans.Body, maxRefusal))
		}
		_ = ans.Body.Close()
		return ans, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reasonRefused, Cause: errRefused})
	}
	if !ans.Signed {
		_ = ans.Body.Close()
		return nil, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: reasonBadReply, Cause: errUnsigned})
	}
	return ans, nil
}

const (
	// maxRefusal bounds the bytes of a refusal that are read to keep a connection.
	maxRefusal = 4 << 10
	// refusalTime bounds the time for it: the next server is tried after it.
	refusalTime = 20 * time.Millisecond
)
