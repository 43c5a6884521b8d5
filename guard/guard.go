// Package guard protects backend servers from requests that crash them. A request
// under which two servers crashed before they had answered, or that comes again after a
// crash, runs alone: such requests run one at a time for each service, so that the next
// crash tells which one is to blame and sound requests are answered. Evidence against a
// request and the messages of its prompt is collected in a poison.Tracker, which all
// entry processes share.
//
// A Guard has one lock. No function outside the package is called while it is held.
package guard

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"sync"
	"time"

	"github.com/VictoriaMetrics/metrics"
	"github.com/cespare/xxhash/v2"
	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/poison"
)

// Metrics of the package.
var (
	countQuarantined = metrics.NewCounter(`cranberrybay_quarantined`)
	countCrashed     = metrics.NewCounter(`cranberrybay_crashed`)
)

// RequestConfig holds what identifies a request. The idempotency key does not count: a
// repeat under the same key must have the same content.
type RequestConfig struct {
	Service  string
	Account  string // client account of the caller
	Method   string
	Path     string
	Body     []byte
	Messages []string // messages of a prompt, which other requests may share
}

// Request identifies a request and its repeats. The zero value identifies none.
type Request struct {
	service  string
	account  string
	hash     uint64
	identity poison.Part
	parts    []poison.Part // messages, then identity
}

// maxMessages bounds the messages of a prompt that count: the first one, which many
// requests share, and the last ones.
const maxMessages = 16

// NewRequest returns the identity of a request.
func NewRequest(cfg RequestConfig) Request {
	r := Request{service: cfg.Service, account: cfg.Account, identity: poison.RequestPart(cfg.Method, cfg.Service, cfg.Path, cfg.Account, cfg.Body)}
	r.hash = xxhash.Sum64String(r.identity.ID)
	m := cfg.Messages
	if len(m) > maxMessages {
		m = slices.Concat(m[:1], m[len(m)-maxMessages+1:])
	}
	for _, text := range m {
		p := poison.Part{Service: cfg.Service, ID: "message:" + strconv.FormatUint(xxhash.Sum64String(text), 16)}
		if !slices.Contains(r.parts, p) {
			r.parts = append(r.parts, p)
		}
	}
	r.parts = append(r.parts, r.identity)
	return r
}

// Server identifies an incarnation of a backend server that has failed. boot is "" for
// one that reports none; the second of the failure stands for it then.
func Server(name, boot string) uint64 {
	if boot == "" {
		boot = strconv.FormatInt(time.Now().Unix(), 10)
	}
	return xxhash.Sum64String(name + "/" + boot)
}

// HasCrashed reports whether a server has crashed, by the attempt to read its load
// report: it is gone, or another incarnation than boot answers.
func HasCrashed(boot string, load engine.LoadReport, err error) bool {
	return engine.IsGone(err) || err == nil && boot != "" && load.Boot != "" && load.Boot != boot
}

// Config holds the dependencies of a Guard.
type Config struct {
	Tracker *poison.Tracker // nil for one that shares nothing
	Log     zerolog.Logger
}

// Guard decides which requests may be sent to backend servers. It is safe for
// concurrent use.
type Guard struct {
	tracker *poison.Tracker
	log     zerolog.Logger
	mu      sync.Mutex
	trials  map[string]chan struct{} // by service, holds an element while a suspect has the turn
}

// New returns a Guard.
func New(cfg Config) *Guard {
	if cfg.Tracker == nil {
		cfg.Tracker = poison.New(poison.Config{})
	}
	return &Guard{tracker: cfg.Tracker, log: cfg.Log, trials: map[string]chan struct{}{}}
}

// RecordCrash records that an incarnation of a server has crashed, see Server.
func (g *Guard) RecordCrash(server uint64) { g.tracker.RecordCrash(server) }

// trial returns the channel for the suspects of a service.
func (g *Guard) trial(service string) chan struct{} {
	g.mu.Lock()
	defer g.mu.Unlock()
	if g.trials[service] == nil {
		g.trials[service] = make(chan struct{}, 1)
	}
	return g.trials[service]
}

// Case is one request with the servers that crashed under it. Its methods must not be
// called concurrently.
type Case struct {
	guard    *Guard
	request  Request
	crashes  int
	aloneAt  time.Time // when the request may be repeated alone
	came     bool      // the request came again after a crash
	alone    bool      // the last attempt is a trial
	answered bool
	release  func() // ends the turn of the suspect; nil without one
}

// Open returns the case of a request. The caller must close it.
func (g *Guard) Open(r Request) *Case {
	return &Case{guard: g, request: r, came: g.tracker.TracksRequests() && g.tracker.Crashes(r.identity) > 0}
}

const (
	// aloneAfter is the number of crashes after which a request is repeated alone. The
	// first repeat does not wait, since most crashes have another cause.
	aloneAfter = 2
	// maxCrashes is the number of servers that one request may crash. A sound request
	// that is repeated alone is hit again only by one that is new.
	maxCrashes = 3
	// trialPause is the time from a crash to a repeat alone. It exceeds the time within
	// which package poison takes two crashes for one.
	trialPause = 150 * time.Millisecond
	// maxTrial bounds the turn of a request, so that a slow one does not stop the others.
	maxTrial = 5 * time.Second
	// returnSpread spreads the return of callers after a quarantine, relative to the time
	// left.
	returnSpread = 0.25
)

