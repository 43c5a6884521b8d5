package relay_test

import (
	"context"
	"errors"
	"testing"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/relay"
)

// observations is what a relay has reported to its metrics.
type observations struct {
	observed map[relay.Measure][]float64
	violated map[relay.Invariant]int
}

func checkViolated(t *testing.T, got *observations, want ...relay.Invariant) {
	t.Helper()
	assert.Equal(t, len(got.violated), len(want), "%v", got.violated)
	for _, i := range want {
		assert.Equal(t, got.violated[i], 1, "invariant %s", i)
	}
}

// TestMeasures guards against requests that are missing from the metrics. Attempts are observed for
// each request, the wait for each that is sent, and the first event and the longest gap for each
// stream that began.
func TestMeasures(t *testing.T) {
	cl, m := newObservedCluster(t, engineEntry("a", "near", 0, 8))
	cl.onSend = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
		return signedAnswer(200, events(1, 3)), nil
	}
	checkServed(t, cl.serve(t.Context(), request(config.Stream, 2)), events(1, 3))
	for _, name := range []relay.Measure{relay.MeasureWait, relay.MeasureFirstEvent, relay.MeasureGap, relay.MeasureAttempts} {
		assert.Equal(t, len(m.observed[name]), 1, "%s", name)
	}
	assert.Equal(t, m.observed[relay.MeasureAttempts][0], 1.0)
	checkViolated(t, m)
}

// TestInvariants guards against violated invariants that are not counted. The test causes
// violations: a server that repeats an event within one answer, and a request that is served
// twice.
func TestInvariants(t *testing.T) {
	t.Run("order", func(t *testing.T) {
		cl, m := newObservedCluster(t, engineEntry("a", "near", 0, 8))
		cl.onSend = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			a := signedAnswer(200, "")
			a.Body = &splitBody{all: []string{events(1, 3), events(3, 4), events(2, 2)}}
			return a, nil
		}
		got := cl.serve(t.Context(), request(config.Stream, 1))
		checkViolated(t, m, relay.InvariantOrder)
		assert.Equal(t, got.body, events(1, 3)) // no event is delivered twice
		assert.Assert(t, got.err != nil)
	})
	t.Run("attempts and refusal", func(t *testing.T) {
		cl, m := newObservedCluster(t, plainEntry("a"))
		cl.onSend = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			if n == 1 {
				return signedAnswer(200, "x"), nil
			}
			return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: "refused", Cause: errors.New("refused")})
		}
		req := request(config.AtMostOnce, 1)
		checkServed(t, cl.serve(t.Context(), req), "x")
		checkViolated(t, m)
		checkVerdict(t, cl.serve(t.Context(), req), fault.NotRun)
		checkViolated(t, m, relay.InvariantAttempts, relay.InvariantRefusal)
	})
}
