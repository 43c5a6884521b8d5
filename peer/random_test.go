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

// step is one random event of TestRandom. A and B select processes.
type step struct {
	Kind string
	A, B int
	Wait int // until the next step, in seconds
}

// clusterSize is the number of processes in TestRandom.
const clusterSize = 5

var steps = rapid.Custom(func(t *rapid.T) step {
	return step{
		Kind: rapid.SampledFrom([]string{"kill", "restart", "pause", "resume", "cut", "heal", "split", "join", "replace", "down", "up", "lose"}).Draw(t, "kind"),
		A:    rapid.IntRange(0, clusterSize-1).Draw(t, "a"),
		B:    rapid.IntRange(0, clusterSize-1).Draw(t, "b"),
		Wait: rapid.IntRange(0, 40).Draw(t, "wait"),
	}
})

func (c *cluster) apply(s step) {
	synctest.Wait() // see fakes.NewNetwork
	p := c.running()[hostName(s.A)]
	switch s.Kind {
	case "kill":
		c.kill(hostName(s.A))
	case "restart":
		c.kill(hostName(s.A))
		c.start(s.A)
	case "pause", "resume":
		if p != nil {
			p.setPaused(s.Kind == "pause")
		}
	case "cut", "heal":
		c.setCut(hostName(s.A), hostName(s.B), s.Kind == "cut" && s.A != s.B)
	case "split", "join":
		for i := range clusterSize {
			for j := range clusterSize {
				c.setCut(hostName(i), hostName(j), s.Kind == "split" && (i <= s.A) != (j <= s.A))
			}
		}
	case "replace":
		c.killAll()
		for i := range clusterSize {
			c.start(i)
		}
	case "down", "up":
		c.table.SetFaults(fakes.PlatformFaults{Down: s.Kind == "down"})
	case "lose":
		c.table.SetFaults(fakes.PlatformFaults{LostReplies: 1 + s.B})
	}
}

// TestRandom checks that the member lists become correct after a random sequence of
// kills, restarts, pauses, network cuts and table outages, over the real
// transport.
func TestRandom(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(steps, 1, 10).Draw(rt, "schedule")
		var err error
		runInBubble(t, func(t *testing.T) {
			c := newCluster(t, 0)
			defer c.killAll()
			for i := range clusterSize {
				c.start(i)
			}
			for _, s := range schedule {
				c.apply(s)
				time.Sleep(time.Duration(s.Wait) * time.Second)
			}
			c.table.SetFaults(fakes.PlatformFaults{})
			c.apply(step{Kind: "join"})
			for _, p := range c.running() {
				p.setPaused(false)
			}
			time.Sleep(30 * time.Second)
			if err = c.checkLists(); err != nil {
				err = fmt.Errorf("at the end: %w", err)
			}
		})
		if err != nil {
			rt.Fatalf("%v", err)
		}
	})
}
