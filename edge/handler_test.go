package edge

import (
	"context"
	"net/http"
	"testing"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/logs"
	"github.com/cranberrybay/cranberrybay/platform"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/server"
)

// newTestHandler returns a handler and its clock, which a test sets.
func newTestHandler(t *testing.T) (h *Handler, now *time.Duration) {
	t.Helper()
	now = new(time.Duration)
	*now = time.Hour
	t.Cleanup(clock.Replace(func() time.Duration { return *now }))
	h = &Handler{tracker: &config.Tracker{}, keyRevocation: 5 * time.Second, log: zerolog.Nop(), counters: newCounters(), state: &sharedState{}, gracePeriod: 8 * time.Second}
	h.relay = relay.New(relay.Config{
		Servers: server.NewTable(server.Config{Log: zerolog.Nop()}), Log: zerolog.Nop(),
		Budget: func(string) *retry.Budget { return retry.New(retry.Config{}) },
	})
	return h, now
}

// applyConfig puts a configuration into effect that has a route with a key and a public one.
func applyConfig(t *testing.T, h *Handler, version uint64, keys ...string) {
	t.Helper()
	c, err := config.New(config.Content{
		Version: version,
		Routes: []*config.Route{
			config.NewRoute(config.RouteConfig{Name: "r", Host: "h", Prefix: "/x/", Timeout: time.Second, Services: []config.WeightedService{{Service: "s", Weight: 1}}}),
			config.NewRoute(config.RouteConfig{Name: "p", Host: "h", Prefix: "/p/", Public: true, Services: []config.WeightedService{{Service: "s", Weight: 1}}}),
		},
		Accounts: []config.Account{{Name: "a", Keys: keys}},
	})
	assert.NilError(t, err)
	assert.Assert(t, h.tracker.Apply(c))
	h.tracker.Confirm(clock.Now())
}

// checkAdmit checks whether a call is admitted, or with which code it is refused. A refusal
// has a retry time if another process, or this one later, may admit the call.
func checkAdmit(t *testing.T, h *Handler, path, key string, want fault.Code) {
	t.Helper()
	rq, err := h.admit(&platform.Call{ID: "r1", Host: "h", Path: path, APIKey: key, Arrived: time.Now(), Timeout: 5 * time.Second})
	if want == "" {
		assert.NilError(t, err)
		assert.Assert(t, rq != nil)
		return
	}
	assert.Equal(t, fault.CodeOf(err), want)
	assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
	_, hasRetry := fault.RetryAt(err)
	assert.Equal(t, hasRetry, want == fault.Unavailable || want == fault.Leaving)
}

// A process that may have missed a change of the configuration must not answer 401 or 404:
// another process may know the key or the route.
func TestAdmitWithUncertainConfig(t *testing.T) {
	h, now := newTestHandler(t)
	applyConfig(t, h, 1, "k")
	*now += 2500 * time.Millisecond
	checkAdmit(t, h, "/x/1", "k", "")
	checkAdmit(t, h, "/x/1", "other", fault.Unavailable)
	checkAdmit(t, h, "/z/1", "k", fault.Unavailable)
}

// A process without a configuration must not answer 401 or 404, after which callers don't
// retry. With one, it must refuse unknown keys and routes.
func TestAdmit(t *testing.T) {
	h, _ := newTestHandler(t)
	checkAdmit(t, h, "/x/1", "k", fault.Unavailable)
	assert.Assert(t, !h.ready())
	applyConfig(t, h, 1, "k")
	assert.Assert(t, h.ready())
	checkAdmit(t, h, "/x/1", "k", "")
	checkAdmit(t, h, "/x/1", "other", fault.Unauthorized)
	checkAdmit(t, h, "/z/1", "k", fault.NotFound)
	checkAdmit(t, h, "/p/1", "", "")
	applyConfig(t, h, 2, "l")
	checkAdmit(t, h, "/x/1", "k", fault.Unauthorized)
}

