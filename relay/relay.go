// Package relay forwards a caller's request to backend servers and returns the answer. It selects
// servers and engine paths, retries within the rules of the route, resumes streams on other
// engines, hedges slow idempotent requests, and decides when to give up. It knows no wire format:
// the functions of Config send attempts and query engine reports.
package relay

import (
	"context"
	"errors"
	"io"
	"math/rand/v2"
	"net/http"
	"slices"
	"sync"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/admit"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/pacer"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/server"
	"github.com/cranberrybay/cranberrybay/spread"
)

// Request is a caller's request after routing.
type Request struct {
	ID       string
	Route    *config.Route
	Service  config.Service
	Account  *config.Account // nil on public routes
	Version  uint64          // configuration version that routed the request
	Method   string
	Target   string // path and query, as received
	Host     string
	Header   http.Header // forwarded to the server
	Body     []byte
	Arrived  time.Time
	Deadline time.Time // the earlier of the caller's deadline and the route's timeout

	LastEventID      string // last event that the caller already has; the stream resumes after it
	Model            string // model that the caller names; empty if it names none
	PromptTokens     int    // length of the prompt
	MaxAnswerTokens  int    // bound on the answer, in tokens; 0 for none
	AnswerTokensHint int    // caller's estimate of the answer, in tokens; 0 if not given
	// PromptParts identifies the parts of the prompt, in order. Requests share parts, but for the
	// last one, which belongs to the request or its session.
	PromptParts []string
	// Allowed returns the error for a request that the configuration no longer allows, or nil. It is called
	// after waits. nil if the configuration does not matter.
	Allowed func() error
	// MaySend returns the error for an attempt that must not be sent after it waited for a connection, or nil.
	// Set by Serve.
	MaySend func() error

	attempts   atomic.Int32 // attempts sent so far
	mayHaveRun atomic.Bool  // set once an attempt may have been executed
	alone      atomic.Bool  // the last attempt is a trial

	mu     sync.Mutex
	sentTo []string // addresses of the servers that attempts were sent to

	parts    []poison.Part      // of the prompt, which other requests may share; set by Serve
	identity func() poison.Part // of the request, which callers may send again; set by Serve
}

// addSent records that an attempt is sent to an address, and reports whether an earlier one was.
func (req *Request) addSent(address string) (again bool) {
	req.mu.Lock()
	defer req.mu.Unlock()
	if slices.Contains(req.sentTo, address) {
		return true
	}
	req.sentTo = append(req.sentTo, address)
	return false
}

// Hop is an engine on the path of a stream and the layer range that it runs.
type Hop struct {
	Address  string
	From, To int // To is exclusive
}

// Attempt is one try to run a request on a server.
type Attempt struct {
	Server          *server.Server
	Path            []Hop // empty if the server runs the whole request
	LastEventID     string
	ReuseConnection bool // an idle connection may be reused
}

// Answer is the decoded answer to an attempt.
type Answer struct {
	Status    int
	Header    http.Header // of the server's answer; forwarded to the caller
	Body      io.ReadCloser
	Length    int64  // -1 if unknown
	Unframed  bool   // the answer has neither a length nor chunks and ends with its connection
	Signed    bool   // the answer carries a valid server signature
	Refused   bool   // the server states that it did not run the request
	RefusedBy string // address of the server on the path that refused; "" if not stated
	// ImpliesNotRun means that callers take the status for the assurance that the request did not
	// run, whether or not the server states so.
	ImpliesNotRun bool
	Load          *Load // nil if the server does not report it
	// Misdirected means that another server has the address, or that the server lacks its part of
	// the path.
	Misdirected bool
	Rate        NamedRate
	Intake      intake.Said // what the server says about taking requests
	// SetReadDeadline sets the deadline for reading the body; it may be nil.
	SetReadDeadline func(t time.Time) error
}

// NamedRate is what an answer says of the rate of its server.
type NamedRate struct {
	Named      bool
	Value      float64 // requests per second that the server takes from all entry processes together
	Unreadable string  // value that is no decimal number; "" if there is none
}

// Load is the load that a server reports with an answer.
type Load struct{ Running, Waiting, Slots int }

// Report is the state that an engine reports about its requests.
type Report struct {
	Stalled map[string]string // request ID to address of the engine that it waits for
	Rate    NamedRate
	Intake  intake.Said // what the engine says about taking requests
	Started int64       // start of the engine's incarnation, Unix milliseconds; 0 if not stated
}

// Sink receives the answer to a request: Start at most once, then any number of Write and Flush.
type Sink struct {
	Start func(status int, h http.Header, length int64)
	Write func(b []byte) error
	Flush func() error
}

