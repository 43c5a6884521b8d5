// Package link is an HTTP/1.1 client for backend servers. It pools connections, sends one
// request at a time on each, and decides from what happened on the connection whether a
// failed request may have run.
//
// It parses answers with net/http but manages connections itself: the transport of
// net/http retries requests on its own, and delivers an answer that arrives late on a
// reused connection to the next request.
package link

import (
	"bufio"
	"bytes"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"os"
	"strconv"
	"strings"
	"sync"
	"sync/atomic"
	"syscall"
	"time"

	"golang.org/x/sys/unix"

	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/reply"
	"github.com/cranberrybay/cranberrybay/socket"
)

// Request is a request as it is written to the connection.
type Request struct {
	Method string
	Target string // path and query, as the caller sent them
	Host   string
	Header http.Header
	Body   []byte
	// Origin returns to which request an answer with this header belongs. An answer to another
	// request is discarded and the next one is read; nil accepts any.
	Origin func(h http.Header) Origin
	// AllowReuse allows the use of an idle connection. The server may close it just when
	// the request is sent, and then it is unknown whether the request ran.
	AllowReuse bool
	// MaySend returns the error for a request that must not be sent any more after its wait for a connection,
	// or nil; it may be nil. The error is that of Do.
	MaySend func() error
	// Urgent requests don't wait for room, and may exceed the limit of connections to the server.
	Urgent bool
}

// Origin states to which request an answer belongs.
type Origin uint8

const (
	// OriginUnknown means that the answer names no request. It is accepted only as the first
	// answer on a connection, where it can't belong to an earlier request.
	OriginUnknown Origin = iota
	OriginThis           // the answer names the request that was sent
	OriginOther          // the answer names another request, or several
)

// Config holds the settings of a Client.
type Config struct {
	// Dial opens a connection; nil for TCP over IPv4.
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	IdleTimeout time.Duration // how long an idle connection is kept; 0 for defaultIdleTimeout
	MaxIdle     int           // idle connections to all servers together; 0 for defaultMaxIdle
	// Receive is the receive buffer of a connection in bytes; 0 for that of the kernel. Loans is the memory for larger
	// ones, which connections have while they receive a long answer; nil for none.
	Receive int
	Loans   *socket.Loans
	// Limit returns how many connections to an address the client may have; 0 for no limit. It may change
	// at any time. nil for no limit.
	Limit func(address string) int
}

const (
	defaultIdleTimeout = 8 * time.Second
	dialTimeout        = 700 * time.Millisecond // the kernel retransmits a lost SYN only after a second
	unackedTimeout     = 3 * time.Second        // for unacknowledged bytes, until the kernel closes the connection
	maxIdlePerServer   = 16                     // idle connections
	closeTimeout       = 50 * time.Millisecond  // for the server to close a connection that must make room
	maxSkippedAnswers  = 3                      // interim answers and answers to other requests, until the connection is closed
	maxUnmatchedBody   = 64 << 10               // bytes of the body of an answer to another request
	maxInlineBody      = 16 << 10               // bytes of a body that is written with the header, since the socket buffers hold it
	readBufferSize     = 2 << 10                // bytes; an event of a stream is shorter
	idleMargin         = 500 * time.Millisecond // subtracted from the idle timeout that a server states
	// defaultMaxIdle bounds the idle connections to all servers. The holder of the
	// placement lease sends requests to every engine: with 2,997 engines it had 2,936
	// connections, and small VMs have 4,100 file descriptors.
	defaultMaxIdle = 1024
	// maxHeadBytes bounds the bytes of the status line and the header of an answer,
	// together with interim answers before it, and maxHeadLines the header lines of one
	// answer: a faulty server may send header lines without end. The backend servers
	// send less than 1 KB and 20 lines.
	maxHeadBytes = 16 << 10
	maxHeadLines = 100
	// headTimeout bounds the time from the first byte of a head to its end, and that of the
	// body of an answer to another request: a faulty server may send one byte per second forever.
	headTimeout = 2 * time.Second
)

