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

// States of a connection with respect to the current request.
const (
	unwritten     int32 = iota // no byte of the request was written
	written                    // a part of the request may have been written
	writesBlocked              // nothing was written and later writes fail
)

// conn is a connection that records whether writing of the current request has
// begun. net/http writes from a separate goroutine, which may continue after the
// request has failed. Blocking further writes makes the result "nothing was
// written" final.
type conn struct {
	net.Conn
	progress   atomic.Int32
	received   atomic.Bool // bytes were read
	readFailed atomic.Bool
}

// Read reads from the connection and records whether bytes have arrived.
func (c *conn) Read(b []byte) (int, error) {
	n, err := c.Conn.Read(b)
	if n > 0 {
		c.received.Store(true)
	}
	if err != nil {
		c.readFailed.Store(true)
	}
	return n, err
}

// receivedDamage reports whether net/http refused the bytes of an answer: it failed, while all reads succeeded.
func (c *conn) receivedDamage() bool { return c.received.Load() && !c.readFailed.Load() }

var errWritesBlocked = errors.New("the request has failed, writes to its connection are blocked")

// Write writes to the connection unless writes are blocked.
func (c *conn) Write(b []byte) (int, error) {
	if !c.progress.CompareAndSwap(unwritten, written) && c.progress.Load() == writesBlocked {
		return 0, errWritesBlocked
	}
	return c.Conn.Write(b)
}

// blockWrites blocks all later writes if nothing was written so far, and reports
// whether it did.
func (c *conn) blockWrites() bool { return c.progress.CompareAndSwap(unwritten, writesBlocked) }

// exchange is one request and its answer. It is also the body of the answer.
type exchange struct {
	cancel       context.CancelFunc
	idle         time.Duration
	timer        *time.Timer // timeout of the header, then the idle timeout of the body
	expired      atomic.Bool
	conn         *conn
	wroteEarlier bool // something may have been written to an earlier connection of this exchange
	body         io.ReadCloser
}

// trace returns a context that records the connections that the exchange uses.
// net/http calls GotConn on the goroutine of the round trip.
func (x *exchange) trace(ctx context.Context) context.Context {
	return httptrace.WithClientTrace(ctx, &httptrace.ClientTrace{GotConn: func(i httptrace.GotConnInfo) {
		if x.conn != nil && !x.conn.blockWrites() {
			x.wroteEarlier = true
		}
		x.conn, _ = i.Conn.(*conn)
		if x.conn == nil {
			x.wroteEarlier = true // the connection does not record writes
			return
		}
		x.conn.progress.Store(unwritten)
	}})
}

// expire cancels the exchange after a timeout.
func (x *exchange) expire() {
	x.expired.Store(true)
	x.cancel()
}

// release stops the timer and cancels the context of the exchange.
func (x *exchange) release() {
	if x.timer != nil {
		x.timer.Stop()
	}
	x.cancel()
}

// reasonDamaged is the reason of errors for answers that are none.
const reasonDamaged = "the answer of the service is damaged"

// roundTripError returns the error of a round trip without an answer. The verdict
// is not-run if no byte of the request was written: no connection was opened, or
// the connection was lost or the deadline passed before the first byte.
func (x *exchange) roundTripError(ctx context.Context, err error) error {
	cfg := fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "the service does not answer", Cause: err}
	if !x.wroteEarlier && (x.conn == nil || x.conn.blockWrites()) {
		cfg.Verdict, cfg.Reason = fault.NotRun, "the service can't be reached"
	}
	switch {
	case ctx.Err() == nil && x.conn != nil && x.conn.receivedDamage():
		cfg.Code, cfg.Reason = fault.Damaged, reasonDamaged
	case x.expired.Load():
		cfg.Code, cfg.Reason = fault.Timeout, "the service did not answer in time"
	case errors.Is(context.Cause(ctx), context.Canceled) && errors.Is(err, context.Canceled):
		cfg.Code = fault.Cancelled
	}
	return fault.New(cfg)
}

// startBody sets the body of the answer and replaces the timeout of the header by
// the idle timeout.
func (x *exchange) startBody(response *http.Response) {
	x.body = response.Body
	if x.timer != nil {
		x.timer.Stop()
	}
	x.timer = time.AfterFunc(x.idle, x.expire)
}

// Read reads from the body. Its errors carry the verdict that the request may have
// run: an answer that is cut off does not show whether the work was done.
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

// Close ends the exchange. If the body was not read completely, the request is
// cancelled.
func (x *exchange) Close() error {
	err := x.body.Close()
	x.release()
	return err
}