// Config holds the dependencies of a Relay.
type Config struct {
	Servers *server.Table
	// Send sends an attempt and returns its answer as soon as the header has arrived.
	Send func(ctx context.Context, req *Request, a Attempt) (*Answer, error)
	// FetchReport queries the engine at an address for its report.
	FetchReport func(ctx context.Context, address string) (Report, error)
	// Repath makes a stream continue on another path. address is that of the first engine, which
	// stays the same, and id that of the request.
	Repath func(ctx context.Context, address, id string, path []Hop) error
	Budget func(service string) *retry.Budget // retries of a service
	// Quota bounds the bytes of buffered answers; nil for no bound.
	Quota *quota.Quota
	// PeerLoad returns the number of streams and of layer tokens that the other entry processes
	// have on a server; it may be nil.
	PeerLoad func(id string) (streams int, tokens int64)
	// PeerReport returns the age of what PeerLoad returns and the number of entry processes. With it, paths of
	// services that are uneven or have competing streams are chosen by corrected loads, see package spread. It may
	// be nil.
	PeerReport func() (age time.Duration, processes int)
	// AnnounceDead tells the other entry processes that a server does not answer; it may be nil.
	AnnounceDead func(s *server.Server)
	// Poison knows the parts of prompts that crash servers; nil for one that this process shares
	// with no other.
	Poison *poison.Tracker
	// Probe opens and closes a connection to an address. ECONNREFUSED shows that the server there has
	// ended. nil if the servers of plain services can't be probed.
	Probe func(ctx context.Context, address string) error
	// Pacer knows the rates that servers name; nil for one of this process alone.
	Pacer *pacer.Pacer
	// Intake knows which servers leave or rest; nil for one that this process shares with no other.
	Intake *intake.Tracker
	Domain string // failure domain of this process
	Log    zerolog.Logger
	// Count increments the counter of an outcome; it may be nil.
	Count func(name string)
	// Observe records a measurement; it may be nil.
	Observe func(m Measure, value float64)
	// ObserveAdmission records the decision on a stream that competes for the engines of a service; it may be nil.
	ObserveAdmission func(service string, d admit.Demand, x admit.Decision)
	// CountViolation counts a violated invariant, which is also logged; it may be nil.
	CountViolation func(i Invariant)
}

// Relay forwards requests to backend servers. It is safe for concurrent use.
type Relay struct {
	cfg             Config
	reports         *reportCache
	firstEventTimes firstEventTimes
	trials          trials
	confirming      sync.Map // incarnations of servers that may have crashed and are probed again
	waits           waits
	spread          *spread.Estimator

	mu          sync.Mutex
	monitors    map[*stallMonitor]struct{}   // of the running streams
	restWaiters map[string]int               // requests that wait for servers at rest, by service
	admissions  map[string]*admit.Controller // by service
}

// New returns a Relay that uses the functions of cfg.
func New(cfg Config) *Relay {
	if cfg.Count == nil {
		cfg.Count = func(string) {}
	}
	if cfg.Observe == nil {
		cfg.Observe = func(Measure, float64) {}
	}
	if cfg.CountViolation == nil {
		cfg.CountViolation = func(Invariant) {}
	}
	if cfg.AnnounceDead == nil {
		cfg.AnnounceDead = func(*server.Server) {}
	}
	if cfg.Poison == nil {
		cfg.Poison = poison.New(poison.Config{Log: cfg.Log})
	}
	if cfg.Pacer == nil {
		cfg.Pacer = pacer.New(pacer.Config{Log: cfg.Log})
	}
	if cfg.Intake == nil {
		cfg.Intake = intake.New(intake.Config{Log: cfg.Log, OnLeaving: cfg.Servers.MarkLeaving})
	}
	if cfg.PeerLoad == nil {
		cfg.PeerLoad = func(string) (int, int64) { return 0, 0 }
	}
	r := &Relay{cfg: cfg, monitors: map[*stallMonitor]struct{}{}, restWaiters: map[string]int{}, admissions: map[string]*admit.Controller{}, spread: spread.New(spread.Config{}), firstEventTimes: firstEventTimes{byService: map[string]time.Duration{}}}
	r.reports = newReportCache(r.fetchReportSafely)
	r.waits.init()
	return r
}

// Serve forwards a request and writes the answer to sink. Errors come from package fault. If
// Start was not called, the caller gets the error as its answer; otherwise the connection must be
// cut, as the answer is incomplete.
func (r *Relay) Serve(ctx context.Context, req *Request, sink Sink) error {
	caller := ctx
	ctx, cancel := context.WithDeadline(ctx, req.Deadline)
	defer cancel()
	defer context.AfterFunc(r.waits.ending, cancel)()
	r.cfg.Budget(req.Service.Name).AddRequest()
	r.reports.budget.AddRequest()
	req.MaySend = func() error { return r.maySend(req, false) }
	req.parts = poison.PartsOf(req.Service.Name, req.PromptParts)
	req.identity = sync.OnceValue(req.newIdentity)
	err := r.lastAnswer(caller, req, r.serveByKind(ctx, req, sink))
	if fault.VerdictOf(err) == fault.NotRun && req.mayHaveRun.Load() {
		r.reportViolation(InvariantRefusal, req)
	}
	r.cfg.Observe(MeasureAttempts, float64(req.attempts.Load()))
	return err
}

