// Package link keeps connections to backend servers and exchanges one request
// for one answer on them. It decides, from what happened on the connection,
// whether a request may have run.
//
// It reads answers with net/http but keeps connections itself: the transport of
// net/http repeats requests on its own, and hands an answer that arrives late on
// a kept connection to the next request.
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
)

// Request is one request as it is written to the connection.
type Request struct {
	Method string
	Target string // as the caller sent it: path and query
	Host   string
	Header http.Header
	Body   []byte
	// MatchAnswer tells whether an answer belongs to this request. An answer that does
	// not is dropped and the next one is read; nil takes any.
	MatchAnswer func(h http.Header) bool
	// AllowReuse allows a kept connection. On one, a request may meet the server's
	// close of an idle connection, so that it stays unclear whether it ran.
	AllowReuse bool
}

// Config holds the parts of a Client.
type Config struct {
	// Dial opens a connection; nil for TCP.
	Dial        func(ctx context.Context, address string) (net.Conn, error)
	IdleTimeout time.Duration // a connection is kept for; 0 for defaultIdle
	MaxIdle     int           // connections kept to all servers together; 0 for mostIdle
}

const (
	defaultIdle    = 8 * time.Second
	dialTimeout    = 700 * time.Millisecond // a lost opening packet is sent again after a second
	silenceTimeout = 3 * time.Second        // of unacknowledged bytes until the kernel gives up
	maxIdle        = 16                     // kept connections to one server
	// mostIdle bounds the kept connections to all servers. The holder of the placement
	// lease asks every engine: it had 2,936 connections in a sweep with 2,997 engines,
	// and small VMs have 4,100 descriptors.
	mostIdle     = 1024
	maxStrayBody = 64 << 10               // bytes of an answer to another request that are read over
	maxStrays    = 3                      // answers to other requests before a connection is given up
	inlineBody   = 16 << 10               // bytes of a body that fit into the buffers of a connection
	bufferSize   = 2 << 10                // bytes; an event of a stream is shorter
	idleMargin   = 500 * time.Millisecond // kept back from the idle time that a server states
	// maxHead bounds the heads of an answer and of what comes before it, in bytes, and
	// maxLines the lines of one: servers in trouble send header lines without end.
	// Servers of the users send under 1 KB and 20 lines.
	maxHead  = 16 << 10
	maxLines = 100
	// headTime bounds the time from the first byte of a head to its end: a server may
	// send a byte a second for ever.
	headTime = 2 * time.Second
)

// Errors of answers that meet a bound. The connection is closed.
var (
	errLongHead  = errors.New("head of the answer is too long")
	errManyLines = errors.New("head of the answer has too many lines")
	errSlowHead  = errors.New("head of the answer did not end in time")
)

// Client keeps connections. Its lock is not held during calls.
type Client struct {
	cfg Config

	mu     sync.Mutex
	idle   map[string][]*conn
	kept   int // connections in idle
	opened atomic.Uint64
}

// New returns a Client.
func New(cfg Config) *Client {
	if cfg.Dial == nil {
		d := &net.Dialer{Timeout: dialTimeout, KeepAlive: -1, Control: boundSilence}
		cfg.Dial = func(ctx context.Context, address string) (net.Conn, error) {
			return d.DialContext(ctx, "tcp4", address)
		}
	}
	if cfg.IdleTimeout == 0 {
		cfg.IdleTimeout = defaultIdle
	}
	if cfg.MaxIdle == 0 {
		cfg.MaxIdle = mostIdle
	}
	return &Client{cfg: cfg, idle: map[string][]*conn{}}
}

func boundSilence(_, _ string, raw syscall.RawConn) error {
	var err error
	if cerr := raw.Control(func(fd uintptr) {
		err = unix.SetsockoptInt(int(fd), unix.IPPROTO_TCP, unix.TCP_USER_TIMEOUT, int(silenceTimeout.Milliseconds()))
	}); cerr != nil {
		return cerr
	}
	return err
}

// Opened returns the number of connections opened so far.
func (c *Client) Opened() uint64 { return c.opened.Load() }

type conn struct {
	net.Conn
	address string
	source  *source
	reader  *bufio.Reader // of source
	expires time.Time     // of the idle time
}

func newConn(c net.Conn, address string) *conn {
	s := &source{Conn: c, left: unbounded}
	return &conn{Conn: c, address: address, source: s, reader: bufio.NewReaderSize(s, bufferSize)}
}

// unbounded is the value of source.left while a body is read: its reader has bounds of
// its own.
const unbounded = -1

// source is the reading side of a connection. It bounds the bytes and the time of a
// head.
type source struct {
	net.Conn
	left  int64     // bytes that the head may still take
	until time.Time // end of the time for the head; zero before its first byte
	timed bool      // the connection has that deadline
}

// head begins the reading of heads.
func (s *source) head() { s.left, s.until, s.timed = maxHead, time.Time{}, false }

