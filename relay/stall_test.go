package relay_test

import (
	"context"
	"io"
	"net/http"
	"sync/atomic"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"github.com/rs/zerolog"
	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/relay"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/server"
)

// pausingBody sends events up to pauseAt, pauses once, and goes on to the last event.
type pausingBody struct {
	pacedBody
	pauseAt int
	pause   time.Duration
}

func (p *pausingBody) Read(b []byte) (int, error) {
	if p.sent == p.pauseAt && p.pause > 0 {
		select {
		case <-p.ctx.Done():
			return 0, p.ctx.Err()
		case <-time.After(p.pause):
			p.pause = 0
		}
	}
	return p.pacedBody.Read(b)
}

// newSilentCluster has a stream of 50 events whose first engine answers no query for reports and pauses
// for 1.2 s after an event. onSecond answers all later attempts.
func newSilentCluster(t *testing.T, pauseAt int, onSecond func() (*relay.Answer, error), entries ...server.Entry) *testCluster {
	t.Helper()
	cl := newCluster(t, entries...)
	cl.onSend = func(ctx context.Context, n int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		if n > 1 {
			return onSecond()
		}
		cl.kill(a.Path[0].Address)
		ans := signedAnswer(http.StatusOK, "")
		ans.Body = &pausingBody{pacedBody: pacedBody{ctx: ctx, left: 50}, pauseAt: pauseAt, pause: 1200 * time.Millisecond}
		return ans, nil
	}
	return cl
}

// Guards against a stream that is cut because its engine is silent for a second and nothing can take
// over.
func TestSilentEngineKeepsItsStream(t *testing.T) {
	refuse := func() (*relay.Answer, error) { return refusal(), nil }
	fail := func() (*relay.Answer, error) { return nil, connectionReset() }
	a, b, rest := engineEntry("a", "near", 0, 4), slowAccelerator(engineEntry("b", "near", 0, 4)), engineEntry("c", "near", 4, 8)
	for name, tt := range map[string]struct {
		onSecond func() (*relay.Answer, error)
		entries  []server.Entry
		noRetry  bool
		attempts int
	}{
		"no other path":          {refuse, []server.Entry{a, rest}, false, 2},
		"no retry left":          {refuse, []server.Entry{a, b, rest}, true, 2},
		"no attempt left":        {refuse, []server.Entry{a, b, rest}, false, 1},
		"the other one refuses":  {refuse, []server.Entry{a, b, rest}, false, 2},
		"the other one is reset": {fail, []server.Entry{a, b, rest}, false, 2},
	} {
		for _, pauseAt := range []int{0, 10} {
			t.Run(name, func(t *testing.T) {
				synctest.Test(t, func(t *testing.T) {
					cl := newSilentCluster(t, pauseAt, tt.onSecond, tt.entries...)
					for tt.noRetry && cl.budget.TryRetry() {
					}
					checkServed(t, cl.serve(t.Context(), request(config.Stream, tt.attempts)), events(1, 50))
				})
			})
		}
	}
}

// Guards against a caller that waits for an engine that is certainly gone.
func TestStreamOfAGoneEngineEndsAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		cl := newSilentCluster(t, 10, nil, engineEntry("a", "near", 0, 8))
		cl.onReport = func(context.Context, string) (relay.Report, error) { return relay.Report{}, syscall.ECONNREFUSED }
		got := cl.serve(t.Context(), request(config.Stream, 2))
		checkVerdict(t, got, fault.MayHaveRun)
		assert.Assert(t, got.took < time.Second, "ended after %v", got.took)
	})
}

// Guards against a new run of a stream that went on and ended while a detour was being ordered.
func TestNoHandoverAfterTheEnd(t *testing.T) {
	b, c := engineEntry("b", "near", 4, 8), slowAccelerator(engineEntry("c", "near", 4, 8))
	cl := newCluster(t, engineEntry("a", "near", 0, 4), slowAccelerator(engineEntry("d", "near", 0, 4)), b, c)
	cl.kill(b.Address)
	cl.onSend = func(ctx context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
		if n > 1 {
			return refusal(), nil
		}
		ans := signedAnswer(http.StatusOK, "")
		ans.Body = &pausingBody{pacedBody: pacedBody{ctx: ctx, left: 20}, pauseAt: 19, pause: 500 * time.Millisecond}
		return ans, nil
	}
	cl.onRepath = func([]relay.Hop) error {
		time.Sleep(700 * time.Millisecond) // the order gets no answer
		return connectionReset()
	}
	checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 20))
	assert.Equal(t, cl.repaths, 1)
	assert.Equal(t, cl.budget.Available(), retryBurst+0.0)
}

