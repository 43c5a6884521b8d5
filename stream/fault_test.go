package stream_test

import (
	"context"
	"fmt"
	"strings"
	"sync"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"

	"github.com/cranberrybay/cranberrybay/entry"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/stream"
)

// withCluster runs a test with a cluster on virtual time.
func withCluster(t *testing.T, copies int, modify func(*fakes.EngineConfig), f func(t *testing.T, tc *testCluster)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		tc := newTestCluster(t, copies, 1, modify)
		defer tc.stop()
		defer tc.clearFaults()
		f(t, tc)
	})
}

// assertComplete asserts that a caller received its complete answer.
func assertComplete(t *testing.T, a result) {
	t.Helper()
	assert.NilError(t, a.err)
	assert.NilError(t, a.check())
}

// assertNoSlotsHeld asserts that no engine holds a slot.
func assertNoSlotsHeld(t *testing.T, tc *testCluster) {
	t.Helper()
	for _, n := range tc.names {
		assert.Equal(t, tc.engines[n].UsedSlots(), 0, "slots held on %s", n)
	}
}

// TestStageFaults guards against an answer that a single fault of any stage
// truncates, changes or delays for longer than the stated bound.
func TestStageFaults(t *testing.T) {
	for _, c := range []struct {
		name        string
		fault       func(tc *testCluster, r int) fakes.EngineFaults
		maxInterval time.Duration // longest time between two tokens
	}{
		{"dead", func(*testCluster, int) fakes.EngineFaults { return fakes.EngineFaults{Dead: true} }, 500 * time.Millisecond},
		{"stalled", func(*testCluster, int) fakes.EngineFaults { return fakes.EngineFaults{Stall: true} }, time.Second},
		{"slow", func(*testCluster, int) fakes.EngineFaults { return fakes.EngineFaults{Slow: 20} }, time.Second},
		{"cut", func(tc *testCluster, r int) fakes.EngineFaults {
			return tc.linkFaults(r, fakes.StageLinkFault{Cut: true})
		}, 1500 * time.Millisecond},
		{"delayed", func(tc *testCluster, r int) fakes.EngineFaults {
			return tc.linkFaults(r, fakes.StageLinkFault{Delay: 60 * time.Millisecond})
		}, time.Second},
		{"skip", func(*testCluster, int) fakes.EngineFaults { return fakes.EngineFaults{SkipLastLayer: true} }, 500 * time.Millisecond},
		{"double", func(*testCluster, int) fakes.EngineFaults { return fakes.EngineFaults{RepeatLastLayer: true} }, 500 * time.Millisecond},
		{"frames", func(*testCluster, int) fakes.EngineFaults {
			return fakes.EngineFaults{DuplicateFrames: true, ForeignFrames: true}
		}, 300 * time.Millisecond},
		{"late", func(*testCluster, int) fakes.EngineFaults {
			return fakes.EngineFaults{ReorderFrames: true, DuplicateFrames: true}
		}, 300 * time.Millisecond},
	} {
		for r := range 3 {
			t.Run(fmt.Sprintf("%s in range %d", c.name, r), func(t *testing.T) {
				withCluster(t, 2, nil, func(t *testing.T, tc *testCluster) {
					a := tc.request(t.Context(), 1, "a long diagnosis, words=200", func(n int) {
						if n == 50 {
							tc.setFaults(tc.busiest(r), c.fault(tc, r))
						}
					})
					assertComplete(t, a)
					for i, interval := range a.tokenIntervals[1:] {
						assert.Assert(t, interval <= c.maxInterval, "token %d came after %v", i+1, interval)
					}
					tc.clearFaults() // a stage that is cut off can't be released
					time.Sleep(time.Second)
					assertNoSlotsHeld(t, tc)
				})
			})
		}
	}
}

