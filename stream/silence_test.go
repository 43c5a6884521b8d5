package stream_test

import (
	"context"
	"fmt"
	"math/rand"
	"net"
	"os"
	"slices"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/retry"
	"github.com/cranberrybay/cranberrybay/route"
	"github.com/cranberrybay/cranberrybay/stream"
)

// silence is as long as a sound server may fall silent.
const silence = 1200 * time.Millisecond

// setRetries gives the cluster a runner with a number of retries.
func (tc *testCluster) setRetries(n float64) {
	tc.runner = entry.NewRunner(entry.RunnerConfig{
		Fleet: tc.table, Engines: tc.client, Domain: domains[0], Budget: retry.New(retry.Config{Burst: n, Initial: n}),
		Chooser: route.New(route.Config{Fleet: tc.table, Rand: rand.New(rand.NewSource(1))}),
	})
}

// duringAnswer requests an answer of 200 tokens and calls disturb after some tokens.
func (tc *testCluster) duringAnswer(t *testing.T, disturb func()) result {
	return tc.request(t.Context(), 1, "a long diagnosis, words=200", func(n int) {
		if n == 50 {
			disturb()
		}
	})
}

// TestSilentStageEndsNoStream guards against an answer that ends because a stage
// was silent for a while and no other run could take over.
func TestSilentStageEndsNoStream(t *testing.T) {
	for _, c := range []struct {
		name    string
		copies  int
		retries float64
		other   fakes.EngineFaults // of the other engines of the range
	}{
		{"no other engine", 1, 10, fakes.EngineFaults{}},
		{"no retry left", 2, 0, fakes.EngineFaults{}},
		{"other engine refuses", 2, 1, fakes.EngineFaults{Refuse: true}},
		{"other engine is dead", 2, 1, fakes.EngineFaults{Dead: true}},
		{"other engine skips a layer", 2, 1, fakes.EngineFaults{SkipLastLayer: true}},
		{"other engines refuse", 4, 3, fakes.EngineFaults{Refuse: true}},
	} {
		for r := range 3 {
			t.Run(fmt.Sprintf("%s, range %d", c.name, r), func(t *testing.T) {
				withCluster(t, c.copies, nil, func(t *testing.T, tc *testCluster) {
					tc.setRetries(c.retries)
					assertComplete(t, tc.duringAnswer(t, func() {
						silent := tc.busiest(r)
						tc.engines[silent].Pause(silence)
						for i := range c.copies {
							if name := fmt.Sprintf("e%d-%d", r, i); name != silent {
								tc.setFaults(name, c.other)
							}
						}
					}))
					tc.clearFaults()
					time.Sleep(time.Second)
					assertNoSlotsHeld(t, tc)
				})
			})
		}
	}
	t.Run("before the first token", func(t *testing.T) {
		withCluster(t, 1, nil, func(t *testing.T, tc *testCluster) {
			tc.engines["e0-0"].Pause(silence)
			assertComplete(t, tc.request(t.Context(), 1, "words=20", nil))
		})
	})
}

// TestFailedSuccessorIsReplaced guards against a request that tries the same engine
// again and again while a stage is silent and another engine could take over.
func TestFailedSuccessorIsReplaced(t *testing.T) {
	for _, f := range []fakes.EngineFaults{{Refuse: true}, {Dead: true}, {SkipLastLayer: true}} {
		withCluster(t, 5, nil, func(t *testing.T, tc *testCluster) {
			a := tc.duringAnswer(t, func() {
				silent := tc.busiest(1)
				for i := range 4 {
					if name := fmt.Sprintf("e1-%d", i); name != silent {
						tc.setFaults(name, f)
					}
				}
				tc.setFaults(silent, fakes.EngineFaults{Stall: true})
			})
			assertComplete(t, a)
			assert.Assert(t, slices.Max(a.tokenIntervals) < 3*time.Second, "%v", slices.Max(a.tokenIntervals))
		})
	}
}

// TestSilenceAfterCrash guards against an answer that does not move away from a silent
// stage because an engine crashed before its first token.
func TestSilenceAfterCrash(t *testing.T) {
	withCluster(t, 4, nil, func(t *testing.T, tc *testCluster) {
		for i := range 3 {
			tc.setFaults(fmt.Sprintf("e0-%d", i), fakes.EngineFaults{Dead: true})
		}
		a := tc.duringAnswer(t, func() { tc.setFaults(tc.busiest(1), fakes.EngineFaults{Stall: true}) })
		assertComplete(t, a)
		assert.Assert(t, a.out.Attempts > 2, "no engine crashed before the first token")
	})
}

// TestSlowRouteEndsNoStream guards against an answer that ends because its route
// became slow when no retry was left.
func TestSlowRouteEndsNoStream(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, tc *testCluster) {
		tc.setRetries(0)
		assertComplete(t, tc.duringAnswer(t, func() { tc.setFaults(tc.busiest(1), fakes.EngineFaults{Slow: 20}) }))
	})
}

// TestVanishedStage guards against an answer that waits without end for a stage that
// never answers again.
func TestVanishedStage(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, tc *testCluster) {
		began := time.Time{}
		a := tc.duringAnswer(t, func() {
			began = time.Now()
			tc.setFaults("e1-0", fakes.EngineFaults{Stall: true})
		})
		assert.Equal(t, fault.VerdictOf(a.err), fault.MayHaveRun)
		_, ok := fault.RetryAt(a.err)
		assert.Assert(t, ok, "no retry time: %v", a.err)
		assert.Assert(t, time.Since(began) <= 11*time.Second, "ended after %v", time.Since(began))
		assert.NilError(t, a.check())
	})
}