// A process that has lost the store must refuse requests with a key before a revoked key
// could still be accepted 5 s after its revocation.
func TestKeysAreRefusedWhenStale(t *testing.T) {
	h, now := newTestHandler(t)
	applyConfig(t, h, 1, "k")
	*now += 3 * time.Second
	assert.Assert(t, h.ready())
	checkAdmit(t, h, "/x/1", "k", "")
	*now += 500 * time.Millisecond
	assert.Assert(t, !h.ready()) // callers are sent to other processes before they are refused
	checkAdmit(t, h, "/x/1", "k", "")
	*now += time.Second
	checkAdmit(t, h, "/x/1", "k", fault.Unavailable)
	checkAdmit(t, h, "/z/1", "k", fault.Unavailable)
	checkAdmit(t, h, "/p/1", "", "")
	h.tracker.Confirm(*now)
	checkAdmit(t, h, "/x/1", "k", "")
	assert.Assert(t, h.ready())
}

// Guards against a removed key that is accepted because the store confirms the next configuration between the look
// at the old one and the look at its age.
func TestKeyRemovedDuringAdmission(t *testing.T) {
	h, now := newTestHandler(t)
	applyConfig(t, h, 1, "k")
	*now += 6 * time.Second // cut off from the store
	arrived := false
	defer clock.Replace(func() time.Duration {
		if !arrived {
			arrived = true
			applyConfig(t, h, 2, "l")
		}
		return *now
	})()
	checkAdmit(t, h, "/x/1", "k", fault.Unauthorized)
}

// A stopping process accepts requests of callers that have cached its address for a while,
// but not until it is killed.
func TestAdmitWhileLeaving(t *testing.T) {
	h, _ := newTestHandler(t)
	applyConfig(t, h, 1, "k")
	h.leavingSince.Store(time.Now().UnixNano())
	assert.Assert(t, !h.ready() && h.isLeaving())
	checkAdmit(t, h, "/x/1", "k", "")
	h.leavingSince.Store(time.Now().Add(-acceptWhileLeaving - time.Millisecond).UnixNano())
	checkAdmit(t, h, "/x/1", "k", fault.Leaving)
}

// The deadline of a request is the smaller of the timeouts of the route and the caller.
func TestDeadline(t *testing.T) {
	h, _ := newTestHandler(t)
	applyConfig(t, h, 1, "k")
	begun := time.Now()
	for _, x := range []struct{ wait, want time.Duration }{{0, time.Second}, {5 * time.Second, time.Second}, {300 * time.Millisecond, 300 * time.Millisecond}} {
		rq, err := h.admit(&platform.Call{ID: "r", Host: "h", Path: "/x/", APIKey: "k", Arrived: begun, Timeout: x.wait})
		assert.NilError(t, err)
		assert.Equal(t, rq.Deadline.Sub(begun), x.want)
	}
}

// Only a sample of the requests that succeed is logged, to limit the size of the log, but
// every failure is.
func TestLogSampling(t *testing.T) {
	h, _ := newTestHandler(t)
	lines := 0
	h.log = zerolog.New(writer(func(b []byte) { lines++ }))
	const calls = 3200
	c := &platform.Call{ID: "r", Arrived: time.Now()}
	for range calls {
		h.logOutcome(context.Background(), c, nil, nil, false)
	}
	assert.Equal(t, lines, calls/logs.SampleEvery)
	for range 10 {
		h.logOutcome(context.Background(), c, nil, refuse(fault.Overload, "full", time.Second), false)
	}
	assert.Equal(t, lines, calls/logs.SampleEvery+10)
}

// writer is an io.Writer that calls a function.
type writer func(b []byte)

func (w writer) Write(b []byte) (int, error) { w(b); return len(b), nil }

// A failure is logged with the fields that are needed to explain it.
func TestFailureLogFields(t *testing.T) {
	h, _ := newTestHandler(t)
	applyConfig(t, h, 9, "k")
	line := ""
	h.log = zerolog.New(writer(func(b []byte) { line = string(b) }))
	c := &platform.Call{ID: "r1", Host: "h", Path: "/x/1", APIKey: "k", Header: http.Header{}, Arrived: time.Now(), Timeout: time.Second}
	err := h.Serve(t.Context(), c, relay.Sink{})
	assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
	for _, want := range []string{`"id":"r1"`, `"outcome":"overload"`, `"route":"r"`, `"version":9`, `"age":`, `"verdict":"not-run"`, `"retry":`, `"left":`} {
		assert.Assert(t, contains(line, want), "%s is missing in %s", want, line)
	}
}
