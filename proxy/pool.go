package proxy

import (
	"context"
	"math/rand"
	"net/http"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/retry"
)

// PoolConfig configures a Pool.
type PoolConfig struct {
	Servers   func(service string) []fleet.Candidate // returns the ready servers of a service
	OnStart   func(server string)                    // a call is sent to the server
	OnEnd     func(server string)                    // the answer of the call has ended, or the call failed
	OnFailure func(server string)                    // a call failed
	OnSuccess func(server string)                    // the header of an answer arrived
	Do        func(ctx context.Context, address string, call Call) (*Answer, error)
	// Probe reads the load report of a server, to find out whether it crashed; nil for
	// no probes.
	Probe      func(ctx context.Context, address string) (engine.LoadReport, error)
	Guard      *guard.Guard // refuses calls that crash servers; nil for one that shares its evidence with no other process
	RetryShare float64      // maximum share of retries in all calls; 0 for 0.1
	HedgeShare float64      // maximum share of hedged lookups in all calls; 0 for 0.05
	// Intake knows which servers asked for a pause; nil for a new one that logs nothing.
	Intake *intake.Tracker
	Rand   *rand.Rand // nil for a random seed
}

// Pool sends calls to the backend servers of plain services.
type Pool struct {
	cfg       PoolConfig
	latencies *latencyTracker
	retries   *retry.Budget
	hedges    *retry.Budget
}

// NewPool returns a pool with the given configuration.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.RetryShare == 0 {
		cfg.RetryShare = 0.1
	}
	if cfg.HedgeShare == 0 {
		cfg.HedgeShare = 0.05
	}
	if cfg.Guard == nil {
		cfg.Guard = guard.New(guard.Config{})
	}
	if cfg.Intake == nil {
		cfg.Intake = intake.New(intake.Config{Log: zerolog.Nop()})
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	return &Pool{cfg: cfg, latencies: newLatencyTracker(cfg.Rand), retries: newBudget(cfg.RetryShare), hedges: newBudget(cfg.HedgeShare)}
}

// TablePoolConfig holds the dependencies of a pool over the servers of a table.
type TablePoolConfig struct {
	Table   *fleet.Table
	Client  *Client         // sends the calls
	Engines *engine.Client  // reads load reports
	Guard   *guard.Guard    // see PoolConfig
	Intake  *intake.Tracker // see PoolConfig
}

// NewTablePool returns a pool that sends calls to the servers of a table.
func NewTablePool(cfg TablePoolConfig) *Pool {
	t := cfg.Table
	return NewPool(PoolConfig{
		Servers: t.Servers, OnStart: t.BeginRequest, OnEnd: t.EndRequest, OnFailure: t.RequestFailed, OnSuccess: t.RequestSucceeded,
		Do: cfg.Client.Do, Probe: cfg.Engines.Load, Guard: cfg.Guard, Intake: cfg.Intake,
	})
}

// maxAttempts is the maximum number of servers tried for one call.
const maxAttempts = 3

