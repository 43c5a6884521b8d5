package entry_test

import (
	"bufio"
	"context"
	"io"
	"net"
	"net/http"
	"strings"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fleet"
)

const plainOrder = "POST /services/desk/orders HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer key\r\nContent-Length: 0\r\n\r\n"

// openKeptConn returns a connection on which one request has been answered.
func openKeptConn(t *testing.T, s *system, n *node) (net.Conn, *bufio.Reader) {
	t.Helper()
	c, err := s.dial(t.Context(), "", n.name)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	go func() { _, _ = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n") }()
	r := bufio.NewReader(c)
	readStatus(t, r, 200, "first request")
	return c, r
}

// readStatus reads an answer and checks its status.
func readStatus(t *testing.T, r *bufio.Reader, status int, what string) *http.Response {
	t.Helper()
	rs, err := http.ReadResponse(r, nil)
	assert.NilError(t, err, what)
	_, err = io.ReadAll(rs.Body)
	assert.NilError(t, err, what)
	assert.Equal(t, rs.StatusCode, status, what)
	return rs
}

// TestPausedShutdownAnswersWhatItRead guards against a request that was read from a
// connection and gets no answer, since the process was paused in its planned stop
// before it looked at the request.
func TestPausedShutdownAnswersWhatItRead(t *testing.T) {
	for name, kept := range map[string]bool{"kept connection": true, "new connection": false} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				s := newSystem(t, 1, 1)
				n := s.start(t)
				time.Sleep(time.Second)
				var c net.Conn
				var r *bufio.Reader
				if kept {
					c, r = openKeptConn(t, s, n)
				} else {
					var err error
					c, err = s.dial(t.Context(), "", n.name)
					assert.NilError(t, err)
					r = bufio.NewReader(c)
				}
				synctest.Wait()
				n.handler.Drain()
				n.Pause(8 * time.Second)
				_, err := io.WriteString(c, plainOrder) // returns once the process has read it
				assert.NilError(t, err)
				stopped := make(chan error, 1)
				go func() { stopped <- n.handler.Shutdown(context.Background(), n.server, n.listener) }()
				readStatus(t, r, 503, "request that was read")
				_, err = r.ReadByte()
				assert.Equal(t, err, io.EOF)
				assert.NilError(t, <-stopped)
			})
		})
	}
}

// slowListener accepts connections late, as a process does that gets little processor time.
type slowListener struct{ *net.TCPListener }

func (l slowListener) Accept() (net.Conn, error) {
	time.Sleep(10 * time.Millisecond)
	return l.TCPListener.Accept()
}

// TestShutdownAnswersConnectionsThatWait guards against requests on connections that
// a slow process has not accepted yet when it stops, and that end without an answer.
func TestShutdownAnswersConnectionsThatWait(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	var answers []*bufio.Reader
	for range 8 {
		c, err := net.Dial("tcp4", ln.Addr().String())
		assert.NilError(t, err)
		defer c.Close()
		_, err = io.WriteString(c, "GET /healthz HTTP/1.1\r\nHost: x\r\n\r\n")
		assert.NilError(t, err)
		answers = append(answers, bufio.NewReader(c))
	}
	h := entry.New(entry.Config{Store: newSystem(t, 1, 0).store(t), Fleet: fleet.New(fleet.Config{}), Engines: engine.New(engine.Config{})})
	server, callers := h.Server(), h.Listener(slowListener{ln.(*net.TCPListener)})
	go func() { _ = server.Serve(callers) }()
	time.Sleep(time.Millisecond) // the server has begun
	h.Drain()
	assert.NilError(t, h.Shutdown(t.Context(), server, callers))
	for _, r := range answers {
		readStatus(t, r, 200, "request of a connection that waited")
	}
}

