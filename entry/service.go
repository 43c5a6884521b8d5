package entry

import (
	"fmt"
	"io"
	"net/http"
	"strings"
	"sync"
	"time"

	"github.com/gin-gonic/gin"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/proxy"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/spec"
)

// service passes a call to a plain service.
func (h *Handler) service(c *gin.Context) {
	arrival := time.Now()
	svc, err := h.plainService(c)
	if err != nil {
		problem(c, err)
		return
	}
	call, err := readCall(c, svc, arrival)
	if err != nil {
		problem(c, err)
		return
	}
	key, err := idempotencyKey(c)
	if err != nil {
		problem(c, err)
		return
	}
	p, err := h.admit(c, svc, queue.Shape{}, call.Deadline)
	if err != nil {
		problem(c, err)
		return
	}
	defer p.end()
	call.OnSend = p.sent
	if key != "" && !call.Idempotent {
		h.serveOnce(c, p, Work{Account: accountOf(c).Name(), Service: svc.Name(), Key: key, Call: call})
		return
	}
	a, err := h.cfg.Services.Send(c.Request.Context(), svc.Name(), call)
	if err != nil {
		problem(c, err)
		return
	}
	p.done(plainCost)
	answer(c, a)
}

// plainService returns the service that the path names.
func (h *Handler) plainService(c *gin.Context) (*spec.Service, error) {
	svc := h.cfg.Store.Tree().Service(c.Param("service"))
	if svc == nil || svc.IsModel() {
		return nil, refusal(fault.NotFound, fmt.Sprintf("service %q is not known", c.Param("service")), nil)
	}
	if !accountOf(c).MayCall(svc.Name()) {
		return nil, refusal(fault.Forbidden, "the account may not call this service", nil)
	}
	return svc, nil
}

// readCall reads the call of a service as it is passed on: everything
// unchanged but for the account's API key and the request's ID.
func readCall(c *gin.Context, svc *spec.Service, arrival time.Time) (proxy.Call, error) {
	path := c.Param("path")
	for segment := range strings.SplitSeq(path, "/") {
		// A service may resolve "/lookups/../orders" to "/orders", while the
		// patterns of idempotent calls see the path as it was sent.
		if segment == "." || segment == ".." {
			return proxy.Call{}, refusal(fault.Invalid, "the path has a segment \".\" or \"..\"", nil)
		}
	}
	body, err := readBody(c)
	if err != nil {
		return proxy.Call{}, err
	}
	_, rest, _ := strings.Cut(strings.TrimPrefix(c.Request.URL.EscapedPath(), "/services/"), "/")
	call := proxy.Call{
		Method: c.Request.Method, Path: "/" + rest, Host: c.Request.Host, Header: c.Request.Header, Body: body,
		Idempotent: svc.Idempotent(c.Request.Method, path), Deadline: svc.ResponseDeadline(arrival),
	}
	if q := c.Request.URL.RawQuery; q != "" {
		call.Path += "?" + q
	}
	call.Header.Del("Authorization")
	id := newID()
	call.Header.Set("X-Request-Id", id)
	c.Header("X-Request-Id", id)
	return call, nil
}

// maxKey bounds an idempotency key in bytes; a ticket has about 150.
const maxKey = 512

// idempotencyKey returns the caller's key, or "".
func idempotencyKey(c *gin.Context) (string, error) {
	keys := c.Request.Header["Idempotency-Key"]
	if len(keys) == 0 {
		return "", nil
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxKey {
		return "", refusal(fault.Invalid, fmt.Sprintf("Idempotency-Key must be one value of 1 to %d bytes", maxKey), nil)
	}
	return keys[0], nil
}

// chunk is the size of the parts in which answers are passed on.
const chunk = 32 << 10

var chunks = sync.Pool{New: func() any { b := make([]byte, chunk); return &b }}

// answer streams a service's answer to the caller. When the answer is cut off
// after its header was sent, the connection is closed, so that the caller sees
// that it is not whole.
func answer(c *gin.Context, a *proxy.Answer) {
	defer a.Body.Close()
	out := c.Writer.Header()
	for k, v := range a.Header {
		out[k] = v
	}
	streamed := len(a.Header["Content-Length"]) == 0 && c.Request.Method != http.MethodHead
	c.Status(a.Status)
	if streamed {
		c.Writer.Flush()
	}
	b := chunks.Get().(*[]byte)
	defer chunks.Put(b)
	for {
		n, err := a.Body.Read(*b)
		if n > 0 {
			if _, werr := c.Writer.Write((*b)[:n]); werr != nil {
				return
			}
			if streamed {
				c.Writer.Flush()
			}
		}
		if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
			break
		}
		if err != nil {
			if !c.Writer.Written() {
				clear(out)
				problem(c, err)
				return
			}
			panic(http.ErrAbortHandler)
		}
	}
	c.Writer.WriteHeaderNow()
}
