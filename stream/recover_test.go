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

// inWorld runs a test on virtual time.
func inWorld(t *testing.T, copies int, mod func(*fakes.EngineConfig), f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		w := newWorld(t, copies, 1, mod)
		defer w.stop()
		defer w.healthy()
		f(t, w)
	})
}

func assertWhole(t *testing.T, a answer) {
	t.Helper()
	assert.NilError(t, a.err)
	assert.NilError(t, a.check())
}

func assertFree(t *testing.T, w *world) {
	t.Helper()
	for _, n := range w.names {
		assert.Equal(t, w.engines[n].UsedSlots(), 0, "slots held on %s", n)
	}
}

// TestFaults guards against an answer that a single fault of any stage cuts,
// changes or delays beyond the stated bound.
func TestFaults(t *testing.T) {
	for _, c := range []struct {
		name  string
		fault func(w *world, r int) fakes.EngineFaults
		gap   time.Duration // longest time between two tokens
	}{
		{"dead", func(*world, int) fakes.EngineFaults { return fakes.EngineFaults{Dead: true} }, 500 * time.Millisecond},
		{"stalled", func(*world, int) fakes.EngineFaults { return fakes.EngineFaults{Stall: true} }, time.Second},
		{"slow", func(*world, int) fakes.EngineFaults { return fakes.EngineFaults{Slow: 20} }, time.Second},
		{"cut", func(w *world, r int) fakes.EngineFaults { return w.links(r, fakes.StageLinkFault{Cut: true}) }, 1500 * time.Millisecond},
		{"delayed", func(w *world, r int) fakes.EngineFaults {
			return w.links(r, fakes.StageLinkFault{Delay: 60 * time.Millisecond})
		}, time.Second},
		{"skip", func(*world, int) fakes.EngineFaults { return fakes.EngineFaults{SkipLastLayer: true} }, 500 * time.Millisecond},
		{"double", func(*world, int) fakes.EngineFaults { return fakes.EngineFaults{RepeatLastLayer: true} }, 500 * time.Millisecond},
		{"frames", func(*world, int) fakes.EngineFaults {
			return fakes.EngineFaults{DuplicateFrames: true, ForeignFrames: true}
		}, 300 * time.Millisecond},
		{"late", func(*world, int) fakes.EngineFaults {
			return fakes.EngineFaults{ReorderFrames: true, DuplicateFrames: true}
		}, 300 * time.Millisecond},
	} {
		for r := range 3 {
			t.Run(fmt.Sprintf("%s in range %d", c.name, r), func(t *testing.T) {
				inWorld(t, 2, nil, func(t *testing.T, w *world) {
					a := w.ask(t.Context(), 1, "a long diagnosis, words=200", func(n int) {
						if n == 50 {
							w.set(w.busiest(r), c.fault(w, r))
						}
					})
					assertWhole(t, a)
					for i, g := range a.gaps[1:] {
						assert.Assert(t, g <= c.gap, "token %d came after %v", i+1, g)
					}
					w.healthy() // a stage that is cut off can't be told
					time.Sleep(time.Second)
					assertFree(t, w)
				})
			})
		}
	}
}

// links returns faults of the links to all stages of the next range.
func (w *world) links(r int, l fakes.StageLinkFault) fakes.EngineFaults {
	f := fakes.EngineFaults{Links: map[string]fakes.StageLinkFault{}}
	for _, n := range w.names {
		if n[:2] == fmt.Sprintf("e%d", r+1) {
			f.Links[n+":1"] = l
		}
	}
	return f
}

// TestSurvivors guards against a recovery that recomputes on stages after the
// replaced one, which still hold the KV cache.
func TestSurvivors(t *testing.T) {
	inWorld(t, 2, nil, func(t *testing.T, w *world) {
		last, used := "", 0
		a := w.ask(t.Context(), 1, "a long diagnosis, words=200", func(n int) {
			if n == 150 {
				last = w.busiest(2)
				used = w.engines[last].ComputedPositions()
				w.set(w.busiest(1), fakes.EngineFaults{Dead: true})
			}
		})
		assertWhole(t, a)
		assert.Equal(t, a.out.Attempts, 2)
		assert.Assert(t, w.engines[last].ComputedPositions()-used <= 52, "the surviving last stage computed %d positions for 50 tokens", w.engines[last].ComputedPositions()-used)
	})
}

// TestImport guards against a prefill where the replaced stage can still
// export its KV cache at less cost.
func TestImport(t *testing.T) {
	for _, slow := range []bool{true, false} {
		t.Run(fmt.Sprintf("slow=%v", slow), func(t *testing.T) {
			inWorld(t, 2, func(c *fakes.EngineConfig) { c.Prefill, c.Import = pace, pace/1000 }, func(t *testing.T, w *world) {
				f := fakes.EngineFaults{Slow: 30}
				if !slow {
					f = fakes.EngineFaults{Dead: true}
				}
				before := 0
				a := w.ask(t.Context(), 1, "a long diagnosis, words=300", func(n int) {
					if n == 200 {
						before = w.used()
						w.set(w.busiest(1), f)
					}
				})
				assertWhole(t, a)
				extra := w.used() - before - 3*100
				if slow {
					assert.Assert(t, extra < 50, "%d positions computed again", extra)
				} else {
					assert.Assert(t, extra > 300, "%d positions computed again", extra)
				}
			})
		})
	}
}

