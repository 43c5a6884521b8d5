package edge

import (
	"context"
	"math/rand/v2"
	"net/http"
	"sync/atomic"
	"time"

	"github.com/rs/zerolog"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/relay"
)

// The age of the configuration at which a process that has lost the store changes its
// behaviour, as fractions of the time after which a revoked key must be refused.
const (
	// rejectKeysFraction: requests that need a key are refused. The rest of the time
	// covers a request on its way to a backend server.
	rejectKeysFraction = 0.84
	// uncertainFraction: an unknown key or route may have been added since, so the
	// caller is told to retry. Pollers confirm the configuration every second or
	// faster.
	uncertainFraction = 0.4
	// unreadyFraction: callers are told to use other processes.
	unreadyFraction = 0.66
)

const (
	// defaultTimeout bounds a request for which neither the caller nor the route
	// states a timeout.
	defaultTimeout = 30 * time.Second
	// noConfigRetry is the retry delay given by a process without a configuration.
	noConfigRetry = 500 * time.Millisecond
	// staleRetry is the retry delay given by a process that has lost the store. It is
	// short because another process takes the request at once.
	staleRetry = 100 * time.Millisecond
	// acceptWhileLeaving is how long a stopping process still accepts requests:
	// callers cache its address for a while.
	acceptWhileLeaving = 2800 * time.Millisecond
)

// Handler admits calls, routes them and passes them to the relay.
type Handler struct {
	tracker       *config.Tracker
	relay         *relay.Relay
	keyRevocation time.Duration  // after which a revoked key must be refused
	log           zerolog.Logger // lines about requests
	processLog    zerolog.Logger
	sample        logs.Sampler
	counters      *counters
	leavingSince  atomic.Int64 // Unix nanoseconds of the stop; 0 while running
	state         *sharedState
	gracePeriod   time.Duration // from SIGTERM to SIGKILL
	inflight      atomic.Int64
}

// ready reports whether callers should connect to this process.
func (h *Handler) ready() bool {
	return h.leavingSince.Load() == 0 && h.tracker.Current() != nil && h.tracker.Age() < h.maxAge(unreadyFraction)
}

// maxAge returns a fraction of the time after which a revoked key must be refused.
func (h *Handler) maxAge(fraction float64) time.Duration {
	return time.Duration(fraction * float64(h.keyRevocation))
}

// maxBody returns the largest body of a call in bytes.
func (h *Handler) maxBody() int64 {
	if c := h.tracker.Current(); c != nil && c.Limits().BodyBytes > 0 {
		return c.Limits().BodyBytes
	}
	const withoutConfig = 1 << 20 // without a configuration, the call is refused in any case
	return withoutConfig
}

// limits returns the limits of callers; the zero value without a configuration.
func (h *Handler) limits() config.Limits {
	if c := h.tracker.Current(); c != nil {
		return c.Limits()
	}
	return config.Limits{}
}

func (h *Handler) isLeaving() bool { return h.leavingSince.Load() != 0 }

// refuse returns the error of a call that was not run. The retry time is spread between
// 0.5 and 1.5 times the delay, so that callers don't all come back at once; no delay
// means that a retry doesn't help.
func refuse(code fault.Code, reason string, retryDelay time.Duration) error {
	cfg := fault.Config{Verdict: fault.NotRun, Code: code, Reason: reason}
	if retryDelay > 0 {
		cfg.RetryAt = time.Now().Add(retryDelay/2 + rand.N(retryDelay))
	}
	return fault.New(cfg)
}

// Serve handles a call and writes the answer to the sink.
func (h *Handler) Serve(ctx context.Context, c *platform.Call, sink relay.Sink) error {
	h.inflight.Add(1)
	defer h.inflight.Add(-1)
	started := false
	start := sink.Start
	sink.Start = func(status int, header http.Header, length int64) {
		started = true
		start(status, header, length)
	}
	rq, err := h.admit(c)
	if err == nil {
		err = h.relay.Serve(ctx, rq, sink)
	}
	h.logOutcome(ctx, c, rq, err, started)
	return err
}

// logPanic records a panic while a call was handled.
func (h *Handler) logPanic(id string, value any, stack []byte) {
	h.counters.event("panic")
	h.log.Error().Str("id", label.Short(id)).Interface("panic", value).Bytes("stack", stack).Msg("panic while a request was handled")
}

