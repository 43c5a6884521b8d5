package edge

import (
	"bufio"
	"context"
	"fmt"
	"io"
	"net"
	"net/http"
	"strconv"
	"strings"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/intake"
	"github.com/cranberrybay/cranberrybay/link"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/server"
)

// pipeListener hands out the near ends of pipes.
type pipeListener struct {
	conns  chan net.Conn
	closed chan struct{}
}

func newPipeListener() *pipeListener {
	return &pipeListener{conns: make(chan net.Conn), closed: make(chan struct{})}
}

func (l *pipeListener) Accept() (net.Conn, error) {
	select {
	case c := <-l.conns:
		return c, nil
	case <-l.closed:
		return nil, net.ErrClosed
	}
}

func (l *pipeListener) Close() error   { close(l.closed); return nil }
func (l *pipeListener) Addr() net.Addr { return &net.TCPAddr{} }

// stopRig is a process with one backend server and callers on pipes, in virtual time.
type stopRig struct {
	handler  *Handler
	listener *pipeListener
	servers  *server.Table
	intake   *intake.Tracker
	callers  *http.Server
	conns    *callerConns
}

// newStopRig returns a process whose only server answers by send.
func newStopRig(t *testing.T, send func(ctx context.Context, rq *relay.Request) (*relay.Answer, error)) *stopRig {
	t.Helper()
	h, _ := newTestHandler(t)
	begun := time.Now()
	t.Cleanup(clock.Replace(func() time.Duration { return time.Since(begun) + time.Hour }))
	x := &stopRig{handler: h, listener: newPipeListener(), servers: server.NewTable(server.Config{Log: zerolog.Nop()})}
	x.servers.Apply([]server.Change{{ID: "a", Entry: server.Entry{ID: "a", Service: "s", Address: "a:1", Slots: 8}}}, true, 0)
	x.intake = intake.New(intake.Config{Log: zerolog.Nop(), OnLeaving: x.servers.MarkLeaving})
	h.relay = relay.New(relay.Config{
		Servers: x.servers, Intake: x.intake, Log: zerolog.Nop(), Budget: func(string) *retry.Budget { return retry.New(retry.Config{}) },
		Send: func(ctx context.Context, rq *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			return send(ctx, rq)
		},
	})
	c, err := config.New(config.Content{Version: 1, Routes: []*config.Route{newStopRoute("once", config.AtMostOnce), newStopRoute("idempotent", config.Idempotent), newStopRoute("stream", config.Stream)}})
	assert.NilError(t, err)
	assert.Assert(t, h.tracker.Apply(c))
	h.tracker.Confirm(clock.Now())
	x.conns = newCallerConns(h.limits, func(string) {})
	x.callers = newHTTPServer(x.conns.handler(&platform.CallerHandler{Serve: h.Serve, MaxBody: h.maxBody, Leaving: h.isLeaving}))
	x.callers.ConnState, x.callers.ConnContext = x.conns.observe, withConn
	go func() { _ = x.callers.Serve(x.conns.listener(x.listener)) }()
	return x
}

func newStopRoute(name string, kind config.Kind) *config.Route {
	return config.NewRoute(config.RouteConfig{
		Name: name, Host: "h", Prefix: "/" + name + "/", Public: true, Kind: kind, Timeout: time.Minute, TargetLatency: time.Second,
		Services: []config.WeightedService{{Service: "s", Weight: 1}},
	})
}

// rest makes the server ask for a pause.
func (x *stopRig) rest(pause time.Duration) {
	x.intake.Observe(intake.Statement{Server: x.servers.ByID("a").Incarnation(), ID: "a", Said: intake.Said{RestUntil: intake.Now() + pause}})
}

// callerAnswer is what a caller got on its connection.
type callerAnswer struct {
	status   int
	back     time.Duration // time to come back; 0 if there is none
	complete bool
	at       time.Time
}

