package relay_test

import (
	"context"
	"net/http"
	"syscall"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/relay"
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
