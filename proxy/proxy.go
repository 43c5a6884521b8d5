// Package proxy passes calls to plain services over HTTP. The Client is the
// adapter of one exchange and decides its verdict; the Pool chooses servers and
// repeats calls where the verdict allows it.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strconv"
	"strings"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
)

// Call is one call of a plain service.
type Call struct {
	Method     string
	Path       string // escaped path and query below the service
	Host       string // Host header of the caller
	Header     http.Header
	Body       []byte
	Idempotent bool      // may be repeated
	Deadline   time.Time // the header of the answer must arrive by then; zero for no deadline
	// OnSend is told the name of each server that the call is sent to. It may be
	// nil, and is called on several goroutines when the call is hedged.
	OnSend func(server string)
}

// Answer is the service's answer. Its body is a stream and must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// hopHeaders belong to one connection and are not passed on (RFC 9110, 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Config holds the connections of a Client.
type Config struct {
	// Dial opens a connection; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Idle bounds the pause between two parts of an answer's body; 0 for 1 min.
	Idle time.Duration
}

// Client calls plain services.
type Client struct {
	pooled http.RoundTripper // keeps connections
	fresh  http.RoundTripper // opens a connection for each call
	idle   time.Duration
}

// dialTimeout bounds the opening of a connection, within a region.
const dialTimeout = time.Second

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout}).DialContext
	}
	if cfg.Idle == 0 {
		cfg.Idle = time.Minute
	}
	dial := func(ctx context.Context, network, address string) (net.Conn, error) {
		c, err := cfg.Dial(ctx, network, address)
		if err != nil {
			return nil, err
		}
		return &conn{Conn: c}, nil
	}
	pooled := &http.Transport{MaxIdleConnsPerHost: 64, IdleConnTimeout: 90 * time.Second, DisableCompression: true, DialContext: dial}
	fresh := &http.Transport{DisableKeepAlives: true, DisableCompression: true, DialContext: dial}
	return &Client{pooled: pooled, fresh: fresh, idle: cfg.Idle}
}

// Do sends a call to the server at address. The verdict of an error says
// whether the service may have run it.
//
// net/http repeats a request by itself when a reused connection fails and the
// request has no body and is a GET, or carries an Idempotency-Key header, which
// callers send with bookings. A call that is not idempotent therefore gets a
// connection of its own, which is never repeated. This also spares it the
// unclear verdict when a server closes an idle connection at that moment.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	if err := past(ctx, call.Deadline); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{cancel: cancel, idle: c.idle}
	rq, err := request(x.trace(ctx), address, call)
	if err != nil {
		cancel()
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the call is malformed", Cause: err})
	}
	if !call.Deadline.IsZero() {
		x.timer = time.AfterFunc(time.Until(call.Deadline), x.expire)
	}
	transport := c.fresh
	if call.Idempotent {
		transport = c.pooled
	}
	rs, err := transport.RoundTrip(rq)
	if err != nil {
		x.end()
		return nil, x.failed(ctx, err)
	}
	x.received(rs)
	if rs.StatusCode == http.StatusServiceUnavailable && rs.Header.Get(engine.NotRunHeader) == "true" {
		at := retryAt(rs.Header)
		_ = x.Close()
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Leaving, Reason: fmt.Sprintf("server %s takes no work", address), RetryAt: at})
	}
	removeHop(rs.Header)
	return &Answer{Status: rs.StatusCode, Header: rs.Header, Body: x}, nil
}

// request builds the request of a call, with its headers unchanged but for
// those of one connection.
func request(ctx context.Context, address string, call Call) (*http.Request, error) {
	rq, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	rq.Header = call.Header.Clone()
	if rq.Header == nil {
		rq.Header = http.Header{}
	}
	removeHop(rq.Header)
	if _, ok := rq.Header["User-Agent"]; !ok {
		rq.Header["User-Agent"] = nil // keeps net/http from adding its own
	}
	if call.Host != "" {
		rq.Host = call.Host
	}
	return rq, nil
}

// removeHop removes the headers of one connection, also those that the
// Connection header names.
func removeHop(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// past returns an error when ctx has ended or the deadline has passed. A
// process that was paused finds out here, before it sends anything.
func past(ctx context.Context, by time.Time) error {
	if ctx.Err() == nil && (by.IsZero() || time.Now().Before(by)) {
		return nil
	}
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: endCode(ctx), Reason: "the request ended before it was sent", Cause: ctx.Err()})
}

// endCode tells a caller that went away from a deadline that passed.
func endCode(ctx context.Context) fault.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.Cancelled
	}
	return fault.Timeout
}

// retryAt returns the server's own retry time, or in a second.
func retryAt(h http.Header) time.Time {
	if s, err := strconv.Atoi(h.Get("Retry-After")); err == nil && s >= 0 && s <= 3600 {
		return time.Now().Add(time.Duration(s) * time.Second)
	}
	return time.Now().Add(time.Second)
}
