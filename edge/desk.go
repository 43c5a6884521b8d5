package edge

import (
	"context"
	"math/rand/v2"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/relay"
)

const (
	// staleShare is the part of the bound on revoked keys after which a process
	// without the store no longer takes requests with a key. The rest covers a
	// request on its way to a backend server.
	staleShare = 0.84
	// doubtShare is the part after which an unknown key or route may be one that
	// was added since: pollers confirm the configuration every second or faster.
	doubtShare = 0.4
	// unreadyShare is the part after which it tells callers to go elsewhere.
	unreadyShare = 0.66
	// defaultWait bounds a request whose caller and route state no time.
	defaultWait = 30 * time.Second
	// noConfigRetry is the time to come back to a process that starts.
	noConfigRetry = 500 * time.Millisecond
	// staleRetry is the time to come back when this process has lost the store:
	// another process takes the request at once.
	staleRetry = 100 * time.Millisecond
	// acceptWhileLeaving is how long a process that stops goes on taking
	// requests: callers keep its address for a while.
	acceptWhileLeaving = 2800 * time.Millisecond
)

// Desk decides whether and where a call of a caller goes.
type Desk struct {
	holder   *config.Holder
	relay    *relay.Relay
	revoke   time.Duration
	log      zerolog.Logger
	sample   logs.Sampler
	count    *counters
	leaving  atomic.Int64 // Unix nanoseconds of the stop; 0 while running
	state    *deskState
	grace    time.Duration
	inflight atomic.Int64
}

// ready tells whether callers should come here.
func (d *Desk) ready() bool {
	return d.leaving.Load() == 0 && d.holder.Current() != nil && d.holder.Age() < d.part(unreadyShare)
}

func (d *Desk) part(share float64) time.Duration {
	return time.Duration(share * float64(d.revoke))
}

// maxBody returns the largest body of a call in bytes.
func (d *Desk) maxBody() int64 {
	if c := d.holder.Current(); c != nil && c.Limits().Body > 0 {
		return c.Limits().Body
	}
	const beforeConfig = 1 << 20 // such a call is refused anyway
	return beforeConfig
}

func (d *Desk) isLeaving() bool { return d.leaving.Load() != 0 }

func refuse(code fault.Code, reason string, in time.Duration) error {
	cfg := fault.Config{Verdict: fault.NotRun, Code: code, Reason: reason}
	if in > 0 {
		cfg.RetryAt = time.Now().Add(in/2 + rand.N(in))
	}
	return fault.New(cfg)
}

// Serve carries a call.
func (d *Desk) Serve(ctx context.Context, c *platform.Call, sink relay.Sink) error {
	d.inflight.Add(1)
	defer d.inflight.Add(-1)
	rq, err := d.admit(c)
	if err == nil {
		err = d.relay.Serve(ctx, rq, sink)
	}
	d.ended(ctx, c, rq, err)
	return err
}

// admit routes a call and checks its key.
func (d *Desk) admit(c *platform.Call) (*relay.Request, error) {
	conf, age := d.holder.Current(), d.holder.Age()
	if conf == nil {
		return nil, refuse(fault.Unavailable, "no configuration yet", noConfigRetry)
	}
	if at := d.leaving.Load(); at != 0 && time.Since(time.Unix(0, at)) > acceptWhileLeaving {
		return nil, refuse(fault.Leaving, "this process stops", staleRetry)
	}
	route := conf.Match(c.Host, c.Path)
	if route == nil {
		if age > d.part(doubtShare) {
			return nil, refuse(fault.Unavailable, "the configuration may be old", staleRetry)
		}
		return nil, refuse(fault.NotFound, "no route for this path", 0)
	}
	var account *config.Account
	if !route.Public() && conf.HasAccounts() {
		if age > d.part(staleShare) {
			return nil, refuse(fault.Unavailable, "the keys may be old", staleRetry)
		}
		if account = conf.Account(c.APIKey); account == nil {
			if age > d.part(doubtShare) {
				return nil, refuse(fault.Unavailable, "the key may be newer than the configuration", staleRetry)
			}
			return nil, refuse(fault.Unauthorized, "the key is unknown", 0)
		}
	}
	name := route.Service(rand.Float64())
	service, ok := conf.Service(name)
	if !ok {
		service = config.Service{Name: name}
	}
	return &relay.Request{
		ID: c.ID, Route: route, Service: service, Account: account, Version: conf.Version(),
		Method: c.Method, Target: c.Target, Host: c.Host, Header: c.Header, Body: c.Body,
		Arrived: c.Arrived, Deadline: c.Arrived.Add(d.wait(c, route)),
		LastEventID: c.LastEventID, PromptTokens: c.PromptTokens, MaxAnswerTokens: c.MaxAnswerTokens, AnswerTokensHint: c.ExpectedAnswerTokens,
	}, nil
}

func (d *Desk) wait(c *platform.Call, route *config.Route) time.Duration {
	wait := defaultWait
	if route.Timeout() > 0 {
		wait = route.Timeout()
	}
	if c.Timeout > 0 {
		wait = min(wait, c.Timeout)
	}
	return wait
}

// ended logs the outcome of a call: each failure, and a sample of the rest.
func (d *Desk) ended(ctx context.Context, c *platform.Call, rq *relay.Request, err error) {
	took := time.Since(c.Arrived)
	outcome := "served"
	if err != nil {
		outcome = string(fault.CodeOf(err))
		if ctx.Err() != nil {
			outcome = "left" // the caller went away
		}
	}
	d.count.request(outcome, took)
	e := d.log.Info()
	if err == nil {
		if !d.sample.Take() {
			return
		}
		e = e.Uint64("unlogged", d.sample.Skipped())
	}
	e = e.Str("id", c.ID).Str("outcome", outcome).Dur("took", took).Dur("age", d.holder.Age())
	if rq != nil {
		e = e.Str("route", rq.Route.Name()).Str("kind", rq.Route.Kind().String()).Str("service", rq.Service.Name).
			Uint64("version", rq.Version).Dur("left", time.Until(rq.Deadline))
	}
	if err != nil {
		e = e.Err(err).Str("verdict", fault.VerdictOf(err).String())
		if at, ok := fault.RetryAt(err); ok {
			e = e.Dur("retry", time.Until(at))
		}
	}
	e.Msg("request ended")
}
