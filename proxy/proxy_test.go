package proxy

import (
	"bufio"
	"context"
	"errors"
	"fmt"
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"net/http/httptrace"
	"strings"
	"sync/atomic"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
)

func wantError(t *testing.T, err error, v fault.Verdict, c fault.Code) {
	t.Helper()
	var e *fault.Error
	assert.Assert(t, errors.As(err, &e), "%v has no verdict", err)
	assert.Equal(t, e.Verdict(), v, err.Error())
	assert.Equal(t, e.Code(), c, err.Error())
}

func listen(t *testing.T, serve func(net.Conn)) string {
	t.Helper()
	l, err := net.Listen("tcp", "127.0.0.1:0")
	assert.NilError(t, err)
	t.Cleanup(func() { _ = l.Close() })
	go func() {
		for {
			c, err := l.Accept()
			if err != nil {
				return
			}
			go func() { defer c.Close(); serve(c) }()
		}
	}()
	return l.Addr().String()
}

var order = Call{Method: "POST", Path: "/orders", Header: http.Header{"Idempotency-Key": {"k"}}}

// TestVerdicts guards against a not-run verdict for a request that the service may
// have run, and the reverse.
func TestVerdicts(t *testing.T) {
	unreached := listen(t, func(net.Conn) { t.Error("a connection was opened") })
	closed := listen(t, func(c net.Conn) { _, _ = c.Read(make([]byte, 1)) })
	s := fakes.NewService()
	sv := httptest.NewServer(s.Handler())
	defer sv.Close()
	address := sv.Listener.Addr().String()
	gone, stop := context.WithCancel(context.Background())
	stop()
	for name, c := range map[string]struct {
		faults  fakes.ServiceFaults
		address string
		by      time.Duration
		ctx     context.Context
		verdict fault.Verdict
		code    fault.Code
		runs    int
	}{
		"connection refused":    {address: "127.0.0.1:1", verdict: fault.NotRun, code: fault.Unavailable},
		"closed in the request": {address: closed, verdict: fault.MayHaveRun, code: fault.Unavailable},
		"refused by the server": {faults: fakes.ServiceFaults{Refuse: true}, verdict: fault.NotRun, code: fault.Leaving},
		"lost before it ran":    {faults: fakes.ServiceFaults{LostCalls: 1}, verdict: fault.MayHaveRun, code: fault.Unavailable},
		"answer dropped":        {faults: fakes.ServiceFaults{LostReplies: 1}, verdict: fault.MayHaveRun, code: fault.Unavailable, runs: 1},
		"answer cut off":        {faults: fakes.ServiceFaults{TruncatedReplies: 1}, verdict: fault.MayHaveRun, code: fault.Unavailable, runs: 1},
		"deadline passes":       {faults: fakes.ServiceFaults{Delay: 300 * time.Millisecond}, by: 50 * time.Millisecond, verdict: fault.MayHaveRun, code: fault.Timeout, runs: 1},
		"deadline has passed":   {address: unreached, by: -time.Second, verdict: fault.NotRun, code: fault.Timeout},
		"caller is gone":        {address: unreached, ctx: gone, verdict: fault.NotRun, code: fault.Cancelled},
	} {
		t.Run(name, func(t *testing.T) {
			s.SetFaults(c.faults)
			before := len(s.ExecutedOrders())
			call, ctx := order, context.Background()
			if c.by != 0 {
				call.Deadline = time.Now().Add(c.by)
			}
			if c.address == "" {
				c.address = address
			}
			if c.ctx != nil {
				ctx = c.ctx
			}
			a, err := New(Config{}).Do(ctx, c.address, call)
			if err == nil {
				_, err = io.ReadAll(a.Body)
				_ = a.Body.Close()
			}
			wantError(t, err, c.verdict, c.code)
			// On a busy machine the order reaches the server long after it was sent.
			for begun := time.Now(); len(s.ExecutedOrders())-before < c.runs && time.Since(begun) < 5*time.Second; {
				time.Sleep(time.Millisecond)
			}
			time.Sleep(c.faults.Delay)
			assert.Equal(t, len(s.ExecutedOrders())-before, c.runs)
		})
	}
}

