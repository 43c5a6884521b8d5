package engine

import (
	"bytes"
	"context"
	"encoding/json"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"strconv"
	"syscall"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/quota"
	"github.com/cranberrybay/cranberrybay/reply"
	"github.com/cranberrybay/cranberrybay/socket"
)

// Config configures a Client.
type Config struct {
	Client *http.Client // nil for a client with its own transport
	Quota  *quota.Quota // bounds the memory of lists of cache events that are read; nil for no bound
	// Receive is the receive buffer of a connection in bytes, without Client; 0 for that of the kernel.
	Receive int
}

// Client is an HTTP client of engines and plain services. Answers name no call, so
// that one which an engine writes once more, late, reaches the next call on its
// connection. Calls for which that does harm have a connection of their own; frames
// of a job name the job.
type Client struct {
	http      *http.Client // reuses connections
	singleUse *http.Client // opens a connection for each call
	quota     *quota.Quota
}

// MaxAnswerHead bounds the head of an answer of a backend server, in bytes, together with interim answers before
// it: a faulty server may send one without end, and net/http keeps up to 10 MB of it for each call. Common servers
// send at most 16 KB.
const MaxAnswerHead = 64 << 10

// New returns a client.
func New(cfg Config) *Client {
	if cfg.Client == nil {
		tr := &http.Transport{MaxIdleConnsPerHost: 256, DisableCompression: true, IdleConnTimeout: time.Minute, MaxResponseHeaderBytes: MaxAnswerHead}
		tr.DialContext = reply.Dial((&net.Dialer{Timeout: time.Second, Control: socket.Receive(cfg.Receive)}).DialContext)
		cfg.Client = &http.Client{Transport: tr}
	}
	return &Client{http: cfg.Client, singleUse: withoutReuse(cfg.Client), quota: cfg.Quota}
}

// withoutReuse returns a client that opens a connection for each call and is like c
// in all else. A transport that is not of net/http is kept as it is.
func withoutReuse(c *http.Client) *http.Client {
	tr, ok := c.Transport.(*http.Transport)
	if !ok {
		return c
	}
	tr = tr.Clone()
	tr.MaxIdleConnsPerHost = -1 // no idle connection is kept
	own := *c
	own.Transport = tr
	return &own
}

// Generate sends a job to the first stage of its route. The verdict of an error
// states whether the engine may have started the job. A refusal on a reused
// connection may be that of an earlier job, so that this one may have been started.
func (c *Client) Generate(ctx context.Context, j Job) (*Answer, error) {
	ctx, cancel := context.WithCancel(ctx)
	reused := false
	traced := httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) { reused = i.Reused }})
	rs, err := send(traced, c.http, http.MethodPost, j.Route[0].Address, "/generate", j)
	if err == nil {
		return newAnswer(rs.Body, cancel, len(j.Route)), nil
	}
	cancel()
	var e *fault.Error
	if reused && errors.As(err, &e) && e.Verdict() == fault.NotRun {
		return nil, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: e.Code(), Reason: e.Reason(), RetryAt: e.RetryAt(), Cause: errors.Unwrap(e)})
	}
	return nil, err
}

// Cancel tells a stage that an attempt of a request has ended. The stage frees the
// slot of the request and from then on refuses this attempt and earlier ones.
func (c *Client) Cancel(ctx context.Context, address string, id AttemptID) error {
	var l LoadReport
	return call(ctx, c.http, callTimeout, http.MethodPost, address, "/cancel", id, &l)
}

// Load reads the load report of an engine or a plain service. A report with
// impossible values is an error.
func (c *Client) Load(ctx context.Context, address string) (LoadReport, error) {
	var l LoadReport
	if err := call(ctx, c.http, callTimeout, http.MethodGet, address, "/load", nil, &l); err != nil {
		return LoadReport{}, err
	}
	if !l.valid() {
		return LoadReport{}, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: fmt.Sprintf(
			"load report of %s states layers %d to %d, %d slots, %d running and %d waiting", address, l.First, l.Last, l.Slots, l.Running, l.Waiting)})
	}
	return l, nil
}

// Events reads the prefix cache events after the given number.
func (c *Client) Events(ctx context.Context, address string, after uint64) (CacheEvents, error) {
	var e CacheEvents
	err := exchange(ctx, c.http, callTimeout, http.MethodGet, address, "/events?after="+strconv.FormatUint(after, 10), nil, func(r io.Reader) error {
		b, release, err := c.quota.Read(r, maxEvents)
		defer release()
		if err != nil {
			return err
		}
		return json.Unmarshal(b, &e)
	})
	return e, err
}

// Export makes an engine write the KV cache of a request to storage that other
// engines can read.
func (c *Client) Export(ctx context.Context, address, request string) (Export, error) {
	var e Export
	err := call(ctx, c.singleUse, transferTimeout, http.MethodPost, address, "/export", AttemptID{Request: request}, &e)
	return e, err
}

// Import makes another engine load an export as the KV cache of the request.
func (c *Client) Import(ctx context.Context, address string, i Import) error {
	var e Export
	return call(ctx, c.singleUse, transferTimeout, http.MethodPost, address, "/import", i, &e)
}