// Errors of answers that exceed a limit or can't be attributed. The connection is closed.
var (
	errHeadTooLong  = errors.New("head of the answer is too long")
	errTooManyLines = errors.New("head of the answer has too many lines")
	errHeadTimeout  = errors.New("head of the answer did not end in time")
	errUnknown      = errors.New("answer names no request on a connection that has carried others")
)

// Client sends requests and pools idle connections. It is safe for concurrent use; its
// lock is not held during I/O on behalf of a request.
type Client struct {
	cfg Config

	mu        sync.Mutex
	pools     map[string]*pool // by address
	idleCount int              // idle connections in pools
	opened    atomic.Uint64
	refused   atomic.Uint64
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: setUnackedTimeout}
		if setReceive := socket.Receive(cfg.Receive); setReceive != nil {
			d.Control = func(network, address string, raw syscall.RawConn) error {
				return errors.Join(setUnackedTimeout(network, address, raw), setReceive(network, address, raw))
			}
		}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp4", address)
		}
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdleTimeout
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = defaultMaxIdle
	}
	if cfg.Limit == nil {
		cfg.Limit = func(string) int { return 0 }
	}
	return &Client{cfg: cfg, pools: map[string]*pool{}}
}

// setUnackedTimeout limits the time for which sent bytes may stay unacknowledged, so that a
// lost server is detected.
func setUnackedTimeout(_, _ string, raw syscall.RawConn) error {
	var err error
	if controlErr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(unackedTimeout.Milliseconds()))
	}); controlErr != nil {
		return controlErr
	}
	return err
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() uint64 { return c.opened.Load() }

// Refused returns the number of requests so far for which there was no room at their server.
func (c *Client) Refused() uint64 { return c.refused.Load() }

// conn is a connection to a server with its buffered reader.
type conn struct {
	net.Conn
	address string
	client  *Client
	limiter *headLimiter
	reader  *bufio.Reader // of limiter
	expires time.Time     // end of the idle timeout
	used    bool          // an answer was read from the connection
	wide    bool          // it has a larger receive buffer, for the answer that is read
	closed  atomic.Bool
}

func (c *Client) newConn(raw net.Conn, address string) *conn {
	l := &headLimiter{Conn: raw, remaining: unlimited}
	return &conn{Conn: raw, address: address, client: c, limiter: l, reader: bufio.NewReaderSize(l, readBufferSize)}
}

// Close closes the connection and gives its room to the next request.
func (k *conn) Close() error {
	err := k.Conn.Close()
	if !k.closed.Swap(true) {
		k.client.release(k.address)
	}
	return err
}

// widen gives the connection a larger receive buffer for an answer of a length, if it is long and there is memory.
func (k *conn) widen(length int64) {
	if cfg := &k.client.cfg; cfg.Receive > 0 && length > int64(cfg.Receive) {
		k.wide = cfg.Loans.Widen(k.Conn)
	}
}

// narrow takes the larger receive buffer away at the end of an answer. It reports whether the connection may carry
// another one: not if more bytes have arrived than the usual buffer holds.
func (k *conn) narrow() bool {
	if !k.wide {
		return true
	}
	k.wide = false
	cfg := &k.client.cfg
	if cfg.Loans.Narrow(k.Conn, cfg.Receive) {
		return true
	}
	_ = k.Conn.Close()
	cfg.Loans.Return()
	return false
}

// closeAndAwait closes the connection after the server has closed its side, so that the server doesn't count it
// beside one that is opened next. The room stays taken.
func (k *conn) closeAndAwait() {
	k.closed.Store(true)
	if half, ok := k.Conn.(interface{ CloseWrite() error }); ok && half.CloseWrite() == nil && k.SetReadDeadline(time.Now().Add(closeTimeout)) == nil {
		_, _ = k.Conn.Read(make([]byte, 1))
	}
	_ = k.Conn.Close()
}

// unlimited is the value of headLimiter.remaining while a body is read, which the reader
// of the body limits itself.
const unlimited = -1

