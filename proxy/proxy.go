// Package proxy passes calls to plain services over HTTP. Every error carries
// the verdict that the transport allows.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
)

// Call is one call of a plain service.
type Call struct {
	Method string
	Path   string // path and query below the service
	Header http.Header
	Body   []byte
}

// Answer is the service's answer.
type Answer struct {
	Status int
	Header http.Header
	Body   []byte
}

// maxAnswer bounds the body of an answer in bytes.
const maxAnswer = 16 << 20

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Config holds the HTTP client of the adapter.
type Config struct {
	Client *http.Client // nil for a client with a transport of its own
}

// Client calls plain services.
type Client struct{ http *http.Client }

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Client == nil {
		tr := &http.Transport{MaxIdleConnsPerHost: 64, DisableCompression: true}
		tr.DialContext = (&net.Dialer{Timeout: time.Second}).DialContext
		cfg.Client = &http.Client{Transport: tr, CheckRedirect: func(*http.Request, []*http.Request) error { return http.ErrUseLastResponse }}
	}
	return &Client{http: cfg.Client}
}

// Do sends a call to the server at address. The verdict of an error says
// whether the service may have run it.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	rq, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the call is malformed", Cause: err})
	}
	rq.Header = call.Header.Clone()
	for _, h := range hopHeaders {
		rq.Header.Del(h)
	}
	// net/http repeats a request on a fresh connection by itself only when it
	// is idempotent or has a body it can rewind; without GetBody it does not
	// repeat a call that may have run.
	rq.GetBody = nil
	rs, err := c.http.Do(rq)
	if err != nil {
		return nil, sendError(ctx, err)
	}
	defer rs.Body.Close()
	body, err := io.ReadAll(io.LimitReader(rs.Body, maxAnswer+1))
	if err != nil {
		return nil, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.Unavailable, Reason: "the answer of the service was cut off", Cause: err})
	}
	if len(body) > maxAnswer {
		return nil, fault.New(fault.Config{Verdict: fault.Ran, Code: fault.TooLarge, Reason: "the answer of the service is too large"})
	}
	if rs.StatusCode == http.StatusServiceUnavailable && rs.Header.Get(engine.NotRunHeader) == "true" {
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Leaving, Reason: fmt.Sprintf("server %s takes no work", address), RetryAt: time.Now().Add(time.Second)})
	}
	for _, h := range hopHeaders {
		rs.Header.Del(h)
	}
	return &Answer{Status: rs.StatusCode, Header: rs.Header, Body: body}, nil
}

func sendError(ctx context.Context, err error) error {
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the service does not answer", Cause: err}
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		cfg.Verdict = fault.NotRun
	}
	if ctx.Err() != nil {
		cfg.Code = fault.Timeout
	}
	return fault.New(cfg)
}
