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
	"github.com/cranberrybay/cranberrybay/quota"
)

// KeyedCall is a call of a plain service that runs at most once for its key.
type KeyedCall struct {
	Account string
	Service string
	Key     string // idempotency key or ticket
	Call    proxy.Call
}

const (
	// maxRecordedBody bounds the body, in bytes, of an answer that is recorded for
	// repeats of the call.
	maxRecordedBody = 8 << 20
	// recordTimeout bounds the wait until an outcome is recorded. After it, the
	// record is completed in the background.
	recordTimeout = time.Second
	// detachedTimeout bounds the reading of an answer after the deadline of the
	// call, since the caller may have gone away.
	detachedTimeout = 2 * time.Minute
)

// serveAtMostOnce runs a call at most once and answers the caller. A call with a
// ticket of another process incarnation is forwarded to that incarnation.
func (h *Handler) serveAtMostOnce(c *gin.Context, p *permit, call KeyedCall) {
	ctx, cancel := context.WithDeadline(c.Request.Context(), call.Call.Deadline)
	defer cancel()
	var a *proxy.Answer
	var replayed bool
	var err error
	if holder, ok := claim.TicketHolder(call.Key); ok && holder != h.cfg.Claims.Holder() {
		a, replayed, err = h.forward(ctx, holder, call)
	} else {
		a, replayed, err = h.runAtMostOnce(ctx, call)
	}
	if err != nil {
		writeProblem(c, err)
		return
	}
	p.complete(plainCallCost)
	if replayed {
		c.Header("Idempotent-Replayed", "true")
	}
	writeAnswer(c, a)
}

// forward sends a call to the issuer of its ticket. Only the issuer knows whether
// the ticket was used: its own errors are passed on, and any other failure means
// that the call may have run there, now or before.
func (h *Handler) forward(ctx context.Context, holder string, call KeyedCall) (*proxy.Answer, bool, error) {
	if h.cfg.Forward == nil {
		return nil, false, claim.IssuerUnreachableError()
	}
	a, replayed, err := h.cfg.Forward(ctx, holder, call)
	var fe *fault.Error
	if err != nil && !errors.As(err, &fe) {
		err = claim.IssuerUnreachableError()
	}
	return a, replayed, err
}

// RunForwarded runs a call that another process received with a ticket of this
// process. It returns the answer, whose body must be closed, and whether it is
// the replay of an earlier one. A drained process answers as unreachable, since
// it can no longer tell whether the ticket was used.
func (h *Handler) RunForwarded(ctx context.Context, call KeyedCall) (*proxy.Answer, bool, error) {
	if !h.inflight.beginWhileDraining() {
		return nil, false, claim.IssuerUnreachableError()
	}
	endRequest := sync.OnceFunc(h.inflight.end)
	call.Call.Identity = callIdentity(call.Account, call.Service, call.Call)
	a, replayed, err := h.runAtMostOnce(ctx, call)
	if err != nil {
		endRequest()
		return nil, false, err
	}
	a.Body = &cleanupBody{Reader: a.Body, body: a.Body, cleanup: endRequest}
	return a, replayed, nil
}

// runAtMostOnce runs a call at most once. It returns the answer and whether it is
// the replay of an earlier one. A started call continues when ctx ends, so that a
// repeat finds its outcome.
func (h *Handler) runAtMostOnce(ctx context.Context, call KeyedCall) (*proxy.Answer, bool, error) {
	k := claim.Key{Account: call.Account, Service: call.Service, Key: call.Key}
	cl, outcome, err := h.cfg.Claims.Begin(ctx, k, claim.Digest(call.Call.Method, call.Call.Path, call.Call.Body))
	if err != nil {
		return nil, false, err
	}
	if outcome != nil {
		return replayAnswer(outcome), true, nil
	}
	workCtx, cancel := context.WithTimeout(context.WithoutCancel(ctx), time.Until(call.Call.Deadline)+detachedTimeout)
	defer context.AfterFunc(h.ending, cancel)()
	var a *proxy.Answer
	if err = h.cfg.Claims.Start(ctx, cl); err == nil {
		a, err = h.cfg.Services.Send(workCtx, call.Service, call.Call)
	}
	if err != nil {
		cancel()
		h.recordFailure(ctx, cl, err)
		return nil, false, err
	}
	a, err = h.recordAnswer(ctx, cl, a, cancel)
	return a, false, err
}

// recordFailure records the end of a call that failed: its claim is released when
// the call has not run, and abandoned when it may have run.
func (h *Handler) recordFailure(ctx context.Context, cl *claim.Claim, err error) {
	ctx, cancel := recordContext(ctx)
	defer cancel()
	end := h.cfg.Claims.Abandon
	if fault.VerdictOf(err) == fault.NotRun {
		end = h.cfg.Claims.Release
	}
	h.logRecordError(end(ctx, cl))
}