// Suspect reports whether a server crashed under the request before it was answered.
func (c *Case) Suspect() bool { return c.crashes > 0 && !c.answered }

// Alone reports whether the request runs alone.
func (c *Case) Alone() bool { return (c.came || c.crashes >= aloneAfter) && !c.answered }

// Admit waits until the request may be sent to a server, until ctx or the deadline
// ends, which is zero for none. It must be called before each attempt. mayHaveRun tells
// whether a server may have run the request already. Errors are of type *fault.Error:
//   - fault.Quarantined with verdict NotRun for a request that was not sent
//   - fault.Crashed with verdict MayHaveRun for one that was, or under which servers
//     crashed
//   - fault.Timeout when its turn did not come in time, with verdict NotRun or
//     MayHaveRun likewise
//
// They have the time to come back.
func (c *Case) Admit(ctx context.Context, deadline time.Time, mayHaveRun bool) error {
	if err := c.check(mayHaveRun); err != nil || !c.Alone() {
		return err
	}
	if !deadline.IsZero() {
		var cancel context.CancelFunc
		ctx, cancel = context.WithDeadline(ctx, deadline)
		defer cancel()
	}
	if err := c.takeTurn(ctx); err != nil {
		cfg := fault.Config{Verdict: fault.NotRun, Code: fault.Timeout, Reason: "the deadline passed before the request could be sent alone", RetryAt: time.Now().Add(maxTrial), Cause: err}
		if mayHaveRun || c.crashes > 0 {
			cfg.Verdict = fault.MayHaveRun
		}
		return fault.New(cfg)
	}
	return c.check(mayHaveRun)
}

// takeTurn waits until the request may run alone in all processes.
func (c *Case) takeTurn(ctx context.Context) error {
	if c.release == nil {
		trial := c.guard.trial(c.request.service)
		select {
		case trial <- struct{}{}:
		case <-ctx.Done():
			return ctx.Err()
		}
		end := sync.OnceFunc(func() { <-trial })
		timer := time.AfterFunc(maxTrial, end)
		c.release = func() { timer.Stop(); end() }
	}
	wait := time.Until(c.aloneAt)
	for {
		select {
		case <-time.After(wait):
		case <-ctx.Done():
			return ctx.Err()
		}
		if wait = c.guard.tracker.TryAlone(c.request.identity, true); wait <= 0 {
			c.alone = true
			return nil
		}
	}
}

// check returns the error of a request that must not be sent, or nil.
func (c *Case) check(mayHaveRun bool) error {
	if c.answered {
		return nil
	}
	p, left, ok := c.guard.tracker.Blocked(c.request.parts)
	if !ok && c.crashes < maxCrashes {
		return nil
	}
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Crashed, Reason: "backend servers crashed while they ran this request or one like it", RetryAt: time.Now().Add(maxTrial)}
	if ok {
		cfg.RetryAt = time.Now().Add(left + rand.N(time.Duration(returnSpread*float64(left))+1))
	}
	if mayHaveRun || c.crashes > 0 {
		countCrashed.Inc()
		return fault.New(cfg)
	}
	countQuarantined.Inc()
	c.event(zerolog.InfoLevel).Str("suspect", p.ID).Dur("left", left).Msg("request refused, requests like it crashed backend servers")
	cfg.Verdict, cfg.Code, cfg.Reason = fault.NotRun, fault.Quarantined, "requests like this one crashed backend servers"
	return fault.New(cfg)
}

// event returns a log event that names the request.
func (c *Case) event(l zerolog.Level) *zerolog.Event {
	r := &c.request
	return c.guard.log.WithLevel(l).Str("service", r.service).Str("account", r.account).Str("request", strconv.FormatUint(r.hash, 16))
}

// RecordCut records that a server ended the request before it had answered. It counts
// once the server is found to have crashed.
func (c *Case) RecordCut(server uint64) {
	switch {
	case c.answered:
	case c.alone:
		c.guard.tracker.RecordTrialCut(server, c.request.hash, c.request.parts)
	default:
		c.guard.tracker.RecordCut(server, c.request.hash, c.request.parts)
	}
}

// RecordProbe records what the attempt to read the load report of a server, which RecordCut named and of which boot was
// the incarnation, tells of its end. One that neither answers nor refuses connections may have crashed behind something that
// goes on accepting them: until that is known, requests that would be refused if it had are held back in all processes.
func (c *Case) RecordProbe(server uint64, boot string, load engine.LoadReport, err error) {
	switch {
	case HasCrashed(boot, load, err):
		c.RecordCrash(server)
	case err != nil && !errors.Is(err, context.Canceled): // the caller has not left
		c.guard.tracker.RecordUnconfirmed(server)
	}
}

// RecordCrash records that a server, which RecordCut named, has crashed.
func (c *Case) RecordCrash(server uint64) {
	c.crashes++
	c.event(zerolog.WarnLevel).Int("crashes", c.crashes).Msg("backend server crashed under the request")
	c.aloneAt = time.Now().Add(trialPause)
	c.guard.RecordCrash(server)
}

// RecordAnswered records that a server has answered the request.
func (c *Case) RecordAnswered() {
	if c.answered {
		return
	}
	c.answered = true
	c.Close()
	c.guard.tracker.RecordAnswered(c.request.parts)
}

// Close ends the turn of a suspect.
func (c *Case) Close() {
	if c.release != nil {
		c.release()
		c.release = nil
	}
}
