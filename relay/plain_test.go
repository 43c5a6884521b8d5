package relay_test

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/config"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/relay"
)

// Guards against a booking that runs twice: after a lost answer it may have run.
func TestOnceIsNotRepeated(t *testing.T) {
	w := newWorld(t, plain("a"), plain("b"))
	w.send = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) { return nil, lost() }
	got := w.serve(t.Context(), request(config.Once, 2))
	checkVerdict(t, got, fault.MayHaveRun)
	assert.Equal(t, w.count(), 1)
}

// Guards against a booking on a kept connection, which its server may close at
// that moment, so that it is unclear whether the booking ran.
func TestOnceUsesANewConnection(t *testing.T) {
	w := newWorld(t, plain("a"))
	w.send = func(_ context.Context, _ int, _ *relay.Request, a relay.Attempt) (*relay.Answer, error) {
		assert.Assert(t, !a.ReuseConnection)
		return answer(http.StatusOK, "booked"), nil
	}
	checkServed(t, w.serve(t.Context(), request(config.Once, 1)), "booked")
}

// Guards against a refusal of the first server that ends a request which the
// second would take, and against more servers than the route allows.
func TestRefusedGoesOn(t *testing.T) {
	for _, x := range []struct {
		name     string
		attempts int
		sends    int
	}{{"one attempt", 1, 1}, {"two attempts", 2, 2}} {
		t.Run(x.name, func(t *testing.T) {
			w := newWorld(t, plain("a"), plain("b"), plain("c"))
			w.send = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) {
				return refusedAnswer(), nil
			}
			checkVerdict(t, w.serve(t.Context(), request(config.Once, x.attempts)), fault.NotRun)
			assert.Equal(t, w.count(), x.sends)
		})
	}
}

// Guards against "not run" for a request of which one attempt was refused and
// another may have run.
func TestUnclearGoesBeforeRefused(t *testing.T) {
	w := newWorld(t, plain("a"), plain("b"))
	w.send = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
		if n == 1 {
			return nil, lost()
		}
		return refusedAnswer(), nil
	}
	checkVerdict(t, w.serve(t.Context(), request(config.Idempotent, 2)), fault.MayHaveRun)
}

// Guards against an answer without a signature that reaches a caller.
func TestUnsignedAnswerIsDropped(t *testing.T) {
	w := newWorld(t, plain("a"), plain("b"))
	w.send = func(_ context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
		a := answer(http.StatusOK, "good")
		if n == 1 {
			a = answer(http.StatusOK, "bad")
			a.Signed = false
		}
		return a, nil
	}
	checkServed(t, w.serve(t.Context(), request(config.Idempotent, 2)), "good")
}

// Guards against a lookup that waits for a slow server while others are free.
func TestSlowLookupIsHedged(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, plain("a"), plain("b"))
		w.send = func(ctx context.Context, n int, _ *relay.Request, _ relay.Attempt) (*relay.Answer, error) {
			if n == 1 {
				<-ctx.Done()
				return nil, lost()
			}
			time.Sleep(10 * time.Millisecond)
			return answer(http.StatusOK, "found"), nil
		}
		got := w.serve(t.Context(), request(config.Idempotent, 2))
		checkServed(t, got, "found")
		assert.Assert(t, got.took < 100*time.Millisecond, "%v", got.took)
	})
}

// Guards against repeats beyond the budget that all processes share.
func TestBudgetBoundsRepeats(t *testing.T) {
	w := newWorld(t, plain("a"), plain("b"))
	w.send = func(context.Context, int, *relay.Request, relay.Attempt) (*relay.Answer, error) { return nil, lost() }
	const calls = 100
	for range calls {
		w.serve(t.Context(), request(config.Idempotent, 2))
	}
	most := calls + repeats + calls/5
	assert.Assert(t, w.count() <= most, "%d sends of %d requests", w.count(), calls)
	// An engineer has to see why a request was not repeated.
	assert.Assert(t, w.log.contains("no repeat left"))
}

// Guards against a request that waits to its deadline when nobody can serve it.
func TestNoServerIsRefusedAtOnce(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t)
		got := w.serve(t.Context(), request(config.Idempotent, 2))
		checkVerdict(t, got, fault.NotRun)
		assert.Equal(t, got.took, time.Duration(0))
	})
}