// linkFaults returns the given fault for the links to all stages of the next layer
// range.
func (tc *testCluster) linkFaults(r int, l fakes.StageLinkFault) fakes.EngineFaults {
	f := fakes.EngineFaults{Links: map[string]fakes.StageLinkFault{}}
	for _, n := range tc.names {
		if n[:2] == fmt.Sprintf("e%d", r+1) {
			f.Links[n+":1"] = l
		}
	}
	return f
}

// TestRecoveryKeepsSurvivingStages guards against a recovery that computes
// positions again on the stages after the replaced one, which still hold the KV
// cache.
func TestRecoveryKeepsSurvivingStages(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, tc *testCluster) {
		last, used := "", 0
		a := tc.request(t.Context(), 1, "a long diagnosis, words=200", func(n int) {
			if n == 150 {
				last = tc.busiest(2)
				used = tc.engines[last].ComputedPositions()
				tc.setFaults(tc.busiest(1), fakes.EngineFaults{Dead: true})
			}
		})
		assertComplete(t, a)
		assert.Equal(t, a.out.Attempts, 2)
		assert.Assert(t, tc.engines[last].ComputedPositions()-used <= 52, "the surviving last stage computed %d positions for 50 tokens", tc.engines[last].ComputedPositions()-used)
	})
}

// TestKVCacheImport guards against a prefill where the replaced stage can still
// export its KV cache, which costs less.
func TestKVCacheImport(t *testing.T) {
	for _, slow := range []bool{true, false} {
		t.Run(fmt.Sprintf("slow=%v", slow), func(t *testing.T) {
			withCluster(t, 2, func(c *fakes.EngineConfig) { c.Prefill, c.Import = pace, pace/1000 }, func(t *testing.T, tc *testCluster) {
				f := fakes.EngineFaults{Slow: 30}
				if !slow {
					f = fakes.EngineFaults{Dead: true}
				}
				before := 0
				a := tc.request(t.Context(), 1, "a long diagnosis, words=300", func(n int) {
					if n == 200 {
						before = tc.positionsComputed()
						tc.setFaults(tc.busiest(1), f)
					}
				})
				assertComplete(t, a)
				extra := tc.positionsComputed() - before - 3*100
				if slow {
					assert.Assert(t, extra < 50, "%d positions computed again", extra)
				} else {
					assert.Assert(t, extra > 300, "%d positions computed again", extra)
				}
			})
		})
	}
}

// positionsComputed returns the number of positions that all engines have computed.
func (tc *testCluster) positionsComputed() int {
	n := 0
	for _, e := range tc.engines {
		n += e.ComputedPositions()
	}
	return n
}

// TestCancelFreesSlots guards against slots that stay taken after the caller has
// gone away.
func TestCancelFreesSlots(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, tc *testCluster) {
		ctx, cancel := context.WithCancel(t.Context())
		a := tc.request(ctx, 1, "a long diagnosis, words=200", func(n int) {
			if n == 20 {
				cancel()
			}
		})
		assert.Equal(t, fault.CodeOf(a.err), fault.Cancelled)
		time.Sleep(100 * time.Millisecond)
		assertNoSlotsHeld(t, tc)
	})
}

// TestNoRouteLeft guards against a request that is not answered at once, or without
// a verdict and a retry time, when no route is left.
func TestNoRouteLeft(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, tc *testCluster) {
		began := time.Time{}
		a := tc.request(t.Context(), 1, "a long diagnosis, words=200", func(n int) {
			if n == 20 {
				began = time.Now()
				tc.setFaults("e1-0", fakes.EngineFaults{Dead: true})
			}
		})
		assert.Assert(t, time.Since(began) < time.Second, "given up after %v", time.Since(began))
		assert.Equal(t, fault.VerdictOf(a.err), fault.MayHaveRun)
		_, ok := fault.RetryAt(a.err)
		assert.Assert(t, ok, "no retry time: %v", a.err)
		assert.NilError(t, a.check())
		assert.Equal(t, a.out.Tokens, 20)

		tc.setFaults("e0-0", fakes.EngineFaults{Dead: true})
		time.Sleep(5 * time.Second) // until the polls find the idle connections closed
		a = tc.request(t.Context(), 2, "another", nil)
		assert.Equal(t, fault.VerdictOf(a.err), fault.NotRun, "%v", a.err)
	})
}