// logRecordError logs why the end of a claim is not recorded. The write to the
// table is retried in the background, unless the claim was ended in a way that
// violates invariant I3 (true verdicts) or I4 (at most one execution).
func (h *Handler) logRecordError(err error) {
	var fe *fault.Error
	switch {
	case errors.As(err, &fe) && fe.Code() == fault.Internal:
		h.cfg.Log.Error().Err(err).Msg("invariant of a claim does not hold")
	case err != nil:
		h.cfg.Log.Warn().Err(err).Msg("end of a claim is not recorded yet")
	}
}

// recordAnswer reads an answer and records it as the outcome of its claim. Of an
// answer with a body over maxRecordedBody, or for which other answers leave no
// memory, only the status is recorded, and the rest of the body is passed on as it
// arrives.
func (h *Handler) recordAnswer(ctx context.Context, cl *claim.Claim, a *proxy.Answer, cancel context.CancelFunc) (*proxy.Answer, error) {
	body, release, err := h.cfg.Quota.ReadPart(a.Body, maxRecordedBody)
	kept := err == nil
	if !kept && !errors.Is(err, quota.ErrTooLong) && !errors.Is(err, quota.ErrExhausted) {
		_ = a.Body.Close()
		cancel()
		h.recordFailure(ctx, cl, err)
		return nil, err
	}
	o := claim.Outcome{Status: a.Status, Header: a.Header, Body: body}
	if !kept {
		h.cfg.Log.Warn().Err(err).Int("bytes", len(body)).Msg("answer of a call with a key is not kept for its repeats")
		o = claim.Outcome{Status: a.Status, BodyLost: true}
	}
	recordCtx, recordCancel := recordContext(ctx)
	defer recordCancel()
	h.logRecordError(h.cfg.Claims.Finish(recordCtx, cl, o))
	if kept {
		_ = a.Body.Close()
		cancel()
		replay := replayAnswer(&o)
		replay.Body = &cleanupBody{Reader: replay.Body, body: replay.Body, cleanup: release}
		return replay, nil
	}
	rest := &cleanupBody{Reader: io.MultiReader(&heldPart{reader: bytes.NewReader(body), release: release}, a.Body), body: a.Body, cleanup: func() { release(); cancel() }}
	return &proxy.Answer{Status: a.Status, Header: a.Header, Body: rest}, nil
}

// heldPart is the first part of an answer. Its memory is released at its end.
type heldPart struct {
	reader  *bytes.Reader
	release func()
}

func (p *heldPart) Read(b []byte) (int, error) {
	n, err := p.reader.Read(b)
	if err != nil {
		p.reader.Reset(nil)
		p.release()
	}
	return n, err
}

// cleanupBody is the body of an answer that calls cleanup when it is closed. Its
// Reader may replay a part of the body that was read ahead.
type cleanupBody struct {
	io.Reader
	body    io.Closer
	cleanup context.CancelFunc
}

// Close closes the body and calls cleanup.
func (b *cleanupBody) Close() error {
	defer b.cleanup()
	return b.body.Close()
}

// replayAnswer returns a recorded outcome as an answer.
func replayAnswer(o *claim.Outcome) *proxy.Answer {
	header := http.Header(o.Header).Clone()
	if header == nil {
		header = http.Header{}
	}
	if header.Get("Content-Length") == "" && header.Get("Transfer-Encoding") != proxy.Unframed && len(o.Body) > 0 {
		header.Set("Content-Length", strconv.Itoa(len(o.Body)))
	}
	return &proxy.Answer{Status: o.Status, Header: header, Body: io.NopCloser(bytes.NewReader(o.Body))}
}

// recordContext returns a context for the record of how a call ended. It outlives
// ctx, which ends with the caller's connection, and ends after recordTimeout.
func recordContext(ctx context.Context) (context.Context, context.CancelFunc) {
	return context.WithTimeout(context.WithoutCancel(ctx), recordTimeout)
}

// Tickets is the response to POST /tickets.
type Tickets struct {
	Tickets []string  `json:"tickets"`
	Until   time.Time `json:"until"` // when unused tickets expire
}

// maxTicketsPerRequest bounds the tickets that one request may ask for.
const maxTicketsPerRequest = 100

// issueTickets answers POST /tickets with as many tickets as the query parameter
// count asks for, by default one.
func (h *Handler) issueTickets(c *gin.Context) {
	n := 1
	if q := c.Query("count"); q != "" {
		var err error
		if n, err = strconv.Atoi(q); err != nil || n < 1 || n > maxTicketsPerRequest {
			writeProblem(c, refusal(fault.Invalid, "count must be 1 to "+strconv.Itoa(maxTicketsPerRequest), err))
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