// used returns the positions computed by all engines.
func (w *world) used() int {
	n := 0
	for _, e := range w.engines {
		n += e.ComputedPositions()
	}
	return n
}

// TestCancel guards against slots that stay taken after the caller has gone.
func TestCancel(t *testing.T) {
	inWorld(t, 2, nil, func(t *testing.T, w *world) {
		ctx, cancel := context.WithCancel(t.Context())
		a := w.ask(ctx, 1, "a long diagnosis, words=200", func(n int) {
			if n == 20 {
				cancel()
			}
		})
		assert.Equal(t, fault.CodeOf(a.err), fault.Cancelled)
		time.Sleep(100 * time.Millisecond)
		assertFree(t, w)
	})
}

// TestGiveUp guards against a request without a route that is held back
// instead of answered at once, or without verdict and retry time.
func TestGiveUp(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		began := time.Time{}
		a := w.ask(t.Context(), 1, "a long diagnosis, words=200", func(n int) {
			if n == 20 {
				began = time.Now()
				w.set("e1-0", fakes.EngineFaults{Dead: true})
			}
		})
		assert.Assert(t, time.Since(began) < time.Second, "given up after %v", time.Since(began))
		assert.Equal(t, fault.VerdictOf(a.err), fault.MayHaveRun)
		_, ok := fault.RetryAt(a.err)
		assert.Assert(t, ok, "no retry time: %v", a.err)
		assert.NilError(t, a.check())
		assert.Equal(t, a.out.Tokens, 20)

		w.set("e0-0", fakes.EngineFaults{Dead: true})
		time.Sleep(5 * time.Second) // polls find the kept connections closed
		a = w.ask(t.Context(), 2, "another", nil)
		assert.Equal(t, fault.VerdictOf(a.err), fault.NotRun, "%v", a.err)
	})
}

// TestRefused guards against work for a server that refuses as leaving while
// its load report and the VM list do not say so.
func TestRefused(t *testing.T) {
	inWorld(t, 2, nil, func(t *testing.T, w *world) {
		for r := range 3 {
			w.set(fmt.Sprintf("e%d-0", r), fakes.EngineFaults{Refuse: true})
		}
		for i := range 10 {
			assertWhole(t, w.ask(t.Context(), i, fmt.Sprintf("prompt %d", i), nil))
		}
		for r := range 3 {
			assert.Equal(t, w.engines[fmt.Sprintf("e%d-0", r)].ComputedPositions(), 0)
		}
	})
}

// TestCheckpoint guards against a checkpoint that is not used when the stage
// that made it is dead.
func TestCheckpoint(t *testing.T) {
	inWorld(t, 2, func(c *fakes.EngineConfig) { c.Prefill, c.Import = pace, pace/1000 }, func(t *testing.T, w *world) {
		w.runner = entry.NewAnswers(entry.AnswersConfig{Fleet: w.table, Engines: w.client, Domain: domains[0], Checkpoint: 50})
		before := 0
		a := w.ask(t.Context(), 1, "a long diagnosis, words=300", func(n int) {
			if n == 220 {
				before = w.used()
				w.set(w.busiest(1), fakes.EngineFaults{Dead: true})
			}
		})
		assertWhole(t, a)
		extra := w.used() - before - 3*80
		assert.Assert(t, extra < 3*50, "%d positions computed again", extra)
	})
}

// TestFirstBy guards against a request that waits for a slot beyond the
// deadline of its first token.
func TestFirstBy(t *testing.T) {
	inWorld(t, 1, func(c *fakes.EngineConfig) { c.Slots = 1 }, func(t *testing.T, w *world) {
		var wg sync.WaitGroup
		wg.Go(func() { assert.Check(t, w.ask(t.Context(), 1, "words=1000", nil).err) })
		time.Sleep(100 * time.Millisecond)
		begun := time.Now()
		_, err := w.runner.Run(t.Context(), stream.Request{
			ID: "late", Service: "assistant", Model: "lights", Layers: layers, Prompt: "words=5", Limit: 5, FirstBy: begun.Add(1500 * time.Millisecond),
		}, stream.Sink{Token: func(string) error { return nil }})
		assert.Equal(t, fault.CodeOf(err), fault.Timeout, "%v", err)
		took := time.Since(begun)
		assert.Assert(t, took >= 1500*time.Millisecond && took < 2*time.Second, "answered after %v", took)
		wg.Wait()
	})
}

// TestPrefix guards against a prompt that is computed again although the
// engines hold its prefix.
func TestPrefix(t *testing.T) {
	inWorld(t, 1, nil, func(t *testing.T, w *world) {
		prompt := strings.Repeat("the tube flickers ", 200) + "words=10"
		assert.Equal(t, w.ask(t.Context(), 1, prompt, nil).out.Cached, 0)
		before := w.used()
		a := w.ask(t.Context(), 2, prompt, nil)
		assertWhole(t, a)
		assert.Assert(t, a.out.Cached > 500 && a.out.Cached < a.out.Prompt, "%d of %d cached", a.out.Cached, a.out.Prompt)
		assert.Assert(t, w.used()-before < 3*100)
	})
}
