package relay

import (
	"context"
	"net/http"
	"time"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// hedgeShare is the part of the expected time after which an idempotent
	// request goes to a second server as well.
	hedgeShare = 0.45
	// leastHedge keeps services with very short targets from being hedged for
	// the variance of their work.
	leastHedge = 25 * time.Millisecond
	// maxAnswer bounds an answer that is held until it is whole, in bytes. Callers may
	// send 4 MB; answers of the users' services have 5 KB.
	maxAnswer = 8 << 20
	// shortRetry is the time to come back when servers refused: a slot frees
	// within the time of a request.
	shortRetry = 120 * time.Millisecond
)

// result is the end of one attempt at a plain service.
type result struct {
	server *server.Server
	answer *Answer
	body   []byte
	free   func() // gives the memory of the body back
	err    error
	took   time.Duration
}

// plain serves a request that is answered as a whole. The answer is held until
// it is complete, so that a damaged one can be replaced.
func (r *Relay) plain(ctx context.Context, rq *Request, sink Sink) error {
	results := make(chan result, rq.Route.Attempts()+1)
	ctx, cancel := context.WithCancel(ctx)
	defer cancel()
	tried := map[string]bool{}
	var held []result
	sent, open := 0, 0
	defer func() {
		for _, x := range held {
			x.free()
		}
		go func(open int) { // attempts that still run end with the context
			for range open {
				x := <-results
				x.free()
			}
		}(open)
	}()
	start := func(reason string) bool {
		if sent >= rq.Route.Attempts() {
			return false
		}
		s := r.pick(rq, tried)
		if s == nil || (sent > 0 && !r.repeat(rq)) {
			return false
		}
		tried[s.ID()] = true
		sent++
		open++
		if sent > 1 {
			r.cfg.Count("repeat")
			r.cfg.Log.Info().Str("id", rq.ID).Str("server", s.ID()).Int("attempt", sent).Str("reason", reason).Msg("request repeated")
		}
		go func() { results <- r.once(ctx, rq, s) }()
		return true
	}
	if !start("first") {
		return refusal(reasonNoServer, noServerRetry, nil)
	}
	var hedge <-chan time.Time
	if rq.Route.Kind() == config.Idempotent {
		t := time.NewTimer(max(time.Duration(hedgeShare*float64(rq.Route.Target())), leastHedge))
		defer t.Stop()
		hedge = t.C
	}
	var failed result
	for open > 0 {
		select {
		case <-hedge:
			start("slow")
		case x := <-results:
			open--
			held = append(held, x)
			if x.err == nil && (x.answer.Status < http.StatusInternalServerError || rq.Route.Kind() == config.Once) {
				return deliver(x, sink)
			}
			failed = r.worse(rq, failed, x)
			if r.mayRepeat(rq, x) {
				start("failed")
			}
		}
	}
	if failed.err == nil {
		return deliver(failed, sink) // the service's own error
	}
	if fault.Of(failed.err) == fault.NotRun {
		return refusal(reasonRefused, shortRetry, failed.err)
	}
	return unclear(reasonUnclear, failed.err)
}

// noServerRetry is the time to come back when no server is known or all fail.
const noServerRetry = 400 * time.Millisecond

// mayRepeat tells whether a failed attempt allows another one.
func (r *Relay) mayRepeat(rq *Request, x result) bool {
	return rq.Route.Repeatable() || (x.err != nil && fault.Of(x.err) == fault.NotRun)
}

// worse returns the failure that the caller is told when no attempt succeeds:
// one that may have run goes before a refusal, an answer before both.
func (r *Relay) worse(rq *Request, old, x result) result {
	e := r.cfg.Log.Info().Str("id", rq.ID).Str("server", x.server.ID()).Dur("took", x.took)
	if x.err != nil {
		e.Err(x.err).Str("verdict", fault.Of(x.err).String()).Msg("attempt failed")
	} else {
		e.Int("status", x.answer.Status).Msg("server answered with an error")
	}
	switch {
	case old.server == nil || x.err == nil:
		return x
	case old.err != nil && fault.Of(old.err) == fault.NotRun:
		return x
	default:
		return old
	}
}

// once makes one attempt and reads the whole answer.
func (r *Relay) once(ctx context.Context, rq *Request, s *server.Server) result {
	start := time.Now()
	end := s.Begin(0)
	defer end()
	ans, err := r.send(ctx, rq, Attempt{Server: s, Kept: rq.Route.Repeatable()})
	x := result{server: s, answer: ans, err: err, free: func() {}}
	if err == nil {
		x.body, x.free, x.err = r.cfg.Quota.Read(ans.Body, maxAnswer)
		_ = ans.Body.Close()
		if x.err != nil && fault.Of(x.err) != fault.MayHaveRun {
			x.err = unclear(reasonBadReply, x.err)
		}
	}
	x.took = time.Since(start)
	switch {
	case x.err == nil && ans.Status < http.StatusInternalServerError:
		s.RecordAnswer(x.took)
	case x.err == nil:
		// Its own error says nothing about the server's speed or health.
	case ctx.Err() == nil:
		s.RecordFailure()
	}
	return x
}

func deliver(x result, sink Sink) error {
	sink.Start(x.answer.Status, x.answer.Header, int64(len(x.body)))
	if err := sink.Write(x.body); err != nil {
		return fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Cancelled, Reason: "the caller went away", Cause: err})
	}
	return nil
}

// pick returns the server with the least expected time among those not tried.
// Suspected servers come last.
func (r *Relay) pick(rq *Request, tried map[string]bool) *server.Server {
	var best *server.Server
	cost, suspected := 0.0, false
	for _, s := range r.cfg.Servers.Servers(rq.Service.Name) {
		if tried[s.ID()] {
			continue
		}
		x, y := s.Cost(), s.IsAvoided()
		if best == nil || (suspected && !y) || (suspected == y && x < cost) {
			best, cost, suspected = s, x, y
		}
	}
	return best
}
