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

// runSimulation calls f with a simulation in virtual time and stops all engines
// afterwards.
func runSimulation(t *testing.T, engines int, f func(t *testing.T, sim *simulation)) {
	t.Helper()
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithCancel(context.Background())
		sim := newSimulation(ctx, engines)
		f(t, sim)
		cancel()
		for i := range 20 {
			sim.kill(i)
		}
		time.Sleep(2 * term)
	})
}

// step is one fault or change of a schedule.
type step struct {
	Kind string
	A    int // index of an engine or controller, or a value that depends on Kind
	Wait int // seconds
}

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]string{"kill", "vm", "leave", "version", "copies", "pause", "resume", "down", "up", "drop", "lose", "answers", "store"}).Draw(t, "kind"),
		A:    rapid.IntRange(0, 7).Draw(t, "a"),
		Wait: rapid.IntRange(0, 40).Draw(t, "wait"),
	}
})

// applyStep causes the fault or change of a step.
func (sim *simulation) applyStep(s step, controllers []*controller) {
	c := controllers[s.A%len(controllers)]
	switch s.Kind {
	case "kill":
		sim.kill(s.A)
	case "vm":
		sim.kill(s.A)
		sim.startEngine(s.A)
	case "pause", "resume":
		c.pause(s.Kind == "pause")
	case "down", "up":
		sim.table.SetFaults(fakes.PlatformFaults{Down: s.Kind == "down"})
	case "drop":
		sim.table.SetFaults(fakes.PlatformFaults{LostCommits: 2})
	case "lose":
		sim.table.SetFaults(fakes.PlatformFaults{LostReplies: 2})
	case "store":
		sim.weights.SetDown(true)
		time.Sleep(10 * time.Second)
		sim.weights.SetDown(false)
	}
	sim.mu.Lock()
	defer sim.mu.Unlock()
	switch s.Kind {
	case "leave":
		if e := sim.engines[engineName(s.A)]; e != nil {
			e.listed.Leaving = true
		}
	case "version":
		sim.wishes = []place.Wish{wish(fmt.Sprint(s.A%3+1), sim.wishes[0].Copies)}
	case "copies":
		sim.wishes = []place.Wish{wish(sim.wishes[0].Version, s.A%2+1)}
	case "answers":
		sim.loseAnswers = 3
	}
}

// runSchedule applies a schedule of faults and changes to three controllers and
// returns the first violation, or what the wishes lack in the end.
func runSchedule(t *testing.T, schedule []step, fenced bool) (err error) {
	runSimulation(t, 8, func(_ *testing.T, sim *simulation) {
		sim.fenced = fenced
		for i := range 8 {
			sim.startEngine(i)
		}
		var controllers []*controller
		for i := range 3 {
			controllers = append(controllers, sim.startController(fmt.Sprint("p/", i)))
		}
		for _, s := range schedule {
			sim.applyStep(s, controllers)
			time.Sleep(time.Duration(s.Wait) * time.Second)
		}
		sim.table.SetFaults(fakes.PlatformFaults{})
		for i, c := range controllers {
			c.pause(false)
			sim.kill(i)
			sim.startEngine(i) // enough engines for the wish
		}
		for i := 3; i < 8; i++ {
			sim.mu.Lock()
			e := sim.engines[engineName(i)]
			sim.mu.Unlock()
			if e == nil || e.listed.Leaving {
				sim.kill(i)
				sim.startEngine(i)
			}
		}
		time.Sleep(3 * time.Minute)
		err = sim.checkWishes()
	})
	return err
}

// TestRandomFaults runs random schedules. It guards against orders from two lease
// holders, loads above the rate of the weight store, unloading the last ready copy
// of a layer, and wishes that are not met after all faults have ended.
func TestRandomFaults(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(steps, 1, 12).Draw(rt, "schedule")
		fenced := rapid.Bool().Draw(rt, "fenced")
		if err := runSchedule(t, schedule, fenced); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}

// TestPausedHolder guards against an order from a lease holder that was paused
// between planning and sending, for engines that ignore fencing numbers. Without
// the check before the send, the order takes effect after those of the successor.
func TestPausedHolder(t *testing.T) {
	for _, checked := range []bool{false, true} {
		t.Run(fmt.Sprint("checked=", checked), func(t *testing.T) {
			runSimulation(t, 6, func(t *testing.T, sim *simulation) {
				sim.breakController = func(c *controller) {
					if !checked {
						c.check = func(func() error) error { return nil }
					}
				}
				first := sim.startController("p/1")
				time.Sleep(term)
				second := sim.startController("p/2")
				time.Sleep(time.Minute)
				assert.NilError(t, sim.checkWishes())
				// Pause the holder in the middle of a change of version.
				sim.mu.Lock()
				sim.wishes = []place.Wish{wish("2", 2)}
				sim.mu.Unlock()
				for first.AcceptedOrders() == 4 {
					time.Sleep(time.Millisecond)
				}
				first.pause(true)
				time.Sleep(2 * time.Minute)
				assert.NilError(t, sim.checkWishes())
				assert.Assert(t, second.AcceptedOrders() > 0)
				first.pause(false)
				time.Sleep(time.Minute)
				if checked {
					assert.NilError(t, sim.checkWishes())
				} else {
					assert.ErrorContains(t, sim.checkWishes(), "took effect after")
				}
			})
		})
	}
}

// TestChecksDetectFaults shows that the checks of TestRandomFaults detect loads
// above the rate of the weight store and an order that unloads the last copies.
func TestChecksDetectFaults(t *testing.T) {
	t.Run("rate", func(t *testing.T) {
		runSimulation(t, 6, func(t *testing.T, sim *simulation) {
			sim.weights = fakes.NewWeightStore(50, 200)
			for i := range 6 {
				sim.startEngine(i)
			}
			for i := range 6 { // all at once
				_, err := sim.engines[engineName(i)].orders.Apply(engine.Order{Hold: []engine.Part{part("1", 0)}})
				assert.NilError(t, err)
			}
			time.Sleep(time.Minute)
			assert.ErrorContains(t, sim.checkWishes(), "MB in the bucket")
		})
	})
	t.Run("last copy", func(t *testing.T) {
		runSimulation(t, 6, func(t *testing.T, sim *simulation) {
			sim.startController("p/1")
			time.Sleep(time.Minute)
			assert.NilError(t, sim.checkWishes())
			for i := range 6 {
				_, err := sim.engines[engineName(i)].orders.Apply(engine.Order{Fence: 9})
				assert.NilError(t, err)
			}
			assert.ErrorContains(t, sim.checkWishes(), "last ready copy")
		})
	})
}
