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
	_ = flag.Set("rapid.seed", "20261204") // fixed, so that a failure can be reproduced
	_ = flag.Set("rapid.checks", "25")
}

// disturbance is one disturbance of a simulation.
type disturbance struct {
	Kind string
	A, B int
	Wait int // seconds until the next disturbance
}

// clusterSize is the number of processes in a simulation.
const clusterSize = 6

var disturbances = rapid.Custom(func(t *rapid.T) disturbance {
	return disturbance{
		Kind: rapid.SampledFrom([]string{"kill", "restart", "pause", "resume", "cut", "heal", "split", "join", "replace", "down", "up", "lose", "drop", "calm"}).Draw(t, "kind"),
		A:    rapid.IntRange(0, clusterSize-1).Draw(t, "a"),
		B:    rapid.IntRange(0, clusterSize-1).Draw(t, "b"),
		Wait: rapid.IntRange(0, 40).Draw(t, "wait"),
	}
})

// apply causes a disturbance.
func (c *cluster) apply(s disturbance) {
	switch s.Kind {
	case "kill":
		c.kill(name(s.A))
	case "restart":
		c.kill(name(s.A))
		c.start(s.A)
	case "pause", "resume":
		c.mu.Lock()
		p := c.processes[name(s.A)]
		c.mu.Unlock()
		if p != nil && s.Kind == "pause" {
			p.pause()
		} else if p != nil {
			p.resume()
		}
	case "cut", "heal":
		c.setCut(name(s.A), name(s.B), s.Kind == "cut" && s.A != s.B)
	case "split", "join":
		for i := range clusterSize {
			for j := range clusterSize {
				c.setCut(name(i), name(j), s.Kind == "split" && (i <= s.A) != (j <= s.A))
			}
		}
	case "replace":
		c.stopAll()
		for i := range clusterSize {
			c.start(i)
		}
	case "down", "up":
		c.table.SetFaults(fakes.PlatformFaults{Down: s.Kind == "down"})
	case "lose":
		c.table.SetFaults(fakes.PlatformFaults{LostReplies: 1 + s.B})
	case "drop":
		c.table.SetFaults(fakes.PlatformFaults{LostCommits: 1 + s.B})
	}
}

// simulate runs a schedule and returns the first violation. It checks the lists
// whenever no disturbance came for twice settleTime, and after all faults have ended.
func simulate(t *testing.T, schedule []disturbance) (err error) {
	synctest.Test(t, func(*testing.T) {
		c := newCluster()
		defer c.stopAll()
		for i := range clusterSize {
			c.start(i)
		}
		startedInOutage := false // a process started during the outage and knows no other
		for i, s := range schedule {
			c.apply(s)
			down := c.table.Faults().Down
			startedInOutage = down && (startedInOutage || s.Kind == "restart" || s.Kind == "replace")
			wait := time.Duration(s.Wait) * time.Second
			time.Sleep(wait)
			if wait < 2*settleTime || startedInOutage {
				continue
			}
			if err = c.check(); err != nil {
				err = fmt.Errorf("after disturbance %d: %w", i, err)
				return
			}
		}
		c.table.SetFaults(fakes.PlatformFaults{})
		for i := range clusterSize {
			for j := range clusterSize {
				c.setCut(name(i), name(j), false)
			}
		}
		for _, p := range c.all() {
			p.resume()
		}
		time.Sleep(2 * settleTime)
		if err = c.check(); err != nil {
			err = fmt.Errorf("at the end: %w", err)
		}
	})
	return err
}

// TestRandomDisturbances guards against a sequence of kills, pauses, cuts, outages
// and lost replies after which the lists of members stay wrong.
func TestRandomDisturbances(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		schedule := rapid.SliceOfN(disturbances, 1, 12).Draw(rt, "schedule")
		if err := simulate(t, schedule); err != nil {
			rt.Fatalf("%v", err)
		}
	})
}