// body ends it.
func (s *source) body() error {
	s.left = unbounded
	if !s.timed {
		return nil
	}
	return s.SetReadDeadline(time.Time{})
}

func (s *source) Read(b []byte) (int, error) {
	if s.left == unbounded {
		return s.Conn.Read(b)
	}
	if s.left == 0 {
		return 0, errLongHead
	}
	if !s.until.IsZero() && !s.timed {
		// Most heads come with the first read, and need no timer.
		s.timed = true
		if err := s.SetReadDeadline(s.until); err != nil {
			return 0, err
		}
	}
	n, err := s.Conn.Read(b[:min(int64(len(b)), s.left)])
	s.left -= int64(n)
	if n > 0 && s.until.IsZero() {
		s.until = time.Now().Add(headTime)
	}
	if errors.Is(err, os.ErrDeadlineExceeded) {
		err = errSlowHead
	}
	return n, err
}

// Answer is the answer of a server. Its body must be closed.
type Answer struct {
	Status int
	Header http.Header
	Body   io.ReadCloser
	Length int64 // of the body, -1 when it is not known
	// SetReadDeadline bounds the time in which the body is read.
	SetReadDeadline func(t time.Time) error
}

// Do sends a request to an address. The verdict of an error says whether the
// server may have run it. Cancelling the context closes the connection.
func (c *Client) Do(ctx context.Context, address string, rq *Request) (*Answer, error) {
	if err := ctx.Err(); err != nil {
		return nil, failed(fault.NotRun, "the request ended before it was sent", err)
	}
	if rq.AllowReuse {
		if k := c.take(address); k != nil {
			return c.exchange(ctx, k, rq)
		}
	}
	raw, err := c.cfg.Dial(ctx, address)
	if err != nil {
		return nil, failed(fault.NotRun, "the server can't be reached", err)
	}
	c.opened.Add(1)
	return c.exchange(ctx, newConn(raw, address), rq)
}

func failed(v fault.Verdict, reason string, cause error) error {
	code := fault.Unavailable
	switch {
	case errors.Is(cause, context.DeadlineExceeded):
		code = fault.Timeout
	case errors.Is(cause, context.Canceled):
		code = fault.Cancelled
	}
	return fault.New(fault.Config{Verdict: v, Code: code, Reason: reason, Cause: cause})
}

// exchange writes the request and reads the header of its answer.
func (c *Client) exchange(ctx context.Context, k *conn, rq *Request) (*Answer, error) {
	x := &exchange{client: c, conn: k}
	x.unwatch = context.AfterFunc(ctx, func() { _ = k.Close() })
	if err := x.send(rq); err != nil {
		x.abort()
		return nil, failed(fault.MayHaveRun, "the request was cut off", cause(ctx, err))
	}
	rs, err := x.receive(rq)
	if err != nil {
		x.abort()
		return nil, failed(fault.MayHaveRun, "the server did not answer", cause(ctx, err))
	}
	x.body = rs.Body
	x.keep = !rs.Close && rs.StatusCode != http.StatusSwitchingProtocols
	x.limit = idleLimit(rs.Header, c.cfg.IdleTimeout)
	return &Answer{Status: rs.StatusCode, Header: rs.Header, Body: x, Length: rs.ContentLength, SetReadDeadline: x.readUntil}, nil
}

// cause prefers the end of the context over the error of the connection that
// it closed.
func cause(ctx context.Context, err error) error {
	if end := ctx.Err(); end != nil {
		return end
	}
	return err
}

// exchange is one request and its answer on a connection. It is the body of
// the answer.
type exchange struct {
	client  *Client
	conn    *conn
	unwatch func() bool
	body    io.ReadCloser
	limit   time.Duration
	keep    bool
	whole   bool          // the body was read to its end
	sent    chan struct{} // closed when a long body was written; nil for a short one
	closed  bool
	bounded bool // the time for the body is
}

func (x *exchange) readUntil(t time.Time) error {
	x.bounded = true
	return x.conn.SetReadDeadline(t)
}

func (x *exchange) send(rq *Request) error {
	var b bytes.Buffer
	b.Grow(512 + min(len(rq.Body), inlineBody))
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
	if len(rq.Body) <= inlineBody {
		b.Write(rq.Body)
		_, err := x.conn.Write(b.Bytes())
		return err
	}
	if _, err := x.conn.Write(b.Bytes()); err != nil {
		return err
	}
	// A server may answer before it has read a long body.
	sent := make(chan struct{})
	x.sent = sent
	go func() {
		if _, err := x.conn.Write(rq.Body); err == nil {
			close(sent)
		}
	}()
	return nil
}