// headLimiter is the reading side of a connection. It limits the bytes of a head and the
// time that it takes.
type headLimiter struct {
	net.Conn
	remaining   int64     // bytes that the head may still take
	deadline    time.Time // of the head; zero before its first byte
	deadlineSet bool      // deadline is the read deadline of the connection
	failed      bool      // a read failed
}

// startHead begins to limit reads.
func (l *headLimiter) startHead() {
	l.remaining, l.deadline, l.deadlineSet = maxHeadBytes, time.Time{}, false
}

// awaitHead ends the limit of time, until the head that follows an interim answer begins.
func (l *headLimiter) awaitHead() error {
	set := l.deadlineSet
	l.deadline, l.deadlineSet = time.Time{}, false
	if !set {
		return nil
	}
	return l.SetReadDeadline(time.Time{})
}

// endHead stops limiting reads.
func (l *headLimiter) endHead() error {
	l.remaining = unlimited
	if !l.deadlineSet {
		return nil
	}
	return l.SetReadDeadline(time.Time{})
}

func (l *headLimiter) Read(b []byte) (int, error) {
	if l.remaining == unlimited {
		return l.Conn.Read(b)
	}
	if l.remaining == 0 {
		l.failed = true
		return 0, errHeadTooLong
	}
	if !l.deadline.IsZero() && !l.deadlineSet {
		// Most heads arrive with the first read and need no timer.
		l.deadlineSet = true
		if err := l.SetReadDeadline(l.deadline); err != nil {
			l.failed = true
			return 0, err
		}
	}
	n, err := l.Conn.Read(b[:min(int64(len(b)), l.remaining)])
	l.remaining -= int64(n)
	if n > 0 && l.deadline.IsZero() {
		l.deadline = time.Now().Add(headTimeout)
	}
	l.failed = l.failed || err != nil
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errHeadTimeout
	}
	return n, err
}

// Answer is the answer of a server. The caller must close its body.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // of the body; -1 if it is not known
	// Unframed means that the body has neither a length nor chunks and ends with the connection.
	Unframed bool
	// SetReadDeadline sets the time after which reads of the body fail.
	SetReadDeadline func(t time.Time) error
}

// Do sends a request to an address and returns when the header of the answer has arrived.
// The verdict of an error says whether the server may have run the request. Cancelling the
// context closes the connection, also while the body is read.
func (c *Client) Do(ctx context.Context, address string, rq *Request) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, newError(fault.NotRun, "the request ended before it was sent", err)
	}
	k, err := c.acquire(ctx, address, rq)
	if err != nil {
		return nil, err
	}
	if rq.MaySend != nil {
		if err := rq.MaySend(); err != nil {
			c.abandon(k, rq)
			return nil, err
		}
	}
	return c.exchange(ctx, k, rq)
}

// Probe opens and closes a connection to an address.
func (c *Client) Probe(ctx context.Context, address string) error {
	k, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return err
	}
	c.opened.Add(1)
	return k.Close()
}

// newError returns an error with a verdict, whose code depends on the cause.
func newError(v fault.Verdict, reason string, cause error) error {
	code := fault.Unavailable
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		code = fault.Timeout
	case errors.Is(cause, context.Canceled):
		code = fault.Cancelled
	}
	return fault.New(fault.Config{Verdict: v, Code: code, Reason: reason, Cause: cause})
}

// exchange sends the request on a connection and reads the header of its answer.
func (c *Client) exchange(ctx context.Context, k *conn, rq *Request) (*Answer, error) {
	x := &exchange{client: c, conn: k, reuses: rq.AllowReuse}
	x.detachContext = context.AfterFunc(ctx, func() { _ = k.Close() })
	if err := x.send(rq); err != nil {
		x.abort()
		return nil, newError(fault.MayHaveRun, "the request was cut off", contextCause(ctx, err))
	}
	rs, err := x.receive(rq)
	if err != nil {
		x.abort()
		return nil, newError(fault.MayHaveRun, "the server did not answer", contextCause(ctx, err))
	}
	k.widen(rs.ContentLength)
	x.body = rs.Body
	x.reusable = !rs.Close && !x.outOfStep && !reply.HidesBody(rs)
	x.unframed = rs.ContentLength < 0 && len(rs.TransferEncoding) == 0
	x.idleLimit = keepAlive(rs.Header, c.cfg.IdleTimeout)
	return &Answer{Status: rs.StatusCode, Header: rs.Header, Body: x, Length: rs.ContentLength, Unframed: x.unframed, SetReadDeadline: x.setReadDeadline}, nil
}