// closingServer answers the first request of each connection and closes the
// connection when the second one arrives, like a server that closes idle
// connections. It counts the requests by method.
func closingServer(t *testing.T, count map[string]*atomic.Int32) string {
	return listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		for n := 0; ; n++ {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			count[request.Method].Add(1)
			if n == 1 || request.Method == "POST" {
				return
			}
			_, _ = io.WriteString(c, "HTTP/1.1 200 OK\r\nContent-Length: 0\r\n\r\n")
		}
	})
}

// ordersReceived sends a lookup, which leaves an idle connection, and then an
// order. It returns how often the order arrived.
func ordersReceived(t *testing.T, c *Client) int32 {
	t.Helper()
	count := map[string]*atomic.Int32{"GET": {}, "POST": {}}
	address := closingServer(t, count)
	a, err := c.Do(context.Background(), address, Call{Method: "GET", Path: "/", Idempotent: true})
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	time.Sleep(20 * time.Millisecond) // the connection returns to the pool
	_, err = c.Do(context.Background(), address, order)
	wantError(t, err, fault.MayHaveRun, fault.Unavailable)
	return count["POST"].Load()
}

// TestNoSilentRepeat guards against net/http resending an order when the server
// closes a reused connection. net/http does so for a request without a body that has
// an Idempotency-Key header.
func TestNoSilentRepeat(t *testing.T) {
	assert.Equal(t, ordersReceived(t, New(Config{})), int32(1))
	t.Run("injected fault: reused connections", func(t *testing.T) {
		c := New(Config{})
		reuseConnections(c)
		assert.Assert(t, ordersReceived(t, c) > 1, "the test would not detect a resent order")
	})
}

// reuseConnections makes a client keep its connections.
func reuseConnections(c *Client) { c.transport.(*http.Transport).MaxIdleConnsPerHost = 0 }

// TestBlockWrites guards against a request that is reported as not run and is
// written to its connection afterwards.
func TestBlockWrites(t *testing.T) {
	a, b := net.Pipe()
	go func() { _, _ = io.Copy(io.Discard, b) }()
	c := &conn{Conn: a}
	assert.Assert(t, c.blockWrites())
	_, err := c.Write([]byte("x"))
	assert.Assert(t, errors.Is(err, errWritesBlocked))
	c = &conn{Conn: a}
	_, err = c.Write([]byte("x"))
	assert.NilError(t, err)
	assert.Assert(t, !c.blockWrites())
}

// TestProgress guards against a verdict that ignores what was written
// to an earlier connection of the same exchange, or that counts what an earlier
// request wrote to a reused connection.
func TestProgress(t *testing.T) {
	used := func() *conn { c := &conn{}; c.progress.Store(written); return c }
	for name, c := range map[string]struct {
		conns   []*conn
		write   bool // to the first connection, after GotConn was called
		verdict fault.Verdict
	}{
		"none":                    {verdict: fault.NotRun},
		"nothing written":         {conns: []*conn{{}}, verdict: fault.NotRun},
		"reused connection":       {conns: []*conn{used()}, verdict: fault.NotRun},
		"written":                 {conns: []*conn{{}}, write: true, verdict: fault.MayHaveRun},
		"written, then another":   {conns: []*conn{{}, {}}, write: true, verdict: fault.MayHaveRun},
		"untouched, then another": {conns: []*conn{{}, {}}, verdict: fault.NotRun},
	} {
		x := &exchange{}
		got := httptrace.ContextClientTrace(x.trace(context.Background())).GotConn
		for i, n := range c.conns {
			got(httptrace.GotConnInfo{Conn: n})
			if i == 0 && c.write {
				n.progress.Store(written)
			}
		}
		assert.Equal(t, fault.VerdictOf(x.roundTripError(context.Background(), io.EOF)), c.verdict, name)
	}
}