// TestShutdownClosesIdleConnections guards against a planned stop that waits for
// callers that keep their connections.
func TestShutdownClosesIdleConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1)
		n := s.start(t)
		time.Sleep(time.Second)
		_, idle := openKeptConn(t, s, n)
		s.services[0].SetFaults(fakes.ServiceFaults{Delay: 2 * time.Second})
		c, r := openKeptConn(t, s, n)
		_, err := io.WriteString(c, plainOrder)
		assert.NilError(t, err)
		time.Sleep(time.Second)
		n.handler.Drain()
		start := time.Now()
		stopped := make(chan error, 1)
		go func() { stopped <- n.handler.Shutdown(context.Background(), n.server, n.listener) }()
		readStatus(t, r, 201, "request in flight")
		assert.NilError(t, <-stopped)
		assert.Assert(t, time.Since(start) < 1500*time.Millisecond, "stopped after %v", time.Since(start))
		for _, r := range []*bufio.Reader{r, idle} {
			_, err := r.ReadByte()
			assert.Equal(t, err, io.EOF)
		}
	})
}

// pausedListener accepts connections of a process that is paused before it reads or
// writes: the deadline may pass before the call.
type pausedListener struct {
	net.Listener
	read, write *atomic.Int64 // pause before the next call, in nanoseconds
}

type pausedConn struct {
	net.Conn
	read, write *atomic.Int64
}

func (l pausedListener) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return pausedConn{c, l.read, l.write}, nil
}

func (c pausedConn) Read(b []byte) (int, error) {
	if len(b) > 1 { // net/http waits with a buffer of one byte for a caller that goes away
		time.Sleep(time.Duration(c.read.Swap(0)))
	}
	return c.Conn.Read(b)
}

func (c pausedConn) Write(b []byte) (int, error) {
	time.Sleep(time.Duration(c.write.Swap(0)))
	return c.Conn.Write(b)
}

// TestPauseCostsNoRequest guards against a request that is dropped because the
// process was paused for longer than the timeout of the header or of an idle
// connection while the request waited to be read.
func TestPauseCostsNoRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1)
		n := s.start(t)
		time.Sleep(time.Second)
		var pause, noPause atomic.Int64
		l := n.handler.Listener(pausedListener{s.listen("entry-paused"), &pause, &noPause})
		go func() { _ = n.server.Serve(l) }()
		s.services[0].SetFaults(fakes.ServiceFaults{Delay: time.Second})
		pause.Store(int64(6 * time.Second))
		c, err := s.dial(t.Context(), "", "entry-paused")
		assert.NilError(t, err)
		defer c.Close()
		r := bufio.NewReader(c)
		go func() {
			_, _ = io.WriteString(c, plainOrder)
			pause.Store(int64(70 * time.Second))
			time.Sleep(10 * time.Second)
			_, _ = io.WriteString(c, plainOrder)
		}()
		start := time.Now()
		readStatus(t, r, 201, "new connection")
		assert.Equal(t, time.Since(start).Round(time.Second), 7*time.Second)
		readStatus(t, r, 201, "kept connection")
		assert.Equal(t, time.Since(start).Round(time.Second), 78*time.Second)
		start = time.Now()
		_, _ = io.WriteString(c, "POST /serv")
		readStatus(t, r, 408, "half a header")
		assert.Equal(t, time.Since(start).Round(time.Second), 5*time.Second)
	})
}

// TestPauseCostsNoAnswer guards against an answer that is dropped because the process
// was paused while it wrote the answer, until after the deadline of the write.
func TestPauseCostsNoAnswer(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1)
		n := s.start(t)
		time.Sleep(time.Second)
		var noPause, pause atomic.Int64
		pause.Store(int64(13 * time.Second))
		l := n.handler.Listener(pausedListener{s.listen("entry-paused"), &noPause, &pause})
		go func() { _ = n.server.Serve(l) }()
		c, err := s.dial(t.Context(), "", "entry-paused")
		assert.NilError(t, err)
		defer c.Close()
		go func() { _, _ = io.WriteString(c, plainOrder) }()
		readStatus(t, bufio.NewReader(c), 201, "order")
	})
}

