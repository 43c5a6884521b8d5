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
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/proxy"
	"github.com/cranberrybay/cranberrybay/queue"
	"github.com/cranberrybay/cranberrybay/spec"
)

// callPlainService answers /services/SERVICE/PATH: it passes the call to a plain
// service and returns the service's answer.
func (h *Handler) callPlainService(c *gin.Context) {
	arrival := time.Now()
	svc, err := h.plainServiceOf(c)
	if err != nil {
		writeProblem(c, err)
		return
	}
	call, err := h.readCall(c, svc, arrival)
	if err != nil {
		writeProblem(c, err)
		return
	}
	key, err := idempotencyKey(c)
	if err != nil {
		writeProblem(c, err)
		return
	}
	p, err := h.admit(c, svc, queue.Shape{}, call.Deadline)
	if err != nil {
		writeProblem(c, err)
		return
	}
	defer p.release()
	call.OnSend = p.sentTo
	call.Identity = callIdentity(accountOf(c).Name(), svc.Name(), call)
	if key != "" && !call.Idempotent {
		h.serveAtMostOnce(c, p, KeyedCall{Account: accountOf(c).Name(), Service: svc.Name(), Key: key, Call: call})
		return
	}
	resp, err := h.cfg.Services.Send(c.Request.Context(), svc.Name(), call)
	if err != nil {
		writeProblem(c, err)
		return
	}
	p.complete(plainCallCost)
	writeAnswer(c, resp)
}

// plainServiceOf returns the plain service that the path names, which the account
// may call.
func (h *Handler) plainServiceOf(c *gin.Context) (*spec.Service, error) {
	svc := h.cfg.Store.Tree().Service(c.Param("service"))
	if svc == nil || svc.IsModel() {
		return nil, refusal(fault.NotFound, fmt.Sprintf("service %q is not known", c.Param("service")), nil)
	}
	if !accountOf(c).MayCall(svc.Name()) {
		return nil, refusal(fault.Forbidden, "the account may not call this service", nil)
	}
	return svc, nil
}

// readCall reads the call of a service. The call is passed on unchanged, except
// that the API key of the account is removed and a request ID is added.
func (h *Handler) readCall(c *gin.Context, svc *spec.Service, arrival time.Time) (proxy.Call, error) {
	path := c.Param("path")
	for segment := range strings.SplitSeq(path, "/") {
		// A service may resolve "/lookups/../orders" to "/orders", while the
		// patterns of idempotent calls are matched against the path as it was sent.
		if segment == "." || segment == ".." {
			return proxy.Call{}, refusal(fault.Invalid, "the path has a segment \".\" or \"..\"", nil)
		}
	}
	body, err := h.readBody(c)
	if err != nil {
		return proxy.Call{}, err
	}
	_, rawPath, _ := strings.Cut(strings.TrimPrefix(c.Request.URL.EscapedPath(), "/services/"), "/")
	call := proxy.Call{
		Method: c.Request.Method, Path: "/" + rawPath, Host: c.Request.Host, Header: c.Request.Header, Body: body,
		Idempotent: svc.Idempotent(c.Request.Method, path), Deadline: svc.ResponseDeadline(arrival),
	}
	if q := c.Request.URL.RawQuery; q != "" {
		call.Path += "?" + q
	}
	call.Header.Del("Authorization")
	id := newRequestID()
	call.Header.Set("X-Request-Id", id)
	c.Header("X-Request-Id", id)
	return call, nil
}

// callIdentity returns what the repeats of a call have in common.
func callIdentity(account, service string, call proxy.Call) guard.Request {
	return guard.NewRequest(guard.RequestConfig{Service: service, Account: account, Method: call.Method, Path: call.Path, Body: call.Body})
}

// maxIdempotencyKey bounds an idempotency key in bytes; a ticket has about 150.
const maxIdempotencyKey = 512

// idempotencyKey returns the idempotency key of a request, or "" when it has none.
func idempotencyKey(c *gin.Context) (string, error) {
	keys := c.Request.Header["Idempotency-Key"]
	if len(keys) == 0 {
		return "", nil
	}
	if len(keys) > 1 || keys[0] == "" || len(keys[0]) > maxIdempotencyKey {
		return "", refusal(fault.Invalid, fmt.Sprintf("Idempotency-Key must be one value of 1 to %d bytes", maxIdempotencyKey), nil)
	}
	return keys[0], nil
}

// copyBufferSize is the size in bytes of the buffers that copy answers.
const copyBufferSize = 32 << 10

var copyBuffers = sync.Pool{New: func() any { buf := make([]byte, copyBufferSize); return &buf }}

// writeAnswer streams the answer of a service to the caller. An answer that is cut
// off before a part of it was sent is answered with the error. Later the connection
// is closed, so that the caller sees that the answer is incomplete; the first part of
// an answer with a length is sent once copyBufferSize bytes or the end are there.
func writeAnswer(c *gin.Context, resp *proxy.Answer) {
	defer resp.Body.Close()
	header := c.Writer.Header()
	for k, v := range resp.Header {
		header[k] = v
	}
	flushEachRead := len(resp.Header["Content-Length"]) == 0 && c.Request.Method != http.MethodHead
	c.Status(resp.Status)
	if flushEachRead {
		c.Writer.Flush()
	}
	buf := copyBuffers.Get().(*[]byte)
	defer copyBuffers.Put(buf)
	for {
		n, err := readAnswer(resp.Body, *buf, !c.Writer.Written())
		failed := err != nil && err != io.EOF //nolint:errorlint // readers return io.EOF itself
		if failed && !c.Writer.Written() {
			clear(header)
			writeProblem(c, err)
			return
		}
		if n > 0 {
			if _, werr := c.Writer.Write((*buf)[:n]); werr != nil {
				return
			}
			if flushEachRead {
				c.Writer.Flush()
			}
		}
		if failed {
			if resp.Header.Get("Transfer-Encoding") == proxy.Unframed {
				resetCaller(c)
			}
			panic(http.ErrAbortHandler)
		}
		if err != nil {
			break
		}
	}
	c.Writer.WriteHeaderNow()
}

// readAnswer reads a part of an answer: what there is, or as much as buf takes.
func readAnswer(body io.Reader, buf []byte, fill bool) (n int, err error) {
	for err == nil && n < len(buf) && (n == 0 || fill) {
		var more int
		more, err = body.Read(buf[n:])
		n += more
	}
	return n, err
}