// TestPassThrough guards against modified methods, paths, headers and bodies, and
// against hop-by-hop headers that are forwarded.
func TestPassThrough(t *testing.T) {
	var got string
	sv := httptest.NewServer(http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		b, _ := io.ReadAll(r.Body)
		var h strings.Builder
		_ = r.Header.Write(&h)
		got = r.Method + " " + r.RequestURI + " " + r.Host + "\n" + h.String() + string(b)
		w.Header()["X-Back"] = []string{"1", "2"}
		w.Header().Set("Keep-Alive", "x")
		w.WriteHeader(http.StatusTeapot)
		_, _ = io.WriteString(w, "tea")
	}))
	defer sv.Close()
	a, err := New(Config{}).Do(context.Background(), sv.Listener.Addr().String(), Call{
		Method: "PATCH", Path: "/a%2Fb//c?x=%20&y", Host: "desk.example", Body: []byte("body"), Idempotent: true,
		Header: http.Header{"X-Two": {"1", "2"}, "Accept-Encoding": {"br"}, "Connection": {"X-Hop, close"}, "X-Hop": {"1"}, "Te": {"trailers"}, "Upgrade": {"h2c"}},
	})
	assert.NilError(t, err)
	b, err := io.ReadAll(a.Body)
	assert.NilError(t, err)
	assert.NilError(t, a.Body.Close())
	assert.Equal(t, got, "PATCH /a%2Fb//c?x=%20&y desk.example\nAccept-Encoding: br\r\nContent-Length: 4\r\nX-Two: 1\r\nX-Two: 2\r\nbody")
	assert.Equal(t, a.Status, http.StatusTeapot)
	assert.DeepEqual(t, a.Header["X-Back"], []string{"1", "2"})
	assert.Equal(t, a.Header.Get("Keep-Alive"), "")
	assert.Equal(t, string(b), "tea")
}

// repeatingServer answers each request with its path and body, and writes the answer to the request
// before once more in front of it.
func repeatingServer(t *testing.T) string {
	return listen(t, func(c net.Conn) {
		r := bufio.NewReader(c)
		last := ""
		for {
			request, err := http.ReadRequest(r)
			if err != nil {
				return
			}
			answer := fmt.Sprintf("HTTP/1.1 200 OK\r\nContent-Length: %d\r\n\r\n%s", len(request.RequestURI), request.RequestURI)
			if _, err := io.WriteString(c, last+answer); err != nil {
				return
			}
			last = answer
		}
	})
}

// crossedAnswers sends lookups one after the other and returns how many got another answer than their
// own.
func crossedAnswers(t *testing.T, c *Client) int {
	t.Helper()
	address, crossed := repeatingServer(t), 0
	for _, path := range []string{"/1", "/2", "/3"} {
		a, err := c.Do(context.Background(), address, Call{Method: "GET", Path: path, Idempotent: true})
		assert.NilError(t, err)
		b, err := io.ReadAll(a.Body)
		assert.NilError(t, err)
		assert.NilError(t, a.Body.Close())
		if string(b) != path {
			crossed++
		}
		time.Sleep(20 * time.Millisecond) // a kept connection returns to the pool
	}
	return crossed
}

// TestAnswersAreNotCrossed guards against an answer that reaches the next call on its connection,
// because the server writes it once more.
func TestAnswersAreNotCrossed(t *testing.T) {
	assert.Equal(t, crossedAnswers(t, New(Config{})), 0)
	t.Run("injected fault: reused connections", func(t *testing.T) {
		c := New(Config{})
		reuseConnections(c)
		assert.Assert(t, crossedAnswers(t, c) > 0, "the test would not detect a crossed answer")
	})
}
