package peer_test

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
	_ = flag.Set("rapid.checks", "8")
}

type step struct {
	Kind string
	A, B int
	Wait int // seconds
}

const size = 5

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]string{"kill", "restart", "pause", "resume", "cut", "heal", "split", "join", "replace", "down", "up", "lose"}).Draw(t, "kind"),
		A:    rapid.IntRange(0, size-1).Draw(t, "a"),
		B:    rapid.IntRange(0, size-1).Draw(t, "b"),
		Wait: rapid.IntRange(0, 40).Draw(t, "wait"),
	}
})

func (c *cluster) apply(s step) {
	synctest.Wait() // see fakes.NewNetwork
	p := c.all()[name(s.A)]
	switch s.Kind {
	case "kill":
		c.kill(name(s.A))
	case "restart":
		c.kill(name(s.A))
		c.start(s.A)
	case "pause", "resume":
		if p != nil {
			p.pause(s.Kind == "pause")
		}
	case "cut", "heal":
		c.cut(name(s.A), name(s.B), s.Kind == "cut" && s.A != s.B)
	case "split", "join":
		for i := range size {
			for j := range size {
				c.cut(name(i), name(j), s.Kind == "split" && (i <= s.A) != (j <= s.A))
			}
		}
	case "replace":
		c.stop()
		for i := range size {
			c.start(i)
		}
	case "down", "up":
		c.table.SetFaults(fakes.PlatformFaults{Down: s.Kind == "down"})
	case "lose":
		c.table.SetFaults(fakes.PlatformFaults{LostReplies: 1 + s.B})
	}
}

// TestRandom guards against sequences of kills, pauses, cuts and outages after
// which the lists do not become right, over the real transport.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(steps, 1, 10).Draw(rt, "schedule")
		var err error
		bubble(t, func(t *testing.T) {
			c := newCluster(t, 0)
			defer c.stop()
			for i := range size {
				c.start(i)
			}
			for _, s := range schedule {
				c.apply(s)
				time.Sleep(time.Duration(s.Wait) * time.Second)
			}
			c.table.SetFaults(fakes.PlatformFaults{})
			c.apply(step{Kind: "join"})
			for _, p := range c.all() {
				p.pause(false)
			}
			time.Sleep(30 * time.Second)
			if err = c.check(); err != nil {
				err = fmt.Errorf("at the end: %w", err)
			}
		})
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}
