// Package proxy forwards calls to plain services over HTTP. Client performs one
// exchange with a server and determines the verdict of its errors. Pool chooses
// servers and retries calls where the verdict allows it.
package proxy

import (
	"bytes"
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/textproto"
	"strings"
	"time"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/guard"
	"github.com/cranberrybay/cranberrybay/reply"
	"github.com/cranberrybay/cranberrybay/socket"
)

// Call is one call to a plain service.
type Call struct {
	Method     string
	Path       string // escaped path and query, relative to the service
	Host       string // Host header of the caller
	Header     http.Header
	Body       []byte
	Idempotent bool      // the call may be sent more than once
	Deadline   time.Time // deadline of the header of the answer; zero for none
	Identity   guard.Request
	// OnSend is called with the name of each server that the call is sent to. It
	// may be nil. For a hedged call it is called from several goroutines.
	OnSend func(server string)
}

// Unframed is the value of the header Transfer-Encoding of an answer that has neither
// a length nor chunks. Its body ends with the connection, so that nobody can tell
// whether it is whole. It must be passed on in the same way: net/http's server closes
// the connection at the end of an answer with this header and does not send the header.
const Unframed = "identity"

// Answer is the answer of a service. Its body is streamed and must be closed. Of the
// hop-by-hop headers it has Transfer-Encoding at most, see Unframed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
}

// hopHeaders are the hop-by-hop headers, which are not forwarded (RFC 9110,
// 7.6.1).
var hopHeaders = []string{"Connection", "Keep-Alive", "Proxy-Authenticate", "Proxy-Authorization", "Proxy-Connection", "Te", "Trailer", "Transfer-Encoding", "Upgrade"}

// Config configures a Client.
type Config struct {
	// Dial opens a connection; nil for TCP.
	Dial func(ctx context.Context, network, address string) (net.Conn, error)
	// Idle is the maximum time between two reads of data from the body of an
	// answer; 0 for 1 minute.
	Idle time.Duration
	// Receive is the receive buffer of a connection in bytes; 0 for that of the kernel.
	Receive int
}

// Client sends calls to the servers of plain services.
type Client struct {
	transport http.RoundTripper // opens a connection for each call
	idle      time.Duration
}

// dialTimeout is the timeout of opening a connection within a region.
const dialTimeout = time.Second

// New returns a client with the given configuration.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		cfg.Dial = (&net.Dialer{Timeout: dialTimeout, Control: socket.Receive(cfg.Receive)}).DialContext
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
	// A negative number of idle connections means that none is reused.
	return &Client{transport: &http.Transport{MaxIdleConnsPerHost: -1, DisableCompression: true, DialContext: dial, MaxResponseHeaderBytes: engine.MaxAnswerHead}, idle: cfg.Idle}
}

// Do sends a call to the server at address. The verdict of an error states whether
// the service may have run the call.
//
// Each call uses a new connection. Answers name no call, so that one which the
// server writes once more, late, would reach the next call on its connection. Also,
// net/http resends a request by itself if a reused connection fails and the
// request has no body and either is a GET or carries an Idempotency-Key header,
// which callers send with bookings.
func (c *Client) Do(ctx context.Context, address string, call Call) (*Answer, error) {
	if err := checkNotExpired(ctx, call.Deadline); err != nil {
		return nil, err
	}
	ctx, cancel := context.WithCancel(ctx)
	x := &exchange{cancel: cancel, idle: c.idle}
	request, err := newRequest(x.trace(ctx), address, call)
	if err != nil {
		cancel()
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Invalid, Reason: "the call is malformed", Cause: err})
	}
	if !call.Deadline.IsZero() {
		x.timer = time.AfterFunc(time.Until(call.Deadline), x.expire)
	}
	response, err := c.transport.RoundTrip(request)
	if err != nil {
		err = x.roundTripError(ctx, err) // before release, which ends ctx
		x.release()
		return nil, err
	}
	if err := reply.Check(response); err != nil {
		_ = response.Body.Close()
		x.release()
		return nil, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Damaged, Reason: reasonDamaged, Cause: err})
	}
	x.startBody(response)
	if response.StatusCode == http.StatusServiceUnavailable && response.Header.Get(engine.NotRunHeader) == "true" {
		_ = x.Close()
		return nil, refusal(address, response.Header)
	}
	removeHopHeaders(response.Header)
	if response.StatusCode == http.StatusNoContent {
		delete(response.Header, "Content-Length") // a caller may wait for as many bytes
	}
	if response.ContentLength < 0 && len(response.TransferEncoding) == 0 && call.Method != http.MethodHead {
		response.Header.Set("Transfer-Encoding", Unframed)
	}
	return &Answer{Status: response.StatusCode, Header: response.Header, Body: x}, nil
}

// newRequest builds the HTTP request of a call. All headers are kept except the
// hop-by-hop headers.
func newRequest(ctx context.Context, address string, call Call) (*http.Request, error) {
	request, err := http.NewRequestWithContext(ctx, call.Method, "http://"+address+call.Path, bytes.NewReader(call.Body))
	if err != nil {
		return nil, err
	}
	request.Header = call.Header.Clone()
	if request.Header == nil {
		request.Header = http.Header{}
	}
	removeHopHeaders(request.Header)
	if _, ok := request.Header["User-Agent"]; !ok {
		request.Header["User-Agent"] = nil // prevents net/http from adding its own
	}
	if call.Host != "" {
		request.Host = call.Host
	}
	return request, nil
}

// removeHopHeaders removes the hop-by-hop headers, including those named by the
// Connection header.
func removeHopHeaders(h http.Header) {
	for _, v := range h["Connection"] {
		for name := range strings.SplitSeq(v, ",") {
			delete(h, textproto.CanonicalMIMEHeaderKey(textproto.TrimString(name)))
		}
	}
	for _, name := range hopHeaders {
		delete(h, name)
	}
}

// checkNotExpired returns an error if ctx has ended or the deadline has passed. A
// process that was suspended notices this here, before it sends anything.
func checkNotExpired(ctx context.Context, deadline time.Time) error {
	if ctx.Err() == nil && (deadline.IsZero() || time.Now().Before(deadline)) {
		return nil
	}
	return fault.New(fault.Config{Verdict: fault.NotRun, Code: expiryCode(ctx), Reason: "the request ended before it was sent", Cause: ctx.Err()})
}

// expiryCode distinguishes a caller that cancelled the request from a deadline
// that passed.
func expiryCode(ctx context.Context) fault.Code {
	if errors.Is(ctx.Err(), context.Canceled) {
		return fault.Cancelled
	}
	return fault.Timeout
}