// call sends a request on a connection of its own.
func (x *stopRig) call(route string) <-chan callerAnswer {
	done := make(chan callerAnswer, 1)
	near, far := net.Pipe()
	go func() {
		defer far.Close()
		select {
		case x.listener.conns <- near:
		case <-x.listener.closed:
		}
		_, _ = fmt.Fprintf(far, "POST /%s/1 HTTP/1.1\r\nHost: h\r\nX-Cranberrybay-Request-Id: r1\r\nContent-Length: 0\r\n\r\n", route)
		var out callerAnswer
		if rs, err := http.ReadResponse(bufio.NewReader(far), nil); err == nil {
			_, err = io.Copy(io.Discard, rs.Body)
			out.status, out.complete = rs.StatusCode, err == nil
			seconds, _ := strconv.ParseFloat(rs.Header.Get("Retry-After"), 64)
			out.back = time.Duration(seconds * float64(time.Second))
		}
		out.at = time.Now()
		done <- out
	}()
	return done
}

// stop stops the process.
func (x *stopRig) stop() (ended <-chan struct{}) {
	done := make(chan struct{})
	go func() {
		_ = x.handler.drain(context.Background(), x.callers, x.conns)
		close(done)
	}()
	synctest.Wait()
	return done
}

// hang is a server that does not answer.
func hang(ctx context.Context, _ *relay.Request) (*relay.Answer, error) {
	<-ctx.Done()
	return nil, fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Unavailable, Reason: "no answer", Cause: ctx.Err()})
}

var stopKinds = []string{"once", "idempotent", "stream"}

// Guards against a request that a process which stops holds back and never answers.
func TestStopAnswersRequestsThatWait(t *testing.T) {
	for _, route := range stopKinds {
		t.Run(route, func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newStopRig(t, hang)
				x.rest(30 * time.Second)
				held := x.call(route)
				time.Sleep(500 * time.Millisecond)
				begun := time.Now()
				ended := x.stop()
				got := <-held
				assert.Equal(t, got.status, http.StatusServiceUnavailable)
				assert.Assert(t, got.complete && got.back > 0 && got.back < time.Second, "%+v", got)
				assert.Assert(t, got.at.Sub(begun) < 50*time.Millisecond, got.at.Sub(begun))
				<-ended
			})
		})
	}
}

// Guards against a request that is passed on late in a stop, or held back before, and whose connection is
// closed without an answer when the process ends.
func TestStopAnswersRequestsWithAServer(t *testing.T) {
	for _, route := range stopKinds {
		for _, came := range []time.Duration{0, 2700 * time.Millisecond, 5 * time.Second} {
			t.Run(fmt.Sprint(route, " ", came), func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					x := newStopRig(t, hang)
					first := x.call(route) // keeps the listener open
					time.Sleep(500 * time.Millisecond)
					begun := time.Now()
					ended := x.stop()
					time.Sleep(came)
					got := <-x.call(route)
					assert.Assert(t, got.complete, "%+v", got)
					if came > acceptWhileLeaving {
						assert.Equal(t, got.status, http.StatusServiceUnavailable)
						assert.Assert(t, got.at.Sub(begun) < came+50*time.Millisecond, got.at.Sub(begun))
					} else {
						assert.Equal(t, got.status, http.StatusBadGateway)
						assert.Assert(t, got.at.Sub(begun) >= 7*time.Second, "given up after %v", got.at.Sub(begun))
					}
					got = <-first
					assert.Equal(t, got.status, http.StatusBadGateway)
					assert.Assert(t, got.complete, "%+v", got)
					<-ended
					assert.Assert(t, time.Since(begun) < x.handler.gracePeriod, time.Since(begun))
				})
			})
		}
	}
}

// Guards against a stream that looks complete though the end of the process has cut it.
func TestStopCutsStreamsThatHaveBegun(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newStopRig(t, func(ctx context.Context, _ *relay.Request) (*relay.Answer, error) {
			body, w := io.Pipe()
			context.AfterFunc(ctx, func() { _ = w.CloseWithError(ctx.Err()) })
			go func() { _, _ = io.WriteString(w, "id: 1\ndata: 1\n\n") }()
			return &relay.Answer{Status: http.StatusOK, Header: http.Header{}, Body: body, Length: -1, Signed: true}, nil
		})
		begun, got := time.Now(), x.call("stream")
		time.Sleep(500 * time.Millisecond)
		<-x.stop()
		cut := <-got
		assert.Equal(t, cut.status, http.StatusOK)
		assert.Assert(t, !cut.complete)
		assert.Assert(t, cut.at.Sub(begun) >= 7*time.Second, cut.at.Sub(begun))
	})
}

