package route_test

import (
	"flag"
	"fmt"
	"math/rand"
	"testing"
	"testing/synctest"
	"time"

	"gotest.tools/v3/assert"
	"pgregory.net/rapid"

	"github.com/cranberrybay/cranberrybay/engine"
	"github.com/cranberrybay/cranberrybay/fault"
	"github.com/cranberrybay/cranberrybay/fleet"
	"github.com/cranberrybay/cranberrybay/route"
)

// The flag -rapid.seed on the command line overrides this seed.
func init() { _ = flag.Set("rapid.seed", "20261204") }

// addServer adds a ready server with a layer range to a table.
func addServer(t *fleet.Table, name, domain, version string, first, last int) {
	t.MergeEntry(fleet.State{Name: name, Address: name, Domain: domain, Service: "m"})
	t.MergeReport(name, fleet.State{Boot: "1", Kind: "a", Model: "m", Version: version, First: first, Last: last, Slots: 8, Ready: true})
}

func chooser(t *fleet.Table, c *route.PrefixIndex) *route.Chooser {
	return route.New(route.Config{Fleet: t, PrefixIndex: c, Rand: rand.New(rand.NewSource(7))})
}

func requirements() route.Requirements {
	return route.Requirements{Service: "m", Layers: 24, Domain: "patan"}
}

// countUses chooses n routes and counts how often each server is used.
func countUses(t *testing.T, c *route.Chooser, req route.Requirements, n int) map[string]int {
	t.Helper()
	out := map[string]int{}
	for range n {
		r, err := c.Choose(req)
		assert.NilError(t, err)
		assert.Assert(t, r.CoversLayers(24))
		for _, s := range r.Stages {
			out[s.Name]++
		}
	}
	return out
}

// TestRoutesCoverLayers guards against routes that skip or repeat a layer, mix
// versions or use a server to avoid, and against a failure although a route exists,
// for random fleets.
func TestRoutesCoverLayers(t *testing.T) {
	rapid.Check(t, func(rt *rapid.T) {
		tab := fleet.New(fleet.Config{})
		version := map[string]string{}
		for i := range rapid.IntRange(1, 24).Draw(rt, "servers") {
			first := rapid.IntRange(0, 5).Draw(rt, "first")
			last := rapid.IntRange(first+1, 6).Draw(rt, "last")
			name := fmt.Sprintf("s%d", i)
			version[name] = rapid.SampledFrom([]string{"1", "2"}).Draw(rt, "version")
			addServer(tab, name, rapid.SampledFrom([]string{"patan", "thamel"}).Draw(rt, "domain"), version[name], first*4, last*4)
		}
		req := requirements()
		req.Avoid = map[string]bool{"s0": true}
		r, err := chooser(tab, nil).Choose(req)
		if err != nil {
			if routeExists(tab, req, version, "1", 0) || routeExists(tab, req, version, "2", 0) {
				rt.Fatalf("a route exists: %v", err)
			}
			if fault.VerdictOf(err) != fault.NotRun {
				rt.Fatalf("verdict %v", fault.VerdictOf(err))
			}
			return
		}
		if !r.CoversLayers(24) || r.Contains("s0") {
			rt.Fatalf("route %v", r)
		}
		for _, s := range r.Stages {
			if version[s.Name] != r.Version {
				rt.Fatalf("route of version %s has %v of version %s", r.Version, s, version[s.Name])
			}
		}
	})
}

// routeExists searches for a route of one version that starts at a layer.
func routeExists(tab *fleet.Table, req route.Requirements, version map[string]string, v string, at int) bool {
	if at == req.Layers {
		return true
	}
	for _, s := range tab.Servers("m") {
		if s.First == at && version[s.Name] == v && !req.Avoid[s.Name] && routeExists(tab, req, version, v, s.Last) {
			return true
		}
	}
	return false
}

// threeRanges returns a table with n servers for each of three layer ranges, in
// alternating domains.
func threeRanges(n int, domains ...string) *fleet.Table {
	tab := fleet.New(fleet.Config{})
	for r := range 3 {
		for i := range n {
			addServer(tab, fmt.Sprintf("e%d-%d", r, i), domains[i%len(domains)], "1", r*8, r*8+8)
		}
	}
	return tab
}

// TestNoHerding guards against sending all requests to the same servers between two
// load reports.
func TestNoHerding(t *testing.T) {
	used := countUses(t, chooser(threeRanges(4, "patan"), nil), requirements(), 400)
	for name, n := range used {
		assert.Assert(t, n > 50 && n < 150, "%s got %d of 400", name, n)
	}
	assert.Equal(t, len(used), 12)
}

