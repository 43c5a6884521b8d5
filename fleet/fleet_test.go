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

// The flag -rapid.seed on the command line overrides this seed.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// vmList returns a VM list of n servers.
func vmList(n int) []fleet.State {
	out := make([]fleet.State, n)
	for i := range out {
		out[i] = fleet.State{Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("10.0.0.%d:1", i), Domain: "patan", Service: "m"}
	}
	return out
}

// loadReport returns a load report of a ready, idle server.
func loadReport(boot string) fleet.State {
	return fleet.State{Boot: boot, Kind: "a", Model: "m", Version: "1", First: 0, Last: 8, Slots: 8, Ready: true}
}

// readyTable returns a table of n servers of one range that have sent load reports.
func readyTable(cfg fleet.Config, n int) *fleet.Table {
	t := fleet.New(cfg)
	t.MergeList(vmList(n))
	for _, s := range vmList(n) {
		t.MergeReport(s.Name, loadReport("1"))
	}
	return t
}

// candidates returns the candidates of the service by name.
func candidates(t *fleet.Table) map[string]fleet.Candidate {
	out := map[string]fleet.Candidate{}
	for _, c := range t.Servers("m") {
		out[c.Name] = c
	}
	return out
}

// assertUsable checks whether a server is a candidate.
func assertUsable(t *testing.T, tab *fleet.Table, name string, want bool) {
	t.Helper()
	_, got := candidates(tab)[name]
	assert.Equal(t, got, want, "server %s usable", name)
}

// TestLeavingServerGetsNoWork guards against new work for a server that is leaving
// while the VM list lags, and against ignoring a server that has returned.
func TestLeavingServerGetsNoWork(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := readyTable(fleet.Config{}, 3)
		leaving := loadReport("1")
		leaving.Leaving = true
		tab.MergeReport("s0", leaving)
		tab.MergeList(vmList(3)) // the list lags
		assertUsable(t, tab, "s0", false)

		tab.MarkLeaving("s1")
		tab.MergeReport("s1", loadReport("1")) // an outdated report
		assertUsable(t, tab, "s1", false)
		time.Sleep(4 * time.Second)
		tab.MergeReport("s1", loadReport("1"))
		assertUsable(t, tab, "s1", true)

		l := vmList(3)
		l[2].Leaving = true
		tab.MergeList(l)
		assertUsable(t, tab, "s2", false)
		assert.Assert(t, tab.MergeReport("s2", loadReport("2")), "a new incarnation is noticed")
		assertUsable(t, tab, "s2", true)
	})
}

// TestImplausibleListIsIgnored guards against removing servers because of a VM list
// that is empty, lacks most servers or marks all as leaving, and against keeping
// servers that are gone.
func TestImplausibleListIsIgnored(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := readyTable(fleet.Config{}, 6)
		for _, l := range [][]fleet.State{nil, vmList(1)} {
			tab.MergeList(l)
			time.Sleep(30 * time.Second)
			tab.MergeList(l)
			assert.Equal(t, len(tab.All()), 6)
		}
		all := vmList(6)
		for i := range all {
			all[i].Leaving = true
			tab.MergeReport(all[i].Name, loadReport("1"))
		}
		tab.MergeList(all)
		assert.Equal(t, len(candidates(tab)), 6)

		tab.MergeList(vmList(5))
		assert.Equal(t, len(tab.All()), 6, "a server that reports is kept for a while")
		time.Sleep(11 * time.Second)
		tab.MergeList(vmList(5))
		assert.Equal(t, len(tab.All()), 5)

		moved := vmList(5)
		moved[4].Name = "new" // another VM at the address of s4
		tab.MergeList(moved)
		assert.Equal(t, len(tab.All()), 5)
	})
}

// TestLoadEstimate guards against many requests to one server because of an old
// report: requests sent since the report count, and an old report loses weight.
func TestLoadEstimate(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := readyTable(fleet.Config{}, 2)
		busy := loadReport("1")
		busy.Running = 6
		tab.MergeReport("s0", busy)
		assert.Equal(t, candidates(tab)["s0"].Load, 6.0)
		tab.BeginRequest("s0")
		tab.BeginRequest("s0")
		assert.Equal(t, candidates(tab)["s0"].Load, 8.0)
		busy.Running = 8 // includes the two of this process
		tab.MergeReport("s0", busy)
		assert.Equal(t, candidates(tab)["s0"].Load, 8.0)
		time.Sleep(30 * time.Second)
		assert.Assert(t, candidates(tab)["s0"].Load < 5.1, "an old report counts as the mean of the range")
		tab.EndRequest("s0")
		tab.EndRequest("s0")
		assert.Assert(t, candidates(tab)["s0"].Load < 3.1)
	})
}