// contextCause returns the error of the context if it has ended, because that closed the
// connection and caused err.
func contextCause(ctx context.Context, err error) error {
	if ctxErr := ctx.Err(); ctxErr != nil {
		return ctxErr
	}
	return err
}

// exchange is a request and its answer on a connection. It is also the body of the answer.
type exchange struct {
	client        *Client
	conn          *conn
	detachContext func() bool // the end of the context no longer closes the connection; false if it has ended
	body          io.ReadCloser
	idleLimit     time.Duration // how long the connection may stay idle
	reuses        bool          // the request may have used an idle connection
	reusable      bool          // the server keeps the connection open
	outOfStep     bool          // the server sent an answer to another request
	complete      bool          // the body was read to its end
	unframed      bool          // the body ends with the connection
	writing       *bodyWrite    // of a long request body; nil for a short one
	closed        bool
	deadlineSet   bool // the connection has a read deadline for the body
}

// bodyWrite is the writing of a long request body on a goroutine.
type bodyWrite struct {
	done chan struct{} // closed at its end
	err  error         // set before done is closed
}

// ended reports whether the whole body was written.
func (w *bodyWrite) ended() bool {
	select {
	case <-w.done:
		return w.err == nil
	default:
		return false
	}
}

// resetError ends the writing and returns the error that ended the connection in both directions, or nil if the
// server closed its side. The kernel reports such an error once: if the writer got it, the reader sees the same
// as after a proper close.
func (x *exchange) resetError() error {
	w := x.writing
	if w == nil {
		return nil
	}
	if err := x.conn.SetWriteDeadline(time.Now()); err != nil {
		return err
	}
	<-w.done
	if errors.Is(w.err, os.ErrDeadlineExceeded) || errors.Is(w.err, syscall.EPIPE) { // EPIPE: reset after it had closed its side
		return nil
	}
	return w.err
}

func (x *exchange) setReadDeadline(t time.Time) error {
	x.deadlineSet = true
	return x.conn.SetReadDeadline(t)
}