const (
	// maxReply bounds the reply to a call, in bytes. The longest are load reports, of less than 2 KB.
	maxReply = 64 << 10
	// maxEvents bounds a list of cache events, in bytes. An event takes about 50.
	maxEvents = 4 << 20
)

// call sends one request and decodes the JSON answer. The timeout covers both.
func call(ctx context.Context, c *http.Client, timeout time.Duration, method, address, path string, body, result any) error {
	return exchange(ctx, c, timeout, method, address, path, body, func(r io.Reader) error {
		return json.NewDecoder(io.LimitReader(r, maxReply)).Decode(result)
	})
}

// exchange sends one request and has the body of the answer decoded. The timeout covers both.
func exchange(ctx context.Context, c *http.Client, timeout time.Duration, method, address, path string, body any, decode func(io.Reader) error) error {
	ctx, cancel := context.WithTimeout(ctx, timeout)
	defer cancel()
	rs, err := send(ctx, c, method, address, path, body)
	if err != nil {
		return err
	}
	defer rs.Body.Close()
	if err := decode(rs.Body); err != nil {
		return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "engine's answer can't be decoded", Cause: fmt.Errorf("decode %s of %s: %w", path, address, err)})
	}
	return nil
}

// send sends one request and returns the answer if its status is 200.
func send(ctx context.Context, c *http.Client, method, address, path string, body any) (*http.Response, error) {
	var reader io.Reader
	if body != nil {
		b, err := json.Marshal(body)
		if err != nil {
			return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Internal, Reason: "engine request can't be encoded", Cause: err})
		}
		reader = bytes.NewReader(b)
	}
	rq, err := http.NewRequestWithContext(ctx, method, "http://"+address+path, reader)
	if err != nil {
		return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Internal, Reason: "engine request can't be built", Cause: err})
	}
	if reader != nil {
		rq.Header.Set("Content-Type", "application/json")
	}
	rs, err := c.Do(rq)
	if err != nil {
		return nil, fault.New(fault.Config{Verdict: sendVerdict(err), Code: fault.Unavailable, Reason: "engine does not answer", Cause: err})
	}
	if err := checkHead(rs); err != nil {
		return nil, err
	}
	if rs.StatusCode == http.StatusOK {
		return rs, nil
	}
	defer rs.Body.Close()
	return nil, responseError(rs)
}

// checkHead returns the error of a damaged answer, whose statements don't count, and closes its body.
func checkHead(rs *http.Response) error {
	err := reply.Check(rs)
	if err == nil {
		return nil
	}
	_ = rs.Body.Close()
	return fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "engine's answer is damaged", Cause: err})
}

// responseError converts an answer whose status is not 200 into an error.
func responseError(rs *http.Response) error {
	text, _ := io.ReadAll(io.LimitReader(rs.Body, 512))
	cfg := fault.Config{
		Verdict: fault.MayHaveRun, Code: fault.Unavailable,
		Reason: fmt.Sprintf("engine answered %d: %s", rs.StatusCode, bytes.TrimSpace(text)),
	}
	if rs.Header.Get(NotRunHeader) == "true" {
		cfg.Verdict = fault.NotRun
	}
	switch rs.Header.Get(ReasonHeader) {
	case ReasonLeaving:
		cfg.Code = fault.Leaving
	case ReasonFull:
		cfg.Code = fault.Overload
	case ReasonVersion:
		cfg.Code = fault.Conflict
	}
	if failed := rs.Header.Get(FailedHeader); failed != "" {
		cfg.Cause = &StageError{Failed: failed, Observer: rs.Header.Get(ObserverHeader), Reason: rs.Header.Get(ReasonHeader), Text: cfg.Reason}
	}
	return fault.New(cfg)
}

// sendVerdict returns the verdict of a transport error: a request is certainly not
// sent only if the connection could not be opened.
func sendVerdict(err error) fault.Verdict {
	var oe *net.OpError
	if errors.As(err, &oe) && oe.Op == "dial" {
		return fault.NotRun
	}
	return fault.MayHaveRun
}

// ErrGone reports that a server was removed from the list of servers.
var ErrGone = errors.New("the server was removed")

// IsGone reports whether an error proves that a server has ended: it refused or closed
// the connection, or err wraps ErrGone. A server that does not
// answer in time may be paused and go on.
func IsGone(err error) bool {
	var oe *net.OpError
	switch {
	case errors.Is(err, ErrGone), errors.Is(err, syscall.ECONNRESET), errors.Is(err, syscall.EPIPE), errors.Is(err, io.EOF), errors.Is(err, io.ErrUnexpectedEOF):
		return true
	case errors.Is(err, context.Canceled), errors.Is(err, syscall.EHOSTUNREACH), errors.Is(err, syscall.ENETUNREACH):
		return false
	}
	return errors.As(err, &oe) && oe.Op == "dial" && !oe.Timeout()
}

// IsUnconnected reports whether a server took no connection in time. It may be paused
// and take one later.
func IsUnconnected(err error) bool {
	var ne net.Error
	return fault.VerdictOf(err) == fault.NotRun && errors.As(err, &ne) && ne.Timeout()
}
