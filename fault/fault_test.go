package fault_test

import (
	"errors"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/fault"
)

// TestVerdictOfWrappedErrors guards against a verdict that is lost when an error is
// wrapped, and against an error without a verdict that counts as not run.
func TestVerdictOfWrappedErrors(t *testing.T) {
	inner := fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Leaving, Reason: "leaving", Cause: errors.New("dial")})
	for name, err := range map[string]error{
		"plain":  inner,
		"wrap":   fmt.Errorf("call desk: %w", inner),
		"double": fmt.Errorf("a: %w", fmt.Errorf("b: %w", inner)),
		"join":   errors.Join(errors.New("other"), inner),
	} {
		t.Run(name, func(t *testing.T) {
			var e *fault.Error
			assert.Assert(t, errors.As(err, &e))
			assert.Equal(t, e.Verdict(), fault.NotRun)
			assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
			assert.Equal(t, fault.CodeOf(err), fault.Leaving)
		})
	}
	t.Run("outermost verdict counts", func(t *testing.T) {
		outer := fault.New(fault.Config{Verdict: fault.MayHaveRun, Code: fault.Timeout, Cause: inner})
		assert.Equal(t, fault.VerdictOf(fmt.Errorf("x: %w", outer)), fault.MayHaveRun)
	})
	t.Run("no verdict", func(t *testing.T) {
		assert.Equal(t, fault.VerdictOf(errors.New("x")), fault.MayHaveRun)
		assert.Equal(t, fault.ProblemOf(errors.New("secret")).Detail, "internal error")
	})
}

// TestStatuses guards against a code without an HTTP status, and against the name
// of a verdict that is parsed as another verdict.
func TestStatuses(t *testing.T) {
	for _, c := range fault.Codes() {
		s := fault.HTTPStatus(c)
		assert.Assert(t, s >= 400 && s < 600, "%s: %d", c, s)
	}
	assert.Equal(t, fault.HTTPStatus("other"), 500)
	for _, v := range []fault.Verdict{fault.NotRun, fault.MayHaveRun, fault.Ran} {
		assert.Equal(t, fault.ParseVerdict(v.String()), v)
	}
	assert.Equal(t, fault.ParseVerdict("no such"), fault.MayHaveRun)
}

// TestRetryAfter guards against a Retry-After value that lets the caller retry too
// early, or that is negative.
func TestRetryAfter(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		for wait, want := range map[time.Duration]int{1100 * time.Millisecond: 2, time.Second: 1, -time.Minute: 0} {
			got, ok := fault.RetryAfter(fault.New(fault.Config{RetryAt: time.Now().Add(wait)}))
			assert.Assert(t, ok && got == want, "%v: %d", wait, got)
		}
		_, ok := fault.RetryAfter(errors.New("x"))
		assert.Assert(t, !ok)
	})
}
