package fleet_test

import (
	"context"
	"flag"
	"fmt"
	"sync/atomic"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/fleet"
)

// The command line may name another seed.
func init() { _ = flag.Set("rapid.seed", "20261204") }

func listed(n int) []fleet.State {
	out := make([]fleet.State, n)
	for i := range out {
		out[i] = fleet.State{Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "patan", Service: "m"}
	}
	return out
}

func report(boot string) fleet.State {
	return fleet.State{Boot: boot, Kind: "a", Model: "m", Version: "1", First: 0, Last: 8, Slots: 8, Ready: true}
}

// ready returns a table of n servers of one range that have reported.
func ready(cfg fleet.Config, n int) *fleet.Table {
	t := fleet.New(cfg)
	t.MergeList(listed(n))
	for _, s := range listed(n) {
		t.MergeReport(s.Name, report("1"))
	}
	return t
}

func names(t *fleet.Table) map[string]fleet.Candidate {
	out := map[string]fleet.Candidate{}
	for _, c := range t.Servers("m") {
		out[c.Name] = c
	}
	return out
}

func assertUsable(t *testing.T, tab *fleet.Table, name string, want bool) {
	t.Helper()
	_, got := names(tab)[name]
	assert.Equal(t, got, want, "server %s usable", name)
}

// TestLeaving guards against new work for a server that leaves while the VM
// list lags, and against leaving out one that came back.
func TestLeaving(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := ready(fleet.Config{}, 3)
		leaving := report("1")
		leaving.Leaving = true
		tab.MergeReport("s0", leaving)
		tab.MergeList(listed(3)) // the list does not know yet
		assertUsable(t, tab, "s0", false)

		tab.MarkLeaving("s1")
		tab.MergeReport("s1", report("1")) // a report that lags
		assertUsable(t, tab, "s1", false)
		time.Sleep(4 * time.Second)
		tab.MergeReport("s1", report("1"))
		assertUsable(t, tab, "s1", true)

		l := listed(3)
		l[2].Leaving = true
		tab.MergeList(l)
		assertUsable(t, tab, "s2", false)
		assert.Assert(t, tab.MergeReport("s2", report("2")), "a new incarnation is noticed")
		assertUsable(t, tab, "s2", true)
	})
}

// TestList guards against a VM list that is empty, has lost most servers or
// says by mistake that all leave, and against keeping servers that are gone.
func TestList(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := ready(fleet.Config{}, 6)
		for _, l := range [][]fleet.State{nil, listed(1)} {
			tab.MergeList(l)
			time.Sleep(30 * time.Second)
			tab.MergeList(l)
			assert.Equal(t, len(tab.All()), 6)
		}
		all := listed(6)
		for i := range all {
			all[i].Leaving = true
			tab.MergeReport(all[i].Name, report("1"))
		}
		tab.MergeList(all)
		assert.Equal(t, len(names(tab)), 6)

		tab.MergeList(listed(5))
		assert.Equal(t, len(tab.All()), 6, "a server that reports is kept for a while")
		time.Sleep(11 * time.Second)
		tab.MergeList(listed(5))
		assert.Equal(t, len(tab.All()), 5)

		moved := listed(5)
		moved[4].Name = "new" // another VM at the address of s4
		tab.MergeList(moved)
		assert.Equal(t, len(tab.All()), 5)
	})
}

// TestLoad guards against herding on an old report: requests sent since then
// count, and an old report loses weight.
func TestLoad(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := ready(fleet.Config{}, 2)
		busy := report("1")
		busy.Running = 6
		tab.MergeReport("s0", busy)
		assert.Equal(t, names(tab)["s0"].Load, 6.0)
		tab.Begin("s0")
		tab.Begin("s0")
		assert.Equal(t, names(tab)["s0"].Load, 8.0)
		busy.Running = 8 // includes the two of this process
		tab.MergeReport("s0", busy)
		assert.Equal(t, names(tab)["s0"].Load, 8.0)
		time.Sleep(30 * time.Second)
		assert.Assert(t, names(tab)["s0"].Load < 5.1, "an old report counts as the mean of the range")
		tab.End("s0")
		tab.End("s0")
		assert.Assert(t, names(tab)["s0"].Load < 3.1)
	})
}

// TestShare guards against ejecting more than the stated share of a range,
// whatever fails, in any order.
func TestShare(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "servers")
		share := rapid.SampledFrom([]float64{0.2, 0.34, 0.5}).Draw(rt, "share")
		tab := ready(fleet.Config{MaxEjectedShare: share}, n)
		for range rapid.IntRange(0, 60).Draw(rt, "events") {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, n-1).Draw(rt, "server"))
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				tab.RequestFailed(name)
			case 1:
				tab.PollFailed(name)
			case 2:
				tab.RecordStep(name, time.Second)
			default:
				tab.RecordStep(name, time.Millisecond)
			}
			down := 0
			for _, c := range tab.Servers("m") {
				if c.Ejected {
					down++
				}
			}
			if down > int(share*float64(n)) {
				rt.Fatalf("%d of %d servers are ejected, allowed share %v", down, n, share)
			}
		}
	})
}

