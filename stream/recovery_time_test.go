package stream_test

import (
	"flag"
	"fmt"
	"math/rand"
	"sort"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/route"
	"github.com/cranberrybay/cranberrybay/stream"
)

// runWithRestarts is the baseline: when the route fails, the answer begins again
// from the prompt under another ID, and the tokens that the caller already has are
// dropped.
func (tc *testCluster) runWithRestarts(t *testing.T, r *stream.Runner, id int, prompt string, token func()) (tries int, err error) {
	have := 0
	for try := range 8 {
		n := 0
		_, err := r.Run(t.Context(), stream.Request{
			ID: fmt.Sprintf("r%d-%d", id, try), Service: "assistant", Model: "lights", Layers: layers, Prompt: prompt, Limit: 4096,
		}, stream.Sink{Token: func(string) error {
			if n++; n > have {
				have = n
				token()
			}
			return nil
		}})
		if err == nil {
			return try + 1, nil
		}
	}
	return 8, fmt.Errorf("prompt %q was not answered", prompt)
}

// recoveryStats is the result of a run with one failure.
type recoveryStats struct {
	waits []time.Duration // times from the failure to the next token, of the requests on the failed stage
	extra int             // positions computed in addition to those of a run without a failure
}

// measureRecovery measures a run in which a stage fails while 16 requests are in
// flight.
func measureRecovery(t *testing.T, seed int64, baseline bool, f fakes.EngineFaults) (m recoveryStats) {
	t.Helper()
	const callers, words = 16, 200
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, 3, seed, nil)
		defer tc.stop()
		defer tc.clearFaults()
		noRetryRunner := entry.NewRunner(entry.RunnerConfig{
			Fleet: tc.table, Engines: tc.client, Domain: domains[0], Budget: retry.New(retry.Config{}),
			Chooser: route.New(route.Config{Fleet: tc.table, Rand: rand.New(rand.NewSource(seed))}),
		})
		noRetryRunner.SetMaxSilence(150 * time.Millisecond) // the token timeout of these routes
		rnd := rand.New(rand.NewSource(seed))
		var failedAt time.Time
		var mu sync.Mutex
		var wg sync.WaitGroup
		minPositions := 0
		// The stages before the replaced one compute their outputs again. What a
		// replay saves therefore depends on the layer range of the failed stage:
		// 2/3 for the first, 1/3 for the second and nothing for the last.
		failedStage := fmt.Sprintf("e%d-%d", seed%3, rnd.Intn(3))
		for i := range callers {
			prompt := fmt.Sprintf("caller %d of %d asks for a long diagnosis, words=%d", i, seed, words)
			wait := time.Duration(rnd.Intn(400)) * time.Millisecond
			minPositions += 3 * (len(strings.Fields(prompt)) + words - 1)
			wg.Go(func() {
				time.Sleep(wait)
				// A token that has passed the failed stage may still arrive after
				// the failure, so the longest pause after it counts.
				var pause time.Duration
				last := time.Now()
				token := func() {
					mu.Lock()
					defer mu.Unlock()
					now := time.Now()
					if !failedAt.IsZero() {
						if last.Before(failedAt) {
							last = failedAt
						}
						pause = max(pause, now.Sub(last))
					}
					last = now
				}
				tries := 0
				if baseline {
					var err error
					tries, err = tc.runWithRestarts(t, noRetryRunner, i, prompt, token)
					assert.Check(t, err)
				} else {
					a := tc.request(t.Context(), i, prompt, func(int) { token() })
					assert.Check(t, a.err)
					assert.Check(t, a.check())
					tries = a.out.Attempts
				}
				if mu.Lock(); tries > 1 { // the request used the failed stage
					m.waits = append(m.waits, pause)
				}
				mu.Unlock()
			})
		}
		time.Sleep(800 * time.Millisecond)
		mu.Lock()
		failedAt = time.Now()
		mu.Unlock()
		tc.setFaults(failedStage, f)
		wg.Wait()
		m.extra = tc.positionsComputed() - minPositions
	})
	return m
}

// quantile returns the q-quantile of v and sorts v.
func quantile(v []time.Duration, q float64) time.Duration {
	sort.Slice(v, func(i, j int) bool { return v[i] < v[j] })
	return v[int(q*float64(len(v)-1))]
}

var seeds = flag.Int("seeds", 1, "runs of TestRecoveryTime for each case")

// TestRecoveryTime measures the time from the failure of a stage to the next token
// and the positions that are computed again. It guards against a recovery that is
// slower or computes more than the baseline, which begins again from the prompt.
func TestRecoveryTime(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault fakes.EngineFaults
	}{{"dead", fakes.EngineFaults{Dead: true}}, {"stalled", fakes.EngineFaults{Stall: true}}} {
		t.Run(c.name, func(t *testing.T) {
			var all [2]recoveryStats
			for i, baseline := range []bool{false, true} {
				for s := range *seeds {
					m := measureRecovery(t, int64(s+1), baseline, c.fault)
					all[i].waits = append(all[i].waits, m.waits...)
					all[i].extra += m.extra
				}
				assert.Assert(t, len(all[i].waits) > 0)
			}
			for i, name := range []string{"replay", "restart"} {
				m := all[i]
				t.Logf("%s: %d requests, median %v, 95th percentile %v, %d positions computed again for each",
					name, len(m.waits), quantile(m.waits, 0.5), quantile(m.waits, 0.95), m.extra/len(m.waits))
			}
			assert.Assert(t, quantile(all[0].waits, 0.5) < quantile(all[1].waits, 0.5))
			assert.Assert(t, all[0].extra/len(all[0].waits) < all[1].extra/len(all[1].waits))
		})
	}
}

// TestReleaseTime measures the time until all slots are free after the callers went
// away. It guards against a time of a second or more.
func TestReleaseTime(t *testing.T) {
	var worst time.Duration
	for seed := range int64(5) {
		synctest.Test(t, func(t *testing.T) {
			tc := newTestCluster(t, 2, seed, nil)
			defer tc.stop()
			var wg sync.WaitGroup
			gone := fmt.Errorf("gone")
			for i := range 20 {
				wg.Go(func() {
					n := 0
					_, _ = tc.runner.Run(t.Context(), stream.Request{
						ID: fmt.Sprint(i), Service: "assistant", Model: "lights", Layers: layers, Prompt: "words=500", Limit: 4096,
						Blocks: engine.BlockHashes("lights", ""),
					}, stream.Sink{Token: func(string) error {
						if n++; n == 40 {
							return gone
						}
						return nil
					}})
				})
			}
			wg.Wait()
			start := time.Now()
			for held := 1; held > 0; {
				held = 0
				for _, n := range tc.names {
					held += tc.engines[n].UsedSlots()
				}
				if held > 0 {
					time.Sleep(time.Millisecond)
				}
			}
			worst = max(worst, time.Since(start))
		})
	}
	t.Logf("all slots were free %v after the last caller went away", worst)
	assert.Assert(t, worst < time.Second)
}