// TestEjectedShareIsLimited guards against ejecting more than the configured share
// of a range, for random failures in any order.
func TestEjectedShareIsLimited(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		n := rapid.IntRange(1, 12).Draw(rt, "servers")
		share := rapid.SampledFrom([]float64{0.2, 0.34, 0.5}).Draw(rt, "share")
		tab := readyTable(fleet.Config{MaxEjectedShare: share}, n)
		for range rapid.IntRange(0, 60).Draw(rt, "events") {
			name := fmt.Sprintf("s%d", rapid.IntRange(0, n-1).Draw(rt, "server"))
			switch rapid.IntRange(0, 3).Draw(rt, "event") {
			case 0:
				tab.RequestFailed(name)
			case 1:
				tab.PollFailed(name)
			case 2:
				tab.RecordTokenTime(name, time.Second)
			default:
				tab.RecordTokenTime(name, time.Millisecond)
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

// TestSlowServerIsEjected guards against a slow server that is not ejected, and
// against a server that gets its full share of work as soon as it returns.
func TestSlowServerIsEjected(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := readyTable(fleet.Config{}, 4)
		for range 5 {
			for i := range 4 {
				took := 2 * time.Millisecond
				if i == 3 {
					took = 20 * time.Millisecond
				}
				tab.RecordTokenTime(fmt.Sprintf("s%d", i), took)
			}
		}
		assert.Assert(t, candidates(tab)["s3"].Ejected)
		assert.Assert(t, !candidates(tab)["s0"].Ejected)
		time.Sleep(11 * time.Second)
		c := candidates(tab)["s3"]
		assert.Assert(t, !c.Ejected && c.Ramp < 0.3, "ramp is %v", c.Ramp)
		time.Sleep(10 * time.Second)
		assert.Equal(t, candidates(tab)["s3"].Ramp, 1.0)

		tab.MergeReport("s0", loadReport("2"))
		assert.Assert(t, candidates(tab)["s0"].Ramp < 0.2, "a new incarnation starts slowly")
	})
}

// TestRoundTripEstimate guards against an estimate that does not follow the
// measurements, and against one that stays high permanently, so that a link is never
// tried again.
func TestRoundTripEstimate(t *testing.T) {
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

// TestSubset guards against a subset that is too large, lacks a layer range, or
// changes by more than one server when a server joins.
func TestSubset(t *testing.T) {
	const servers, ranges = 4000, 8
	var list []fleet.State
	for i := range servers {
		list = append(list, fleet.State{Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("a%d", i), Service: "m"})
	}
	tab := fleet.New(fleet.Config{Self: "node-1"})
	selected := map[string]bool{}
	var polls atomic.Int64
	w := fleet.NewWatcher(fleet.WatchConfig{
		Table: tab, List: func(context.Context) ([]fleet.State, error) { return list, nil },
		ReadReport: func(_ context.Context, address string) (fleet.State, error) {
			var n int
			_, _ = fmt.Sscanf(address, "a%d", &n)
			polls.Add(1)
			r := loadReport("1")
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
		selected[c.Name] = true
	}
	assert.Assert(t, len(selected) <= 96, "subset of %d", len(selected))
	for r := range ranges {
		assert.Assert(t, count[r] >= 2, "range %d has %d servers", r, count[r])
	}
	assert.Assert(t, polls.Load() <= 17*400, "%d polls in 400 s", polls.Load())
	tab.MergeList(append(list, fleet.State{Name: "new", Address: "new", Service: "m"}))
	tab.MergeReport("new", loadReport("1"))
	tab.MergeList(append(list, fleet.State{Name: "new", Address: "new", Service: "m"}))
	changed := 0
	for _, c := range tab.Servers("m") {
		if !selected[c.Name] {
			changed++
		}
	}
	assert.Assert(t, changed <= 1, "%d servers changed", changed)
}

// TestWatcherPolls guards against a stalled server or a slow platform that delays
// the polls of other servers, and against polling more often than once a second.
func TestWatcherPolls(t *testing.T) {
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
				return vmList(3), nil
			},
			ReadReport: func(ctx context.Context, address string) (fleet.State, error) {
				polls <- address
				if address == "10.0.0.0:1" {
					<-ctx.Done()
					return fleet.State{}, ctx.Err()
				}
				return loadReport("1"), nil
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

// BenchmarkSelectSubset measures the selection of the subset from 4,000 servers.
func BenchmarkSelectSubset(b *testing.B) {
	tab := fleet.New(fleet.Config{Self: "node-1"})
	var list []fleet.State
	for i := range 4000 {
		list = append(list, fleet.State{Name: fmt.Sprintf("s%d", i), Address: fmt.Sprintf("a%d", i), Service: "m"})
	}
	tab.MergeList(list)
	for i, s := range list {
		r := loadReport("1")
		r.First, r.Last = i%8, i%8+1
		tab.MergeReport(s.Name, r)
	}
	b.ReportAllocs()
	for b.Loop() {
		tab.MergeList(list)
	}
}

// Guards against a sound server that loses its place in the table at each reading of the VM list, because another entry of the
// list has its address, and against a VM whose address a later one has taken over.
func TestTwoVMsWithOneAddress(t *testing.T) {
	for _, first := range []bool{false, true} {
		t.Run(fmt.Sprint("odd entry first ", first), func(t *testing.T) {
			list := vmList(4)
			odd := fleet.State{Name: "odd", Address: list[0].Address, Domain: "patan", Service: "m"}
			withOdd := append(vmList(4), odd)
			if first {
				withOdd = append([]fleet.State{odd}, vmList(4)...)
			}
			tab := readyTable(fleet.Config{}, 4)
			for range 3 {
				tab.MergeList(withOdd)
				for _, s := range list {
					assertUsable(t, tab, s.Name, true)
				}
				assert.Equal(t, len(tab.All()), 4)
			}
			withOdd = append(withOdd[:0:0], withOdd...)
			for i := range withOdd {
				withOdd[i].Leaving = withOdd[i].Name == "s0"
			}
			tab.MergeList(withOdd) // s0 leaves, and the other one has the address from now on
			_, ok := candidates(tab)["s0"]
			assert.Assert(t, !ok)
			s, ok := tab.ByAddress(odd.Address)
			assert.Assert(t, ok && s.Name == "odd")
		})
	}
}
