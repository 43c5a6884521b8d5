package entry

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net/http"
	"strconv"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/proxy"
)

// KeyedCall is a call that runs at most once under its key.
type KeyedCall struct {
	Account string
	Service string
	Key     string // idempotency key or ticket
	Call    proxy.Call
}

const (
	// maxOutcome bounds the body of an answer that is kept for repeats.
	maxOutcome = 8 << 20
	// recordTimeout bounds the wait for the record of an outcome; the record is
	// then completed in the background.
	recordTimeout = time.Second
	// workTimeout bounds the body of an answer whose caller may be gone.
	workTimeout = 2 * time.Minute
)

// serveOnce runs work at most once and answers the caller. A ticket that
// another incarnation issued is forwarded to it.
func (h *Handler) serveOnce(c *gin.Context, p *pass, w KeyedCall) {
	ctx, cancel := context.WithDeadline(c.Request.Context(), w.Call.By)
	defer cancel()
	var a *proxy.Answer
	var replayed bool
	var err error
	if holder, ok := claim.TicketHolder(w.Key); ok && holder != h.cfg.Claims.Holder() {
		a, replayed, err = h.forward(ctx, holder, w)
	} else {
		a, replayed, err = h.runOnce(ctx, w)
	}
	if err != nil {
		problem(c, err)
		return
	}
	p.done(plainCost)
	if replayed {
		c.Header("Idempotent-Replayed", "true")
	}
	answer(c, a)
}

// forward sends work with a ticket to its issuer. Only the issuer knows
// whether the ticket was used: its own errors are passed on, and every other
// failure means that the work may have run there, now or before.
func (h *Handler) forward(ctx context.Context, holder string, w KeyedCall) (*proxy.Answer, bool, error) {
	if h.cfg.Forward == nil {
		return nil, false, claim.IssuerUnreachableError()
	}
	a, replayed, err := h.cfg.Forward(ctx, holder, w)
	var fe *fault.Error
	if err != nil && !errors.As(err, &fe) {
		err = claim.IssuerUnreachableError()
	}
	return a, replayed, err
}

// RunForwarded runs work with a ticket of this process that another process
// received. It returns the answer, whose body must be closed, and whether it is
// the replay of an earlier one. A process that has drained no longer says
// whether the ticket was used.
func (h *Handler) RunForwarded(ctx context.Context, w KeyedCall) (*proxy.Answer, bool, error) {
	if !h.flow.enterLate() {
		return nil, false, claim.IssuerUnreachableError()
	}
	leave := sync.OnceFunc(h.flow.leave)
	a, replayed, err := h.runOnce(ctx, w)
	if err != nil {
		leave()
		return nil, false, err
	}
	a.Body = &rest{Reader: a.Body, body: a.Body, cancel: leave}
	return a, replayed, nil
}

// runOnce runs work at most once. It returns the answer and whether it is the
// replay of an earlier one. Once the work is started, it goes on when ctx ends,
// so that a repeat finds its outcome.
func (h *Handler) runOnce(ctx context.Context, w KeyedCall) (*proxy.Answer, bool, error) {
	k := claim.Key{Account: w.Account, Service: w.Service, Key: w.Key}
	cl, done, err := h.cfg.Claims.Begin(ctx, k, claim.Digest(w.Call.Method, w.Call.Path, w.Call.Body))
	if err != nil {
		return nil, false, err
	}
	if done != nil {
		return replay(done), true, nil
	}
	work, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(w.Call.By)+workTimeout)
	var a *proxy.Answer
	if err = h.cfg.Claims.Start(ctx, cl); err == nil {
		a, err = h.cfg.Services.Send(work, w.Service, w.Call)
	}
	if err != nil {
		cancel()
		h.conclude(ctx, cl, err)
		return nil, false, err
	}
	a, err = h.keep(ctx, cl, a, cancel)
	return a, false, err
}

// conclude records how work without an answer ended.
func (h *Handler) conclude(ctx context.Context, cl *claim.Claim, err error) {
	ctx, cancel := after(ctx)
	defer cancel()
	end := h.cfg.Claims.Abandon
	if fault.VerdictOf(err) == fault.NotRun {
		end = h.cfg.Claims.Release
	}
	h.recorded(end(ctx, cl))
}

// recorded logs why the end of a claim is not recorded. The table is tried again
// in the background, unless the claim was ended in a way that breaks I3 or I4.
func (h *Handler) recorded(err error) {
	var fe *fault.Error
	switch {
	case errors.As(err, &fe) && fe.Code() == fault.Internal:
		h.cfg.Log.Error().Err(err).Msg("invariant of a claim does not hold")
	case err != nil:
		h.cfg.Log.Warn().Err(err).Msg("end of a claim is not recorded yet")
	}
}

// keep reads an answer and records it as the outcome. Of an answer over the
// limit only the status is recorded, and the body is passed on as it arrives.
func (h *Handler) keep(ctx context.Context, cl *claim.Claim, a *proxy.Answer, cancel context.CancelFunc) (*proxy.Answer, error) {
	body, err := io.ReadAll(io.LimitReader(a.Body, maxOutcome+1))
	if err != nil {
		_ = a.Body.Close()
		cancel()
		h.conclude(ctx, cl, err)
		return nil, err
	}
	o := claim.Outcome{Status: a.Status, Header: a.Header, Body: body}
	whole := len(body) <= maxOutcome
	if !whole {
		o = claim.Outcome{Status: a.Status, BodyLost: true}
	}
	rctx, rcancel := after(ctx)
	defer rcancel()
	h.recorded(h.cfg.Claims.Finish(rctx, cl, o))
	if whole {
		_ = a.Body.Close()
		cancel()
		return replay(&o), nil
	}
	return &proxy.Answer{Status: a.Status, Header: a.Header, Body: &rest{Reader: io.MultiReader(bytes.NewReader(body), a.Body), body: a.Body, cancel: cancel}}, nil
}

// rest is the body of an answer of which a part was read ahead.
type rest struct {
	io.Reader
	body   io.Closer
	cancel context.CancelFunc
}

// Close closes the body.
func (r *rest) Close() error {
	defer r.cancel()
	return r.body.Close()
}

// replay returns an outcome as an answer.
func replay(o *claim.Outcome) *proxy.Answer {
	header := http.Header(o.Header).Clone()
	if header == nil {
		header = http.Header{}
	}
	if header.Get("Content-Length") == "" && len(o.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(o.Body)))
	}
	return &proxy.Answer{Status: o.Status, Header: header, Body: io.NopCloser(bytes.NewReader(o.Body))}
}

// after returns a context that outlives the caller's connection for a bounded
// time, for records that must be written once the work has run.
func after(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
}

// Tickets is the answer to POST /tickets.
type Tickets struct {
	Tickets []string  `json:"tickets"`
	Until   time.Time `json:"until"` // when they expire unused
}

// maxIssue bounds the tickets of one request.
const maxIssue = 100

// tickets issues tickets: as many as the query's count, or one.
func (h *Handler) tickets(c *gin.Context) {
	n := 1
	if q := c.Query("count"); q != "" {
		var err error
		if n, err = strconv.Atoi(q); err != nil || n < 1 || n > maxIssue {
			problem(c, refusal(fault.Invalid, "count must be 1 to "+strconv.Itoa(maxIssue), err))
			return
		}
	}
	var out Tickets
	for range n {
		t, until := h.cfg.Claims.IssueTicket(accountOf(c).Name())
		out.Tickets, out.Until = append(out.Tickets, t), until.UTC()
	}
	c.JSON(http.StatusCreated, out)
}
