package entry

import (
	"fmt"
	"net/http"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/claim"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/proxy"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/spec"
)

// service passes a call to a plain service.
func (h *Handler) service(c *gin.Context) {
	svc := h.cfg.Store.Tree().Service(c.Param("service"))
	if svc == nil || svc.IsModel() {
		problem(c, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unknown, Reason: fmt.Sprintf("service %q is not known", c.Param("service"))}))
		return
	}
	if !accountOf(c).May(svc.Name()) {
		problem(c, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Forbidden, Reason: "the account may not call this service"}))
		return
	}
	body, err := readBody(c)
	if err != nil {
		problem(c, err)
		return
	}
	call := proxy.Call{Method: c.Request.Method, Path: c.Param("path"), Header: c.Request.Header.Clone(), Body: body}
	if q := c.Request.URL.RawQuery; q != "" {
		call.Path += "?" + q
	}
	call.Header.Del("Authorization")
	call.Header.Set("X-Request-Id", newID())
	key := c.GetHeader("Idempotency-Key")
	if key == "" || svc.Idempotent(call.Method, c.Param("path")) {
		a, err := h.send(c, svc, call)
		answer(c, a, err)
		return
	}
	h.once(c, svc, call, key)
}

// once runs a call that is not idempotent under the caller's key.
func (h *Handler) once(c *gin.Context, svc *spec.Service, call proxy.Call, key string) {
	k := claim.Key{Account: accountOf(c).Name(), Service: svc.Name(), Key: key}
	cl, done, err := h.cfg.Claims.Begin(c.Request.Context(), k, claim.Digest(call.Method, call.Path, call.Body))
	if err != nil {
		problem(c, err)
		return
	}
	if done != nil {
		c.Header("Idempotent-Replayed", "true")
		answer(c, &proxy.Answer{Status: done.Status, Header: done.Header, Body: done.Body}, nil)
		return
	}
	a, err := h.send(c, svc, call)
	ctx, cancel := after(c.Request.Context())
	defer cancel()
	switch {
	case err == nil:
		err = h.cfg.Claims.Finish(ctx, cl, claim.Outcome{Status: a.Status, Header: a.Header, Body: a.Body})
		if err != nil {
			h.cfg.Log.Warn().Err(err).Msg("outcome of a claim was not recorded")
		}
		answer(c, a, nil)
	case fault.Of(err) == fault.NotRun:
		if rerr := h.cfg.Claims.Release(ctx, cl); rerr != nil {
			h.cfg.Log.Warn().Err(rerr).Msg("claim was not released")
		}
		problem(c, err)
	default:
		problem(c, err)
	}
}

// maxTries bounds the servers tried for one call.
const maxTries = 3

// send tries servers until one answers. After a failure that may have run, it
// repeats the call only when it is idempotent.
func (h *Handler) send(c *gin.Context, svc *spec.Service, call proxy.Call) (*proxy.Answer, error) {
	p, err := h.admit(c, svc, queue.Shape{}, svc.FirstBy(time.Now()))
	if err != nil {
		return nil, err
	}
	defer p.end()
	avoid := map[string]bool{}
	idempotent := svc.Idempotent(call.Method, c.Param("path"))
	var last error
	for n := range maxTries {
		if n > 0 && !h.cfg.Gate.retry() {
			break
		}
		sv, ok := pick(h.cfg.Fleet.Servers(svc.Name()), avoid)
		if !ok {
			break
		}
		p.sent(sv.Name)
		h.cfg.Fleet.Begin(sv.Name)
		a, err := h.cfg.Services.Do(c.Request.Context(), sv.Address, call)
		h.cfg.Fleet.End(sv.Name)
		if err == nil {
			h.cfg.Fleet.Worked(sv.Name)
			p.done(plainCost)
			return a, nil
		}
		avoid[sv.Name] = true
		h.cfg.Fleet.Failed(sv.Name)
		last = err
		if fault.Of(err) != fault.NotRun && !idempotent {
			return nil, err
		}
	}
	if last != nil {
		return nil, last
	}
	return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Reason: "no backend server of the service is ready", RetryAt: time.Now().Add(time.Second)})
}

// pick returns the least loaded server that is not avoided.
func pick(all []fleet.Candidate, avoid map[string]bool) (fleet.Candidate, bool) {
	best, found := fleet.Candidate{}, false
	for _, c := range all {
		if avoid[c.Name] {
			continue
		}
		if !found || less(c, best) {
			best, found = c, true
		}
	}
	return best, found
}

func less(a, b fleet.Candidate) bool {
	if a.Down != b.Down {
		return b.Down
	}
	return a.Inflight < b.Inflight
}

func answer(c *gin.Context, a *proxy.Answer, err error) {
	if err != nil {
		problem(c, err)
		return
	}
	out := c.Writer.Header()
	for k, v := range a.Header {
		out[http.CanonicalHeaderKey(k)] = v
	}
	c.Status(a.Status)
	_, _ = c.Writer.Write(a.Body)
}