// Guards against a stream that waits until its deadline because the order to leave a dead engine gets no
// answer.
func TestOrderWithoutAnswer(t *testing.T) {
	table := server.NewTable(server.Config{Log: zerolog.Nop()})
	for _, e := range []server.Entry{engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8), engineEntry("d", "near", 0, 4)} {
		table.Apply([]server.Change{{ID: e.ID, Entry: e}}, false, 0)
	}
	budget := retry.New(retry.Config{RetriesPerRequest: 0.2, Burst: 5, Initial: 5})
	var dead atomic.Pointer[string] // address of the second engine of the first path
	r := relay.New(relay.Config{
		Servers: table, Domain: "near", Log: zerolog.Nop(), Budget: func(string) *retry.Budget { return budget },
		Send: func(ctx context.Context, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
			if dead.CompareAndSwap(nil, &a.Path[1].Address) {
				return newStallingAnswer(ctx, events(1, 10)), nil
			}
			return newResumedAnswer(ctx, a), nil
		},
		FetchReport: func(ctx context.Context, address string) (relay.Report, error) {
			if silent := dead.Load(); silent != nil && *silent == address {
				<-ctx.Done()
				return relay.Report{}, ctx.Err()
			}
			return relay.Report{}, nil
		},
		Repath: func(ctx context.Context, _, _ string, _ []relay.Hop) error { <-ctx.Done(); return ctx.Err() },
	})
	req := request(config.Stream, 2)
	req.Deadline = time.Now().Add(8 * time.Second)
	assert.NilError(t, r.Serve(t.Context(), req, discard()))
}

// Guards against a data race, which may end the process, between a check of a stream and the failure of its
// run.
func TestFailureDuringACheck(t *testing.T) {
	table := server.NewTable(server.Config{Log: zerolog.Nop()})
	for _, e := range []server.Entry{engineEntry("a", "near", 0, 4), engineEntry("b", "near", 4, 8), engineEntry("c", "near", 4, 8)} {
		table.Apply([]server.Change{{ID: e.ID, Entry: e}}, false, 0)
	}
	budget := retry.New(retry.Config{RetriesPerRequest: 0.2, Burst: 5, Initial: 5})
	var sent atomic.Bool
	r := relay.New(relay.Config{
		Servers: table, Domain: "near", Log: zerolog.Nop(), Budget: func(string) *retry.Budget { return budget },
		// The first choice after the stream was sent is that of a detour, within the check.
		PeerLoad: func(string) (int, int64) {
			if sent.Load() {
				time.Sleep(100 * time.Millisecond)
			}
			return 0, 0
		},
		Send: func(context.Context, *relay.Request, relay.Attempt) (*relay.Answer, error) {
			if sent.Swap(true) {
				return nil, connectionReset()
			}
			ans := signedAnswer(http.StatusOK, "")
			ans.Body = io.NopCloser(&failingBody{after: 250 * time.Millisecond})
			return ans, nil
		},
		FetchReport: func(ctx context.Context, address string) (relay.Report, error) {
			if address == "b:1" || address == "c:1" {
				return relay.Report{}, syscall.ECONNREFUSED
			}
			return relay.Report{}, nil
		},
		Repath: func(context.Context, string, string, []relay.Hop) error { return io.ErrUnexpectedEOF },
	})
	err := r.Serve(t.Context(), request(config.Stream, 2), relay.Sink{
		Start: func(int, http.Header, int64) {}, Write: func([]byte) error { return nil }, Flush: func() error { return nil },
	})
	assert.Equal(t, fault.VerdictOf(err), fault.MayHaveRun)
	time.Sleep(2 * longQueryTime) // a report query may still be running
}

// failingBody fails some time after its first read.
type failingBody struct{ after time.Duration }

func (f *failingBody) Read([]byte) (int, error) {
	time.Sleep(f.after)
	return 0, io.ErrUnexpectedEOF
}