// send writes the request. A long body is written on a goroutine.
func (x *exchange) send(rq *Request) error {
	var b bytes.Buffer
	b.Grow(512 + min(len(rq.Body), maxInlineBody))
	fmt.Fprintf(&b, "%s %s HTTP/1.1\r\nHost: %s\r\n", rq.Method, rq.Target, rq.Host)
	if err := rq.Header.Write(&b); err != nil {
		return err
	}
	if len(rq.Body) > 0 || rq.Method == http.MethodPost || rq.Method == http.MethodPut || rq.Method == http.MethodPatch {
		b.WriteString("Content-Length: ")
		b.WriteString(strconv.Itoa(len(rq.Body)))
		b.WriteString("\r\n")
	}
	b.WriteString("\r\n")
	if len(rq.Body) <= maxInlineBody {
		b.Write(rq.Body)
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	if _, err := x.conn.Write(b.Bytes()); err != nil {
		return err
	}
	// The server may answer before it has read all of a long body.
	w := &bodyWrite{done: make(chan struct{})}
	x.writing = w
	go func() {
		defer close(w.done)
		_, w.err = x.conn.Write(rq.Body)
	}()
	return nil
}

// receive reads the header of the answer. It skips interim answers and answers to other
// requests.
func (x *exchange) receive(rq *Request) (*http.Response, error) {
	x.conn.limiter.startHead()
	for range maxSkippedAnswers {
		rs, err := http.ReadResponse(x.conn.reader, &http.Request{Method: rq.Method})
		if err != nil && !x.conn.limiter.failed {
			return nil, fmt.Errorf("%w: %w", reply.ErrInvalid, err) // the bytes have arrived and are no head
		}
		if err != nil {
			return nil, err
		}
		lines := 0
		for _, values := range rs.Header {
			lines += len(values)
		}
		if lines > maxHeadLines {
			return nil, errTooManyLines
		}
		if err := reply.Check(rs); err != nil {
			return nil, err
		}
		if reply.IsInterim(rs) {
			if x.conn.reader.Buffered() > 0 {
				continue // the next head has begun
			}
			if err := x.conn.limiter.awaitHead(); err != nil {
				return nil, err
			}
			continue
		}
		if err := x.conn.limiter.endHead(); err != nil {
			return nil, err
		}
		origin, used := OriginThis, x.conn.used
		if rq.Origin != nil {
			origin = rq.Origin(rs.Header)
		}
		x.conn.used = true
		switch {
		case origin == OriginThis, origin == OriginUnknown && !used:
			return rs, nil
		case origin == OriginUnknown:
			return nil, errUnknown
		}
		x.outOfStep = true
		if err := x.discard(rs); err != nil {
			return nil, fmt.Errorf("answer to another request: %w", err)
		}
		x.conn.limiter.startHead()
	}
	return nil, errors.New("too many answers to other requests on the connection")
}

// discard reads the body of an answer to another request, within limits of bytes and of time.
func (x *exchange) discard(rs *http.Response) error {
	if err := x.conn.SetReadDeadline(time.Now().Add(headTimeout)); err != nil {
		return err
	}
	n, err := io.Copy(io.Discard, io.LimitReader(rs.Body, maxUnmatchedBody))
	if err != nil {
		return err
	}
	if n == maxUnmatchedBody || rs.Close || reply.HidesBody(rs) {
		return io.ErrUnexpectedEOF
	}
	return x.conn.SetReadDeadline(time.Time{})
}

// keepAlive returns how long a connection may stay idle: for the time that the server
// states, less a margin, and for at most a given time.
func keepAlive(h http.Header, limit time.Duration) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(v, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !ok {
				continue
			}
			if s, err := strconv.Atoi(text); err == nil {
				return min(limit, time.Duration(s)*time.Second-idleMargin)
			}
		}
	}
	return limit
}

// Read reads the body of the answer. An error other than io.EOF has a verdict.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.body.Read(b)
	if err == io.EOF && x.unframed { //nolint:errorlint // readers return io.EOF itself
		if resetErr := x.resetError(); resetErr != nil {
			err = resetErr
		}
	}
	if err == io.EOF { //nolint:errorlint // as above
		x.complete = true
		return n, err
	}
	if err != nil {
		return n, newError(fault.MayHaveRun, "the answer was cut off", err)
	}
	return n, nil
}

// Close ends the exchange. It returns the connection to the pool if the answer was read
// and the request was written completely, and closes it otherwise.
func (x *exchange) Close() error {
	if x.closed {
		return nil
	}
	x.closed = true
	x.client.endExchange(x)
	x.reusable = x.conn.narrow() && x.reusable
	detached := x.detachContext()
	if !x.complete && x.reusable && x.body != nil {
		// A body of known length reports its end only at one more read.
		var one [1]byte
		if n, err := x.body.Read(one[:0]); n == 0 && err == io.EOF { //nolint:errorlint // as above
			x.complete = true
		}
	}
	written := x.writing == nil || x.writing.ended()
	if !detached || !x.reusable || !x.complete || !written || x.idleLimit <= 0 || x.conn.reader.Buffered() > 0 {
		return x.conn.Close()
	}
	if x.deadlineSet && x.conn.SetReadDeadline(time.Time{}) != nil {
		return x.conn.Close()
	}
	x.conn.expires = time.Now().Add(x.idleLimit)
	x.client.putIdle(x.conn)
	return nil
}

// abort ends a failed exchange and closes the connection.
func (x *exchange) abort() {
	x.closed = true
	x.client.endExchange(x)
	x.detachContext()
	_ = x.conn.Close()
}
