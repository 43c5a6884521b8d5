package stream_test

import (
	"fmt"
	"sync"
	"testing"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/clock"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
)

// withDeadlyText runs a test with engines that crash on prompts with a text.
func withDeadlyText(t *testing.T, f func(t *testing.T, tc *testCluster)) {
	t.Helper()
	withCluster(t, 6, func(c *fakes.EngineConfig) { c.Deadly = "deadly" }, func(t *testing.T, tc *testCluster) {
		start := time.Now()
		defer clock.Replace(func() time.Duration { return time.Since(start) })()
		f(t, tc)
	})
}

// TestDeadlyRequestsReachFewEngines guards against requests that crash engine after
// engine, and against sound requests of the same caller and beginning that suffer.
func TestDeadlyRequestsReachFewEngines(t *testing.T) {
	for _, c := range []struct {
		name       string
		prompt     func(n int) string
		interval   time.Duration // between two of these requests
		maxCrashes int32
	}{
		{"one message", func(n int) string { return fmt.Sprintf("our shop\ndeadly text\nquestion %d, words=20", n) }, 300 * time.Millisecond, 4},
		{"one request", func(int) string { return "our shop\ndeadly text, words=20" }, 2 * crashTime, 4},
	} {
		t.Run(c.name, func(t *testing.T) {
			withDeadlyText(t, func(t *testing.T, tc *testCluster) {
				var wg sync.WaitGroup
				var refused, last int
				var left time.Duration // until the end of the last quarantine
				for n := range 100 {
					wg.Go(func() {
						time.Sleep(time.Duration(n) * 100 * time.Millisecond)
						assertComplete(t, tc.request(t.Context(), n, fmt.Sprintf("our shop\nquestion %d, words=40", n), nil))
					})
				}
				wg.Go(func() {
					for n := range 30 {
						a := tc.request(t.Context(), 1000+n, c.prompt(n), nil)
						assert.Assert(t, a.err != nil)
						switch fault.CodeOf(a.err) {
						case fault.Quarantined:
							refused++
							last = n
							assert.Equal(t, fault.VerdictOf(a.err), fault.NotRun)
							at, ok := fault.RetryAt(a.err)
							assert.Assert(t, ok && time.Until(at) > 0, "%v", a.err)
							left = time.Until(at)
						default:
							assert.Equal(t, fault.CodeOf(a.err), fault.Crashed, "%v", a.err)
							assert.Equal(t, fault.VerdictOf(a.err), fault.MayHaveRun)
						}
						time.Sleep(c.interval)
					}
				})
				wg.Wait()
				assert.Assert(t, tc.crashes.Load() >= 3 && tc.crashes.Load() <= c.maxCrashes, "%d crashes", tc.crashes.Load())
				assert.Assert(t, refused >= 25 && last == 29 && left > 9*time.Minute, "%d refused, %v left", refused, left)
			})
		})
	}
}