// Send sends a call to a server of the service. After a failure it tries another
// server within the retry budget: always if the call was not run, and if it may
// have run only if the call is idempotent. The verdict of the error applies to all
// attempts together.
func (p *Pool) Send(ctx context.Context, service string, call Call) (*Answer, error) {
	p.retries.AddRequest()
	p.hedges.AddRequest()
	tried := &attempts{servers: map[string]bool{}, suspicion: p.cfg.Guard.Open(call.Identity)}
	defer tried.suspicion.Close()
	for {
		if err := tried.suspicion.Admit(ctx, call.Deadline, tried.mayHaveRun); err != nil {
			return nil, err
		}
		c, ok := p.latencies.choose(p.servers(service), tried.servers)
		if !ok {
			if err := p.refuseAtRest(service); err != nil && tried.lastErr == nil {
				return nil, err
			}
			return nil, tried.finalError()
		}
		if !p.cfg.Intake.Reserve(incarnation(&c)) {
			continue // another call took its place
		}
		a, err := p.attempt(ctx, service, c, call, tried)
		if err == nil {
			tried.suspicion.RecordAnswered()
		}
		switch {
		case err == nil && (a.Status < 500 || !call.Idempotent):
			return a, nil
		case err == nil:
			// A 5xx answer without the not-run header: the call may have run.
			if tried.count == maxAttempts || !p.hasUntried(service, tried) || !p.retries.TryRetry() {
				return a, nil
			}
			tried.add(fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the service failed"}))
			_ = a.Body.Close()
			continue
		}
		tried.add(err)
		if engine.IsUnconnected(err) {
			tried.silent = append(tried.silent, c.Name)
		}
		if tried.mayRetry(ctx, call) && p.hasUntried(service, tried) && p.retries.TryRetry() {
			continue
		}
		if !tried.readmitSilent(ctx, call) {
			return nil, tried.finalError()
		}
	}
}

// hasUntried reports whether a server is left that was not tried.
func (p *Pool) hasUntried(service string, t *attempts) bool {
	_, ok := p.latencies.choose(p.servers(service), t.servers)
	return ok
}

// attempts records the attempts of one call.
type attempts struct {
	servers    map[string]bool
	count      int
	lastErr    error
	mayHaveRun bool        // an attempt may have run
	silent     []string    // servers that took no connection in time
	suspicion  *guard.Case // servers that crashed under the call
}

// readmitSilent lets the call go to silent servers once more, and reports whether
// there is one. No server has received the call, so this takes no retry from the
// budget; each try lasts for the timeout of a connection, until the deadline.
func (t *attempts) readmitSilent(ctx context.Context, call Call) bool {
	if len(t.silent) == 0 || t.mayHaveRun || call.Deadline.IsZero() || checkNotExpired(ctx, call.Deadline) != nil {
		return false
	}
	for _, name := range t.silent {
		delete(t.servers, name)
		t.count--
	}
	t.silent = nil
	return true
}

// add records the error of an attempt.
func (t *attempts) add(err error) {
	t.lastErr = err
	if fault.VerdictOf(err) != fault.NotRun {
		t.mayHaveRun = true
	}
}

// mayRetry reports whether the call may be sent once more.
func (t *attempts) mayRetry(ctx context.Context, call Call) bool {
	if t.count >= maxAttempts || checkNotExpired(ctx, call.Deadline) != nil {
		return false
	}
	return !t.mayHaveRun || call.Idempotent
}

// finalError returns the error of the whole call, with a retry time.
func (t *attempts) finalError() error {
	if t.lastErr == nil {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "no backend server of the service is ready", RetryAt: time.Now().Add(time.Second)})
	}
	cfg := fault.Config{Verdict: fault.NotRun, Code: fault.CodeOf(t.lastErr), Reason: "no backend server took the call", Cause: t.lastErr}
	if t.mayHaveRun {
		cfg.Verdict, cfg.Reason = fault.MayHaveRun, "the call was sent and no answer arrived"
	}
	if t.suspicion.Suspect() {
		cfg.Code, cfg.Reason = fault.Crashed, "a backend server crashed while it ran the call"
	}
	at, ok := fault.RetryAt(t.lastErr)
	if !ok {
		at = time.Now().Add(time.Second)
	}
	cfg.RetryAt = at
	return fault.New(cfg)
}

// attempt sends the call to one server, and if it is a lookup that takes
// unusually long, also to a second one.
func (p *Pool) attempt(ctx context.Context, service string, c fleet.Candidate, call Call, t *attempts) (*Answer, error) {
	t.servers[c.Name] = true
	t.count++
	wait := p.latencies.hedgeDelay(service)
	lookup := call.Idempotent && (call.Method == http.MethodGet || call.Method == http.MethodHead)
	if !lookup || wait == 0 || t.suspicion.Suspect() {
		a, err := p.exchange(ctx, service, c, call)
		p.recordCut(ctx, t, c, err)
		return a, err
	}
	return p.hedge(ctx, service, c, call, t, wait)
}

// crashProbeTimeout bounds the question to a server whether it crashed. One that
// crashed refuses the connection at once.
const crashProbeTimeout = 250 * time.Millisecond

