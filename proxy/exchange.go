package proxy

import (
	"context"
	"errors"
	"io"
	"net"
	"net/http"
	"net/http/httptrace"
	"sync/atomic"
	"time"

	"github.com/cranberrybay/cranberrybay/fault"
)

// Progress of a request on its connection.
const (
	untouched int32 = iota // nothing of the request was written
	written                // a part may have been written
	sealed                 // nothing was written and nothing will be
)

// conn is a connection that knows whether a request has begun to be written to
// it. net/http writes from a goroutine of its own, which may go on after the
// request has failed; sealing the connection makes "nothing was written" final.
type conn struct {
	net.Conn
	progress atomic.Int32
}

var errSealed = errors.New("connection is sealed")

func (c *conn) Write(b []byte) (int, error) {
	if !c.progress.CompareAndSwap(untouched, written) && c.progress.Load() == sealed {
		return 0, errSealed
	}
	return c.Conn.Write(b)
}

// seal reports whether nothing was written, and keeps it so.
func (c *conn) seal() bool { return c.progress.CompareAndSwap(untouched, sealed) }

// exchange is one request and its answer. It is the body of the answer.
type exchange struct {
	cancel  context.CancelFunc
	idle    time.Duration
	timer   *time.Timer // deadline of the header, then of each part of the body
	expired atomic.Bool
	conn    *conn
	wrote   bool // on an earlier connection of this exchange
	body    io.ReadCloser
}

// trace returns a context that tells the exchange which connections it gets.
// GotConn is called on the goroutine of the round trip.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if x.conn != nil && !x.conn.seal() {
			x.wrote = true
		}
		x.conn, _ = i.Conn.(*conn)
		if x.conn == nil {
			x.wrote = true // not a connection that can tell
			return
		}
		x.conn.progress.Store(untouched)
	}})
}

func (x *exchange) expire() {
	x.expired.Store(true)
	x.cancel()
}

// end releases the exchange without an answer.
func (x *exchange) end() {
	if x.timer != nil {
		x.timer.Stop()
	}
	x.cancel()
}

// failed returns the error of a round trip without an answer. The request was
// not run when no byte of it was written: no connection was opened, or it was
// lost or the deadline passed before the first byte.
func (x *exchange) failed(ctx context.Context, err error) error {
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the service does not answer", Cause: err}
	if !x.wrote && (x.conn == nil || x.conn.seal()) {
		cfg.Verdict, cfg.Reason = fault.NotRun, "the service can't be reached"
	}
	switch {
	case x.expired.Load():
		cfg.Code, cfg.Reason = fault.Timeout, "the service did not answer in time"
	case errors.Is(context.Cause(ctx), context.Canceled) && errors.Is(err, context.Canceled):
		cfg.Code = fault.Cancelled
	}
	return fault.New(cfg)
}

// received begins the body of an answer.
func (x *exchange) received(rs *http.Response) {
	x.body = rs.Body
	if x.timer != nil {
		x.timer.Stop()
	}
	x.timer = time.AfterFunc(x.idle, x.expire)
}

// Read reads the body. Its errors carry a verdict: an answer that is cut off
// does not tell whether the work was done.
func (x *exchange) Read(b []byte) (int, error) {
	n, err := x.body.Read(b)
	if err == nil || err == io.EOF { //nolint:errorlint // readers return io.EOF itself
		x.timer.Reset(x.idle)
		return n, err
	}
	code := fault.Unavailable
	if x.expired.Load() {
		code = fault.Timeout
	}
	return n, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: code, Reason: "the answer of the service was cut off", Cause: err})
}

// Close ends the exchange. A body that was not read to its end is cancelled.
func (x *exchange) Close() error {
	err := x.body.Close()
	x.end()
	return err
}
