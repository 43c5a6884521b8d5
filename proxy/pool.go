package proxy

import (
	"context"
	"math/rand"
	"net/http"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/retry"
)

// PoolConfig holds the parts of a Pool.
type PoolConfig struct {
	Servers func(service string) []fleet.Candidate // ready servers
	Begin   func(server string)                    // a call is sent
	End     func(server string)                    // its answer has ended
	Failed  func(server string)
	Worked  func(server string)
	Do      func(ctx context.Context, address string, call Call) (*Answer, error)
	Retry   float64    // repeated calls as a share of all; 0 for 0.1
	Hedge   float64    // hedged lookups as a share of all; 0 for 0.05
	Rand    *rand.Rand // nil for a random seed
}

// Pool sends calls to the servers of plain services.
type Pool struct {
	cfg     PoolConfig
	meter   *meter
	retries *retry.Budget
	hedges  *retry.Budget
}

// NewPool returns a pool.
func NewPool(cfg PoolConfig) *Pool {
	if cfg.Retry == 0 {
		cfg.Retry = 0.1
	}
	if cfg.Hedge == 0 {
		cfg.Hedge = 0.05
	}
	if cfg.Rand == nil {
		cfg.Rand = rand.New(rand.NewSource(time.Now().UnixNano()))
	}
	return &Pool{cfg: cfg, meter: newMeter(cfg.Rand), retries: newBudget(cfg.Retry), hedges: newBudget(cfg.Hedge)}
}

// PoolOf returns a pool over the servers of a table.
func PoolOf(t *fleet.Table, c *Client) *Pool {
	return NewPool(PoolConfig{Servers: t.Servers, Begin: t.BeginRequest, End: t.EndRequest, Failed: t.RequestFailed, Worked: t.RequestSucceeded, Do: c.Do})
}

// maxTries bounds the servers tried for one call.
const maxTries = 3

// Send sends a call to a server of the service. After a failure it tries
// another server within the retry budget: always when the call was not run, and
// when it may have run only if it is idempotent. The verdict of the error holds
// for all tries together.
func (p *Pool) Send(ctx context.Context, service string, call Call) (*Answer, error) {
	p.retries.AddRequest()
	p.hedges.AddRequest()
	tried := &tries{avoid: map[string]bool{}}
	for {
		c, ok := p.meter.pick(p.cfg.Servers(service), tried.avoid)
		if !ok {
			return nil, tried.error()
		}
		a, err := p.try(ctx, service, c, call, tried)
		switch {
		case err == nil && (a.Status < 500 || !call.Idempotent):
			return a, nil
		case err == nil:
			// A 5xx without the statement that the call was not run.
			if tried.count == maxTries || !p.other(service, tried) || !p.retries.TryRetry() {
				return a, nil
			}
			tried.add(fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the service failed"}))
			_ = a.Body.Close()
			continue
		}
		tried.add(err)
		if !tried.again(ctx, call) || !p.other(service, tried) || !p.retries.TryRetry() {
			return nil, tried.error()
		}
	}
}

// other tells whether a server is left to try.
func (p *Pool) other(service string, t *tries) bool {
	_, ok := p.meter.pick(p.cfg.Servers(service), t.avoid)
	return ok
}

// tries collects what happened to one call.
type tries struct {
	avoid map[string]bool
	count int
	last  error
	ran   bool // a try may have run
}

func (t *tries) add(err error) {
	t.last = err
	if fault.VerdictOf(err) != fault.NotRun {
		t.ran = true
	}
}

// again tells whether the call may be tried once more.
func (t *tries) again(ctx context.Context, call Call) bool {
	if t.count >= maxTries || past(ctx, call.By) != nil {
		return false
	}
	return !t.ran || call.Idempotent
}

// error returns the error of the whole call, with a time to retry.
func (t *tries) error() error {
	if t.last == nil {
		return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "no backend server of the service is ready", RetryAt: time.Now().Add(time.Second)})
	}
	cfg := fault.Config{Verdict: fault.NotRun, Code: fault.CodeOf(t.last), Reason: "no backend server took the call", Cause: t.last}
	if t.ran {
		cfg.Verdict, cfg.Reason = fault.MayHaveRun, "the call was sent and no answer arrived"
	}
	at, ok := fault.RetryAt(t.last)
	if !ok {
		at = time.Now().Add(time.Second)
	}
	cfg.RetryAt = at
	return fault.New(cfg)
}

// try sends the call to one server, and for a slow lookup to a second one.
func (p *Pool) try(ctx context.Context, service string, c fleet.Candidate, call Call, t *tries) (*Answer, error) {
	t.avoid[c.Name] = true
	t.count++
	wait := p.meter.slow(service)
	lookup := call.Idempotent && (call.Method == http.MethodGet || call.Method == http.MethodHead)
	if !lookup || wait == 0 {
		return p.exchange(ctx, service, c, call)
	}
	return p.hedge(ctx, service, c, call, t, wait)
}

// reply is the result of one of two exchanges.
type reply struct {
	answer *Answer
	err    error
	index  int
}

// hedge sends a lookup to a second server when the first has not answered for
// the given time. The first answer wins and the other exchange is cancelled.
func (p *Pool) hedge(ctx context.Context, service string, c fleet.Candidate, call Call, t *tries, wait time.Duration) (*Answer, error) {
	replies := make(chan reply, 2)
	var cancels []context.CancelFunc
	send := func(c fleet.Candidate) {
		ctx, cancel := context.WithCancel(ctx)
		n := len(cancels)
		cancels = append(cancels, cancel)
		go func() {
			a, err := p.exchange(ctx, service, c, call)
			replies <- reply{a, err, n}
		}()
	}
	send(c)
	timer := time.NewTimer(wait)
	defer timer.Stop()
	for open := 1; ; {
		select {
		case <-timer.C:
			if c, ok := p.meter.pick(p.cfg.Servers(service), t.avoid); ok && !c.Ejected && p.hedges.TryRetry() {
				t.avoid[c.Name] = true
				t.count++
				open++
				send(c)
			}
		case r := <-replies:
			open--
			if r.err != nil && open > 0 {
				t.add(r.err)
				cancels[r.index]()
				continue
			}
			p.drop(replies, open, cancels, r.index)
			if r.err != nil {
				cancels[r.index]()
				return nil, r.err
			}
			r.answer.Body = &ending{ReadCloser: r.answer.Body, end: cancels[r.index]}
			return r.answer, nil
		}
	}
}

// drop cancels the exchange that lost and closes its answer.
func (p *Pool) drop(replies chan reply, open int, cancels []context.CancelFunc, winner int) {
	for i, cancel := range cancels {
		if i != winner {
			cancel()
		}
	}
	if open == 0 {
		return
	}
	go func() {
		if r := <-replies; r.err == nil {
			_ = r.answer.Body.Close()
		}
	}()
}

// exchange sends the call to one server and reports the result to the table.
func (p *Pool) exchange(ctx context.Context, service string, c fleet.Candidate, call Call) (*Answer, error) {
	start := time.Now()
	p.cfg.Begin(c.Name)
	if call.Sent != nil {
		call.Sent(c.Name)
	}
	a, err := p.cfg.Do(ctx, c.Address, call)
	if err != nil {
		p.cfg.End(c.Name)
		if ctx.Err() == nil { // else the caller or the other exchange ended it
			p.cfg.Failed(c.Name)
		}
		return nil, err
	}
	p.cfg.Worked(c.Name)
	p.meter.add(service, c.Name, time.Since(start))
	a.Body = &ending{ReadCloser: a.Body, end: func() { p.cfg.End(c.Name) }}
	return a, nil
}
