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

// measured is what a relay has told its metrics.
type measured struct {
	observed map[relay.Measure][]float64
	violated map[relay.Invariant]int
}

func checkViolated(t *testing.T, got *measured, want ...relay.Invariant) {
	t.Helper()
	assert.Equal(t, len(got.violated), len(want), "%v", got.violated)
	for _, i := range want {
		assert.Equal(t, got.violated[i], 1, "invariant %s", i)
	}
}

// TestMeasures guards against requests that the metrics leave out: wait and
// attempts of each, first event and longest pause of each stream that began.
func TestMeasures(t *testing.T) {
	w, m := newMeasuredWorld(t, engine("a", "near", 0, 8))
	w.send = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
		return answer(200, events(1, 3)), nil
	}
	checkServed(t, w.serve(t.Context(), request(config.Stream, 2)), events(1, 3))
	for _, name := range []relay.Measure{relay.MeasureWait, relay.MeasureFirstEvent, relay.MeasureGap, relay.MeasureAttempts} {
		assert.Equal(t, len(m.observed[name]), 1, "%s", name)
	}
	assert.Equal(t, m.observed[relay.MeasureAttempts][0], 1.0)
	checkViolated(t, m)
}

// TestInvariants guards against broken promises that no metric shows. The
// faults are deliberate: a server that sends an event again within one answer,
// and a request that is served twice.
func TestInvariants(t *testing.T) {
	t.Run("order", func(t *testing.T) {
		w, m := newMeasuredWorld(t, engine("a", "near", 0, 8))
		w.send = func(ctx context.Context, _ int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			a := answer(200, "")
			a.Body = &parts{all: []string{events(1, 3), events(3, 4), events(2, 2)}}
			return a, nil
		}
		got := w.serve(t.Context(), request(config.Stream, 1))
		checkViolated(t, m, relay.InvariantOrder)
		assert.Equal(t, got.body, events(1, 3)) // nothing twice
		assert.Assert(t, got.err != nil)
	})
	t.Run("attempts and refusal", func(t *testing.T) {
		w, m := newMeasuredWorld(t, plain("a"))
		w.send = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			if n == 1 {
				return answer(200, "x"), nil
			}
			return nil, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Overload, Reason: "refused", Cause: errors.New("refused")})
		}
		rq := request(config.Once, 1)
		checkServed(t, w.serve(t.Context(), rq), "x")
		checkViolated(t, m)
		checkVerdict(t, w.serve(t.Context(), rq), fault.NotRun)
		checkViolated(t, m, relay.InvariantAttempts, relay.InvariantRefusal)
	})
}
