package member_test

import (
	"flag"
	"fmt"
	"testing"
	"testing/synctest"
	"time"

	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/fakes"
)

func init() {
	_ = flag.Set("rapid.seed", "20261204")
	_ = flag.Set("rapid.checks", "25")
}

// step is one disturbance of a randomised run.
type step struct {
	Kind string
	A, B int
	Wait int // seconds until the next step
}

const size = 6

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]string{"kill", "restart", "pause", "resume", "cut", "heal", "split", "join", "replace", "down", "up", "lose", "drop", "calm"}).Draw(t, "kind"),
		A:    rapid.IntRange(0, size-1).Draw(t, "a"),
		B:    rapid.IntRange(0, size-1).Draw(t, "b"),
		Wait: rapid.IntRange(0, 40).Draw(t, "wait"),
	}
})

func (w *world) apply(s step) {
	switch s.Kind {
	case "kill":
		w.kill(name(s.A))
	case "restart":
		w.kill(name(s.A))
		w.start(s.A)
	case "pause", "resume":
		w.mu.Lock()
		p := w.procs[name(s.A)]
		w.mu.Unlock()
		if p != nil && s.Kind == "pause" {
			p.pause()
		} else if p != nil {
			p.resume()
		}
	case "cut", "heal":
		w.cut(name(s.A), name(s.B), s.Kind == "cut" && s.A != s.B)
	case "split", "join":
		for i := range size {
			for j := range size {
				w.cut(name(i), name(j), s.Kind == "split" && (i <= s.A) != (j <= s.A))
			}
		}
	case "replace":
		w.stopAll()
		for i := range size {
			w.start(i)
		}
	case "down", "up":
		w.table.SetFaults(fakes.Faults{Down: s.Kind == "down"})
	case "lose":
		w.table.SetFaults(fakes.Faults{Lose: 1 + s.B})
	case "drop":
		w.table.SetFaults(fakes.Faults{Drop: 1 + s.B})
	}
}

// play runs a schedule and returns the first violation. The lists are checked
// whenever no step came for settle, and after all faults are over.
func play(t *testing.T, schedule []step) (err error) {
	synctest.Test(t, func(*testing.T) {
		w := newWorld()
		defer w.stopAll()
		for i := range size {
			w.start(i)
		}
		blind := false // a process started during the outage and knows nobody
		for i, s := range schedule {
			w.apply(s)
			down := w.table.Faults().Down
			blind = down && (blind || s.Kind == "restart" || s.Kind == "replace")
			wait := time.Duration(s.Wait) * time.Second
			time.Sleep(wait)
			if wait < 2*settle || blind {
				continue
			}
			if err = w.check(); err != nil {
				err = fmt.Errorf("after step %d: %w", i, err)
				return
			}
		}
		w.table.SetFaults(fakes.Faults{})
		for i := range size {
			for j := range size {
				w.cut(name(i), name(j), false)
			}
		}
		for _, p := range w.all() {
			p.resume()
		}
		time.Sleep(2 * settle)
		if err = w.check(); err != nil {
			err = fmt.Errorf("at the end: %w", err)
		}
	})
	return err
}

// TestRandom guards against any sequence of kills, pauses, cuts, outages and
// lost replies after which the lists do not become right.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(steps, 1, 12).Draw(rt, "schedule")
		if err := play(t, schedule); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}
