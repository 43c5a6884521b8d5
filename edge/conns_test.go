package edge

import (
	"net"
	"net/http"
	"net/http/httptest"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
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
				x := newCallerConns(func() config.Limits { return tt.limits })
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
		x := newCallerConns(func() config.Limits { return config.Limits{} })
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
