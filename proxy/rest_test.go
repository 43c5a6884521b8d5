package proxy

import (
	"context"
	"net/http"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/fault"
)

// Guards against calls to a server of the product's own interface that asked for a pause, and against
// callers that return before its end.
func TestServerAtRestGetsCalls(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		base := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(base) + time.Hour })()
		resting := true
		s := newFakeServers(1, func(_ context.Context, server string, _ int) (int, error) {
			if resting {
				return 0, refusal(server, http.Header{"Retry-After": {"4"}})
			}
			return http.StatusOK, nil
		})
		for range 20 {
			_, err := s.pool.Send(t.Context(), "desk", Call{Method: http.MethodGet, Idempotent: true})
			assert.Equal(t, fault.VerdictOf(err), fault.NotRun)
			at, ok := fault.RetryAt(err)
			left := 4*time.Second - time.Since(base)
			assert.Assert(t, ok && time.Until(at) >= left && time.Until(at) <= left+250*time.Millisecond, "%v, want %v", time.Until(at), left)
			time.Sleep(100 * time.Millisecond)
		}
		assert.Equal(t, len(s.calls), 1)
		resting = false
		time.Sleep(3 * time.Second)
		for range 20 {
			_, err := s.pool.Send(t.Context(), "desk", Call{Method: http.MethodGet, Idempotent: true})
			assert.NilError(t, err)
		}
	})
}