// TestStopOutOfTimeAnswersEachRequest guards against a planned stop that runs out of
// time and closes connections without an answer, and against an answer that says of
// a running call that it has not run.
func TestStopOutOfTimeAnswersEachRequest(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1)
		n := s.start(t)
		time.Sleep(time.Second)
		s.services[0].SetFaults(fakes.ServiceFaults{Delay: 4 * time.Second})
		type answer struct {
			rs   *http.Response
			text string
			err  error
		}
		answers := map[string]chan answer{}
		for _, key := range []string{"", "order-1"} {
			done := make(chan answer, 1)
			answers[key] = done
			go func() {
				header := []string{}
				if key != "" {
					header = []string{"Idempotency-Key", key}
				}
				rs, text, err := s.call(context.Background(), n.name, "POST", "/services/desk/orders", "x"+key, header...)
				done <- answer{rs, text, err}
			}()
		}
		time.Sleep(time.Second)
		n.handler.Drain()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		n.handler.WaitDrained(ctx, time.Now())
		assert.NilError(t, n.handler.Shutdown(ctx, n.server, n.listener))
		n.kill() // the process has ended
		for key, done := range answers {
			a := <-done
			assert.NilError(t, a.err, "key %q", key)
			p := decodeProblem(t, a.rs, a.text)
			assert.Equal(t, p.Verdict, "may-have-run", "key %q: %s", key, a.text)
			assert.Assert(t, p.Status == 503 && strings.Contains(p.Detail, "stopped") && a.rs.Header.Get("Retry-After") == "0", a.text)
		}
		time.Sleep(10 * time.Second)
	})
}

// slowClosing accepts connections whose close takes a while, as in a process that gets
// little processor time.
type slowClosing struct{ net.Listener }

type slowClosingConn struct{ net.Conn }

func (l slowClosing) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		return nil, err
	}
	return slowClosingConn{c}, nil
}

func (c slowClosingConn) Close() error {
	time.Sleep(100 * time.Millisecond)
	return c.Conn.Close()
}

// TestStopOutOfTimeIsNoFailure guards against a planned stop that reports a failure
// although each request was answered: connections still close when its time is over.
func TestStopOutOfTimeIsNoFailure(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		s := newSystem(t, 1, 1)
		n := s.start(t)
		time.Sleep(time.Second)
		assert.NilError(t, n.listener.Close())
		l := n.handler.Listener(slowClosing{s.listen("entry-slow")})
		go func() { _ = n.server.Serve(l) }()
		s.services[0].SetFaults(fakes.ServiceFaults{Delay: 4 * time.Second})
		c, err := s.dial(t.Context(), "", "entry-slow")
		assert.NilError(t, err)
		defer c.Close()
		go func() {
			_, _ = io.WriteString(c, strings.Replace(plainOrder, "Host: x", "Host: x\r\nConnection: close", 1))
		}()
		time.Sleep(time.Second)
		n.handler.Drain()
		ctx, cancel := context.WithTimeout(t.Context(), time.Second)
		defer cancel()
		stopped := make(chan error, 1)
		go func() { stopped <- n.handler.Shutdown(ctx, n.server, l) }()
		readStatus(t, bufio.NewReader(c), 503, "order in flight")
		err = <-stopped
		time.Sleep(10 * time.Second) // the service ends its call
		assert.NilError(t, err)
	})
}

// slowServing returns the end of a listener late to net/http, as in a process that gets
// little processor time.
type slowServing struct{ net.Listener }

func (l slowServing) Accept() (net.Conn, error) {
	c, err := l.Listener.Accept()
	if err != nil {
		time.Sleep(100 * time.Millisecond)
	}
	return c, err
}

// TestStopWithSlowListenerIsNoFailure guards against a planned stop that reports a failure
// since net/http closes the listener once more: it has not noticed yet that it is closed.
func TestStopWithSlowListenerIsNoFailure(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	h := entry.New(entry.Config{Store: newSystem(t, 1, 0).store(t), Fleet: fleet.New(fleet.Config{}), Engines: engine.New(engine.Config{})})
	server, callers := h.Server(), h.Listener(ln)
	go func() { _ = server.Serve(slowServing{callers}) }()
	time.Sleep(10 * time.Millisecond) // the server has begun
	h.Drain()
	assert.NilError(t, h.Shutdown(t.Context(), server, callers))
}