func (x *exchange) receive(rq *Request) (*http.Response, error) {
	x.conn.source.head()
	for range maxStrays {
		rs, err := http.ReadResponse(x.conn.reader, &http.Request{Method: rq.Method})
		if err != nil {
			return nil, err
		}
		lines := 0
		for _, values := range rs.Header {
			lines += len(values)
		}
		if lines > maxLines {
			return nil, errManyLines
		}
		if rs.StatusCode < http.StatusOK && rs.StatusCode != http.StatusSwitchingProtocols {
			continue
		}
		if err := x.conn.source.body(); err != nil {
			return nil, err
		}
		if rq.MatchAnswer == nil || rq.MatchAnswer(rs.Header) {
			return rs, nil
		}
		if n, err := io.Copy(io.Discard, io.LimitReader(rs.Body, maxStrayBody)); err != nil || n == maxStrayBody || rs.Close {
			return nil, fmt.Errorf("answer to another request: %w", io.ErrUnexpectedEOF)
		}
		x.conn.source.head()
	}
	return nil, errors.New("answers to other requests on the connection")
}

// idleLimit returns how long the server keeps an idle connection.
func idleLimit(h http.Header, most time.Duration) time.Duration {
	for _, v := range h["Keep-Alive"] {
		for part := range strings.SplitSeq(v, ",") {
			text, ok := strings.CutPrefix(strings.TrimSpace(part), "timeout=")
			if !ok {
				continue
			}
			if s, err := strconv.Atoi(text); err == nil {
				return min(most, time.Duration(s)*time.Second-idleMargin)
			}
		}
	}
	return most
}

// Read reads the body. An error other than io.EOF carries a verdict.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.body.Read(b)
	if err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		x.whole = true
		return n, err
	}
	if err != nil {
		return n, failed(fault.MayHaveRun, "the answer was cut off", err)
	}
	return n, nil
}

// Close ends the exchange. The connection is kept when the whole answer was
// read and nothing else is due on it.
func (x *exchange) Close() error {
	if x.closed {
		return nil
	}
	x.closed = true
	watched := x.unwatch()
	if !x.whole && x.keep && x.body != nil {
		// The end of a body of known length is found only by one more read.
		var one [1]byte
		if n, err := x.body.Read(one[:0]); n == 0 && err == io.EOF { //nolint:errorlint // as above
			x.whole = true
		}
	}
	wrote := x.sent == nil
	if !wrote {
		select {
		case <-x.sent:
			wrote = true
		default:
		}
	}
	if !watched || !x.keep || !x.whole || !wrote || x.limit <= 0 || x.conn.reader.Buffered() > 0 {
		return x.conn.Close()
	}
	if x.bounded && x.conn.SetReadDeadline(time.Time{}) != nil {
		return x.conn.Close()
	}
	x.conn.expires = time.Now().Add(x.limit)
	x.client.put(x.conn)
	return nil
}

func (x *exchange) abort() {
	x.closed = true
	x.unwatch()
	_ = x.conn.Close()
}

func (c *Client) put(k *conn) {
	c.mu.Lock()
	defer c.mu.Unlock()
	if len(c.idle[k.address]) >= maxIdle || c.kept >= c.cfg.MaxIdle {
		_ = k.Close()
		return
	}
	c.idle[k.address] = append(c.idle[k.address], k)
	c.kept++
}

// take returns the connection used last that is still open, or nil.
func (c *Client) take(address string) *conn {
	now := time.Now()
	for {
		c.mu.Lock()
		all := c.idle[address]
		if len(all) == 0 {
			delete(c.idle, address)
			c.mu.Unlock()
			return nil
		}
		k := all[len(all)-1]
		c.idle[address] = all[:len(all)-1]
		c.kept--
		c.mu.Unlock()
		if now.Before(k.expires) && quiet(k.Conn) {
			return k
		}
		_ = k.Close()
	}
}

// quiet tells whether an idle connection is open and has nothing to read. A
// server that has closed it, or has sent bytes that nobody asked for, is found
// before a request is written.
func quiet(c net.Conn) bool {
	s, ok := c.(syscall.Conn)
	if !ok {
		return true
	}
	raw, err := s.SyscallConn()
	if err != nil {
		return false
	}
	open := false
	if err := raw.Control(func(fd uintptr) {
		var one [1]byte
		_, _, err := unix.Recvfrom(int(fd), one[:], unix.MSG_PEEK|unix.MSG_DONTWAIT)
		open = errors.Is(err, unix.EAGAIN)
	}); err != nil {
		return false
	}
	return open
}

// CloseIdle closes the idle connections to an address, as after the server left.
func (c *Client) CloseIdle(address string) {
	c.mu.Lock()
	all := c.idle[address]
	delete(c.idle, address)
	c.kept -= len(all)
	c.mu.Unlock()
	for _, k := range all {
		_ = k.Close()
	}
}

// CloseExpired closes connections that were idle for too long. It is called every few
// seconds.
func (c *Client) CloseExpired() {
	now := time.Now()
	c.mu.Lock()
	defer c.mu.Unlock()
	for address, all := range c.idle {
		kept := all[:0]
		for _, k := range all {
			if now.Before(k.expires) {
				kept = append(kept, k)
			} else {
				c.kept--
				_ = k.Close()
			}
		}
		if c.idle[address] = kept; len(kept) == 0 {
			delete(c.idle, address)
		}
	}
}