// TestProofEndsTheWait guards against a wait for a silent stage that goes on although
// it is certain that the stage is gone.
func TestProofEndsTheWait(t *testing.T) {
	for name, end := range map[string]func(tc *testCluster){
		"refused connection": func(tc *testCluster) { tc.net.setDown("e1-0:1", true) },
		"removed": func(tc *testCluster) {
			tc.table.MergeEntry(fleet.State{Name: "another", Address: "e1-0:1", Service: "assistant"})
		},
	} {
		t.Run(name, func(t *testing.T) {
			withCluster(t, 1, nil, func(t *testing.T, tc *testCluster) {
				var ended time.Time
				a := tc.duringAnswer(t, func() {
					tc.engines["e1-0"].Pause(8 * time.Second)
					time.AfterFunc(2*time.Second, func() { ended = time.Now(); end(tc) })
				})
				assert.Equal(t, fault.VerdictOf(a.err), fault.MayHaveRun)
				assert.Assert(t, time.Since(ended) <= 2*maxCheck, "%v", time.Since(ended))
			})
		})
	}
}

// maxCheck is the longest time between two checks of the stages in these tests: the
// token timeout and a probe.
const maxCheck = 400 * time.Millisecond

// TestFirstTokenDeadlineWhileSilent guards against a request that is answered late
// because a run on another route was being prepared when its deadline passed.
func TestFirstTokenDeadlineWhileSilent(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, tc *testCluster) {
		for _, n := range tc.names[:2] {
			tc.setFaults(n, fakes.EngineFaults{Stall: true})
		}
		start := time.Now()
		_, err := tc.runner.Run(t.Context(), stream.Request{
			ID: "late", Service: "assistant", Model: "lights", Layers: layers, Prompt: "words=5", Limit: 5, FirstTokenDeadline: start.Add(900 * time.Millisecond),
		}, stream.Sink{Token: func(string) error { return nil }})
		assert.Equal(t, fault.CodeOf(err), fault.Timeout, "%v", err)
		assert.Assert(t, time.Since(start) < 900*time.Millisecond+maxCheck, "answered after %v", time.Since(start))
	})
}

// TestUnconnectedStage guards against a request that is refused because the only
// engine took no connection for a while.
func TestUnconnectedStage(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		start := time.Now()
		silent := func() error {
			if time.Since(start) > silence {
				return nil
			}
			return fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable, Cause: &net.OpError{Op: "dial", Err: os.ErrDeadlineExceeded}})
		}
		r := stream.New(stream.Config{
			Budget: retry.New(retry.Config{}),
			Choose: func(_ *stream.Request, c stream.RouteConstraints) (route.Route, error) {
				if c.ExcludedServers["e"] {
					return route.Route{}, fault.New(fault.Config{Verdict: fault.NotRun, Code: fault.Unavailable})
				}
				return route.Route{Stages: []route.Stage{{Name: "e", Address: "e", Last: layers}}}, nil
			},
			Probe: func(context.Context, route.Stage) (engine.LoadReport, error) { return engine.LoadReport{}, silent() },
			Generate: func(_ context.Context, j engine.Job) (*stream.FrameStream, error) {
				if silent() != nil {
					time.Sleep(time.Second)
					return nil, silent()
				}
				return &stream.FrameStream{Next: func(f *engine.Frame) error {
					*f = engine.Frame{Tag: j.Tag, Attempt: j.Attempt, Stop: "end"}
					return nil
				}, Close: func() {}}, nil
			},
		})
		out, err := r.Run(t.Context(), stream.Request{ID: "r", Layers: layers, FirstTokenDeadline: start.Add(5 * time.Second)}, stream.Sink{Token: func(string) error { return nil }})
		assert.NilError(t, err)
		assert.Equal(t, out.Stop, "end")
	})
}

// TestQueueHidesNoCutLink guards against requests that are stuck at a cut link and take it
// for the queue of a stage, since others of them wait there.
func TestQueueHidesNoCutLink(t *testing.T) {
	withCluster(t, 2, func(c *fakes.EngineConfig) { c.Slots = 4 }, func(t *testing.T, tc *testCluster) {
		tc.setFaults("e1-0", tc.linkFaults(1, fakes.StageLinkFault{Cut: true}))
		var wg sync.WaitGroup
		for i := range 14 {
			wg.Go(func() { assertComplete(t, tc.request(t.Context(), i, fmt.Sprintf("question %d, words=20", i), nil)) })
		}
		wg.Wait()
	})
}

// TestQueuedWithoutEnd guards against a request without a deadline that waits without end
// for the slot of a stage.
func TestQueuedWithoutEnd(t *testing.T) {
	withCluster(t, 1, func(c *fakes.EngineConfig) { c.Slots = 1 }, func(t *testing.T, tc *testCluster) {
		ctx, cancel := context.WithCancel(t.Context())
		defer cancel()
		_, err := tc.client.Generate(ctx, engine.Job{ // holds the slot, as its frames are not read
			Request: "stuck", Attempt: 1, Model: "lights", Version: "1", Prompt: "words=100", Limit: 100, Route: []engine.Stage{{Address: "e0-0:1", Last: 8}},
		})
		assert.NilError(t, err)
		start := time.Now()
		a := tc.request(t.Context(), 1, "words=20", nil)
		assert.Equal(t, fault.CodeOf(a.err), fault.Timeout, "%v", a.err)
		assert.Assert(t, time.Since(start) > 50*time.Second && time.Since(start) < 65*time.Second, "%v", time.Since(start))
	})
}
