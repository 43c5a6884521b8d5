package relay

import (
	"context"
	"errors"
	"io"
	"net/http"
	"runtime/debug"
	"slices"
	"time"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// hedgeDelayShare is the share of the route's target time after which an idempotent request
	// is also sent to a second server.
	hedgeDelayShare = 0.45
	// minHedgeDelay keeps services with very short targets from being hedged because of normal
	// variance in their response times.
	minHedgeDelay = 25 * time.Millisecond
	// maxAnswerBytes bounds an answer that is buffered until it is complete. Requests may have
	// 4 MB; answers of plain services have about 5 KB.
	maxAnswerBytes = 8 << 20
	// refusedRetryAfter is the retry time given to callers when all servers refused: a slot
	// becomes free within the duration of a request.
	refusedRetryAfter = 120 * time.Millisecond
)

// attemptResult is the outcome of one attempt at a plain service.
type attemptResult struct {
	server  *server.Server
	answer  *Answer
	body    []byte
	rest    io.Reader // what follows body, if there was no memory for it; else nil
	release func()    // returns the memory of body to the quota and ends rest; never nil in a result of attemptOnce
	err     error
	took    time.Duration
	unsent  bool // the request was not sent, as the server began to leave or to rest, or by refused
	refused bool // the wait before it ended with err as the answer to the request
}