// serveByKind serves a stream or a plain request, depending on the route.
func (r *Relay) serveByKind(ctx context.Context, req *Request, sink Sink) error {
	if req.Route.Kind() == config.Stream {
		return r.serveStream(ctx, req, sink)
	}
	return r.servePlain(ctx, req, sink)
}

// reportViolation logs and counts a violated invariant.
func (r *Relay) reportViolation(i Invariant, req *Request) {
	r.cfg.Log.Error().Str("id", label.Short(req.ID)).Str("invariant", string(i)).Msg("invariant does not hold")
	r.cfg.CountViolation(i)
}

// takeRetry takes a retry from the budget of the request's service.
func (r *Relay) takeRetry(req *Request) bool {
	b := r.cfg.Budget(req.Service.Name)
	if b.TryRetry() {
		return true
	}
	r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("service", req.Service.Name).Float64("left", b.Available()).Msg("no repeat left")
	return false
}

// suspect makes this process avoid a server that does not answer, and queries it once more in the
// background. Only if that fails too is the server marked dead for the other streams and entry
// processes: a single late answer would otherwise move all streams off it.
func (r *Relay) suspect(s *server.Server) {
	s.Avoid(avoidDeadFor)
	if s.FoundDead(avoidDeadFor) {
		return
	}
	go r.safelyFor("server", s.ID(), func() {
		if r.reports.confirmDead(s.Address()) {
			r.MarkDead(s)
			r.cfg.AnnounceDead(s)
		}
	})
}

// MarkDead makes this process avoid a server that it or another entry process found dead. Streams
// that run over the server and wait are moved without another query, once no event has passed
// through the server for maxLiveEventAge.
func (r *Relay) MarkDead(s *server.Server) {
	s.Avoid(avoidDeadFor)
	s.MarkDead()
	if wait := maxLiveEventAge + time.Millisecond - s.SilentFor(); wait > 0 {
		time.AfterFunc(wait, func() { r.safelyFor("server", s.ID(), func() { r.checkNow(s) }) })
		return
	}
	r.checkNow(s)
}

// checkNow checks all streams over a server immediately, unless an event has passed through it
// since it was found dead.
func (r *Relay) checkNow(s *server.Server) {
	if !s.FoundDead(avoidDeadFor) {
		return
	}
	r.mu.Lock()
	defer r.mu.Unlock()
	for m := range r.monitors {
		m.checkNow(s.Address())
	}
}

// addMonitor and removeMonitor maintain the set of running streams.
func (r *Relay) addMonitor(m *stallMonitor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	r.monitors[m] = struct{}{}
}

func (r *Relay) removeMonitor(m *stallMonitor) {
	r.mu.Lock()
	defer r.mu.Unlock()
	delete(r.monitors, m)
}

// avoidDeadFor is how long streams avoid an engine that does not answer. The registry drops a
// dead engine after three heartbeats; a live engine whose answer was lost is avoided for less
// time than that.
const avoidDeadFor = 2 * time.Second

// Reasons for failures, as callers and logs see them.
const (
	reasonNoServer = "no backend server can take the request"
	reasonNoPath   = "no path of engines can take the request"
	reasonRefused  = "the backend servers refused the request"
	reasonNoAnswer = "the backend server did not answer"
	reasonBadReply = "the answer of the backend server is damaged"
	reasonTimeout  = "the request did not finish in time"
	reasonInternal = "internal error"
)

// jitteredRetryTime returns a time between d/2 and 3d/2 from now, so that refused callers do not
// all retry at once.
func jitteredRetryTime(d time.Duration) time.Time {
	return time.Now().Add(d/2 + rand.N(d))
}

// notRunError returns the error for a request that did not run, with a retry time about the duration
// in from now.
func notRunError(reason string, in time.Duration, cause error) error {
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reason, RetryAt: jitteredRetryTime(in), Cause: cause})
}

// mayHaveRunError returns the error for a request that may have run. If cause is a passed
// deadline, the code and the reason are those of a timeout.
func mayHaveRunError(reason string, cause error) error {
	code := fault.Unavailable
	if errors.Is(cause, context.DeadlineExceeded) {
		code, reason = fault.Timeout, reasonTimeout
	}
	return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: code, Reason: reason, Cause: cause})
}

var (
	errRefused  = errors.New("refused by the server")
	errUnsigned = errors.New("answer without a valid signature")
	errUnstated = errors.New("status of a refusal without the statement that the request did not run")
)