// Guards against a request that is held back and passed on although its pause ends so late in the stop that it
// would have to be answered at once, and against the refusal of one whose pause ends soon.
func TestStopDuringShortPauses(t *testing.T) {
	for pause, want := range map[time.Duration]int{2 * time.Second: http.StatusOK, 4 * time.Second: http.StatusServiceUnavailable} {
		t.Run(pause.String(), func(t *testing.T) {
			synctest.Test(t, func(t *testing.T) {
				x := newStopRig(t, func(context.Context, *relay.Request) (*relay.Answer, error) {
					return &relay.Answer{Status: http.StatusOK, Header: http.Header{}, Body: io.NopCloser(strings.NewReader("done")), Length: 4, Signed: true}, nil
				})
				x.rest(pause)
				held := x.call("once")
				time.Sleep(100 * time.Millisecond)
				ended := x.stop()
				got := <-held
				assert.Equal(t, got.status, want)
				assert.Assert(t, got.complete)
				<-ended
			})
		})
	}
}

// Guards against moments of a stop that lie beyond a short time to stop.
func TestStopTimes(t *testing.T) {
	now := time.Now()
	for _, grace := range []time.Duration{0, time.Second, 3 * time.Second, 8 * time.Second, time.Minute} {
		s := stopTimes(now, grace)
		assert.Assert(t, !s.SendBy.Before(now) && !s.SendBy.After(s.AnswerBy) && !s.SendBy.After(now.Add(acceptWhileLeaving)), "%v: %+v", grace, s)
		assert.Assert(t, grace <= stopMargin || !s.AnswerBy.After(now.Add(grace-stopMargin)), "%v: %+v", grace, s)
	}
}

// Guards against a request that is sent after a wait although the configuration that is in effect then does
// not allow it, and against the refusal of one that it still allows.
func TestRecheck(t *testing.T) {
	const other = "the configuration has changed"
	route := func(name string, cfg config.RouteConfig) *config.Route {
		cfg.Name, cfg.Host, cfg.Prefix, cfg.Timeout = name, "h", "/x/", time.Second
		if cfg.Services == nil {
			cfg.Services = []config.WeightedService{{Service: "s", Weight: 1}}
		}
		return config.NewRoute(cfg)
	}
	account := func(name string, keys ...string) []config.Account { return []config.Account{{Name: name, Keys: keys}} }
	for name, tt := range map[string]struct {
		next   config.Content
		age    time.Duration
		want   fault.Code // "" if the request goes on
		reason string
	}{
		"same":                 {next: config.Content{Routes: []*config.Route{route("r", config.RouteConfig{})}, Accounts: account("a", "k", "l")}},
		"another name":         {next: config.Content{Routes: []*config.Route{route("n", config.RouteConfig{})}, Accounts: account("a", "k")}},
		"route gone":           {next: config.Content{Accounts: account("a", "k")}, want: fault.NotFound},
		"key gone":             {next: config.Content{Routes: []*config.Route{route("r", config.RouteConfig{})}, Accounts: account("a", "l")}, want: fault.Unauthorized},
		"key of another":       {next: config.Content{Routes: []*config.Route{route("r", config.RouteConfig{})}, Accounts: account("b", "k")}, want: fault.Unavailable, reason: other},
		"public":               {next: config.Content{Routes: []*config.Route{route("r", config.RouteConfig{Public: true})}, Accounts: account("a", "k")}, want: fault.Unavailable, reason: other},
		"another kind":         {next: config.Content{Routes: []*config.Route{route("r", config.RouteConfig{Kind: config.Stream})}, Accounts: account("a", "k")}, want: fault.Unavailable, reason: other},
		"another service":      {next: config.Content{Routes: []*config.Route{route("r", config.RouteConfig{Services: []config.WeightedService{{Service: "t", Weight: 1}, {Service: "s"}}})}, Accounts: account("a", "k")}, want: fault.Unavailable, reason: other},
		"one service more":     {next: config.Content{Routes: []*config.Route{route("r", config.RouteConfig{Services: []config.WeightedService{{Service: "t", Weight: 9}, {Service: "s", Weight: 1}}})}, Accounts: account("a", "k")}},
		"keys may be old":      {age: 4500 * time.Millisecond, want: fault.Unavailable, reason: "the keys may be old"},
		"nothing has changed":  {age: 4 * time.Second},
		"key gone, may be old": {next: config.Content{Routes: []*config.Route{route("r", config.RouteConfig{})}, Accounts: account("a", "l")}, age: 3 * time.Second, want: fault.Unavailable},
	} {
		t.Run(name, func(t *testing.T) {
			h, now := newTestHandler(t)
			applyConfig(t, h, 1, "k")
			rq, err := h.admit(&platform.Call{ID: "r1", Host: "h", Path: "/x/1", APIKey: "k", Arrived: time.Now()})
			assert.NilError(t, err)
			if tt.next.Routes != nil || tt.next.Accounts != nil {
				tt.next.Version = 2
				c, err := config.New(tt.next)
				assert.NilError(t, err)
				assert.Assert(t, h.tracker.Apply(c))
			}
			*now += tt.age
			err = rq.Allowed()
			if tt.want == "" {
				assert.NilError(t, err)
				return
			}
			assert.Equal(t, fault.CodeOf(err), tt.want, "%v", err)
			assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
			assert.Assert(t, strings.Contains(err.Error(), tt.reason), "%v", err)
			_, back := fault.RetryAt(err)
			assert.Equal(t, back, tt.want == fault.Unavailable)
		})
	}
}

