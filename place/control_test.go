package place_test

import (
	"context"
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fakes"
	"github.com/cranberrybay/cranberrybay/place"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "40")
}

func run(t *testing.T, engines int, f func(t *testing.T, w *world)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		w := newWorld(ctx, engines)
		f(t, w)
		cancel()
		for i := range 20 {
			w.kill(i)
		}
		time.Sleep(2 * term)
	})
}

type step struct {
	Kind string
	A    int
	Wait int // seconds
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]string{"kill", "vm", "leave", "version", "copies", "pause", "resume", "down", "up", "drop", "lose", "answers", "store"}).Draw(t, "kind"),
		A:    rapid.IntRange(0, 7).Draw(t, "a"),
		Wait: rapid.IntRange(0, 40).Draw(t, "wait"),
	}
})

func (w *world) apply(s step, all []*controller) {
	c := all[s.A%len(all)]
	switch s.Kind {
	case "kill":
		w.kill(s.A)
	case "vm":
		w.kill(s.A)
		w.vm(s.A)
	case "pause", "resume":
		c.pause(s.Kind == "pause")
	case "down", "up":
		w.table.SetFaults(fakes.Faults{Down: s.Kind == "down"})
	case "drop":
		w.table.SetFaults(fakes.Faults{Drop: 2})
	case "lose":
		w.table.SetFaults(fakes.Faults{Lose: 2})
	case "store":
		w.weights.SetDown(true)
		time.Sleep(10 * time.Second)
		w.weights.SetDown(false)
	}
	w.mu.Lock()
	defer w.mu.Unlock()
	switch s.Kind {
	case "leave":
		if m := w.vms[vmName(s.A)]; m != nil {
			m.listed.Leaving = true
		}
	case "version":
		w.wishes = []place.Wish{wish(fmt.Sprint(s.A%3+1), w.wishes[0].Copies)}
	case "copies":
		w.wishes = []place.Wish{wish(w.wishes[0].Version, s.A%2+1)}
	case "answers":
		w.lose = 3
	}
}

// play runs a schedule with three controllers and returns the first
// violation.
func play(t *testing.T, schedule []step, fenced bool) (err error) {
	run(t, 8, func(_ *testing.T, w *world) {
		w.fenced = fenced
		for i := range 8 {
			w.vm(i)
		}
		var all []*controller
		for i := range 3 {
			all = append(all, w.control(fmt.Sprint("p/", i)))
		}
		for _, s := range schedule {
			w.apply(s, all)
			time.Sleep(time.Duration(s.Wait) * time.Second)
		}
		w.table.SetFaults(fakes.Faults{})
		for i, c := range all {
			c.pause(false)
			w.kill(i)
			w.vm(i) // enough engines for the wish
		}
		for i := 3; i < 8; i++ {
			w.mu.Lock()
			m := w.vms[vmName(i)]
			w.mu.Unlock()
			if m == nil || m.listed.Leaving {
				w.kill(i)
				w.vm(i)
			}
		}
		time.Sleep(3 * time.Minute)
		err = w.fulfilled()
	})
	return err
}

// TestRandom guards against orders of two holders, loads over the rate of the
// weight store, the unload of a last ready copy, and wishes that are not
// reached once all faults are over.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(steps, 1, 12).Draw(rt, "schedule")
		fenced := rapid.Bool().Draw(rt, "fenced")
		if err := play(t, schedule, fenced); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// TestPausedHolder guards against an order of a holder that was paused between
// its plan and the send, for engines that ignore fencing numbers. Without the
// check before the send the order takes effect after the successor's.
func TestPausedHolder(t *testing.T) {
	for _, rule := range []bool{false, true} {
		t.Run(fmt.Sprint("rule=", rule), func(t *testing.T) {
			run(t, 6, func(t *testing.T, w *world) {
				w.broken = func(c *controller) {
					if !rule {
						c.check = func(func() error) error { return nil }
					}
				}
				first := w.control("p/1")
				time.Sleep(term)
				second := w.control("p/2")
				time.Sleep(time.Minute)
				assert.NilError(t, w.fulfilled())
				// The holder is stopped in the middle of a change.
				w.mu.Lock()
				w.wishes = []place.Wish{wish("2", 2)}
				w.mu.Unlock()
				for first.AcceptedOrders() == 4 {
					time.Sleep(time.Millisecond)
				}
				first.pause(true)
				time.Sleep(2 * time.Minute)
				assert.NilError(t, w.fulfilled())
				assert.Assert(t, second.AcceptedOrders() > 0)
				first.pause(false)
				time.Sleep(time.Minute)
				if rule {
					assert.NilError(t, w.fulfilled())
				} else {
					assert.ErrorContains(t, w.fulfilled(), "took effect after")
				}
			})
		})
	}
}

// TestFaultsShow shows that the checks of TestRandom fail: for a controller
// that ignores the rate of the weight store, and for an order that takes the
// last copies.
func TestFaultsShow(t *testing.T) {
	t.Run("rate", func(t *testing.T) {
		run(t, 6, func(t *testing.T, w *world) {
			w.weights = fakes.NewWeights(50, 200)
			for i := range 6 {
				w.vm(i)
			}
			for i := range 6 { // all at once
				_, err := w.vms[vmName(i)].orders.Apply(engine.Order{Hold: []engine.Part{part("1", 0)}})
				assert.NilError(t, err)
			}
			time.Sleep(time.Minute)
			assert.ErrorContains(t, w.fulfilled(), "MB in the bucket")
		})
	})
	t.Run("last copy", func(t *testing.T) {
		run(t, 6, func(t *testing.T, w *world) {
			w.control("p/1")
			time.Sleep(time.Minute)
			assert.NilError(t, w.fulfilled())
			for i := range 6 {
				_, err := w.vms[vmName(i)].orders.Apply(engine.Order{Fence: 9})
				assert.NilError(t, err)
			}
			assert.ErrorContains(t, w.fulfilled(), "last ready copy")
		})
	})
}