// admit checks the key of a call and returns the request to relay.
func (h *Handler) admit(c *platform.Call) (*relay.Request, error) {
	conf, age := h.tracker.Latest()
	if conf == nil {
		return nil, refuse(fault.Unavailable, "no configuration yet", noConfigRetry)
	}
	if at := h.leavingSince.Load(); at != 0 && time.Since(time.Unix(0, at)) > acceptWhileLeaving {
		return nil, refuse(fault.Leaving, "this process stops", staleRetry)
	}
	route, account, err := h.permit(conf, age, c)
	if err != nil {
		return nil, err
	}
	name := route.PickService(rand.Float64())
	service, ok := conf.Service(name)
	if !ok {
		service = config.Service{Name: name}
	}
	rq := &relay.Request{
		ID: c.ID, Route: route, Service: service, Account: account, Version: conf.Version(),
		Method: c.Method, Target: c.Target, Host: c.Host, Header: c.Header, Body: c.Body,
		Arrived: c.Arrived, Deadline: c.Arrived.Add(h.timeout(c, route)),
		LastEventID: c.LastEventID, Model: c.Model, PromptTokens: c.PromptTokens, MaxAnswerTokens: c.MaxAnswerTokens, AnswerTokensHint: c.ExpectedAnswerTokens,
		PromptParts: c.PromptParts,
	}
	rq.Allowed = func() error { return h.recheck(c, rq) }
	return rq, nil
}

// permit returns the route and the account of a call in a configuration that was known to be the newest one
// age ago; no account on routes without keys.
func (h *Handler) permit(conf *config.Config, age time.Duration, c *platform.Call) (*config.Route, *config.Account, error) {
	route := conf.Match(c.Host, c.Path)
	if route == nil {
		if age > h.maxAge(uncertainFraction) {
			return nil, nil, refuse(fault.Unavailable, "the configuration may be old", staleRetry)
		}
		return nil, nil, refuse(fault.NotFound, "no route for this path", 0)
	}
	if route.Public() || !conf.HasAccounts() {
		return route, nil, nil
	}
	if age > h.maxAge(rejectKeysFraction) {
		return nil, nil, refuse(fault.Unavailable, "the keys may be old", staleRetry)
	}
	account := conf.Account(c.APIKey)
	if account == nil {
		if age > h.maxAge(uncertainFraction) {
			return nil, nil, refuse(fault.Unavailable, "the key may be newer than the configuration", staleRetry)
		}
		return nil, nil, refuse(fault.Unauthorized, "the key is unknown", 0)
	}
	return route, account, nil
}

// recheck returns the error for an admitted call that was held back and that the configuration now in effect
// does not allow. One that it serves in another way is refused with a time to come back.
func (h *Handler) recheck(c *platform.Call, rq *relay.Request) error {
	conf, age := h.tracker.Latest()
	if conf.Version() == rq.Version && (rq.Account == nil || age <= h.maxAge(rejectKeysFraction)) {
		return nil
	}
	route, account, err := h.permit(conf, age, c)
	if err != nil {
		return err
	}
	sameAccount := (account == nil) == (rq.Account == nil) && (account == nil || account.Name == rq.Account.Name)
	if !sameAccount || route.Kind() != rq.Route.Kind() || !route.LeadsTo(rq.Service.Name) {
		return refuse(fault.Unavailable, "the configuration has changed", staleRetry)
	}
	return nil
}

// timeout returns the time that a call may take: the smaller of the caller's and the
// route's.
func (h *Handler) timeout(c *platform.Call, route *config.Route) time.Duration {
	timeout := defaultTimeout
	if route.Timeout() > 0 {
		timeout = route.Timeout()
	}
	if c.Timeout > 0 {
		timeout = min(timeout, c.Timeout)
	}
	return timeout
}

// logOutcome counts a call and logs its outcome: every failure, and a sample of the
// calls that succeeded. started means that a part of the answer was sent.
func (h *Handler) logOutcome(ctx context.Context, c *platform.Call, rq *relay.Request, err error, started bool) {
	took := time.Since(c.Arrived)
	outcome := "served"
	if err != nil {
		outcome = string(fault.CodeOf(err))
		if ctx.Err() != nil {
			outcome = "left" // the caller disconnected
		}
	}
	h.counters.request(outcome, took)
	e := h.log.Info()
	if err == nil {
		if !h.sample.Sample() {
			return
		}
		e = e.Uint64("unlogged", h.sample.ResetSkipped())
	}
	e = e.Str("id", label.Short(c.ID)).Str("outcome", outcome).Dur("took", took).Dur("age", h.tracker.Age())
	if rq != nil {
		e = e.Str("route", rq.Route.Name()).Str("kind", rq.Route.Kind().String()).Str("service", rq.Service.Name).
			Uint64("version", rq.Version).Dur("left", time.Until(rq.Deadline)).Strs("parts", label.ShortAll(rq.PromptParts))
	}
	if err != nil {
		if started && ctx.Err() == nil {
			h.counters.event("cut")
			e = e.Bool("cut", true)
		}
		e = e.Err(err).Str("verdict", fault.VerdictOf(err).String())
		if at, ok := fault.RetryAt(err); ok {
			e = e.Dur("retry", time.Until(at))
		}
	}
	e.Msg("request ended")
}
