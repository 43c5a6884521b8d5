package relay

import (
	"context"
	"errors"
	"math/rand/v2"
	"slices"
	"strconv"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/label"
	"github.com/cranberrybay/cranberrybay/poison"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/server"
)

const (
	// answeredEvents is the number of events after which a run shows that the server can answer the
	// request: it wrote one and lived to write another. Runs with more events are not blamed, so
	// that few sound requests are suspected when a server crashes.
	answeredEvents = 2
	// returnSpread spreads the return of callers after a quarantine, relative to the time left.
	returnSpread = 0.25
)

const (
	reasonQuarantined = "a part of the prompt crashes backend servers"
	reasonDeadly      = "the request crashed backend servers"
)

// newIdentity returns the identity of a request that callers may send again.
func (req *Request) newIdentity() poison.Part {
	account := ""
	if req.Account != nil {
		account = req.Account.Name
	}
	return poison.RequestPart(req.Method, req.Host, req.Target, account, req.Body, req.prompt()...)
}

// prompt returns what a request tells servers of its prompt, or nil if it tells nothing.
func (req *Request) prompt() []string {
	if req.Model == "" && req.PromptTokens == 0 && req.MaxAnswerTokens == 0 && len(req.PromptParts) == 0 {
		return nil
	}
	return append([]string{req.Model, strconv.Itoa(req.PromptTokens), strconv.Itoa(req.MaxAnswerTokens)}, req.PromptParts...)
}

// suspectParts returns the parts of a request's prompt and, if there is evidence against any request,
// its identity, which costs a hash of the body.
func (r *Relay) suspectParts(req *Request) []poison.Part {
	if !r.cfg.Poison.TracksRequests() {
		return req.parts
	}
	return append(slices.Clip(req.parts), req.identity())
}

// refuseQuarantined returns the error for a request that is quarantined or whose prompt has a
// quarantined part, or nil. Requests that wait at a server when the quarantine begins are not
// cancelled.
func (r *Relay) refuseQuarantined(req *Request, mayHaveRun bool) error {
	p, left, ok := r.cfg.Poison.Blocked(r.suspectParts(req))
	if !ok {
		return nil
	}
	r.cfg.Count("quarantined")
	msg, reason := "part of the prompt is quarantined", reasonQuarantined
	if p.IsRequest() {
		msg, reason = "request is quarantined", reasonDeadly
	}
	r.cfg.Log.Info().Str("id", label.Short(req.ID)).Str("service", p.Service).Str("part", p.ID).Dur("left", left).Bool("sent", mayHaveRun).Msg(msg)
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Quarantined, Reason: reason}
	if !mayHaveRun {
		cfg.Verdict = fault.NotRun
		cfg.RetryAt = time.Now().Add(left + rand.N(time.Duration(returnSpread*float64(left))+1))
	}
	return fault.New(cfg)
}

// recordCut notes that a server ended a run before it had shown that it can answer the request, and
// waits until it is known whether the server still listens. The end of a server that leaves says nothing.
// It also notes that a server refused a trial.
func (r *Relay) recordCut(ctx context.Context, req *Request, s *server.Server, err error) {
	if errors.Is(err, errRefused) && req.alone.Load() {
		r.cfg.Poison.RecordRefused(req.identity())
	}
	// A lack of memory in this process says nothing about the server.
	if fault.VerdictOf(err) == fault.MayHaveRun && !r.endIsPlanned(s) && !errors.Is(err, quota.ErrExhausted) {
		r.recordUnanswered(req, s)
		r.confirmCrash(ctx, req, s)
	}
}

// endIsPlanned reports whether the registry lists a server as draining, or the server said that it leaves.
func (r *Relay) endIsPlanned(s *server.Server) bool {
	listed := r.cfg.Servers.ByAddress(s.Address())
	return listed != nil && listed.Incarnation() == s.Incarnation() && (listed.Entry().Draining || listed.SaidLeaving())
}

// recordUnanswered notes that a server had a request and has not shown that it can answer it. The
// request and the parts of its prompt are blamed if the server turns out to have crashed.
func (r *Relay) recordUnanswered(req *Request, s *server.Server) {
	record := r.cfg.Poison.RecordCut
	if req.alone.Load() {
		record = r.cfg.Poison.RecordTrialCut
	}
	record(s.Incarnation(), poison.RequestHash(req.PromptParts), append(slices.Clip(req.parts), req.identity()))
}

// recordAnswered notes that a server answered a request.
func (r *Relay) recordAnswered(req *Request) {
	r.cfg.Poison.RecordAnswered(append(slices.Clip(req.parts), req.identity()))
}