// TestOwnRequestsCountAsLoad guards against sending more work to a server that this
// process has loaded since the last report.
func TestOwnRequestsCountAsLoad(t *testing.T) {
	tab := threeRanges(4, "patan")
	for range 24 {
		tab.BeginRequest("e1-0")
	}
	assert.Equal(t, countUses(t, chooser(tab, nil), requirements(), 100)["e1-0"], 0)
}

// TestSlowLinkIsAvoided guards against routes over a link that was measured as slow.
func TestSlowLinkIsAvoided(t *testing.T) {
	synctest.Test(t, func(t *testing.T) {
		tab := threeRanges(4, "patan", "thamel")
		c := chooser(tab, nil)
		for range 10 {
			tab.RecordRoundTrip("patan", "thamel", 200*time.Millisecond)
			tab.RecordRoundTrip("thamel", "patan", 200*time.Millisecond)
		}
		for range 100 {
			r, err := c.Choose(requirements())
			assert.NilError(t, err)
			for _, s := range r.Stages {
				assert.Equal(t, s.Domain, "patan")
			}
		}
	})
}

// TestSlowServerIsAvoided guards against a slow server that gets as much work as a
// fast one.
func TestSlowServerIsAvoided(t *testing.T) {
	tab := threeRanges(4, "patan")
	for r := range 3 {
		for i := range 4 {
			step := 4 * time.Millisecond
			if i == 3 {
				step = 11 * time.Millisecond // below the ratio at which a server is ejected
			}
			for range 5 {
				tab.RecordTokenTime(fmt.Sprintf("e%d-%d", r, i), step)
			}
		}
	}
	assert.Equal(t, countUses(t, chooser(tab, nil), requirements(), 100)["e0-3"], 0)
}

// TestCacheHoldersAreKept guards against a recovery that replaces stages that still
// hold the KV cache, or that uses adjacent stages whose link failed.
func TestCacheHoldersAreKept(t *testing.T) {
	tab := threeRanges(3, "patan")
	req := requirements()
	req.Avoid = map[string]bool{"e1-0": true}
	req.CacheHolders = map[string]bool{"e0-0": true, "e2-0": true}
	req.PromptTokens = 500
	used := countUses(t, chooser(tab, nil), req, 50)
	assert.Equal(t, used["e0-0"], 50)
	assert.Equal(t, used["e2-0"], 50)

	req.Avoid, req.AvoidPairs = nil, map[route.Pair]bool{{"e0-0", "e1-0"}: true, {"e1-0", "e2-0"}: true}
	req.CacheHolders = map[string]bool{"e0-0": true, "e1-0": true, "e2-0": true}
	used = countUses(t, chooser(tab, nil), req, 50)
	assert.Equal(t, used["e1-0"], 0)
	assert.Equal(t, used["e0-0"]+used["e2-0"], 100)
}

// TestCachedPrefixIsPreferred guards against ignoring a cached prefix of the prompt,
// and against using entries of the index after a gap in the events.
func TestCachedPrefixIsPreferred(t *testing.T) {
	tab, index := threeRanges(4, "patan"), route.NewPrefixIndex()
	req := requirements()
	req.PromptTokens, req.PromptBlocks = 2000, []uint64{1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16}
	var ev []engine.CacheEvent
	for i, b := range req.PromptBlocks {
		ev = append(ev, engine.CacheEvent{Number: uint64(i + 1), Block: b, Stored: true})
	}
	for r := range 3 {
		index.Merge(fmt.Sprintf("e%d-2", r), engine.CacheEvents{Boot: "1", Events: ev})
	}
	used := countUses(t, chooser(tab, index), req, 50)
	assert.Equal(t, used["e0-2"], 50)

	for range 16 {
		tab.BeginRequest("e0-2") // a cached prefix does not outweigh a full server
	}
	assert.Equal(t, countUses(t, chooser(tab, index), req, 50)["e0-2"], 0)

	index.Merge("e1-2", engine.CacheEvents{Boot: "1", Events: []engine.CacheEvent{{Number: 20, Block: 99, Stored: true}}})
	assert.Equal(t, index.Match("e1-2", req.PromptBlocks), 0, "a gap clears the entries")
	assert.Equal(t, index.Match("e1-2", []uint64{99}), 1)
	index.Merge("e2-2", engine.CacheEvents{Boot: "2"})
	assert.Equal(t, index.Match("e2-2", req.PromptBlocks), 0, "a new incarnation has an empty cache")
}

// TestSeedDeterminesRoutes guards against choices that depend on more than the seed.
func TestSeedDeterminesRoutes(t *testing.T) {
	tab := threeRanges(4, "patan")
	a, b := chooser(tab, nil), chooser(tab, nil)
	for range 50 {
		x, err := a.Choose(requirements())
		assert.NilError(t, err)
		y, err := b.Choose(requirements())
		assert.NilError(t, err)
		assert.DeepEqual(t, x, y)
	}
}