// TestSlow guards against a slow server that keeps its work, and against a
// server that gets its whole share at once when it returns.
func TestSlow(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := ready(fleet.Config{}, 4)
		for range 5 {
			for i := range 4 {
				took := 2 * time.Millisecond
				if i == 3 {
					took = 20 * time.Millisecond
				}
				tab.RecordStep(fmt.Sprintf("s%d", i), took)
			}
		}
		assert.Assert(t, names(tab)["s3"].Ejected)
		assert.Assert(t, !names(tab)["s0"].Ejected)
		time.Sleep(11 * time.Second)
		c := names(tab)["s3"]
		assert.Assert(t, !c.Ejected && c.Ramp < 0.3, "ramp is %v", c.Ramp)
		time.Sleep(10 * time.Second)
		assert.Equal(t, names(tab)["s3"].Ramp, 1.0)

		tab.MergeReport("s0", report("2"))
		assert.Assert(t, names(tab)["s0"].Ramp < 0.2, "a new incarnation starts slowly")
	})
}

// TestLinks guards against a link cost that does not follow measures, or that
// keeps a link avoided for good.
func TestLinks(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := fleet.New(fleet.Config{})
		before := tab.RoundTrip("a", "b")
		for range 10 {
			tab.RecordRoundTrip("a", "b", 80*time.Millisecond)
		}
		assert.Assert(t, tab.RoundTrip("a", "b") > 70*time.Millisecond)
		assert.Equal(t, tab.RoundTrip("b", "a"), before, "one direction only")
		time.Sleep(5 * time.Minute)
		assert.Assert(t, tab.RoundTrip("a", "b") < 2*before)
	})
}

// TestSubset guards against a subset that is too large, that lacks a range of
// a pipeline, or that changes much when one server joins.
func TestSubset(t *testing.T) {
	const servers, ranges = 4000, 8
	var list []fleet.State
	for i := range servers {
		list = append(list, fleet.State{Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("a%d", i), Service: "m"})
	}
	tab := fleet.New(fleet.Config{Self: "node-1"})
	watch := map[string]bool{}
	var polls atomic.Int64
	w := fleet.NewWatcher(fleet.WatchConfig{
		Table: tab, List: func(context.Context) ([]fleet.State, error) { return list, nil },
		ReadReport: func(_ context.Context, address string) (fleet.State, error) {
			var n int
			_, _ = fmt.Sscanf(address, "a%d", &n)
			polls.Add(1)
			r := report("1")
			r.First, r.Last = n%ranges, n%ranges+1
			return r, nil
		},
	})
	synctest.Test(t, func(t *testing.T) {
		ctx, cancel := context.WithTimeout(t.Context(), 400*time.Second)
		defer cancel()
		w.Run(ctx)
	})
	count := map[int]int{}
	for _, c := range tab.Servers("m") {
		count[c.First]++
		watch[c.Name] = true
	}
	assert.Assert(t, len(watch) <= 96, "subset of %d", len(watch))
	for r := range ranges {
		assert.Assert(t, count[r] >= 2, "range %d has %d servers", r, count[r])
	}
	assert.Assert(t, polls.Load() <= 17*400, "%d polls in 400 s", polls.Load())
	tab.MergeList(append(list, fleet.State{Name: "new", Address: "new", Service: "m"}))
	tab.MergeReport("new", report("1"))
	tab.MergeList(append(list, fleet.State{Name: "new", Address: "new", Service: "m"}))
	changed := 0
	for _, c := range tab.Servers("m") {
		if !watch[c.Name] {
			changed++
		}
	}
	assert.Assert(t, changed <= 1, "%d servers changed", changed)
}

// TestWatch guards against a stalled server or a slow platform that keeps
// others from being polled, and against polling more often than stated.
func TestWatch(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := fleet.New(fleet.Config{})
		polls := make(chan string, 1000)
		lists := 0
		w := fleet.NewWatcher(fleet.WatchConfig{
			Table: tab, OnListError: func(error) {},
			List: func(ctx context.Context) ([]fleet.State, error) {
				if lists++; lists > 1 {
					<-ctx.Done()
					return nil, ctx.Err()
				}
				return listed(3), nil
			},
			ReadReport: func(ctx context.Context, address string) (fleet.State, error) {
				polls <- address
				if address == "10.0.0.0:1" {
					<-ctx.Done()
					return fleet.State{}, ctx.Err()
				}
				return report("1"), nil
			},
		})
		ctx, cancel := context.WithTimeout(t.Context(), 30*time.Second)
		defer cancel()
		w.Run(ctx)
		close(polls)
		count := map[string]int{}
		for a := range polls {
			count[a]++
		}
		for i := 1; i < 3; i++ {
			n := count[fmt.Sprintf("10.0.0.%d:1", i)]
			assert.Assert(t, n >= 25 && n <= 31, "%d polls of s%d in 30 s", n, i)
		}
		assertUsable(t, tab, "s1", true)
		assertUsable(t, tab, "s0", false)
	})
}

// BenchmarkSelect measures the selection of the subset at target size.
func BenchmarkSelect(b *testing.B) {
	tab := fleet.New(fleet.Config{Self: "node-1"})
	var list []fleet.State
	for i := range 4000 {
		list = append(list, fleet.State{Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("a%d", i), Service: "m"})
	}
	tab.MergeList(list)
	for i, s := range list {
		r := report("1")
		r.First, r.Last = i%8, i%8+1
		tab.MergeReport(s.Name, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		tab.MergeList(list)
	}
}