// recordCut records that a server broke off the exchange of a call, and finds out
// whether it crashed.
func (p *Pool) recordCut(ctx context.Context, t *attempts, c fleet.Candidate, err error) {
	if p.cfg.Probe == nil || err == nil || fault.VerdictOf(err) != fault.MayHaveRun || (fault.CodeOf(err) != fault.Unavailable && fault.CodeOf(err) != fault.Damaged) {
		return
	}
	server := guard.Server(c.Name, c.Boot)
	t.suspicion.RecordCut(server)
	ctx, cancel := context.WithTimeout(ctx, crashProbeTimeout)
	defer cancel()
	load, err := p.cfg.Probe(ctx, c.Address)
	t.suspicion.RecordProbe(server, c.Boot, load, err)
}

// exchangeResult is the result of one of the two exchanges of a hedged lookup.
type exchangeResult struct {
	server fleet.Candidate
	answer *Answer
	err    error
	index  int
}

// failed reports whether another exchange may still give a better result.
func (r *exchangeResult) failed() bool { return r.err != nil || r.answer.Status >= 500 }

// hedge sends a lookup to a second server if the first has not answered within
// wait. The first answer that is no failure is returned and the other exchange is
// cancelled.
func (p *Pool) hedge(ctx context.Context, service string, c fleet.Candidate, call Call, t *attempts, wait time.Duration) (*Answer, error) {
	replies := make(chan exchangeResult, 2)
	var cancels []context.CancelFunc
	send := func(c fleet.Candidate) {
		ctx, cancel := context.WithCancel(ctx)
		n := len(cancels)
		cancels = append(cancels, cancel)
		go func() {
			a, err := p.exchange(ctx, service, c, call)
			replies <- exchangeResult{c, a, err, n}
		}()
	}
	send(c)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	var failure *exchangeResult // an answer with status 5xx
	for pending := 1; ; {
		select {
		case <-timer.C:
			if c, ok := p.latencies.choose(p.servers(service), t.servers); ok && !c.Ejected && p.hedges.TryRetry() && p.cfg.Intake.Reserve(incarnation(&c)) {
				t.servers[c.Name] = true
				t.count++
				pending++
				send(c)
			}
		case r := <-replies:
			pending--
			p.recordCut(ctx, t, r.server, r.err)
			if r.failed() && pending > 0 {
				if r.err == nil {
					failure = &r
					continue
				}
				t.add(r.err)
				cancels[r.index]()
				continue
			}
			if failure != nil && r.err != nil {
				t.add(r.err)
				cancels[r.index]()
				r, failure = *failure, nil
			}
			if failure != nil {
				_ = failure.answer.Body.Close()
			}
			p.discardLoser(replies, pending, cancels, r.index)
			if r.err != nil {
				cancels[r.index]()
				return nil, r.err
			}
			r.answer.Body = &bodyWithHook{ReadCloser: r.answer.Body, onClose: cancels[r.index]}
			return r.answer, nil
		}
	}
}

// discardLoser cancels the other exchange and closes its answer.
func (p *Pool) discardLoser(replies chan exchangeResult, pending int, cancels []context.CancelFunc, winner int) {
	for i, cancel := range cancels {
		if i != winner {
			cancel()
		}
	}
	if pending == 0 {
		return
	}
	go func() {
		if r := <-replies; r.err == nil {
			_ = r.answer.Body.Close()
		}
	}()
}

// exchange sends the call to one server and reports the result through the
// callbacks of PoolConfig.
func (p *Pool) exchange(ctx context.Context, service string, c fleet.Candidate, call Call) (*Answer, error) {
	start, sentAt := time.Now(), intake.Now()
	p.cfg.OnStart(c.Name)
	if call.OnSend != nil {
		call.OnSend(c.Name)
	}
	a, err := p.cfg.Do(ctx, c.Address, call)
	p.observe(&c, err, sentAt)
	if err != nil {
		p.cfg.OnEnd(c.Name)
		if ctx.Err() == nil { // otherwise the caller or the other exchange cancelled it
			p.cfg.OnFailure(c.Name)
		}
		return nil, err
	}
	p.cfg.OnSuccess(c.Name)
	p.latencies.add(service, c.Name, time.Since(start))
	a.Body = &bodyWithHook{ReadCloser: a.Body, onClose: func() { p.cfg.OnEnd(c.Name) }}
	return a, nil
}