// Guards against a request that waits on after its route has left the configuration.
func TestRouteLeavesWhileARequestWaits(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newStopRig(t, hang)
		x.handler.state.recheck() // before the handler is known
		x.handler.state.handler = x.handler
		x.rest(30 * time.Second)
		held := x.call("once")
		time.Sleep(500 * time.Millisecond)
		c, err := config.New(config.Content{Version: 2})
		assert.NilError(t, err)
		assert.Assert(t, x.handler.tracker.Apply(c))
		x.handler.tracker.Confirm(clock.Now())
		begun := time.Now()
		x.handler.state.recheck()
		got := <-held
		assert.Equal(t, got.status, http.StatusNotFound)
		assert.Assert(t, got.complete && got.at.Sub(begun) < 50*time.Millisecond, "%+v", got)
		<-x.stop()
	})
}

// Guards against a request that waits for a connection to its server and is passed on so late in the stop that its
// answer is cut off.
func TestStopWhileARequestWaitsForAConnection(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		begun := time.Now()
		var arrivals []time.Duration
		client := link.New(link.Config{Limit: func(string) int { return 1 }, Dial: func(context.Context, string) (net.Conn, error) {
			near, far := net.Pipe()
			go func() {
				r := bufio.NewReader(far)
				for {
					rq, err := http.ReadRequest(r)
					if err != nil {
						return
					}
					arrivals = append(arrivals, time.Since(begun))
					time.Sleep(4500 * time.Millisecond)
					_, _ = fmt.Fprintf(far, "HTTP/1.1 200 OK\r\nX-Cranberrybay-Request-Id: %s\r\nX-Cranberrybay-Server-Signature: s\r\nContent-Length: 0\r\n\r\n", rq.Header.Get("X-Cranberrybay-Request-Id"))
				}
			}()
			return near, nil
		}})
		backend := &platform.Backend{Client: client}
		var x *stopRig
		x = newStopRig(t, func(ctx context.Context, rq *relay.Request) (*relay.Answer, error) {
			return backend.Send(ctx, rq, relay.Attempt{Server: x.servers.ByID("a"), ReuseConnection: true})
		})
		first := x.call("idempotent")
		time.Sleep(50 * time.Millisecond)
		ended := x.stop()
		time.Sleep(2700 * time.Millisecond)
		second := <-x.call("idempotent")
		assert.Equal(t, second.status, http.StatusServiceUnavailable)
		assert.Assert(t, second.complete && second.back > 0)
		assert.Equal(t, (<-first).status, http.StatusOK)
		<-ended
		assert.Equal(t, len(arrivals), 1, "%v", arrivals)
		client.CloseIdle("a:1")
	})
}

// Guards against a stop that takes longer than the time until the process is killed.
func TestStopKeepsToAShortGrace(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		x := newStopRig(t, hang)
		x.handler.gracePeriod = 2 * time.Second
		begun := time.Now()
		<-x.stop()
		assert.Assert(t, time.Since(begun) < x.handler.gracePeriod, "%v", time.Since(begun))
	})
}