// send makes one attempt and checks the header of its answer. An unsigned answer is returned as an
// error, and a refusal as an error together with the answer. So is an answer to a request that may run
// once, if its status would tell the caller that it did not run, which the server does not state. Every
// other answer is returned as it is, including errors of the service.
func (r *Relay) send(ctx context.Context, req *Request, a Attempt) (*Answer, error) {
	if req.attempts.Add(1) == 1 {
		r.cfg.Observe(MeasureWait, time.Since(req.Arrived).Seconds())
	}
	if req.mayHaveRun.Load() && !req.Route.Repeatable() {
		r.reportViolation(InvariantAttempts, req)
	}
	if req.addSent(a.Server.Address()) {
		// Attempts share their ID, which could not tell a repeated answer to an earlier one.
		a.ReuseConnection = false
	}
	ans, err := r.exchange(ctx, req, a)
	if err == nil || fault.VerdictOf(err) != fault.NotRun {
		req.mayHaveRun.Store(true)
	}
	return ans, err
}

// exchange is send without the bookkeeping of attempts.
func (r *Relay) exchange(ctx context.Context, req *Request, a Attempt) (*Answer, error) {
	incarnation, sentAt := a.Server.Incarnation(), pacer.Now()
	r.cfg.Pacer.CountSent(incarnation, req.attempts.Load() > 1)
	ans, err := r.cfg.Send(ctx, req, a)
	if err != nil {
		return nil, err
	}
	// A misdirected answer may come from another server, and one without a signature may have lost
	// its header.
	if !ans.Misdirected && (ans.Signed || ans.Rate.Named) {
		r.observeRate(a.Server, ans.Rate, sentAt)
	}
	if !ans.Misdirected {
		r.observeIntake(a.Server, ans, sentAt)
	} else if ans.RefusedBy == "" || ans.RefusedBy == a.Server.Address() {
		a.Server.RecordMisdirected()
	}
	if ans.Load != nil {
		a.Server.RecordLoad(ans.Load.Running, ans.Load.Waiting)
	}
	if ans.Refused {
		// Draining the body lets the connection be reused. A body that does not end within the
		// bounds costs the connection.
		if ans.SetReadDeadline == nil || ans.SetReadDeadline(time.Now().Add(refusalReadTimeout)) == nil {
			_, _ = io.Copy(io.Discard, io.LimitReader(ans.Body, maxRefusalBytes))
		}
		_ = ans.Body.Close()
		return ans, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: reasonRefused, Cause: errRefused})
	}
	if !ans.Signed {
		_ = ans.Body.Close()
		return nil, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: reasonBadReply, Cause: errUnsigned})
	}
	if ans.ImpliesNotRun && !req.Route.Repeatable() {
		_ = ans.Body.Close()
		return nil, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: reasonBadReply, Cause: errUnstated})
	}
	return ans, nil
}

// observeRate takes what an answer of a server says of its rate.
func (r *Relay) observeRate(s *server.Server, n NamedRate, sentAt time.Duration) {
	r.cfg.Pacer.Observe(pacer.Statement{Server: s.Incarnation(), ID: s.ID(), Named: n.Named, Rate: n.Value, Unreadable: n.Unreadable, SentAt: sentAt})
}

// fetchReportSafely is fetchReport, but turns a panic into an error that says nothing about the engine.
func (r *Relay) fetchReportSafely(ctx context.Context, address string) (report Report, err error) {
	err = &InvalidReportError{Address: address, Cause: errPanic}
	r.safelyFor("address", address, func() { report, err = r.fetchReport(ctx, address) })
	return report, err
}

// errPanic is the cause of errors that stand for a panic.
var errPanic = errors.New("panic while the report was read")

// fetchReport queries an engine for its report. Reports lag, so one without a rate does not end a
// limit.
func (r *Relay) fetchReport(ctx context.Context, address string) (Report, error) {
	sentAt, s := pacer.Now(), r.cfg.Servers.ByAddress(address)
	if s != nil {
		for _, o := range r.cfg.Servers.Rivals(s) {
			if o.IsBelieved(s) {
				s = o
			}
		}
	}
	report, err := r.cfg.FetchReport(ctx, address)
	if err == nil && s != nil && report.Rate.Named {
		r.observeRate(s, report.Rate, sentAt)
	}
	if err == nil && s != nil && (report.Started == 0 || report.Started == s.Entry().Started) {
		r.cfg.Intake.Observe(intake.Statement{Said: report.Intake, Server: s.Incarnation(), ID: s.ID(), Source: "report"})
	}
	return report, err
}

const (
	// maxRefusalBytes bounds how much of a refusal's body is drained to reuse the connection.
	maxRefusalBytes = 4 << 10
	// refusalReadTimeout bounds that read, because the next server is tried only after it.
	refusalReadTimeout = 20 * time.Millisecond
)