// servePlain serves a request whose answer is returned as a whole. The answer is buffered until
// it is complete, so that a damaged one can be replaced by that of another attempt.
func (r *Relay) servePlain(ctx context.Context, req *Request, sink Sink) error {
	results := make(chan attemptResult, req.Route.Attempts()+1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tried := map[string]bool{}
	var completed []attemptResult
	sent, running := 0, 0
	defer func() {
		for _, res := range completed {
			res.release()
		}
		go func(running int) { // attempts in progress end with the context
			for range running {
				res := <-results
				res.release()
			}
		}(running)
	}()
	var refused error // by the evidence of crashes, the configuration or the stop of the process
	var last choice
	start := func(reason string, maxWait time.Duration) bool {
		if sent >= req.Route.Attempts() || (running > 0 && r.isSuspect(req)) {
			return false
		}
		endTrial, err := r.tryAlone(ctx, req, running > 0)
		if refused = err; err != nil {
			return false
		}
		srv, sendAt := r.pickAndReserve(req, tried, maxWait, &last)
		if srv == nil || (sent > 0 && !r.takeRetry(req)) {
			endTrial()
			return false
		}
		tried[srv.ID()] = true
		sent++
		running++
		if sent > 1 {
			r.cfg.Count("repeat")
			r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("server", srv.ID()).Int("attempt", sent).Str("reason", reason).Msg("request repeated")
		}
		go func() {
			defer endTrial()
			results <- r.attemptSafely(ctx, req, srv, sendAt)
		}()
		return true
	}
	// startOrWait also waits for servers that rest, if no other attempt runs.
	startOrWait := func(reason string) (started bool, err error) {
		for !start(reason, rateWait(req)) {
			noRetry := sent >= req.Route.Attempts() || (sent > 0 && r.cfg.Budget(req.Service.Name).Available() < 1)
			if refused != nil || running > 0 || noRetry {
				return false, nil
			}
			if waited, err := r.awaitRest(ctx, req, &last, func(s *server.Server) { delete(tried, s.ID()) }); !waited {
				return false, err
			}
		}
		return true, nil
	}
	if started, err := startOrWait("first"); !started {
		if refused != nil {
			return refused
		}
		if err != nil {
			return err
		}
		if err := r.refuseOverRate(req, refusedRetryAfter); err != nil {
			return err
		}
		return notRunError(reasonNoServer, noServerRetryAfter, nil)
	}
	var hedge <-chan time.Time
	if req.Route.Kind() == config.Idempotent {
		t := time.NewTimer(max(time.Duration(hedgeDelayShare*float64(req.Route.TargetLatency())), minHedgeDelay))
		defer t.Stop()
		hedge = t.C
	}
	var failed attemptResult
	var atRest error
	for running > 0 {
		select {
		case <-hedge:
			start("slow", 0)
		case res := <-results:
			running--
			completed = append(completed, res)
			if res.unsent {
				sent--
			}
			if res.err == nil && (res.answer.Status < http.StatusInternalServerError || req.Route.Kind() == config.AtMostOnce) {
				return deliver(res, sink)
			}
			failed = r.worseFailure(req, failed, res)
			if res.refused {
				refused = res.err
			} else if r.mayRetry(req, res) && failed.err == nil {
				start("failed", rateWait(req)) // the caller gets the error answer rather than wait
			} else if r.mayRetry(req, res) {
				_, atRest = startOrWait("failed")
			}
		}
	}
	if failed.err == nil {
		return deliver(failed, sink) // an error answer of the service itself
	}
	if fault.VerdictOf(failed.err) == fault.NotRun {
		if atRest != nil {
			return atRest
		}
		if refused != nil && fault.VerdictOf(refused) == fault.NotRun {
			return refused
		}
		return r.orAtRest(req, notRunError(reasonRefused, refusedRetryAfter, failed.err))
	}
	return mayHaveRunError(reasonNoAnswer, failed.err)
}

// noServerRetryAfter is the retry time given to callers when the service has no server that accepts
// work.
const noServerRetryAfter = 400 * time.Millisecond

// mayRetry reports whether another attempt is allowed after a failed one: the route is
// repeatable, or the server did not run the request.
func (r *Relay) mayRetry(req *Request, res attemptResult) bool {
	return req.Route.Repeatable() || (res.err != nil && fault.VerdictOf(res.err) == fault.NotRun)
}

// worseFailure logs a failed attempt and returns the result that the caller gets if no attempt
// succeeds. An error answer of the service takes precedence over a failure that may have run, and
// that over a refusal.
func (r *Relay) worseFailure(req *Request, old, res attemptResult) attemptResult {
	e := r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("server", res.server.ID()).Dur("took", res.took).Strs("parts", label.ShortAll(req.PromptParts)).Str("request", req.identity().ID)
	if res.err != nil {
		e.Err(res.err).Str("verdict", fault.VerdictOf(res.err).String()).Msg("attempt failed")
	} else {
		e.Int("status", res.answer.Status).Msg("server answered with an error")
	}
	switch {
	case old.server == nil || res.err == nil:
		return res
	case old.err != nil && fault.VerdictOf(old.err) == fault.NotRun:
		return res
	default:
		return old
	}
}

// attemptSafely is attemptOnce, but turns a panic into a failed attempt: it would end the process with all of its
// requests.
func (r *Relay) attemptSafely(ctx context.Context, req *Request, srv *server.Server, sendAt time.Time) (res attemptResult) {
	res = attemptResult{server: srv, err: mayHaveRunError(reasonInternal, nil), release: func() {}}
	if !r.safely(req.ID, func() { res = r.attemptOnce(ctx, req, srv, sendAt) }) {
		req.mayHaveRun.Store(true)
	}
	return res
}

// safely calls f for a request and reports whether it returned. A panic is logged; on a goroutine of its own it would
// end the process with all of its requests.
func (r *Relay) safely(id string, f func()) (returned bool) {
	return r.safelyFor("id", id, f)
}

// safelyFor is safely for work that several requests may share. A panic is logged with the name and value of what the
// work is for.
func (r *Relay) safelyFor(name, value string, f func()) (returned bool) {
	defer func() {
		if cause := recover(); cause != nil {
			r.cfg.Count("panic")
			r.cfg.Log.Error().Str(name, value).Interface("panic", cause).Bytes("stack", debug.Stack()).Msg("panic while a request was handled")
		}
	}()
	f()
	return true
}

// attemptOnce makes one attempt, at sendAt, and reads the whole answer.
func (r *Relay) attemptOnce(ctx context.Context, req *Request, srv *server.Server, sendAt time.Time) attemptResult {
	slept := time.Until(sendAt) > 0
	if err := r.wait(ctx, req, awaited{at: sendAt, retryIn: leavingRetryAfter}); isAnswer(err) {
		return attemptResult{server: srv, err: err, release: func() {}, unsent: true, refused: true}
	} else if err != nil {
		return attemptResult{server: srv, err: notRunError(reasonRateUsedUp, refusedRetryAfter, err), release: func() {}}
	}
	if slept && r.isTurningAway(srv) {
		return attemptResult{server: srv, err: notRunError(reasonResting, refusedRetryAfter, errRefused), release: func() {}, unsent: true}
	}
	start := time.Now()
	end := srv.Begin(0)
	defer end()
	ans, err := r.send(ctx, req, Attempt{Server: srv, ReuseConnection: req.Route.Repeatable()})
	res := attemptResult{server: srv, answer: ans, err: err, release: func() {}}
	if err == nil {
		r.readAnswer(&res)
	}
	res.took = time.Since(start)
	switch {
	case res.err == nil && ans.Status < http.StatusInternalServerError:
		srv.RecordAnswer(res.took)
		r.recordAnswered(req)
	case res.err == nil:
		// An error of the service says nothing about the server's speed, but the server survived.
		r.recordAnswered(req)
	case ctx.Err() == nil:
		srv.RecordFailure()
		r.recordCut(ctx, req, srv, res.err)
	}
	return res
}

// readAnswer reads the body of an answer. What the quota has no memory for is left in res.rest: the server has run the
// request, and the caller gets its answer as it arrives.
func (r *Relay) readAnswer(res *attemptResult) {
	body := res.answer.Body
	var release func()
	res.body, release, res.err = r.cfg.Quota.ReadPart(body, maxAnswerBytes)
	if errors.Is(res.err, quota.ErrExhausted) {
		r.cfg.Count("answer not buffered")
		res.rest, res.err = body, nil
		res.release = func() {
			release()
			_ = body.Close()
		}
		return
	}
	res.release = release
	_ = body.Close()
	if res.err != nil {
		release()
		res.body = nil
	}
	if res.err != nil && fault.VerdictOf(res.err) != fault.MayHaveRun {
		res.err = mayHaveRunError(reasonBadReply, res.err)
	}
}

// deliver writes an answer to sink.
func deliver(res attemptResult, sink Sink) error {
	length := int64(len(res.body))
	if res.rest != nil {
		length = res.answer.Length
	}
	sink.Start(res.answer.Status, res.answer.Header, length)
	if err := writeAnswer(sink, res.body); err != nil || res.rest == nil {
		return err
	}
	b := make([]byte, readSize)
	for left := maxAnswerBytes - len(res.body); ; {
		n, err := res.rest.Read(b)
		if left -= n; left < 0 {
			return mayHaveRunError(reasonBadReply, quota.ErrTooLong)
		}
		if writeErr := writeAnswer(sink, b[:n]); writeErr != nil {
			return writeErr
		}
		if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
			return nil
		}
		if err != nil {
			return mayHaveRunError(reasonBadReply, err)
		}
	}
}

