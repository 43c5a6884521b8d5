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

// newTestDesk returns a desk whose clock a test sets.
func newTestDesk(t *testing.T) (d *Desk, now *time.Duration) {
	t.Helper()
	now = new(time.Duration)
	*now = time.Hour
	t.Cleanup(clock.Replace(func() time.Duration { return *now }))
	d = &Desk{holder: &config.Holder{}, revoke: 5 * time.Second, log: zerolog.Nop(), count: newCounters(), state: &deskState{}, grace: 8 * time.Second}
	d.relay = relay.New(relay.Config{
		Servers: server.NewTable(server.Config{Log: zerolog.Nop()}), Log: zerolog.Nop(),
		Budget: func(string) *retry.Budget { return retry.New(retry.Config{}) },
	})
	return d, now
}

func apply(t *testing.T, d *Desk, version uint64, keys ...string) {
	t.Helper()
	c, err := config.New(config.Parts{
		Version: version,
		Routes: []*config.Route{
			config.NewRoute(config.RouteConfig{Name: "r", Host: "h", Prefix: "/x/", Timeout: time.Second, Shares: []config.Share{{Service: "s", Weight: 1}}}),
			config.NewRoute(config.RouteConfig{Name: "p", Host: "h", Prefix: "/p/", Public: true, Shares: []config.Share{{Service: "s", Weight: 1}}}),
		},
		Accounts: []config.Account{{Name: "a", Keys: keys}},
	})
	assert.NilError(t, err)
	assert.Assert(t, d.holder.Apply(c))
	d.holder.Confirm(clock.Now())
}

func checkAdmit(t *testing.T, d *Desk, path, key string, want fault.Code) {
	t.Helper()
	rq, err := d.admit(&platform.Call{ID: "r1", Host: "h", Path: path, APIKey: key, Arrived: time.Now(), Timeout: 5 * time.Second})
	if want == "" {
		assert.NilError(t, err)
		assert.Assert(t, rq != nil)
		return
	}
	assert.Equal(t, fault.CodeOf(err), want)
	assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
	_, comes := fault.RetryAt(err)
	assert.Equal(t, comes, want == fault.Unavailable || want == fault.Leaving)
}

// Guards against 401 and 404 from a process that has missed a change of the
// configuration: another process may know the key or the route.
func TestAdmitWithOldConfig(t *testing.T) {
	d, now := newTestDesk(t)
	apply(t, d, 1, "k")
	*now += 2500 * time.Millisecond
	checkAdmit(t, d, "/x/1", "k", "")
	checkAdmit(t, d, "/x/1", "other", fault.Unavailable)
	checkAdmit(t, d, "/z/1", "k", fault.Unavailable)
}

// Guards against 401 and 404 from a process that knows no configuration, which
// callers do not repeat, and against requests that no configuration allows.
func TestAdmit(t *testing.T) {
	d, _ := newTestDesk(t)
	checkAdmit(t, d, "/x/1", "k", fault.Unavailable)
	assert.Assert(t, !d.ready())
	apply(t, d, 1, "k")
	assert.Assert(t, d.ready())
	checkAdmit(t, d, "/x/1", "k", "")
	checkAdmit(t, d, "/x/1", "other", fault.Unauthorized)
	checkAdmit(t, d, "/z/1", "k", fault.NotFound)
	checkAdmit(t, d, "/p/1", "", "")
	apply(t, d, 2, "l")
	checkAdmit(t, d, "/x/1", "k", fault.Unauthorized)
}

// Guards against a key that was taken away and that a process without the store
// still takes: at most 5 s after the change, whatever has failed.
func TestStaleKeys(t *testing.T) {
	d, now := newTestDesk(t)
	apply(t, d, 1, "k")
	*now += 3 * time.Second
	assert.Assert(t, d.ready())
	checkAdmit(t, d, "/x/1", "k", "")
	*now += 500 * time.Millisecond
	assert.Assert(t, !d.ready()) // callers go elsewhere before they are refused
	checkAdmit(t, d, "/x/1", "k", "")
	*now += time.Second
	checkAdmit(t, d, "/x/1", "k", fault.Unavailable)
	checkAdmit(t, d, "/z/1", "k", fault.Unavailable)
	checkAdmit(t, d, "/p/1", "", "")
	d.holder.Confirm(*now)
	checkAdmit(t, d, "/x/1", "k", "")
	assert.Assert(t, d.ready())
}

// Guards against a planned stop that cuts off callers who still have the address,
// and against new requests until the process is killed.
func TestLeaving(t *testing.T) {
	d, _ := newTestDesk(t)
	apply(t, d, 1, "k")
	d.leaving.Store(time.Now().UnixNano())
	assert.Assert(t, !d.ready() && d.isLeaving())
	checkAdmit(t, d, "/x/1", "k", "")
	d.leaving.Store(time.Now().Add(-acceptWhileLeaving - time.Millisecond).UnixNano())
	checkAdmit(t, d, "/x/1", "k", fault.Leaving)
}

// Guards against a request that outlasts the route's timeout or its caller.
func TestDeadline(t *testing.T) {
	d, _ := newTestDesk(t)
	apply(t, d, 1, "k")
	begun := time.Now()
	for _, x := range []struct{ wait, want time.Duration }{{0, time.Second}, {5 * time.Second, time.Second}, {300 * time.Millisecond, 300 * time.Millisecond}} {
		rq, err := d.admit(&platform.Call{ID: "r", Host: "h", Path: "/x/", APIKey: "k", Arrived: begun, Timeout: x.wait})
		assert.NilError(t, err)
		assert.Equal(t, rq.Deadline.Sub(begun), x.want)
	}
}

// Guards against a flood of lines: one of many served requests is logged, each
// failure is.
func TestLogVolume(t *testing.T) {
	d, _ := newTestDesk(t)
	lines := 0
	d.log = zerolog.New(writer(func(b []byte) { lines++ }))
	const calls = 3200
	c := &platform.Call{ID: "r", Arrived: time.Now()}
	for range calls {
		d.ended(context.Background(), c, nil, nil)
	}
	assert.Equal(t, lines, calls/logs.SampleEvery)
	for range 10 {
		d.ended(context.Background(), c, nil, refuse(fault.Overload, "full", time.Second))
	}
	assert.Equal(t, lines, calls/logs.SampleEvery+10)
}

type writer func(b []byte)

func (w writer) Write(b []byte) (int, error) { w(b); return len(b), nil }

// Guards against a failure without a line, and against a line without the fields
// that explain it.
func TestFailureLine(t *testing.T) {
	d, _ := newTestDesk(t)
	apply(t, d, 9, "k")
	line := ""
	d.log = zerolog.New(writer(func(b []byte) { line = string(b) }))
	c := &platform.Call{ID: "r1", Host: "h", Path: "/x/1", APIKey: "k", Header: http.Header{}, Arrived: time.Now(), Timeout: time.Second}
	err := d.Serve(t.Context(), c, relay.Sink{})
	assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
	for _, want := range []string{`"id":"r1"`, `"outcome":"overload"`, `"route":"r"`, `"version":9`, `"age":`, `"verdict":"not-run"`, `"retry":`, `"left":`} {
		assert.Assert(t, contains(line, want), "%s is missing in %s", want, line)
	}
}
