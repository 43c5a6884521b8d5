package edge

import (
	"io"
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"gotest.tools/v3/poll"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/link"
)

// Guards against connections that are closed sooner than the configuration in effect allows callers to use
// them, and against those that stay open for ever.
func TestConnectionsFollowTheConfiguration(t *testing.T) {
	const longer = 30 * time.Second
	for name, tt := range map[string]struct {
		limits config.Limits
		state  http.ConnState
		served bool
		open   time.Duration // still open after
		closed time.Duration // closed after; 0 if it stays open
	}{
		"idle, no configuration":    {config.Limits{}, http.StateIdle, false, 15 * time.Second, 21 * time.Second},
		"idle, as configured":       {config.Limits{IdleTimeout: longer}, http.StateIdle, false, longer, longer + 6*time.Second},
		"new, as configured":        {config.Limits{IdleTimeout: longer}, http.StateNew, false, longer, longer + 6*time.Second},
		"header, no configuration":  {config.Limits{}, http.StateActive, false, 3 * time.Second, 4 * time.Second},
		"header, as configured":     {config.Limits{HeaderTimeout: longer}, http.StateActive, false, longer, longer + time.Second},
		"request that takes longer": {config.Limits{}, http.StateActive, true, time.Hour, 0},
	} {
		t.Run(name, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newCallerConns(func() config.Limits { return tt.limits }, func(string) {})
				near, far := net.Pipe()
				defer func() { _, _ = near.Close(), far.Close() }()
				x.observe(near, tt.state)
				if tt.served {
					r := httptest.NewRequest(http.MethodGet, "/", nil)
					x.handler(http.NotFoundHandler()).ServeHTTP(httptest.NewRecorder(), r.WithContext(withConn(r.Context(), near)))
				}
				time.Sleep(tt.open)
				x.closeExpired(t.Context())
				checkOpen(t, far, true)
				if tt.closed > 0 {
					time.Sleep(tt.closed - tt.open)
					x.closeExpired(t.Context())
					checkOpen(t, far, false)
				}
			})
		})
	}
}

// checkOpen fails unless the other end of a connection is open, or closed.
func checkOpen(t *testing.T, far net.Conn, want bool) {
	t.Helper()
	err := far.SetReadDeadline(time.Now().Add(time.Millisecond)) // a closed pipe refuses it
	if err == nil {
		_, err = far.Read(make([]byte, 1))
	}
	e, ok := err.(net.Error) //nolint:errorlint // net.Pipe returns it unwrapped
	assert.Equal(t, ok && e.Timeout(), want, "%v", err)
}

// Guards against a connection that is used again after its limit was checked while it was idle.
func TestReusedConnectionStaysOpen(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newCallerConns(func() config.Limits { return config.Limits{} }, func(string) {})
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		for range 10 {
			x.observe(near, http.StateIdle)
			time.Sleep(14 * time.Second)
			x.observe(near, http.StateActive)
			time.Sleep(2 * time.Second)
			x.closeExpired(t.Context())
			checkOpen(t, far, true)
		}
		x.observe(near, http.StateClosed)
		assert.Equal(t, len(x.conns), 0)
	})
}

// Guards against a change of the configuration that closes connections which callers may still use by the
// one before.
func TestShorterIdleLimitKeepsConnections(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		limits := config.Limits{IdleTimeout: 30 * time.Second}
		x := newCallerConns(func() config.Limits { return limits }, func(string) {})
		near, far := net.Pipe()
		defer func() { _, _ = near.Close(), far.Close() }()
		x.observe(near, http.StateIdle)
		time.Sleep(20 * time.Second)
		limits.IdleTimeout = time.Second
		x.closeExpired(t.Context())
		checkOpen(t, far, true)
		x.observe(near, http.StateActive)
		x.observe(near, http.StateIdle)
		time.Sleep(7 * time.Second)
		x.closeExpired(t.Context())
		checkOpen(t, far, false)
	})
}

// caller is a connection of a caller that writes its requests by parts.
type caller struct{ net.Conn }

func connect(t *testing.T, address string) *caller {
	t.Helper()
	c, err := net.Dial("tcp4", address)
	assert.NilError(t, err)
	t.Cleanup(func() { _ = c.Close() })
	assert.NilError(t, c.SetDeadline(time.Now().Add(10*time.Second)))
	return &caller{Conn: c}
}

func (c *caller) write(t *testing.T, text string) {
	t.Helper()
	_, err := io.WriteString(c, text)
	assert.NilError(t, err)
}

// Guards against the close of an idle connection on which a request has arrived that a paused process has not
// read.
func TestUnreadRequestKeepsItsConnection(t *testing.T) {
	ln, err := net.Listen("tcp4", "127.0.0.1:0")
	assert.NilError(t, err)
	defer func() { assert.NilError(t, ln.Close()) }()
	x := newCallerConns(func() config.Limits { return config.Limits{IdleTimeout: time.Nanosecond} }, func(string) {})
	c := connect(t, ln.Addr().String())
	near, err := x.listener(ln).Accept()
	assert.NilError(t, err)
	defer func() { _ = near.Close() }()
	x.observe(near, http.StateNew)
	x.conns[near].since = time.Now().Add(-time.Hour)
	x.conns[near].idleUntil = x.conns[near].since
	c.write(t, "GET")
	poll.WaitOn(t, func(poll.LogT) poll.Result {
		if link.HasUnread(near.(*callerConn).Conn) {
			return poll.Success()
		}
		return poll.Continue("nothing has arrived")
	})
	x.closeExpired(t.Context())
	assert.Equal(t, x.closeIdle(), 1)
	_, err = near.Read(make([]byte, 8))
	assert.NilError(t, err)
	assert.Equal(t, x.conns[near].phase, phaseHeader)
}

// Guards against a request that is passed on although its connection was closed while it was read.
func TestRequestThatCrossedTheCloseIsNotServed(t *testing.T) {
	x := newCallerConns(func() config.Limits { return config.Limits{} }, func(string) {})
	near, far := net.Pipe()
	defer func() { _, _ = near.Close(), far.Close() }()
	x.observe(near, http.StateIdle)
	assert.Equal(t, x.closeIdle(), 0)
	x.observe(near, http.StateActive)
	served := false
	h := x.handler(http.HandlerFunc(func(http.ResponseWriter, *http.Request) { served = true }))
	r := httptest.NewRequest(http.MethodGet, "/", nil)
	defer func() {
		assert.Equal(t, recover(), http.ErrAbortHandler)
		assert.Assert(t, !served)
	}()
	h.ServeHTTP(httptest.NewRecorder(), r.WithContext(withConn(r.Context(), near)))
}