// writeAnswer writes a part of the answer to a request that has run.
func writeAnswer(sink Sink, b []byte) error {
	if err := sink.Write(b); err != nil {
		return fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Cancelled, Reason: "the caller went away", Cause: err})
	}
	return nil
}

// pickAndReserve returns a server and the time at which the request may be sent there, or nil.
func (r *Relay) pickAndReserve(req *Request, tried map[string]bool, maxWait time.Duration, c *choice) (*server.Server, time.Time) {
	for range maxChoices {
		srv := r.pickServer(req, tried, maxWait, c)
		if srv == nil {
			return nil, time.Time{}
		}
		if sendAt, ok := r.reserve(c, srv, maxWait); ok {
			return srv, sendAt
		}
	}
	return nil, time.Time{}
}

// pickServer returns the server with the least expected time among those not tried, or nil.
// Avoided servers are used only if there is no other. The rate of a server may make the request wait,
// at most for maxWait.
func (r *Relay) pickServer(req *Request, tried map[string]bool, maxWait time.Duration, c *choice) *server.Server {
	*c = choice{}
	var best *server.Server
	cost, avoided := 0.0, false
	for _, srv := range r.candidates(req.Service.Name) {
		if r.passesOver(c, srv) || tried[srv.ID()] || slices.ContainsFunc(r.cfg.Servers.Rivals(srv), func(o *server.Server) bool { return o.IsBelieved(srv) }) {
			continue
		}
		wait := r.waitForRate(srv)
		if wait > maxWait {
			continue
		}
		x, isAvoided := srv.Cost()+wait.Seconds(), srv.IsAvoided()
		if best == nil || (avoided && !isAvoided) || (avoided == isAvoided && x < cost) {
			best, cost, avoided = srv, x, isAvoided
		}
	}
	return best
}