// TestLeavingStageRefuses guards against work for a server that refuses it because
// it leaves, while its load report and the VM list do not show that.
func TestLeavingStageRefuses(t *testing.T) {
	withCluster(t, 2, nil, func(t *testing.T, tc *testCluster) {
		for r := range 3 {
			tc.setFaults(fmt.Sprintf("e%d-0", r), fakes.EngineFaults{Refuse: true})
		}
		for i := range 10 {
			assertComplete(t, tc.request(t.Context(), i, fmt.Sprintf("prompt %d", i), nil))
		}
		for r := range 3 {
			assert.Equal(t, tc.engines[fmt.Sprintf("e%d-0", r)].ComputedPositions(), 0)
		}
	})
}

// TestCheckpointAfterStageFailure guards against a checkpoint that is not used when
// the stage that made it has failed.
func TestCheckpointAfterStageFailure(t *testing.T) {
	withCluster(t, 2, func(c *fakes.EngineConfig) { c.Prefill, c.Import = pace, pace/1000 }, func(t *testing.T, tc *testCluster) {
		tc.runner = entry.NewRunner(entry.RunnerConfig{Fleet: tc.table, Engines: tc.client, Domain: domains[0], CheckpointInterval: 50})
		before := 0
		a := tc.request(t.Context(), 1, "a long diagnosis, words=300", func(n int) {
			if n == 220 {
				before = tc.positionsComputed()
				tc.setFaults(tc.busiest(1), fakes.EngineFaults{Dead: true})
			}
		})
		assertComplete(t, a)
		extra := tc.positionsComputed() - before - 3*80
		assert.Assert(t, extra < 3*50, "%d positions computed again", extra)
	})
}

// TestFirstTokenDeadline guards against a request that waits for a slot beyond the
// deadline of its first token.
func TestFirstTokenDeadline(t *testing.T) {
	withCluster(t, 1, func(c *fakes.EngineConfig) { c.Slots = 1 }, func(t *testing.T, tc *testCluster) {
		var wg sync.WaitGroup
		wg.Go(func() { assert.Check(t, tc.request(t.Context(), 1, "words=1000", nil).err) })
		time.Sleep(100 * time.Millisecond)
		start := time.Now()
		_, err := tc.runner.Run(t.Context(), stream.Request{
			ID: "late", Service: "assistant", Model: "lights", Layers: layers, Prompt: "words=5", Limit: 5, FirstTokenDeadline: start.Add(1500 * time.Millisecond),
		}, stream.Sink{Token: func(string) error { return nil }})
		assert.Equal(t, fault.CodeOf(err), fault.Timeout, "%v", err)
		took := time.Since(start)
		assert.Assert(t, took >= 1500*time.Millisecond && took < 2*time.Second, "answered after %v", took)
		wg.Wait()
	})
}

// TestPrefixCache guards against a prompt that is computed again although the
// engines hold its prefix in their cache.
func TestPrefixCache(t *testing.T) {
	withCluster(t, 1, nil, func(t *testing.T, tc *testCluster) {
		prompt := strings.Repeat("the tube flickers ", 200) + "words=10"
		assert.Equal(t, tc.request(t.Context(), 1, prompt, nil).out.Cached, 0)
		before := tc.positionsComputed()
		a := tc.request(t.Context(), 2, prompt, nil)
		assertComplete(t, a)
		assert.Assert(t, a.out.Cached > 500 && a.out.Cached < a.out.Prompt, "%d of %d cached", a.out.Cached, a.out.Prompt)
		assert.Assert(t, tc.positionsComputed()-before < 3*100)
	})
}
