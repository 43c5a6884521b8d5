package edge

import (
	"context"
	"net"
	"net/http"
	"sync"
	"time"

	"github.com/cranberrybay/cranberrybay/config"
)

const (
	// defaultIdleTimeout and defaultHeaderTimeout hold while there is no configuration, or one that states
	// none.
	defaultIdleTimeout   = 15 * time.Second
	defaultHeaderTimeout = 3 * time.Second
	// idleMargin is added to the time that callers may stay idle, so that they close first: a request that
	// crosses the close is lost. headerMargin is added to the time that a header may take, for its way.
	idleMargin   = 5 * time.Second
	headerMargin = 500 * time.Millisecond
	// connCheckInterval is the time between two looks at the connections of callers.
	connCheckInterval = 500 * time.Millisecond
)

// connPhase is what a connection of a caller waits for.
type connPhase int

const (
	phaseIdle   connPhase = iota // the next request
	phaseHeader                  // the rest of a header
	phaseServed                  // the answer
)

// callerConns closes connections of callers that are idle, or that take over a header, for longer than the
// configuration in effect allows. The timeouts of net/http are fixed when a server starts.
type callerConns struct {
	limits func() config.Limits

	mu    sync.Mutex
	conns map[net.Conn]*connState
}

// connState is the phase of a connection and when it began. callerConns.mu guards it.
type connState struct {
	phase connPhase
	since time.Time
}

func newCallerConns(limits func() config.Limits) *callerConns {
	return &callerConns{limits: limits, conns: map[net.Conn]*connState{}}
}

// connKey is the key of the connection in the context of a request.
type connKey struct{}

// withConn adds a connection to the context of its requests.
func withConn(ctx context.Context, c net.Conn) context.Context {
	return context.WithValue(ctx, connKey{}, c)
}

// observe follows the states that net/http reports.
func (x *callerConns) observe(c net.Conn, s http.ConnState) {
	switch s {
	case http.StateNew, http.StateIdle:
		x.set(c, phaseIdle)
	case http.StateActive:
		x.set(c, phaseHeader)
	case http.StateClosed, http.StateHijacked:
		x.mu.Lock()
		defer x.mu.Unlock()
		delete(x.conns, c)
	}
}

func (x *callerConns) set(c net.Conn, p connPhase) {
	x.mu.Lock()
	defer x.mu.Unlock()
	x.conns[c] = &connState{phase: p, since: time.Now()}
}

// handler returns a handler that notes the connections whose requests are served.
func (x *callerConns) handler(next http.Handler) http.Handler {
	return http.HandlerFunc(func(w http.ResponseWriter, r *http.Request) {
		if c, ok := r.Context().Value(connKey{}).(net.Conn); ok {
			x.set(c, phaseServed)
		}
		next.ServeHTTP(w, r)
	})
}

// closeExpired closes the connections that wait for too long.
func (x *callerConns) closeExpired(context.Context) {
	l := x.limits()
	idle, header := l.IdleTimeout, l.HeaderTimeout
	if idle <= 0 {
		idle = defaultIdleTimeout
	}
	if header <= 0 {
		header = defaultHeaderTimeout
	}
	now := time.Now()
	idleSince, headerSince := now.Add(-idle-idleMargin), now.Add(-header-headerMargin)
	x.mu.Lock()
	defer x.mu.Unlock()
	for c, s := range x.conns {
		if (s.phase == phaseIdle && s.since.Before(idleSince)) || (s.phase == phaseHeader && s.since.Before(headerSince)) {
			_ = c.Close() // net/http reports it as closed
			delete(x.conns, c)
		}
	}
}
